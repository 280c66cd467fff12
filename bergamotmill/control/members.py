"""What routers know of one another, and which news goes before which."""

import dataclasses
import enum

from bergamotmill.proto import peer_pb2


class MemberState(enum.IntEnum):
    """A member's state; of news equally fresh the higher one wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEAVING = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """One router as others see it.

    Attributes:
        incarnation: grows with each start; 0 when it is only listed.
        sequence: grows each time the member speaks against a suspicion.
    """

    name: str
    incarnation: int
    state: MemberState
    sequence: int
    peer_address: str
    front_address: str
    data_centre: str

    def precedence(self) -> tuple[int, int, int]:
        """Returns what orders news about one member."""
        return (self.incarnation, self.sequence, int(self.state))

    def to_proto(self) -> peer_pb2.Member:
        """Returns the message."""
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
    """Reads the message."""
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
    """News that is still to be passed on, the least passed first."""

    def __init__(self):
        self._left: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._left)

    def add(self, name: str, times: int) -> None:
        """Has the news about a member passed on so many times."""
        self._left[name] = times

    def take(self, count: int) -> list[str]:
        """Returns names whose news goes with the next message."""
        names = sorted(self._left, key=self._left.__getitem__, reverse=True)
        taken = names[:count]
        for name in taken:
            self._left[name] -= 1
            if self._left[name] <= 0:
                del self._left[name]
        return taken
