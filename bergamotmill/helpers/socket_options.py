"""Socket options that end connections which have gone silent."""

import socket
from typing import Any

# Probes start after so long without data, and so often, until given up.
KEEP_ALIVE_IDLE_S = 1
KEEP_ALIVE_INTERVAL_S = 1
KEEP_ALIVE_PROBES = 3
# Data that is not acknowledged for so long ends the connection.
USER_TIMEOUT_MS = 4000


def enable_keep_alive(transport: Any) -> None:
    """Has the system notice a peer that no longer answers.

    Transports without a socket, as those of tests, are left alone.
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
