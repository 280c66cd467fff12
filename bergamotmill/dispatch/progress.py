"""State of a call across all its attempts."""

import asyncio
from collections.abc import Collection

from bergamotmill.dispatch import messages
from bergamotmill.dispatch import standby
from bergamotmill.engine_load import reports as load_reports
from bergamotmill.helpers import run_state
from bergamotmill.routing import prompt_quarantine
from bergamotmill.routing import request_fingerprint


class Progress:
    """State of a call across all its attempts.

    Attributes:
        call: the request.
        run_tracker: whether an upstream may have run the request.
        tried_upstreams: names of the upstreams attempted so far.
        limited_upstreams: for each upstream whose limit allows the request too
            late, when it would have allowed it, monotonic.
        claims_refused: number of claims of allowance that were refused.
        possible_runs: number of failed attempts that an upstream may have
            run.
        attempts_sent: number of failed attempts of which a byte may have
            reached an upstream.
        last_event_id: id of the last event that the caller has.
        last_error: description of the last failed attempt.
        was_held: whether the request waited here for an engine.
        first_byte_s: seconds from the request to the first byte of its
            stream.
        last_data_at: monotonic time when the upstream last sent data.
        answer_began_at: monotonic time of the first event that the present
            upstream sent; None before it, and for plain responses.
        events_received: number of events that the present upstream sent.
        was_paused: whether the stream waited for its caller to read.
        standby: engine that keeps a copy of the run's KV memory.
        fingerprint: name that all requests with the same route, path, customer
            and body share.
        prompt: what of the request may crash upstreams.
        withdrawn: set to give up the present attempt; None if it cannot be.
        placed: the present attempt at the placement owner that measures its
            engine's load; None for none.
        trial_of: key of the quarantine entry in spite of which the present
            attempt is made; empty for none.
    """

    def __init__(self, call: messages.Call):
        self.call = call
        self.run_tracker = run_state.RunTracker()
        self.tried_upstreams: set[str] = set()
        self.limited_upstreams: dict[str, float] = {}
        self.claims_refused = 0
        self.possible_runs = 0
        self.attempts_sent = 0
        self.last_event_id = call.last_event_id
        self.last_error = ""
        self.was_held = False
        self.first_byte_s = 0.0
        self.last_data_at = 0.0
        self.answer_began_at: float | None = None
        self.events_received = 0
        self.was_paused = False
        self.standby: standby.Standby | None = None
        identity = (
            call.route.name,
            call.method,
            call.target,
            call.customer_name,
        )
        self.fingerprint = request_fingerprint.fingerprint(identity, call.body)
        self.prompt = _prompt_of(call, identity, self.fingerprint)
        self.withdrawn: asyncio.Future[None] | None = None
        self.placed: load_reports.Placed | None = None
        self.trial_of = ""

    @property
    def unusable_upstreams(self) -> Collection[str]:
        """Names of the upstreams that the call cannot be sent to any more."""
        return self.tried_upstreams | self.limited_upstreams.keys()

    @property
    def standby_address(self) -> str:
        """Address of the standby engine; empty when there is none."""
        if self.standby is None:
            return ""
        return self.standby.upstream.entry.address

    @property
    def may_retry(self) -> bool:
        """Whether another attempt may follow if the current one fails."""
        route = self.call.route
        return route.repeatable and self.possible_runs + 1 < route.max_attempts

    @property
    def may_have_run(self) -> bool:
        """Whether an upstream may have run the request."""
        return self.run_tracker.state is not run_state.RunState.NOT_SENT


def _prompt_of(
    call: messages.Call, identity: tuple[str, ...], fingerprint: str
) -> prompt_quarantine.Prompt:
    """Returns what of a call may crash upstreams.

    A generation has two fingerprints: with its prompt, which may be all that
    tells it from others, and without, as a caller may vary the prompt's parts.
    """
    generation = call.generation
    if generation is None:
        return prompt_quarantine.make_prompt(
            "", (), call.customer_name, (fingerprint,)
        )
    parts = [f"{part.name}:{part.tokens}" for part in generation.parts]
    with_prompt = request_fingerprint.fingerprint(
        (*identity, generation.model, *parts), call.body
    )
    return prompt_quarantine.make_prompt(
        generation.model,
        generation.shared_parts,
        call.customer_name,
        (fingerprint, with_prompt),
    )
