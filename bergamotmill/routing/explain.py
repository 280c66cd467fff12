"""Keeps what was decided for the latest requests."""

import collections
import dataclasses

from bergamotmill.routing import const
from bergamotmill.routing import messages


class ExplanationLog:
    """The latest explanations by request id, in bounded memory."""

    def __init__(self, maximum: int = const.EXPLANATIONS_MAX):
        self._maximum = maximum
        self._items: collections.OrderedDict[str, messages.Explanation] = (
            collections.OrderedDict()
        )

    def add_decision(self, decision: messages.Decision) -> None:
        """Keeps a decision; a later one for the same request adds to it."""
        request_id = decision.request.request_id
        old = self._items.pop(request_id, None)
        attempts = () if old is None else old.attempts
        self._items[request_id] = messages.Explanation(decision, attempts)
        if len(self._items) > self._maximum:
            self._items.popitem(last=False)

    def add_attempt(self, request_id: str, text: str) -> None:
        """Adds what happened with one attempt."""
        item = self._items.get(request_id)
        if item is not None:
            self._items[request_id] = dataclasses.replace(
                item, attempts=(*item.attempts, text)
            )

    def add_result(
        self, request_id: str, cached_tokens: int, first_token_s: float
    ) -> None:
        """Adds what the answer showed."""
        item = self._items.get(request_id)
        if item is not None:
            self._items[request_id] = dataclasses.replace(
                item, cached_tokens=cached_tokens, first_token_s=first_token_s
            )

    def get(
        self, customer: str | None, request_id: str
    ) -> messages.Explanation | None:
        """Returns an explanation; a customer sees only its own."""
        item = self._items.get(request_id)
        if item is None:
            return None
        if customer is not None and item.decision.request.customer != customer:
            return None
        return item
