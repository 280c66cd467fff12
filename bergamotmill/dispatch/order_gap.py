"""Keeps a minimum time between the orders of two lease holders to an engine.

Each holder records what the next one has to know: when it takes over, before
its first order, and again before it gives the lease up. A record that a holder
did not replace before its lease ended shows that the lease ran out, so that its
last order is older than the time in which a holder sends none. A record also
passes on what its writer knows of earlier holders, as several may take turns
within the minimum time.
"""

from collections.abc import Callable, Mapping
import dataclasses
import json

import result

from bergamotmill.helpers import decisions
from bergamotmill.helpers import json_text
from bergamotmill.storage import key_value


@dataclasses.dataclass(frozen=True, slots=True)
class Handover:
    """What a lease holder records for its successor.

    Attributes:
        fencing: fencing token of the lease holder that wrote the record.
        ages_s: seconds since the last order of any holder to each engine, by
            engine name.
        others_s: engines that are not listed had their last order at least
            this long ago, in seconds.
        released: whether the writer sends no more orders.
    """

    fencing: int
    ages_s: Mapping[str, float]
    others_s: float = 0.0
    released: bool = True

    def encode(self) -> bytes:
        """Encodes the record as JSON."""
        return json.dumps(dataclasses.asdict(self)).encode()


def parse_handover(value: bytes) -> Handover | None:
    """Decodes a handover record; None if it is malformed."""
    try:
        fields = json_text.loads(value)
        ages = {
            str(name): json_text.finite(age_s)
            for name, age_s in fields["ages_s"].items()
        }
        return Handover(
            json_text.count(fields["fencing"]),
            ages,
            json_text.finite(fields.get("others_s", 0.0)),
            bool(fields.get("released", True)),
        )
    except (
        ValueError,
        KeyError,
        TypeError,
        AttributeError,
        OverflowError,
    ) as err:
        decisions.record("handover_unreadable", detail=repr(err))
        return None


@dataclasses.dataclass(frozen=True, slots=True)
class Predecessor:
    """What a new lease holder finds.

    Attributes:
        handover: the record; None if there is none.
        received_at: boot time at which the record existed.
        seen_fencing: highest fencing token of another holder that was seen.
    """

    handover: Handover | None
    received_at: float
    seen_fencing: int


