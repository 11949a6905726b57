"""The fields of the policy in the periodic status line."""

from __future__ import annotations

from collections import Counter

from storage_gateway.policy_state.state import PolicyState

REPORTED_FAILING_NODES = 3


def take_status_fields(state: PolicyState) -> dict[str, object]:
    """Return the counters since the last call and the present state of the nodes; reset the counters."""
    counters = dict(sorted(state.counters.items()))
    failures = state.failures_by_node.most_common(REPORTED_FAILING_NODES)
    state.counters = Counter()
    state.failures_by_node = Counter()
    nodes = state.nodes.ordered_owners()
    window = state.settings.safety.slow_start_window_s
    return {
        **counters,
        "queued": sum(map(len, state.requests.queues.values())),
        "in_flight": sum(node.in_flight_count for node in nodes),
        "nodes": len(nodes),
        "warming_up": sum(node.started_at > 0 and state.now - node.started_at < window for node in nodes),
        "concurrency_limit": round(sum(node.concurrency_limit for node in nodes)),
        "excess_rate": round(sum(node.excess_rate for node in nodes)),
        "headroom": round(state.nodes.headroom, 1),
        "queueing_delay_ms": round(1000 * sum(node.queueing_delay_s for node in nodes)),
        "backing_off": sum(node.backoff_until > state.now for node in nodes),
        "unit_time_ms": round(1000 * state.nodes.unit_time_s),
        "failures_by_node": failures,
        "class_bounds": [round(estimate.bound, 2) for estimate in state.classes],
    }
