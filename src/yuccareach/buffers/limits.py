"""Limits of a process's buffers, derived from the memory and descriptors it may use."""

from __future__ import annotations

import resource

from yuccareach.buffers.account import CONNECTION_COST_BYTES, BufferLimits

# The smallest instances in use before 2026-12 had this much memory.
DEFAULT_MEMORY_MB = 300
# For processes that are told no limit on descriptors.
DEFAULT_MAX_FDS = 4_096
# An unlimited number of descriptors stands for this one.
MAX_FDS = 1 << 20
# Part of an instance's memory that one process uses at most; gateways run beside
# control on some instances, and the allocator does not return all freed memory.
MEMORY_FRACTION = 0.6
# A gateway without connections takes 47 MB, and control 60 MB, which receives no
# responses of backend servers. The rest is for what the allocator cannot return: with
# 52 MB, large answers that nobody read took a gateway of 152 MB to 88 MB.
PROCESS_BYTES = 60_000_000
# Part of the rest that is for what backend servers send. Their answers are copied once
# on the way to the caller, who is then charged for it.
RESPONSE_FRACTION = 0.4
# Control often runs beside a gateway, in the memory of the same instance.
SHARED_FRACTION = 0.5
# A legal request (16,384 bytes of headers in the shortest lines, 4 MiB of body) and a
# legal answer (16 MiB) fit in, however small the instance.
MIN_CLIENT_BYTES = 16_000_000
MIN_RESPONSE_BYTES = 17_000_000
# The other half is for connections to backend servers, one for each request that is
# served, and to control, for files and for listeners.
CONNECTION_FRACTION = 0.5
# Part of the memory for clients that silent connections take at most. If memory ran out
# before the number of connections did, the newest would be closed instead of a silent
# one. The other half is for requests.
SILENT_FRACTION = 0.5


def derive_limits(memory_mb: int, max_fds: int) -> BufferLimits:
    """Return the limits of a process's buffers on an instance of this size."""
    free_bytes = int(memory_mb * 1_000_000 * MEMORY_FRACTION) - PROCESS_BYTES
    response_bytes = max(int(free_bytes * RESPONSE_FRACTION), MIN_RESPONSE_BYTES)
    client_bytes = max(free_bytes - response_bytes, MIN_CLIENT_BYTES)
    max_connections = max(1, int(max_fds * CONNECTION_FRACTION))
    return BufferLimits(
        client_bytes=client_bytes,
        response_bytes=response_bytes,
        max_connections=_limit_connections(max_connections, client_bytes),
    )


def _limit_connections(max_connections: int, client_bytes: int) -> int:
    """Return how many connections fit into their part of the memory, at most."""
    max_silent = int(client_bytes * SILENT_FRACTION) // CONNECTION_COST_BYTES
    return min(max_connections, max_silent)


def limit_beside_gateway(limits: BufferLimits) -> BufferLimits:
    """Return the limits of a process that has a gateway beside it on its instance."""
    client_bytes = max(int(limits.client_bytes * SHARED_FRACTION), MIN_CLIENT_BYTES)
    return limits._replace(
        client_bytes=client_bytes,
        max_connections=_limit_connections(limits.max_connections, client_bytes),
    )


def find_descriptor_limit() -> int:
    """Return how many descriptors the operating system lets this process open."""
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return MAX_FDS if soft_limit == resource.RLIM_INFINITY else min(soft_limit, MAX_FDS)


DEFAULT_LIMITS = derive_limits(DEFAULT_MEMORY_MB, DEFAULT_MAX_FDS)

__all__ = [
    "DEFAULT_LIMITS",
    "DEFAULT_MEMORY_MB",
    "MIN_CLIENT_BYTES",
    "MIN_RESPONSE_BYTES",
    "derive_limits",
    "find_descriptor_limit",
    "limit_beside_gateway",
]
