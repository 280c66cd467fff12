"""How far a call has come over all its attempts."""

from bergamotmill.dispatch import messages
from bergamotmill.dispatch import standby
from bergamotmill.helpers import run_state


class Progress:
    """How far a call has come over all its attempts."""

    def __init__(self, call: messages.Call):
        self.call = call
        self.tracker = run_state.RunTracker()
        self.tried: set[str] = set()
        self.runs = 0
        self.arrivals = 0
        self.last_event_id = call.last_event_id
        self.last_reason = ""
        self.held = False
        self.first_byte_s = 0.0
        self.heard_at = 0.0
        self.standby: standby.Standby | None = None

    @property
    def standby_address(self) -> str:
        """Where a copy of the run's memory is kept; empty for nowhere."""
        if self.standby is None:
            return ""
        return self.standby.upstream.entry.address

    @property
    def tries_again(self) -> bool:
        """Whether a failure of this attempt leads to another one."""
        route = self.call.route
        return route.repeatable and self.runs + 1 < route.max_attempts

    @property
    def ran(self) -> bool:
        """Whether an upstream may have run the call."""
        return self.tracker.state is not run_state.RunState.NOT_SENT
