"""A registry that decorators fill."""

from collections.abc import Callable
from typing import Generic, TypeVar

T = TypeVar("T")


class Registry(Generic[T]):
    """Maps names to factories of one kind."""

    def __init__(self, kind: str):
        self._kind = kind
        self._items: dict[str, T] = {}

    def register(self, name: str) -> Callable[[T], T]:
        """Returns a decorator that adds its target under a name."""

        def decorate(item: T) -> T:
            if name in self._items:
                raise ValueError(f"{self._kind} {name!r} is already there")
            self._items[name] = item
            return item

        return decorate

    def get(self, name: str) -> T:
        """Returns the item, or raises KeyError naming the known ones."""
        if name not in self._items:
            known = ", ".join(sorted(self._items))
            raise KeyError(f"no {self._kind} {name!r}; known: {known}")
        return self._items[name]

    def names(self) -> list[str]:
        """Returns all names in order."""
        return sorted(self._items)
