"""Which trace ids further requests must not have, and for how long."""

from __future__ import annotations

from storage_gateway.http.trace_ids import (
    EXECUTED_MEMORY_S,
    RELEASE_DELAY_S,
    ExecutedIds,
    TraceIdRegistry,
)

NOW = 1000.0


class TestTraceIdRegistry:
    """Ids of requests in progress, of ended ones, and of executed ones."""

    def test_id_of_a_request_in_progress_is_not_given_out(self) -> None:
        registry = TraceIdRegistry()
        assert registry.acquire("t", NOW)
        assert not registry.acquire("t", NOW + 1000.0)

    def test_id_of_a_request_that_no_node_executed_is_free_after_a_delay(self) -> None:
        registry = TraceIdRegistry()
        registry.acquire("t", NOW)
        registry.release("t", NOW, may_have_executed=False)
        assert not registry.acquire("t", NOW + RELEASE_DELAY_S - 0.1)
        assert registry.acquire("t", NOW + RELEASE_DELAY_S)

    def test_id_of_an_executed_request_is_remembered_for_longer(self) -> None:
        registry = TraceIdRegistry()
        for number in range(100):
            trace_id, ended_at = f"t{number}", NOW + number
            assert registry.acquire(trace_id, ended_at)
            registry.release(trace_id, ended_at, may_have_executed=True)
        for number in range(int(100 - EXECUTED_MEMORY_S), 100):
            assert not registry.acquire(f"t{number}", NOW + 100.0)


class TestExecutedIds:
    """The memory of executed requests is bounded in time and in size."""

    def test_id_is_forgotten_after_two_generations_at_the_latest(self) -> None:
        ids = ExecutedIds(1000)
        for number in range(3):
            ids.add(f"t{number}", NOW + number * EXECUTED_MEMORY_S)
        assert "t0" not in ids
        assert "t1" in ids
        assert "t2" in ids

    def test_flood_is_bounded_and_the_latest_half_is_remembered(self) -> None:
        ids = ExecutedIds(1000)
        for number in range(12_345):
            ids.add(f"t{number}", NOW)
            assert len(ids) <= 1000
        assert all(f"t{number}" in ids for number in range(12_345 - 500, 12_345))
