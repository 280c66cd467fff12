"""Ejection of failing replicas and their gradual return."""

from bergamotmill.routing import const


class ReplicaHealth:
    """The failures and ejections of one replica.

    After several consecutive failures the replica is ejected for a time that
    doubles with each further ejection. It then returns with a score penalty
    that decays to zero, so that only a few requests probe it at first.
    """

    __slots__ = (
        "_ejected_until",
        "_ejections",
        "_failures",
        "_recovery_started",
    )

    def __init__(self):
        self._failures = 0
        self._ejections = 0
        self._ejected_until = 0.0
        self._recovery_started = -const.RECOVERY_RAMP_S

    @property
    def ejected_until(self) -> float:
        """The time at which the replica may be used again."""
        return self._ejected_until

    @property
    def first_ejection(self) -> bool:
        """Whether the latest ejection is the first of a series."""
        return self._ejections == 1

    def is_available(self, now: float) -> bool:
        """Whether the replica may take new requests."""
        return now >= self._ejected_until

    def penalty_s(self, now: float) -> float:
        """Returns the seconds added to the latency of a returning replica."""
        since = now - self._recovery_started
        if since >= const.RECOVERY_RAMP_S:
            return 0.0
        remaining = 1.0 - max(0.0, since) / const.RECOVERY_RAMP_S
        return const.RECOVERY_PENALTY_S * remaining

    def record_success(self, now: float) -> None:
        """Records a successful request."""
        self._failures = 0
        if (
            self._ejections
            and now - self._recovery_started > const.RECOVERY_RAMP_S
        ):
            self._ejections = 0

    def record_failure(
        self, now: float, eject_immediately: bool = False
    ) -> bool:
        """Records a failure; returns whether it ejects the replica."""
        if now < self._ejected_until:
            return False
        self._failures += 1
        if (
            self._failures < const.EJECT_AFTER_FAILURES
            and not eject_immediately
        ):
            return False
        ejection_s = const.EJECTION_MIN_S * 2**self._ejections
        self._ejected_until = now + min(ejection_s, const.EJECTION_MAX_S)
        self._recovery_started = self._ejected_until
        self._ejections = min(self._ejections + 1, 10)
        # After its return, a failure before any success ejects it again.
        self._failures = const.EJECT_AFTER_FAILURES - 1
        return True

    def reset(self, now: float) -> None:
        """Ends an ejection and clears failures after the replica restarted."""
        self._failures = 0
        self._ejected_until = min(self._ejected_until, now)
        self._recovery_started = now
