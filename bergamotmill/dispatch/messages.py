"""Protocol-independent requests, attempts and responses."""

import dataclasses
import enum

from bergamotmill.dispatch import config

Headers = tuple[tuple[bytes, bytes], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt that several requests may have in common."""

    name: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Generation:
    """Model, prompt and output size of a generation request.

    Attributes:
        parts: prompt parts in order; the last one is specific to the request
            or its session.
    """

    model: str
    prompt_tokens: int
    output_tokens: int
    parts: tuple[PromptPart, ...]

    @property
    def shared_parts(self) -> frozenset[str]:
        """Names of the parts that other requests may have, too."""
        return frozenset(part.name for part in self.parts[:-1])


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """One validated request, independent of the wire protocol.

    Attributes:
        headers: headers that are forwarded to the upstream unchanged.
        received_at: monotonic time when the request had been read completely.
        deadline: monotonic time when the caller's time limit or the route's
            timeout ends, whichever is earlier.
        last_event_id: id of the event after which a stream resumes.
        token_count: prompt tokens and maximum output tokens together; None if
            the caller does not tell.
    """

    request_id: str
    route: config.Route
    customer: config.Customer | None
    method: str
    target: str
    headers: Headers
    body: bytes
    received_at: float
    deadline: float
    generation: Generation | None = None
    last_event_id: str = ""
    token_count: int | None = None

    @property
    def first_byte_deadline(self) -> float:
        """When the caller disconnects if no byte has arrived, monotonic."""
        return min(self.deadline, self.received_at + self.route.patience_s)

    @property
    def customer_name(self) -> str:
        """The customer's name; empty on anonymous routes."""
        return "" if self.customer is None else self.customer.name

    @property
    def priority(self) -> int:
        """Priority of the customer, else of the route; 0 is the most urgent."""
        if self.customer is not None and self.customer.priority is not None:
            return self.customer.priority
        return self.route.priority


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """Parameters for sending a call to one upstream.

    Attributes:
        time_left_s: seconds that the upstream may spend.
        weights_version: required version of the weights; 0 for any.
        cache_scope: key of the cache scope; KV cache is shared only between
            requests of the same scope.
        urgency: rank among the engine's requests, 0 (first) to 9; -1 when
            the upstream is not an engine.
        kv_source_address: address from which to fetch cached KV.
        resume_after_event_id: id of the last event that the caller has.
        new_connection: whether to open a new connection instead of reusing one.
        standby_address: address of the engine that keeps a copy of the run's
            KV memory.
        continuation_address: address of the engine whose copy the run
            continues from.
    """

    address: str
    upstream: str
    time_left_s: float
    weights_version: int = 0
    cache_scope: str = ""
    urgency: int = -1
    kv_source_address: str = ""
    resume_after_event_id: str = ""
    new_connection: bool = False
    standby_address: str = ""
    continuation_address: str = ""


class NotRun(enum.Enum):
    """Reason that an upstream gives for not running a request."""

    BUSY = "busy"
    MISDIRECTED = "misdirected"
    TIMED_OUT = "timed_out"
    UNREADABLE = "unreadable"


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamSignals:
    """What an upstream says of itself in a response.

    Attributes:
        leaving: whether it is about to shut down.
        pause_s: time for which it wants nothing from this router, in seconds;
            0 for none.
        limit_per_s: requests per second that it takes from all routers
            together; `stated_limit.UNLIMITED` if it names no limit, None if
            the response says nothing of that.
    """

    leaving: bool = False
    pause_s: float = 0.0
    limit_per_s: float | None = None


NO_SIGNALS = UpstreamSignals()


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status and headers of a response, as forwarded to the caller.

    Attributes:
        forwardable: whether the upstream itself produced the response, so
            that it may be forwarded unchanged.
        not_run: reason given when the upstream did not run the request.
        is_identified: whether the response is certainly that of this request.
            Others are not believed that the request has not run.
        weights_version: version of the weights in use; 0 when not reported.
        signals: what the upstream says of itself.
        ends_with_connection: whether the response has neither a length nor
            chunks, so that only the end of its connection ends it.
        body_bytes: length of the body as the head says; 0 if it does not.
    """

    status: int
    headers: Headers
    forwardable: bool
    not_run: NotRun | None = None
    weights_version: int = 0
    signals: UpstreamSignals = NO_SIGNALS
    ends_with_connection: bool = False
    is_identified: bool = True
    body_bytes: int = 0

    @property
    def ok(self) -> bool:
        """Whether the status is a success."""
        return 200 <= self.status < 300


@dataclasses.dataclass(frozen=True, slots=True)
class Rejection:
    """A final response that the router itself produces.

    Attributes:
        reason: identifier for logs and counters.
        may_have_run: whether an upstream may have run the request.
    """

    status: int
    reason: str
    may_have_run: bool = False
    retry_after_s: float = 0.0
