"""How far a call has come over all its attempts."""

from bergamotmill.dispatch import messages
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

    @property
    def ran(self) -> bool:
        """Whether an upstream may have run the call."""
        return self.tracker.state is not run_state.RunState.NOT_SENT