class OrderGap:
    """Decides whether an order to an engine comes too soon after others'."""

    def __init__(
        self, gap_s: float, expiry_margin_s: float, now: Callable[[], float]
    ):
        """Makes a gap that lets no order pass before `take_over`.

        Args:
            gap_s: minimum time between orders of two holders to an engine.
            expiry_margin_s: time before a lease runs out in which its holder
                sends no orders.
            now: the clock that also runs during suspensions.
        """
        self._gap_s = gap_s
        self._expiry_margin_s = expiry_margin_s
        self._now = now
        self._fencing = 0
        # The turn that was ended last.
        self._pending_fencing = 0
        # Boot times of the last orders of other holders, by engine, and of the
        # last one that any other engine may have had.
        self._others: dict[str, float] = {}
        self._others_at = float("inf")
        # When this holder's last order to each engine ended, and the engines
        # with an order on its way.
        self._own: dict[str, float] = {}
        self._sending: set[str] = set()

    @property
    def fencing(self) -> int:
        """Fencing token of the lease that was taken over; 0 for none."""
        return self._fencing

    def take_over(
        self, fencing: int, acquired_at: float, predecessor: Predecessor
    ) -> None:
        """Starts the turn of this holder.

        Args:
            fencing: fencing token of its lease.
            acquired_at: boot time at which it was acquired.
            predecessor: what was found.
        """
        ran_out_at = acquired_at - self._expiry_margin_s
        handover = predecessor.handover
        self._fencing = fencing
        if handover is None:
            self._others, self._others_at = {}, ran_out_at
            return
        received_at = predecessor.received_at
        self._others = {
            name: received_at - age_s for name, age_s in handover.ages_s.items()
        }
        self._others_at = received_at - handover.others_s
        if handover.released and handover.fencing >= predecessor.seen_fencing:
            return
        # A holder whose lease ran out may have ordered any engine.
        self._others_at = max(self._others_at, ran_out_at)
        self._others = {
            name: max(at, ran_out_at) for name, at in self._others.items()
        }

    def drop(self) -> None:
        """Ends the turn of this holder, or puts it off until `resume`."""
        self._pending_fencing, self._fencing = self._fencing, 0

    def resume(self, fencing: int) -> None:
        """Goes on with a turn that was put off."""
        if fencing == self._pending_fencing:
            self._fencing = fencing

    def has_passed(self, engine: str) -> bool:
        """Whether the orders of other holders to an engine are old enough."""
        if not self._fencing:
            return False
        last_at = self._others.get(engine, self._others_at)
        return self._now() - last_at >= self._gap_s

    @property
    def is_settled(self) -> bool:
        """Whether the gap has passed for all engines."""
        latest_at = max(self._others.values(), default=self._others_at)
        latest_at = max(latest_at, self._others_at)
        return bool(self._fencing) and self._now() - latest_at >= self._gap_s

    def note_sending(self, engine: str) -> None:
        """Records that an order is being sent to an engine."""
        self._sending.add(engine)

    def note_sent(self, engine: str) -> None:
        """Records that an order has been answered or given up."""
        self._sending.discard(engine)
        now = self._now()
        self._own = {
            name: at for name, at in self._own.items() if now - at < self._gap_s
        }
        self._own[engine] = now

    def handover(self, released: bool) -> Handover:
        """Returns the record for the next holder.

        An order that is still on its way may arrive now.
        """
        now = self._now()
        last_at = dict(self._others)
        for engine, at in self._own.items():
            last_at[engine] = max(at, last_at.get(engine, at))
        last_at.update(dict.fromkeys(self._sending, now))
        ages_s = {
            engine: round(now - at, 3)
            for engine, at in last_at.items()
            if now - at < self._gap_s
        }
        # Engines that are left out had their last order at least a gap ago.
        others_s = min(now - self._others_at, self._gap_s)
        return Handover(self._fencing, ages_s, round(others_s, 3), released)


class HandoverRecord:
    """The handover record in the store.

    It is only replaced by a holder that has seen the one before, so that a late
    write of an earlier holder cannot hide the orders of a later one.
    """

    def __init__(
        self,
        store: key_value.KeyValueStore,
        key: str,
        now: Callable[[], float],
    ):
        """Makes a record that has not been read.

        Args:
            store: the platform's store.
            key: key of the record.
            now: the clock that also runs during suspensions.
        """
        self._store = store
        self._key = key
        self._now = now
        # Revision that the next write replaces.
        self._revision = 0
        # Revision and value that the watch of the store showed, and when.
        self._seen: tuple[bytes, float] | None = None

    def note_seen(self, value: bytes) -> None:
        """Records that a record was in the store by now."""
        if self._seen is None or self._seen[0] != value:
            self._seen = (value, self._now())

    async def read(
        self,
    ) -> result.Result[tuple[Handover | None, float], key_value.Unavailable]:
        """Returns the record and a boot time at which it existed.

        A record that cannot be read may be of any age, and hide any order.
        """
        reading = await self._store.get(self._key)
        if reading.is_err():
            return reading
        entry = reading.ok()
        self._revision = 0 if entry is None else entry.revision
        if entry is None:
            return result.Ok((None, self._now()))
        self.note_seen(entry.value)
        handover = parse_handover(entry.value)
        if handover is None:
            return result.Ok((Handover(0, {}), self._now()))
        return result.Ok((handover, self._seen[1]))

    async def write(self, handover: Handover) -> bool:
        """Replaces the record that was read or written last.

        Returns:
            Whether it certainly did.
        """
        written = await key_value.put_with_read_back(
            self._store, self._key, handover.encode(), self._revision
        )
        if written.is_ok():
            self._revision = written.ok()
        decisions.record(
            "handover",
            kept=written.is_ok(),
            released=handover.released,
            fencing=handover.fencing,
            engines=len(handover.ages_s),
        )
        return written.is_ok()
