"""Limits of a node, derived from the limits of its machine."""

from collections.abc import Callable

from rosemarynotch._internal.platform.settings import NodeSettings
from rosemarynotch._internal.utils.bounded_server import applied_buffer_bytes
from rosemarynotch._internal.utils.bounded_server import connections_of_sockets
from rosemarynotch._internal.utils.bounded_server import count_sockets
from rosemarynotch._internal.utils.limit_events import LimitEvents
from rosemarynotch._internal.utils.metrics import Metrics
from rosemarynotch._internal.utils.request_budget import RequestBudget

__all__ = [
    "caller_connections",
    "job_memory_bytes",
    "make_budget",
    "OTHER_CONNECTIONS",
    "PROBE_CONNECTIONS",
    "receive_buffer_bytes",
]

# Its budget has room for the largest request of a caller.
MIN_MEMORY_MB = 32
MEGABYTE = 1024 * 1024
# Descriptors for files, pipes and listening sockets.
RESERVED_DESCRIPTORS = 200
# Part of the rest that callers may use. The other part is for connections to
# the store, the VM service and workers, and for probes and metrics.
CALLERS_SHARE = 0.5
# Memory of a connection with a small incomplete request, and the part of the
# machine's memory that connections of callers may take.
CONNECTION_KB = 6
CONNECTIONS_MEMORY_SHARE = 0.1
# Part of the machine's memory that all connections may have received ahead of
# being read, those included that wait to be accepted.
UNREAD_MEMORY_SHARE = 0.15
# The same where the kernel does not apply the size of a buffer, so that the
# number of connections has to follow from it.
FIXED_BUFFERS_MEMORY_SHARE = 0.25
# Part of the machine's memory for the jobs of a leader.
JOBS_MEMORY_SHARE = 0.25
# Each turn of the server's thread looks at all connections.
MAX_CALLER_CONNECTIONS = 2000
# Connections of each of the ports for probes and metrics.
PROBE_CONNECTIONS = 32
# Connections of all ports of a node beside that of callers.
OTHER_CONNECTIONS = (PROBE_CONNECTIONS, PROBE_CONNECTIONS)


def caller_connections(
    settings: NodeSettings,
    applied_bytes: Callable[[int], int] = applied_buffer_bytes,
) -> int:
    """Return how many connections of callers a node may hold.

    :param applied_bytes: returns the receive buffer that the kernel sets
        where a size is wanted
    """
    descriptors = max(0, settings.max_descriptors - RESERVED_DESCRIPTORS)
    memory_kb = settings.memory_mb * 1024 * CONNECTIONS_MEMORY_SHARE
    connections = max(
        PROBE_CONNECTIONS,
        min(
            int(descriptors * CALLERS_SHARE),
            int(memory_kb / CONNECTION_KB),
            MAX_CALLER_CONNECTIONS,
        ),
    )
    wanted = receive_buffer_bytes(
        settings.memory_mb, connections, *OTHER_CONNECTIONS
    )
    applied = applied_bytes(wanted)
    if applied <= wanted:
        return connections
    memory_bytes = _assumed_memory_mb(settings.memory_mb) * MEGABYTE
    sockets = int(memory_bytes * FIXED_BUFFERS_MEMORY_SHARE / applied)
    sockets -= sum(map(count_sockets, OTHER_CONNECTIONS))
    return max(
        PROBE_CONNECTIONS, min(connections, connections_of_sockets(sockets))
    )


def receive_buffer_bytes(memory_mb: float, *connections: int) -> int:
    """Return how much a connection may receive ahead of being read.

    :param memory_mb: memory of the machine
    :param connections: most open connections of each server of the process
    """
    sockets = sum(count_sockets(each) for each in connections)
    memory_bytes = _assumed_memory_mb(memory_mb) * MEGABYTE
    return int(memory_bytes * UNREAD_MEMORY_SHARE / sockets)


def job_memory_bytes(memory_mb: float) -> int:
    """Return how much memory a leader may use for jobs.

    :param memory_mb: memory of the machine
    """
    memory_bytes = _assumed_memory_mb(memory_mb) * MEGABYTE
    return int(memory_bytes * JOBS_MEMORY_SHARE)


def make_budget(
    memory_mb: float, metrics: Metrics, log: Callable[..., None]
) -> RequestBudget:
    """Return the bound that the servers of a process share."""
    events = LimitEvents(metrics.count, log)
    return RequestBudget(_assumed_memory_mb(memory_mb), events)


def _assumed_memory_mb(memory_mb: float) -> float:
    """Return the memory of the machine that limits are derived from."""
    return max(memory_mb, MIN_MEMORY_MB)
