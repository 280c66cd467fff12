"""Counts what connections buffer, and disconnects peers that do not read.

One check for all connections runs in each period. A connection whose peer stops
reading is counted at once.
"""

import asyncio
from collections.abc import Callable
from typing import Protocol

from bergamotmill.helpers import decisions
from bergamotmill.helpers import http_errors
from bergamotmill.helpers import memory_budget
from bergamotmill.helpers import metrics as stats
from bergamotmill.helpers import slow_readers

CHECK_PERIOD_S = 0.5
# Memory for a body that grows is taken in steps of this size.
BODY_STEP_BYTES = 16 * 1024


class Connection(Protocol):
    """A connection that buffers bytes for its peer."""

    @property
    def held_bytes(self) -> int:
        """Bytes that it buffers and that nothing else counts."""

    @property
    def unsent_bytes(self) -> int:
        """Bytes in its write buffer."""

    @property
    def taken_bytes(self) -> int:
        """Bytes that its peer has acknowledged since it was opened."""

    @property
    def unread_timeout_s(self) -> float:
        """Time after which a peer that takes nothing is disconnected."""

    @property
    def peer_address(self) -> str:
        """Address of the peer; empty if unknown."""

    @property
    def request_id(self) -> str:
        """Id of the request that it carries; empty if unknown."""

    def disconnect_unread(self) -> None:
        """Aborts the connection, as its peer does not read."""


class ConnectionMemory:
    """All connections of one process that buffer bytes for their peers."""

    def __init__(
        self,
        memory: memory_budget.MemoryBudget,
        metrics: stats.Metrics,
        now: Callable[[], float],
    ):
        """Makes the record of no connections.

        Args:
            memory: the budget in which they count.
            metrics: counts the peers that are disconnected.
            now: the monotonic clock.
        """
        self._memory = memory
        self._metrics = metrics
        self._now = now
        self._held: dict[Connection, int] = {}
        self._total = 0
        self._readers = slow_readers.SlowReaders()
        self._relief_due = False

    @property
    def unread_count(self) -> int:
        """Number of peers that had not taken everything at the last check."""
        return len(self._readers)

    def add(self, connection: Connection) -> None:
        """Begins to count a connection."""
        self._held[connection] = 0

    def remove(self, connection: Connection) -> None:
        """Ends to count a connection."""
        held = self._held.pop(connection, 0)
        if held:
            self._set_total(self._total - held)

    def measure(self, connection: Connection) -> None:
        """Counts a connection whose peer has just stopped or resumed reading.

        If this exceeds the budget, slow peers are disconnected soon.
        """
        before = self._held.get(connection)
        if before is None:
            return
        held = self._held[connection] = connection.held_bytes
        self._set_total(self._total + held - before)
        memory = self._memory
        if held > before and memory.used_bytes > memory.limit_bytes:
            self._relieve_soon()

    def take_for_body(self, size: int, taken: int, is_essential: bool) -> int:
        """Takes memory for a body that is read as a whole.

        Args:
            size: size of what has been received, in bytes.
            taken: memory that it has taken before, in bytes.
            is_essential: whether it does not wait for other bodies.

        Returns:
            The memory taken now, in bytes.

        Raises:
            http_errors.NoMemoryError: there is none.
        """
        needed = memory_budget.COPIES * size - taken
        if needed <= 0:
            return 0
        cost = max(needed, BODY_STEP_BYTES)
        small = taken + cost <= memory_budget.SMALL_COST_BYTES
        if is_essential:
            has_room = self._memory.take_for_essential(cost, small)
        else:
            has_room = self._memory.take_for_response(cost, small)
        if not has_room:
            raise http_errors.NoMemoryError(f"no memory for {cost} bytes")
        return cost

    def give_back(self, taken: int, is_essential: bool) -> None:
        """Returns the memory of a body."""
        if is_essential:
            self._memory.give_back_essential(taken)
        else:
            self._memory.give_back_response(taken)

    def _relieve_soon(self) -> None:
        # Not at once: this runs within the write of a connection.
        if not self._relief_due:
            self._relief_due = True
            asyncio.get_running_loop().call_soon(self._relieve_now)

    def _relieve_now(self) -> None:
        """Makes room above the budget, however short a peer has not read."""
        self._relief_due = False
        self._review()
        shortage = self._memory.used_bytes - self._memory.limit_bytes
        self._disconnect(
            self._readers.relieve(shortage, self._now(), min_watch_s=0.0)
        )

    async def run(self) -> None:
        """Checks all connections in each period."""
        while True:
            await asyncio.sleep(CHECK_PERIOD_S)
            self.check()

    def check(self) -> None:
        """Counts all connections and disconnects peers that do not read."""
        self._review()
        self.make_room(0)

    def make_room(self, cost: int) -> None:
        """Disconnects the slowest peers if memory is short.

        Args:
            cost: memory that is needed besides what is in use.
        """
        memory = self._memory
        shortage = slow_readers.shortage_bytes(
            memory.limit_bytes,
            memory.used_bytes + cost,
            memory.connections_bytes,
        )
        if shortage:
            self._disconnect(self._readers.relieve(shortage, self._now()))

    def _review(self) -> None:
        total = 0
        observations = []
        for connection in self._held:
            held = self._held[connection] = connection.held_bytes
            total += held
            if connection.unsent_bytes:
                observations.append(
                    slow_readers.Observation(
                        connection,
                        held,
                        connection.taken_bytes,
                        connection.unread_timeout_s,
                    )
                )
        self._set_total(total)
        self._disconnect(self._readers.review(observations, self._now()))

    def _set_total(self, total: int) -> None:
        self._total = total
        self._memory.set_connections_bytes(total)

    def _disconnect(self, verdicts: list[slow_readers.Verdict]) -> None:
        for verdict in verdicts:
            connection = verdict.key
            if connection not in self._held:
                # It was closed since the last check.
                continue
            self._metrics.count(f"slow_peers.{verdict.reason.value}")
            decisions.record(
                "peer_disconnected",
                peer=connection.peer_address,
                request=connection.request_id,
                reason=verdict.reason.value,
                held_bytes=verdict.held_bytes,
                unread_s=round(verdict.unread_s, 2),
                bytes_per_s=round(verdict.bytes_per_s),
                memory_bytes=self._memory.used_bytes,
            )
            connection.disconnect_unread()
            self.remove(connection)
