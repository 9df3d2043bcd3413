"""What the clients of each port of an instance can occupy."""

from collections.abc import Callable, Mapping
from typing import NamedTuple

from plantainyard.buffering import PortLimits, ServerLimits
from plantainyard.platform.settings import InstanceSettings

__all__ = ["PortLimits", "derive_port_limits"]

BYTES_PER_MB = 1_000_000

RECEIVE_BUFFER_BYTES = 32_768
"""Size of the kernel's receive buffer of a connection."""

CONNECTION_BYTES = 90_112
"""Memory of a connection at most: 64 KiB received by the kernel, twice the size of the
buffer, which count for the process, an allowance of 16 KiB, and 8 KiB for its
objects."""

MAX_CONNECTIONS = 2_000
"""Maximum number of open connections of a port, whatever the machine has."""

MIN_CONNECTIONS = 8
"""Number of connections of a port on the smallest machines."""

MONITORING_CONNECTIONS = 128
"""Maximum number of connections for the readiness check and for metrics."""

FILE_DESCRIPTORS = 200
"""Descriptors that the platform reserves for files; the others are for sockets."""

GET_BODY_BYTES = 8_192
"""Maximum size in bytes of a body at the ports that have only GET requests."""

LARGE_REQUESTS = 2
"""Maximum number of a port's requests larger than 16 KiB in progress: the I/O thread
waits for each thread that decodes such a body."""


class _Shares(NamedTuple):
    """Shares of one port.

    Attributes
    ----------
    buffers, connections : float
        Shares of the memory for bytes beyond the connections' allowances, and for the
        connections.
    sockets : float
        Share of the sockets.
    """

    buffers: float
    connections: float
    sockets: float


CALLER_SHARES = _Shares(1 / 8, 3 / 10, 3 / 10)
PEER_SHARES = _Shares(1 / 32, 1 / 8, 3 / 20)
MONITORING_SHARES = _Shares(1 / 64, 1 / 32, 1 / 40)
"""Clients occupy about two thirds of the memory and half of the sockets at most: the
state of the dispatcher and its calls to runners, peers and the store need the rest."""


def derive_port_limits(
    settings: InstanceSettings,
    report: Callable[[str], object],
    may_refuse: Callable[[str, Mapping[str, str]], bool] = lambda path, headers: True,
) -> tuple[PortLimits, PortLimits, PortLimits]:
    """Derive the limits from the machine's memory and descriptors.

    Parameters
    ----------
    settings : InstanceSettings
        Memory and descriptors of the machine.
    report : callable
        Receives the reason of each rejection and each closed connection.
    may_refuse : callable, optional
        Returns whether callers may be told that a request wasn't run; see
        `ServerLimits`.

    Returns
    -------
    tuple of PortLimits
        For callers, for peers, and for each of readiness and metrics.
    """
    memory = settings.memory_mb * BYTES_PER_MB
    sockets = max(0, settings.descriptors - FILE_DESCRIPTORS)

    def derive(shares: _Shares, connections: int) -> PortLimits:
        count = min(
            connections,
            int(shares.connections * memory / CONNECTION_BYTES),
            int(shares.sockets * sockets),
        )
        return PortLimits(
            max(MIN_CONNECTIONS, count),
            ServerLimits(
                buffered_bytes=int(shares.buffers * memory),
                receive_buffer_bytes=RECEIVE_BUFFER_BYTES,
                large_requests=LARGE_REQUESTS,
                report=report,
                may_refuse=may_refuse,
            ),
        )

    return (
        derive(CALLER_SHARES, MAX_CONNECTIONS),
        derive(PEER_SHARES, MAX_CONNECTIONS),
        derive(MONITORING_SHARES, MONITORING_CONNECTIONS),
    )
