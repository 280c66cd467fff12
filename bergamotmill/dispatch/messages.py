"""A request on its way, and how an attempt at it may be sent."""

import dataclasses
import enum

from bergamotmill.dispatch import config

Headers = tuple[tuple[bytes, bytes], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt that several requests may share."""

    name: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Generation:
    """What a request asks of a model.

    Attributes:
        parts: the prompt in order; the last one belongs to the request or
            its session.
    """

    model: str
    prompt_tokens: int
    output_tokens: int
    parts: tuple[PromptPart, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """One checked request, free of any dialect.

    Attributes:
        headers: what goes to the upstream as the caller sent it.
        received_at: when the whole request had been read, monotonic.
        deadline: when the caller or the route gives up, monotonic.
        last_event_id: the event after which a stream is to go on.
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

    @property
    def customer_name(self) -> str:
        """The customer's name; empty on anonymous routes."""
        return "" if self.customer is None else self.customer.name

    @property
    def priority(self) -> int:
        """The rank; 0 is the most urgent."""
        if self.customer is not None and self.customer.priority is not None:
            return self.customer.priority
        return self.route.priority


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """How a call goes to one upstream.

    Attributes:
        time_left_s: what the upstream may spend.
        weights_version: the version of the weights it must run on; 0 for any.
        cache_scope: KV cache is shared only within one such text.
        urgency: 0 to 9 among the engine's requests, 0 first.
        kv_source_address: an address to fetch cached parts from.
        resume_after_event_id: the last event that the caller has.
        new_connection: whether it needs a connection of its own.
        standby_address: the address of an engine that is to keep a copy of the
            run's memory.
        continuation_address: the address of the copy from which the run
            goes on.
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
    """Why an upstream says that it did not run a request."""

    BUSY = "busy"
    MISDIRECTED = "misdirected"
    TIMED_OUT = "timed_out"
    UNREADABLE = "unreadable"


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status and headers of an answer, as the caller is to get them.

    Attributes:
        forwardable: whether it is an answer of the upstream's own making that
            may be passed on as it is.
        not_run: set when the upstream says that it ran nothing.
        weights_version: the version of the weights in use; 0 when not told.
    """

    status: int
    headers: Headers
    forwardable: bool
    not_run: NotRun | None = None
    weights_version: int = 0

    @property
    def ok(self) -> bool:
        """Whether it is a success."""
        return 200 <= self.status < 300


@dataclasses.dataclass(frozen=True, slots=True)
class Rejection:
    """A final answer of our own.

    Attributes:
        reason: a short word for logs and counters.
        may_have_run: whether an upstream may have run the request.
    """

    status: int
    reason: str
    may_have_run: bool = False
    retry_after_s: float = 0.0
