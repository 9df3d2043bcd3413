"""What the clients of each port of the daemon can occupy."""

from plantainyard.buffering import PortLimits, ServerLimits
from plantainyard.settings.model import Limits

__all__ = [
    "THREAD_BYTES",
    "derive_port_limits",
    "divide_body_memory",
    "find_required_memory",
]

BYTES_IN_MB = 1_000_000

OBJECT_BYTES = 8_192
"""Memory of a connection's objects: 3 to 4 KB in the process, as much in the kernel."""

KERNEL_FACTOR = 2
"""The kernel receives up to twice the size that is set for a buffer."""

MIN_RECEIVE_BYTES, MAX_RECEIVE_BYTES = 8_192, 65_536
"""Sizes of the receive buffer of a connection."""

MIN_ALLOWANCE_BYTES, MAX_ALLOWANCE_BYTES = 8_192, 16_384
"""Allowances of a connection. Ordinary requests have 1,000 to 6,000 bytes."""

MIN_CONNECTION_BYTES = (
    OBJECT_BYTES + MIN_ALLOWANCE_BYTES + KERNEL_FACTOR * MIN_RECEIVE_BYTES
)

CONNECTION_SHARE = 7 / 8
"""Share of the connections in the memory that a port has beyond one body of the
greatest size for each thread. The rest serves large requests that arrive meanwhile."""

THREAD_BYTES = 40_960
"""Memory for connections that a port must have for each thread: `MIN_CONNECTION_BYTES`
are `CONNECTION_SHARE` of less."""

MIN_CONNECTIONS = 8
"""Minimum number of connections of a port, however few threads it has."""


def divide_body_memory(limits: Limits) -> tuple[int, int]:
    """Divide the memory for bodies between the ports, in proportion to their threads.

    Parameters
    ----------
    limits : Limits
        Limits of the instance.

    Returns
    -------
    tuple of int
        Bytes for the callers' port and for the control port. Each suffices for
        a body of the greatest size and a connection in each thread, as
        `find_required_memory` demands.
    """
    total = limits.memory_mb * BYTES_IN_MB
    threads = limits.caller_threads + limits.control_threads
    caller_bytes = total * limits.caller_threads // threads
    return caller_bytes, total - caller_bytes


def find_required_memory(limits: Limits) -> int:
    """Return the smallest valid `Limits.memory_mb` for the other limits."""
    ports = (limits.caller_threads, limits.control_threads)

    def count_bytes(threads: int) -> int:
        connections = max(threads, MIN_CONNECTIONS)
        required = threads * limits.body_bytes + connections * THREAD_BYTES
        # All of the memory, of which this port has a part.
        return -(-required * sum(ports) // threads)

    return -(-max(map(count_bytes, ports)) // BYTES_IN_MB)


def derive_port_limits(limits: Limits) -> tuple[PortLimits, PortLimits]:
    """Derive the limits of the ports from their parts of the memory.

    Parameters
    ----------
    limits : Limits
        Limits of the instance.

    Returns
    -------
    tuple of PortLimits
        For callers, and for operators and other instances.

    Notes
    -----
    Guards against a process that ends because connections are counted without what each
    occupies. With less memory, first the receive buffers shrink, then the allowances,
    then there are fewer connections. What the connections don't need is for large
    requests and responses.
    """
    caller_bytes, control_bytes = divide_body_memory(limits)
    return (
        _derive(limits, limits.caller_threads, caller_bytes),
        _derive(limits, limits.control_threads, control_bytes),
    )


def _derive(limits: Limits, threads: int, part: int) -> PortLimits:
    for_connections = int(CONNECTION_SHARE * (part - threads * limits.body_bytes))
    connections = min(limits.connections, for_connections // MIN_CONNECTION_BYTES)
    spare = for_connections // connections - MIN_CONNECTION_BYTES
    allowance = min(MAX_ALLOWANCE_BYTES, MIN_ALLOWANCE_BYTES + spare)
    spare -= allowance - MIN_ALLOWANCE_BYTES
    receive = min(MAX_RECEIVE_BYTES, MIN_RECEIVE_BYTES + spare // KERNEL_FACTOR)
    occupied = OBJECT_BYTES + allowance + KERNEL_FACTOR * receive
    return PortLimits(
        connections,
        ServerLimits(
            buffered_bytes=part - connections * occupied,
            connection_bytes=allowance,
            receive_buffer_bytes=receive,
        ),
    )
