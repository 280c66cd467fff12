"""Learns how fast engines compute prompts; performs no I/O.

The time from sending a request to an idle engine until its first byte is a
latency, which does not occupy the engine, plus work, which does. The work grows
with the tokens to compute and with the pairs of tokens that attend to each
other. Latency and the two rates are learned for a service, and a factor for
each engine, since engines of one service differ in speed and may slow down.
"""

import dataclasses
import math

# Rates from which learning starts, per feature: latency in seconds, seconds for
# 1,000 tokens, seconds for 10 million attention pairs.
_INITIAL = (0.01, 1000.0 / 55_000.0, 10_000_000 * 3.24e-10)
# Their standard deviations: engines of other models may be several times as
# fast or as slow.
_INITIAL_DEVIATION = (0.04, 0.015, 0.003)
_MIN_VALUES = (0.0, 0.0005, 0.0)
# Standard deviation of a first byte: a fixed part, for the network and the
# engine's steps, and a fraction of the prediction.
NOISE_S = 0.004
NOISE_FRACTION = 0.25
# Weight of the samples so far, for each new one.
FORGETTING_FACTOR = 0.998
# A sample counts at most this many standard deviations: a prompt whose cached
# part was evicted, or an unknown request before it, is no sign of speed.
MAX_DEVIATIONS = 2.0
# Time constants with which the samples of an engine's factor are forgotten, and
# the work that weighs as much as what is known from before.
FACTOR_MEMORY_S = 1.0
LONG_FACTOR_MEMORY_S = 20.0
FACTOR_PRIOR_S = 0.04
MIN_FACTOR = 0.2
MAX_FACTOR = 8.0
# A sample with less work than this shows little of an engine's speed.
MIN_SAMPLE_WORK_S = 0.004


@dataclasses.dataclass(frozen=True, slots=True)
class Work:
    """What an engine computes before the first token of a response.

    Attributes:
        tokens: prompt tokens that are not cached.
        pairs: pairs of a computed token and a token that it attends to.
    """

    tokens: int
    pairs: float


def prompt_work(total_tokens: int, cached_tokens: int) -> Work:
    """Returns the work of a prompt of which some tokens are cached."""
    missing_tokens = max(0, total_tokens - cached_tokens)
    return Work(
        missing_tokens, missing_tokens * (total_tokens + cached_tokens) / 2
    )


def _features(work: Work) -> tuple[float, float, float]:
    return (1.0, work.tokens / 1000.0, work.pairs / 10_000_000)


class ServiceSpeed:
    """Latency and speed of a service's engines, by recursive least squares."""

    def __init__(self):
        self._values = list(_INITIAL)
        self._variances = [
            [
                _INITIAL_DEVIATION[row] ** 2 if row == column else 0.0
                for column in range(3)
            ]
            for row in range(3)
        ]

    @property
    def latency_s(self) -> float:
        """Time to the first byte that does not occupy the engine."""
        return self._values[0]

    @property
    def tokens_per_s(self) -> float:
        """Prompt tokens computed in a second, without attention."""
        return 1000.0 / self._values[1]

    def work_s(self, work: Work) -> float:
        """Returns how long an engine of factor 1 computes."""
        _, tokens, pairs = _features(work)
        return self._values[1] * tokens + self._values[2] * pairs

    def record(self, work: Work, first_byte_s: float) -> None:
        """Records the time to the first byte at an engine that was idle."""
        features = _features(work)
        predicted_s = self.latency_s + self.work_s(work)
        noise = (NOISE_S + NOISE_FRACTION * predicted_s) ** 2
        spread = [
            sum(row[i] * features[i] for i in range(3))
            for row in self._variances
        ]
        variance = noise + sum(spread[i] * features[i] for i in range(3))
        limit_s = MAX_DEVIATIONS * math.sqrt(variance)
        error_s = max(-limit_s, min(limit_s, first_byte_s - predicted_s))
        gains = [value / variance for value in spread]
        for i in range(3):
            self._values[i] = max(
                _MIN_VALUES[i], self._values[i] + gains[i] * error_s
            )
            for j in range(3):
                self._variances[i][j] -= gains[i] * spread[j]
        self._forget()

    def _forget(self) -> None:
        """Raises the uncertainty, at most to that of the start."""
        scales = [
            min(
                FORGETTING_FACTOR**-0.5,
                _INITIAL_DEVIATION[i] / math.sqrt(self._variances[i][i]),
            )
            for i in range(3)
        ]
        for i in range(3):
            for j in range(3):
                self._variances[i][j] *= scales[i] * scales[j]


class _DecayingRatio:
    """Sum of measured times over sum of predicted times, fading with time."""

    def __init__(self, memory_s: float, now: float):
        self._memory_s = memory_s
        self._measured_s = 0.0
        self._predicted_s = 0.0
        self._at = now

    def _weight(self, now: float) -> float:
        return math.exp(-max(0.0, now - self._at) / self._memory_s)

    def value(self, prior: float, now: float) -> float:
        """Returns the ratio; the prior counts like FACTOR_PRIOR_S of work."""
        weight = self._weight(now)
        return (weight * self._measured_s + FACTOR_PRIOR_S * prior) / (
            weight * self._predicted_s + FACTOR_PRIOR_S
        )

    def record(self, measured_s: float, predicted_s: float, now: float) -> None:
        """Adds a sample."""
        weight = self._weight(now)
        self._measured_s = weight * self._measured_s + measured_s
        self._predicted_s = weight * self._predicted_s + predicted_s
        self._at = now


class EngineFactor:
    """How much longer an engine computes than the mean of its service.

    What was measured in the last second counts most; without recent samples the
    factor returns to the mean of some tens of seconds.
    """

    def __init__(self, now: float):
        self._recent = _DecayingRatio(FACTOR_MEMORY_S, now)
        self._lasting = _DecayingRatio(LONG_FACTOR_MEMORY_S, now)

    def value(self, now: float) -> float:
        """Returns the factor on the work of a service's mean engine."""
        factor = self._recent.value(self._lasting.value(1.0, now), now)
        return min(MAX_FACTOR, max(MIN_FACTOR, factor))

    def record(self, measured_s: float, predicted_s: float, now: float) -> None:
        """Records how long a prompt took, and what the mean engine takes."""
        if predicted_s < MIN_SAMPLE_WORK_S:
            return
        limited_s = min(
            MAX_FACTOR * predicted_s, max(MIN_FACTOR * predicted_s, measured_s)
        )
        self._recent.record(limited_s, predicted_s, now)
        self._lasting.record(limited_s, predicted_s, now)
