"""Ejection of failing replicas, probes and a slow return."""

from bergamotmill.routing import const


class ReplicaHealth:
    """Counts failures of one replica.

    After a few failures in a row the replica is left out for a time that
    doubles with each further ejection. It then comes back with a penalty
    that fades, so that it is probed by few requests first.
    """

    __slots__ = ("_ejections", "_failures", "_out_until", "_returned")

    def __init__(self):
        self._failures = 0
        self._ejections = 0
        self._out_until = 0.0
        self._returned = -const.RETURN_RAMP_S

    @property
    def ejected_until(self) -> float:
        """When the replica may be tried again."""
        return self._out_until

    @property
    def first_ejection(self) -> bool:
        """Whether the latest ejection is the first in a row."""
        return self._ejections == 1

    def is_available(self, now: float) -> bool:
        """Whether new work may go there."""
        return now >= self._out_until

    def penalty_s(self, now: float) -> float:
        """Returns seconds added to the score while it comes back."""
        since = now - self._returned
        if since >= const.RETURN_RAMP_S:
            return 0.0
        fading = 1.0 - max(0.0, since) / const.RETURN_RAMP_S
        return const.RETURN_PENALTY_S * fading

    def record_success(self, now: float) -> None:
        """Takes note of an answer."""
        self._failures = 0
        if self._ejections and now - self._returned > const.RETURN_RAMP_S:
            self._ejections = 0

    def record_failure(
        self, now: float, eject_immediately: bool = False
    ) -> bool:
        """Takes note of a failure; True when it ejects the replica."""
        if now < self._out_until:
            return False
        self._failures += 1
        if (
            self._failures < const.EJECT_AFTER_FAILURES
            and not eject_immediately
        ):
            return False
        pause = const.EJECT_FIRST_S * 2**self._ejections
        self._out_until = now + min(pause, const.EJECT_LAST_S)
        self._returned = self._out_until
        self._ejections = min(self._ejections + 1, 10)
        self._failures = const.EJECT_AFTER_FAILURES - 1
        return True

    def reset(self, now: float) -> None:
        """Takes note of a new incarnation, which starts with a clean slate."""
        self._failures = 0
        self._out_until = min(self._out_until, now)
        self._returned = now
