"""How the memory limit is divided, and that a process starts without modules that it does not need."""

from __future__ import annotations

import subprocess
import sys

import pytest

from storage_gateway import memory
from storage_gateway.config import ConnectionBudget
from storage_gateway.memory import BYTES_PER_MB, ByteCount, MemoryBudget, read_resident_bytes
from tests.support.project import ROOT


class TestMemoryBudget:
    """The allocation of what the idle process leaves."""

    @pytest.mark.parametrize("limit_mb", [48, 64, 96, 192, 2048])
    def test_parts_together_stay_within_the_limit(self, limit_mb: int) -> None:
        idle_bytes = 32 * BYTES_PER_MB
        budget = MemoryBudget.allocate(limit_mb * BYTES_PER_MB, idle_bytes)
        used = (
            budget.client_connections * memory.CONNECTION_BYTES
            + budget.request_bytes * memory.REQUEST_COPIES
            + budget.response_bytes * memory.RESPONSE_COPIES
            + budget.records * memory.RECORD_BYTES
            + budget.executed_ids * memory.EXECUTED_ID_BYTES
        )
        assert idle_bytes + used <= (1 - memory.RESERVED_SHARE) * limit_mb * BYTES_PER_MB

    def test_limit_that_the_idle_process_exceeds_leaves_the_least_of_each_part(self) -> None:
        budget = MemoryBudget.allocate(16 * BYTES_PER_MB, 32 * BYTES_PER_MB)
        assert (budget.client_connections, budget.records) == (memory.MIN_CONNECTIONS, memory.MIN_RECORDS)
        assert budget.executed_ids == memory.MIN_EXECUTED_IDS
        assert budget.request_bytes == memory.MIN_REQUEST_BYTES
        assert budget.response_bytes == memory.MIN_RESPONSE_BYTES

    def test_nothing_is_limited_without_a_memory_limit(self) -> None:
        assert MemoryBudget.allocate(0, 32 * BYTES_PER_MB) == MemoryBudget()
        assert not ByteCount().is_exceeded

    def test_connections_are_limited_by_descriptors_and_by_memory(self) -> None:
        descriptors = ConnectionBudget.from_descriptor_limit(1024, sftp_enabled=False)
        assert descriptors.within(0) == descriptors.within(10_000) == descriptors
        limited = descriptors.within(100)
        assert (limited.client_connections, limited.idle_client_connections) == (100, 50)
        assert limited.node_connections == descriptors.node_connections

    def test_status_line_shows_the_memory_in_use_and_its_limit(self) -> None:
        fields = MemoryBudget(limit_bytes=64 * BYTES_PER_MB).status_fields()
        assert fields["memory_limit_mb"] == 64.0
        assert fields["memory_mb"] == pytest.approx(read_resident_bytes() / BYTES_PER_MB, rel=0.2)


def test_byte_count_is_exceeded_only_beyond_its_maximum() -> None:
    count = ByteCount(100)
    count.add(100)
    assert not count.is_exceeded
    count.add(1)
    assert count.is_exceeded
    count.add(-1)
    assert not count.is_exceeded


def test_process_loads_no_tls() -> None:
    """Guards against several MB of memory for modules that the gateway never uses."""
    program = (
        "import storage_gateway.__main__ as program, sys;"
        "program.exclude_unused_modules();"
        "import storage_gateway.service;"
        "print([name for name in ('ssl', '_ssl', '_hashlib') if sys.modules.get(name)])"
    )
    result = subprocess.run([sys.executable, "-c", program], cwd=ROOT, capture_output=True, text=True)
    assert (result.stdout.strip(), result.stderr) == ("[]", "")
