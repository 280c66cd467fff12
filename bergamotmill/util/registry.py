"""A registry whose items are added by decorators."""

from collections.abc import Callable
from typing import Generic, TypeVar

T = TypeVar("T")


class Registry(Generic[T]):
    """Maps names to items of one kind, such as driver factories."""

    def __init__(self, kind: str):
        self._kind = kind
        self._items: dict[str, T] = {}

    def register(self, name: str) -> Callable[[T], T]:
        """Returns a decorator that registers its target under a name."""

        def decorate(item: T) -> T:
            if name in self._items:
                raise ValueError(f"{self._kind} {name!r} is already registered")
            self._items[name] = item
            return item

        return decorate

    def get(self, name: str) -> T:
        """Returns the item of a name.

        Raises:
            KeyError: The name is unknown; the message lists the known names.
        """
        if name not in self._items:
            known = ", ".join(sorted(self._items))
            raise KeyError(f"unknown {self._kind} {name!r}; known: {known}")
        return self._items[name]

    def names(self) -> list[str]:
        """Returns all names in alphabetical order."""
        return sorted(self._items)
