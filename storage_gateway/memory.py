"""The memory of the process: how much it uses, and how its limit is divided among what peers can fill."""

from __future__ import annotations

import gc
import resource
from dataclasses import dataclass
from pathlib import Path

BYTES_PER_KB = 1024
BYTES_PER_MB = 1 << 20

RESERVED_SHARE = 0.1  # of the limit, which is not allocated: freed memory does not return at once

# Of what the idle process and the reserve leave.
CONNECTIONS_SHARE = 0.35
REQUESTS_SHARE = 0.2
RECORDS_SHARE = 0.2
RESPONSES_SHARE = 0.12
EXECUTED_IDS_SHARE = 0.08

CONNECTION_BYTES = 20 * 1024  # of a client connection without a request
REQUEST_COPIES = 4  # of a request's bytes: as received, decoded and sent to a node, and as freed in pieces
RESPONSE_COPIES = 3
EXECUTED_ID_BYTES = 96
RECORD_BYTES = 2 * 1024  # of a volume with its requests and its tokens at the nodes

# With less, the gateway could not serve at all; a limit that does not bear them is exceeded.
MIN_CONNECTIONS = 48
MIN_REQUEST_BYTES = 256 * 1024
MIN_RESPONSE_BYTES = 256 * 1024
MIN_RECORDS = 256
MIN_EXECUTED_IDS = 2048

# More frequent collections than by default. A connection that ends with an exception leaves its request in
# a reference cycle, and under a flood of them such garbage would be most of the memory in use.
GARBAGE_COLLECTION_THRESHOLDS = (700, 3, 3)

_MEMORY_FILE = Path("/proc/self/statm")
_RESIDENT_PAGES_FIELD = 1


def configure_garbage_collection() -> None:
    """Exempt all present objects from later collections, as they live on, and have others collected early."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GARBAGE_COLLECTION_THRESHOLDS)


def read_resident_bytes() -> int:
    """Return the resident memory of the process; where the kernel does not say, its highest so far."""
    try:
        return int(_MEMORY_FILE.read_text().split()[_RESIDENT_PAGES_FIELD]) * resource.getpagesize()
    except (OSError, ValueError, IndexError):
        return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * BYTES_PER_KB


@dataclass(slots=True, frozen=True)
class MemoryBudget:
    """The allocation of the process's memory; 0 stands for no limit.

    Attributes:
        limit_bytes: the limit of the process.
        client_connections: maximum number of client connections.
        request_bytes: maximum number of bytes of all requests that have no response yet.
        response_bytes: number of bytes of all responses that are being received from nodes, beyond which
            large ones are given up.
        records: maximum number of records of each kind that clients can name.
        executed_ids: maximum number of trace ids of executed requests that are remembered.
    """

    limit_bytes: int = 0
    client_connections: int = 0
    request_bytes: int = 0
    response_bytes: int = 0
    records: int = 0
    executed_ids: int = 0

    @classmethod
    def allocate(cls, limit_bytes: int, idle_bytes: int) -> MemoryBudget:
        """Divide the memory that an idle process leaves.

        Args:
            limit_bytes: the limit of the process; 0 for none.
            idle_bytes: what the process uses before it has any client.
        """
        if not limit_bytes:
            return cls()
        available = max(0.0, limit_bytes * (1 - RESERVED_SHARE) - idle_bytes)
        connections = available * CONNECTIONS_SHARE / CONNECTION_BYTES
        request_bytes = available * REQUESTS_SHARE / REQUEST_COPIES
        response_bytes = available * RESPONSES_SHARE / RESPONSE_COPIES
        records = available * RECORDS_SHARE / RECORD_BYTES
        executed_ids = available * EXECUTED_IDS_SHARE / EXECUTED_ID_BYTES
        return cls(
            limit_bytes=limit_bytes,
            client_connections=max(MIN_CONNECTIONS, int(connections)),
            request_bytes=max(MIN_REQUEST_BYTES, int(request_bytes)),
            response_bytes=max(MIN_RESPONSE_BYTES, int(response_bytes)),
            records=max(MIN_RECORDS, int(records)),
            executed_ids=max(MIN_EXECUTED_IDS, int(executed_ids)),
        )

    def status_fields(self) -> dict[str, object]:
        """Return the fields of the status line: memory in use, and its limit, in MB."""
        return {
            "memory_mb": round(read_resident_bytes() / BYTES_PER_MB, 1),
            "memory_limit_mb": round(self.limit_bytes / BYTES_PER_MB, 1),
        }


class ByteCount:
    """A number of buffered bytes that several owners share, and its maximum; 0 for no maximum."""

    __slots__ = ("max_bytes", "used_bytes")

    def __init__(self, max_bytes: int = 0) -> None:
        self.max_bytes = max_bytes
        self.used_bytes = 0

    def add(self, byte_count: int) -> None:
        """Add buffered bytes; a negative number for those that are freed."""
        self.used_bytes += byte_count

    @property
    def is_exceeded(self) -> bool:
        """Whether more bytes are buffered than may be."""
        return 0 < self.max_bytes < self.used_bytes
