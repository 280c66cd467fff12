"""Decides which requests go to an engine while there is too little capacity.

Load pattern: bursts, lost engines and empty caches, with requests of several
kinds. What is queued at an engine can no longer be reordered, so an engine gets
new prompts only while its queue is short, and the others wait at the placement
owner in one order for all routers. Requests that can still begin in time go
before those that are late, as these lose nothing more by waiting. Among them
the more urgent go first, and then those of the earlier deadline. A request that
could not begin before its caller gives up is refused at once.
"""

import dataclasses

# A first byte counts as in time when it is predicted within this fraction of
# the target.
ON_TIME_FRACTION = 0.9
# Queue of an engine up to which it gets more prompts. It has to cover the time
# until the owner hears that prompts are done, and a prompt of usual size.
MAX_QUEUE_S = 0.2
# The same for a request that is late already.
MAX_QUEUE_LATE_S = 0.04
# A prompt whose prefill takes more than this fraction of its target is late
# behind any queue; it goes where others go, so that large ones are not starved.
LARGE_PREFILL_FRACTION = 0.4
# A late request is sent behind queues as others are once this fraction of the
# time for which its caller waits has passed.
OVERDUE_FRACTION = 0.5
# Time that a request needs besides the prediction before its caller gives up.
GIVE_UP_MARGIN_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Prospect:
    """The prediction for a request at its best engine, in seconds.

    Attributes:
        wait_s: time until work on it begins there.
        prefill_s: time from then to its first byte.
        target_s: time left until it counts as late; may be negative.
        time_left_s: time left until its caller gives up on a first byte.
        time_limit_s: time from its arrival until then.
    """

    wait_s: float
    prefill_s: float
    target_s: float
    time_left_s: float
    time_limit_s: float

    @property
    def first_byte_s(self) -> float:
        """Time to the first byte."""
        return self.wait_s + self.prefill_s

    @property
    def is_on_time(self) -> bool:
        """Whether the first byte will be in time."""
        return self.first_byte_s <= ON_TIME_FRACTION * self.target_s

    @property
    def is_large(self) -> bool:
        """Whether its prefill takes up much of its target."""
        return self.prefill_s > LARGE_PREFILL_FRACTION * max(0.0, self.target_s)


def can_be_on_time(prefill_s: float, target_s: float) -> bool:
    """Whether a request can be in time if it is sent now.

    Those that cannot go after all others: they would make them late as well,
    and so on, and after a burst all requests would stay late.
    """
    return prefill_s <= ON_TIME_FRACTION * target_s


def max_queue_s(prospect: Prospect) -> float:
    """Returns the queue behind which a request may be sent."""
    waited_s = prospect.time_limit_s - prospect.time_left_s
    if (
        prospect.is_on_time
        or prospect.is_large
        or waited_s > OVERDUE_FRACTION * prospect.time_limit_s
    ):
        return MAX_QUEUE_S
    return MAX_QUEUE_LATE_S


def may_go(prospect: Prospect) -> bool:
    """Whether a request may be sent to its best engine now."""
    return (
        prospect.wait_s <= max_queue_s(prospect)
        and prospect.first_byte_s < prospect.time_left_s
    )


def is_hopeless(prospect: Prospect) -> bool:
    """Whether a caller will have given up before a response can begin."""
    return prospect.first_byte_s + GIVE_UP_MARGIN_S > prospect.time_left_s
