"""How far a request has come, and which refusals that allows."""

import enum


class RunState(enum.Enum):
    """Whether an upstream may have run a request."""

    NOT_SENT = "not_run"
    MAY_HAVE_RUN = "unknown"
    RAN = "ran"


_ORDER = (RunState.NOT_SENT, RunState.MAY_HAVE_RUN, RunState.RAN)


class RunTracker:
    """The run state of one request over all its attempts."""

    __slots__ = ("_before", "_state")

    def __init__(self):
        self._state = RunState.NOT_SENT
        self._before = RunState.NOT_SENT

    @property
    def state(self) -> RunState:
        """The present state."""
        return self._state

    def mark_sending(self) -> None:
        """Notes that a byte of a new attempt is about to leave."""
        self._before = self._state
        self._advance(RunState.MAY_HAVE_RUN)

    def mark_answered(self) -> None:
        """Notes that an upstream gave a whole answer."""
        self._advance(RunState.RAN)

    def mark_not_run(self) -> None:
        """Notes that the upstream of the latest attempt ran nothing."""
        if self._state is RunState.RAN:
            raise AssertionError("a request that ran cannot become not run")
        self._state = self._before

    def _advance(self, state: RunState) -> None:
        if _ORDER.index(state) > _ORDER.index(self._state):
            self._state = state
