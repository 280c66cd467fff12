"""Options and state of the TCP sockets of connections.

Transports without an IP socket, such as the in-memory ones of tests, have no
state to read: only their write buffer counts.
"""

import fcntl
import socket
import struct
import sys
import termios
from typing import Any

# After KEEP_ALIVE_IDLE_S without data the kernel sends a probe every
# KEEP_ALIVE_INTERVAL_S and closes the connection after KEEP_ALIVE_PROBES
# unanswered probes.
KEEP_ALIVE_IDLE_S = 1
KEEP_ALIVE_INTERVAL_S = 1
KEEP_ALIVE_PROBES = 3
# Sent data that stays unacknowledged for this time closes the connection. So
# does a peer that reads nothing for this time, although it responds.
USER_TIMEOUT_MS = 4000
# Value of tcpi_state, the first byte of TCP_INFO, of a connection that was
# reset: TCP_CLOSE in the kernel's tcp_states.h. One that the peer has ended is
# in TCP_CLOSE_WAIT until this side ends it, too.
_TCP_STATE_CLOSED = 7
_INT = struct.Struct("i")
# SO_LINGER, enabled with a time of 0 s: the socket is closed with a reset.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def enable_keep_alive(
    transport: Any, user_timeout_ms: int = USER_TIMEOUT_MS
) -> None:
    """Makes the kernel detect a peer that no longer responds.

    Transports without an IPv4 socket, such as the in-memory ones of tests,
    are left unchanged.

    Args:
        transport: the transport of the connection.
        user_timeout_ms: time after which unacknowledged data closes it.
    """
    sock = transport.get_extra_info("socket")
    if sock is None or sock.family != socket.AF_INET:
        return
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, user_timeout_ms)


def count_untaken_bytes(transport: Any) -> int:
    """Returns the number of written bytes that the peer has not received.

    On Linux, bytes that the peer has not acknowledged count as well.
    """
    return transport.get_write_buffer_size() + unacknowledged_bytes(transport)


def unacknowledged_bytes(transport: Any) -> int:
    """Returns how much data of a connection the kernel holds for its peer.

    Only known on Linux; 0 for transports without a TCP socket.
    """
    sock = _find_tcp_socket(transport)
    if sock is None or sys.platform != "linux":
        return 0
    try:
        answer = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(_INT.size))
    except OSError:
        # The socket has been closed in between.
        return 0
    return _INT.unpack(answer)[0]


def is_reset(transport: Any) -> bool:
    """Whether an open connection was reset; only known on Linux.

    A reset that follows the end of the peer's data cannot be read: the socket
    reports the end of data both before and after it.
    """
    sock = _find_tcp_socket(transport)
    if sock is None or sys.platform != "linux":
        return False
    state = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]
    return state == _TCP_STATE_CLOSED


def reset(transport: Any) -> None:
    """Aborts a connection so that its peer gets a reset.

    After `abort` alone the kernel sends a clean end unless received data is
    unread.
    """
    sock = _find_tcp_socket(transport)
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    transport.abort()


def _find_tcp_socket(transport: Any) -> Any:
    """Returns the open TCP socket of a transport; None if it has none.

    The sockets of a closing transport may be closed, their numbers reused.
    """
    if transport.is_closing():
        return None
    sock = transport.get_extra_info("socket")
    if sock is None or sock.family not in (socket.AF_INET, socket.AF_INET6):
        return None
    return sock
