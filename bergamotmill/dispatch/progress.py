"""How far a call has come over all its attempts."""

from bergamotmill.dispatch import messages
from bergamotmill.dispatch import standby
from bergamotmill.helpers import run_state


class Progress:
    """How far a call has come over all its attempts."""

    def __init__(self, call: messages.Call):
        self.call = call
        self.run_tracker = run_state.RunTracker()
        self.tried_upstreams: set[str] = set()
        self.possible_runs = 0
        self.attempts_sent = 0
        self.last_event_id = call.last_event_id
        self.last_error = ""
        self.was_held = False
        self.first_byte_s = 0.0
        self.last_data_at = 0.0
        self.standby: standby.Standby | None = None

    @property
    def standby_address(self) -> str:
        """Where a copy of the run's memory is kept; empty for nowhere."""
        if self.standby is None:
            return ""
        return self.standby.upstream.entry.address

    @property
    def may_retry(self) -> bool:
        """Whether a failure of this attempt leads to another one."""
        route = self.call.route
        return route.repeatable and self.possible_runs + 1 < route.max_attempts

    @property
    def may_have_run(self) -> bool:
        """Whether an upstream may have run the call."""
        return self.run_tracker.state is not run_state.RunState.NOT_SENT
