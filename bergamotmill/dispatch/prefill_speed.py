"""Learns how fast engines compute prompts, from the times to first bytes.

The cost model gives the work of a prompt for an engine of average speed. Each
first byte shows whether the engines of a service are slower or faster than
that. A low quantile is followed, because other work that delays a response is
no sign of a slow engine.
"""

import math

# Fraction of the responses that begin earlier than predicted.
QUANTILE = 0.3
# Relative change for one response.
STEP = 0.04
MIN_SCALE = 0.1
MAX_SCALE = 10.0
# Responses to smaller prompts show little of the speed.
MIN_WORK_S = 0.03


class PrefillSpeed:
    """The time that engines of a service take, relative to the cost model."""

    def __init__(self):
        self._scale = 1.0

    @property
    def scale(self) -> float:
        """Factor on the work of the cost model."""
        return self._scale

    def record(self, was_slower: bool) -> None:
        """Records whether a response began later than predicted."""
        step = STEP * (QUANTILE if was_slower else QUANTILE - 1.0)
        scale = self._scale * math.exp(step)
        self._scale = min(MAX_SCALE, max(MIN_SCALE, scale))


def shows_speed(is_idle: bool, work_s: float, is_copied: bool) -> bool:
    """Whether a response shows the speed of its engine.

    Args:
        is_idle: whether the engine had no other work.
        work_s: predicted work.
        is_copied: whether parts of the prompt were copied from elsewhere.
    """
    return is_idle and work_s >= MIN_WORK_S and not is_copied
