"""Membership records of routers, their precedence, and the update queue."""

import dataclasses
import enum

import xxhash

from bergamotmill.proto import peer_pb2


class MemberState(enum.IntEnum):
    """State of a member; of two equally recent updates the higher one wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEAVING = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """One router as the other routers see it.

    Attributes:
        incarnation: number that increases with each start of the router; 0
            for a router that is known only from the platform's list.
        sequence: number that the member increases to refute a suspicion and
            to announce that it is leaving.
    """

    name: str
    incarnation: int
    state: MemberState
    sequence: int
    peer_address: str
    front_address: str
    data_centre: str

    @property
    def is_serving(self) -> bool:
        """Whether the router has been heard of and is not suspected."""
        return self.state is MemberState.ALIVE and self.incarnation > 0

    def digest(self) -> int:
        """Returns 64 bits that identify this incarnation of the router."""
        return xxhash.xxh3_64_intdigest(
            f"{self.name} {self.incarnation}".encode()
        )

    def precedence(self) -> tuple[int, int, int]:
        """Returns the sort key of updates about a member; the highest wins."""
        return (self.incarnation, self.sequence, int(self.state))

    def to_proto(self) -> peer_pb2.Member:
        """Returns the protobuf message."""
        return peer_pb2.Member(
            name=self.name,
            incarnation=self.incarnation,
            state=int(self.state),
            sequence=self.sequence,
            peer_address=self.peer_address,
            front_address=self.front_address,
            data_centre=self.data_centre,
        )


def from_proto(message: peer_pb2.Member) -> Member:
    """Creates a member from its protobuf message."""
    return Member(
        message.name,
        message.incarnation,
        MemberState(message.state),
        message.sequence,
        message.peer_address,
        message.front_address,
        message.data_centre,
    )


class UpdateQueue:
    """Members whose updates are still to be sent, with transmissions left.

    Updates with the most transmissions left are sent first.
    """

    def __init__(self):
        self._transmissions_left: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._transmissions_left)

    def add(self, name: str, transmissions: int) -> None:
        """Queues the update about a member for a number of transmissions."""
        self._transmissions_left[name] = transmissions

    def next_names(self, count: int) -> list[str]:
        """Returns up to `count` members to include in the next message."""
        names = sorted(
            self._transmissions_left,
            key=self._transmissions_left.__getitem__,
            reverse=True,
        )
        batch = names[:count]
        for name in batch:
            self._transmissions_left[name] -= 1
            if self._transmissions_left[name] <= 0:
                del self._transmissions_left[name]
        return batch
