"""A log of routing decisions for recent requests."""

import collections
import dataclasses

from bergamotmill.routing import const
from bergamotmill.routing import messages


class ExplanationLog:
    """Explanations of the latest requests by request id, in bounded memory."""

    def __init__(self, max_entries: int = const.MAX_EXPLANATIONS):
        self._max_entries = max_entries
        self._explanations: collections.OrderedDict[
            str, messages.Explanation
        ] = collections.OrderedDict()

    def add_decision(self, decision: messages.Decision) -> None:
        """Stores a decision, keeping earlier attempts of its request."""
        request_id = decision.request.request_id
        old = self._explanations.pop(request_id, None)
        attempts = () if old is None else old.attempts
        self._explanations[request_id] = messages.Explanation(
            decision, attempts
        )
        if len(self._explanations) > self._max_entries:
            self._explanations.popitem(last=False)

    def add_attempt(self, request_id: str, text: str) -> None:
        """Adds the outcome of one attempt."""
        explanation = self._explanations.get(request_id)
        if explanation is not None:
            self._explanations[request_id] = dataclasses.replace(
                explanation, attempts=(*explanation.attempts, text)
            )

    def add_result(
        self, request_id: str, cached_tokens: int, first_token_s: float
    ) -> None:
        """Adds the measured cached tokens and time to first token."""
        explanation = self._explanations.get(request_id)
        if explanation is not None:
            self._explanations[request_id] = dataclasses.replace(
                explanation,
                cached_tokens=cached_tokens,
                first_token_s=first_token_s,
            )

    def get(
        self, customer: str | None, request_id: str
    ) -> messages.Explanation | None:
        """Returns an explanation; a customer can only read its own."""
        explanation = self._explanations.get(request_id)
        if explanation is None:
            return None
        if (
            customer is not None
            and explanation.decision.request.customer != customer
        ):
            return None
        return explanation
