"""Tracks whether an upstream may have run a request.

A refusal may only state `not_run` if no upstream can have run the request.
"""

import enum


class RunState(enum.Enum):
    """Whether an upstream may have run a request.

    NOT_SENT also applies if no upstream ran any of the attempts sent to it.
    """

    NOT_SENT = "not_run"
    MAY_HAVE_RUN = "unknown"
    RAN = "ran"


_STATE_ORDER = (RunState.NOT_SENT, RunState.MAY_HAVE_RUN, RunState.RAN)


class RunTracker:
    """The run state of one request across all its attempts."""

    __slots__ = ("_previous_state", "_state")

    def __init__(self):
        self._state = RunState.NOT_SENT
        self._previous_state = RunState.NOT_SENT

    @property
    def state(self) -> RunState:
        """The current state."""
        return self._state

    def mark_sending(self) -> None:
        """Records that a new attempt is about to send its first byte."""
        self._previous_state = self._state
        self._advance(RunState.MAY_HAVE_RUN)

    def mark_answered(self) -> None:
        """Records that an upstream returned a complete response."""
        self._advance(RunState.RAN)

    def mark_not_run(self) -> None:
        """Records that the upstream did not run the latest attempt.

        The state falls back to what it was before this attempt.
        """
        if self._state is RunState.RAN:
            raise AssertionError(
                "a request that has run cannot be marked as not run"
            )
        self._state = self._previous_state

    def _advance(self, state: RunState) -> None:
        if _STATE_ORDER.index(state) > _STATE_ORDER.index(self._state):
            self._state = state
