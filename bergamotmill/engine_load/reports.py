"""Reports of a router to placement owners: first bytes and ends of requests."""

import asyncio
from collections.abc import Callable
import dataclasses

from bergamotmill.proto import peer_pb2

# Time for which reports are collected for one message; the first byte and the
# end of a short response mostly fall into one.
REPORT_PERIOD_S = 0.015
# A report takes up to about 12 bytes.
MAX_REPORTS_PER_MESSAGE = 64
MS_PER_S = 1000.0

Send = Callable[[str, peer_pb2.NotifyRequest], None]


@dataclasses.dataclass(frozen=True, slots=True)
class Placed:
    """A request that a placement owner has placed.

    Attributes:
        owner: name of the owner.
        ask_id: its id among the asks of this router.
    """

    owner: str
    ask_id: int


class LoadReports:
    """Collects reports and sends them in batches."""

    def __init__(
        self,
        own_name: str,
        send: Send,
        listener: Callable[[peer_pb2.EngineReports], None],
    ):
        """Makes reports without any pending.

        Args:
            own_name: name of this router.
            send: sends a message to a router; it may be lost.
            listener: takes reports on requests that this router has placed.
        """
        self._own_name = own_name
        self._send = send
        self._listener = listener
        self._pending: dict[str, list[peer_pb2.EngineReport]] = {}
        self._timer: asyncio.TimerHandle | None = None

    def note_first_byte(self, placed: Placed, first_byte_s: float) -> None:
        """Reports that a response has begun."""
        self._add(
            placed,
            peer_pb2.EngineReport(
                id=placed.ask_id,
                first_byte_ms=max(1, round(first_byte_s * MS_PER_S)),
            ),
        )

    def note_end(self, placed: Placed) -> None:
        """Reports that a request has ended, or was not sent at all."""
        pending = self._pending.get(placed.owner, ())
        for report in pending:
            if report.id == placed.ask_id:
                report.ended = True
                return
        self._add(
            placed,
            peer_pb2.EngineReport(id=placed.ask_id, ended=True),
        )

    def _add(self, placed: Placed, report: peer_pb2.EngineReport) -> None:
        self._pending.setdefault(placed.owner, []).append(report)
        if self._timer is None:
            self._timer = asyncio.get_running_loop().call_later(
                REPORT_PERIOD_S, self._flush
            )

    def _flush(self) -> None:
        self._timer = None
        pending_by_owner, self._pending = self._pending, {}
        for owner, pending in pending_by_owner.items():
            for first in range(0, len(pending), MAX_REPORTS_PER_MESSAGE):
                self._deliver(
                    owner,
                    peer_pb2.EngineReports(
                        sender=self._own_name,
                        reports=pending[
                            first : first + MAX_REPORTS_PER_MESSAGE
                        ],
                    ),
                )

    def _deliver(self, owner: str, reports: peer_pb2.EngineReports) -> None:
        if owner == self._own_name:
            self._listener(reports)
        else:
            self._send(owner, peer_pb2.NotifyRequest(engine_reports=[reports]))

    def close(self) -> None:
        """Sends the reports that are left."""
        if self._timer is not None:
            self._timer.cancel()
            self._flush()
