"""TCP options that close connections to unresponsive peers."""

import socket
from typing import Any

# After KEEP_ALIVE_IDLE_S without data the kernel sends a probe every
# KEEP_ALIVE_INTERVAL_S and closes the connection after KEEP_ALIVE_PROBES
# unanswered probes.
KEEP_ALIVE_IDLE_S = 1
KEEP_ALIVE_INTERVAL_S = 1
KEEP_ALIVE_PROBES = 3
# Sent data that stays unacknowledged for this time closes the connection.
USER_TIMEOUT_MS = 4000


def enable_keep_alive(transport: Any) -> None:
    """Makes the kernel detect a peer that no longer responds.

    Transports without an IPv4 socket, such as the in-memory ones of tests,
    are left unchanged.
    """
    sock = transport.get_extra_info("socket")
    if sock is None or sock.family != socket.AF_INET:
        return
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
