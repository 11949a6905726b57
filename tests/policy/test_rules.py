"""The seven rules, a guard a test: each fails when its guard is taken out."""

import math

import pytest

from storage_gateway import policy_api as api
from storage_gateway.policy.policy import BORNE, LOST
from storage_gateway.policy_api import AttemptOutcome, IdempotencyScope, Repeatability
from tests.support.policy import (
    PolicyDriver,
    make_endpoint_entry,
    make_plan,
    make_request_class,
    make_settings,
)

ONCE = make_request_class(repeatability=Repeatability.NON_IDEMPOTENT)
ORDERED = make_request_class(ordered_by_key=True)


def answers(actions: list[api.Action], request: str) -> list[type]:
    finals = (api.RejectRequest, api.FailRequest)
    return [type(action) for action in actions if isinstance(action, finals) and action.request_id == request]


# One final answer


def test_hopeless_on_arrival_is_answered_at_once() -> None:
    host = PolicyDriver(make_settings(max_retry_after_s=0.5), [make_endpoint_entry(1, 1)])
    assert host.ask("no node", shard=9) == [api.RejectRequest("no node", 0.5)]
    assert answers(host.ask("no time", deadline=host.now + 0.001), "no time") == [api.RejectRequest]
    host.step(*[host.arrival(f"r{number}") for number in range(8)])
    host.policy.nodes[1].queued = 0.1
    assert answers(host.ask("no slot", deadline=host.now + 0.06), "no slot") == [api.RejectRequest]
    assert "no time" not in host.sent()


def test_hopeless_later_is_answered_then() -> None:
    host = PolicyDriver(make_settings(gateway_count=8), [make_endpoint_entry(1, 1)])
    host.step(*[host.arrival(name, gateway_count=8) for name in ("first", "a", "b")])  # two have a slot
    late = host.now + 0.5 - host.policy.nodes[1].queued
    assert not host.run_until(late - 0.001)
    assert host.run_until(late + 0.02) == [api.RejectRequest("b")]
    assert not answers(host.run_until(104.0), "b")


def test_still_possible_is_kept_and_sent() -> None:
    host = PolicyDriver(make_settings(gateway_count=8), [make_endpoint_entry(1, 1)])
    host.step(*[host.arrival(name, gateway_count=8) for name in ("first", "a", "b")])  # two have a slot
    assert not host.run_until(host.now + 0.4)
    assert host.end("a", AttemptOutcome.SERVED) == [api.SendAttempt("b", 1)]


def test_a_refusal_says_when_the_spare_rate_has_paid_up_to_what_clients_heed() -> None:
    for debt, wait in ((-1.0, 0.5), (-10.0, 0.8)):
        host = PolicyDriver(
            make_settings(plans=[make_plan(reserved_rate=0.0)], max_retry_after_s=0.8),
            [make_endpoint_entry(1, 1)],
        )
        host.ask("a")
        host.end("a", AttemptOutcome.SERVED)
        host.now += 0.001
        store = host.policy.nodes[1].shares[1]
        store.level, store.filled, host.policy.nodes[1].spare = debt, host.now, 2.0
        assert host.ask("b", deadline=host.now + 0.03) == [api.RejectRequest("b", pytest.approx(wait))]


def test_clients_that_heed_no_advice_get_none() -> None:
    host = PolicyDriver(make_settings(), [make_endpoint_entry(1, 1)])
    assert host.ask("a", shard=9) == [api.RejectRequest("a", 0.0)]


def test_timeout_at_the_deadline_is_answered_in_the_same_batch() -> None:
    host = PolicyDriver(make_settings([ONCE]), [make_endpoint_entry(1, 1)])
    host.ask("a")
    host.now += 2.0
    assert answers(host.end("a", AttemptOutcome.TIMEOUT), "a") == [api.FailRequest]


def test_a_late_outcome_after_the_client_left_is_not_answered_again() -> None:
    host = PolicyDriver(make_settings(), [make_endpoint_entry(1, 1)])
    host.ask("a")
    assert host.step(api.ClientCancelled("a")) == [api.CancelAttempt("a", 0)]
    assert host.end("a", AttemptOutcome.CANCELLED, request_settled=True) == []
    assert host.step(api.ClientCancelled("a")) == []


# Attempts that take far too long


def test_an_overdue_attempt_is_called_off_and_its_request_given_up() -> None:
    host = PolicyDriver(make_settings(gateway_count=8), [make_endpoint_entry(1, 1)])
    host.ask("lost")
    assert host.run_until(host.now + 0.52) == [api.CancelAttempt("lost", 0)]
    assert host.end("lost", AttemptOutcome.CANCELLED, elapsed_s=0.52) == [api.RejectRequest("lost")]
    assert host.ask("next") == [api.SendAttempt("next", 1)]


def test_a_slow_node_has_thrice_its_usual_time() -> None:
    host = PolicyDriver(make_settings(gateway_count=8), [make_endpoint_entry(1, 1)])
    host.policy.nodes[1].pace = 0.5
    host.ask("slow")
    assert host.run_until(host.now + 1.4) == []
    assert host.run_until(host.now + 0.3) == [api.CancelAttempt("slow", 0)]


def test_no_attempt_is_called_off_that_must_not_run_twice() -> None:
    host = PolicyDriver(make_settings([ONCE]), [make_endpoint_entry(1, 1)])
    host.ask("a")
    assert host.run_until(host.now + 1.9) == []


# No doubled effect


@pytest.mark.parametrize(
    "outcome", [AttemptOutcome.ERROR, AttemptOutcome.TIMEOUT, AttemptOutcome.CONNECTION_RESET]
)
def test_a_once_request_that_may_have_run_fails(outcome: AttemptOutcome) -> None:
    host = PolicyDriver(make_settings([ONCE]), [make_endpoint_entry(1, 1)])
    host.ask("a")
    assert answers(host.end("a", outcome), "a") == [api.FailRequest]
    host.run_until(103.0)
    assert host.sent() == ["a"]


def test_a_once_request_turned_away_unseen_is_tried_again() -> None:
    host = PolicyDriver(make_settings([ONCE]), [make_endpoint_entry(1, 1)])
    host.ask("a")
    host.end("a", AttemptOutcome.REJECTED)
    host.run_until(101.0)
    assert host.sent() == ["a", "a"]


def test_a_repeatable_request_is_tried_again_up_to_the_most_attempts() -> None:
    host = PolicyDriver(make_settings(), [make_endpoint_entry(1, 1)])
    host.ask("a", deadline=130.0)
    for _ in range(3):
        assert host.policy.requests["a"].out
        last = host.end("a", AttemptOutcome.ERROR)
    assert answers(last, "a") == [api.RejectRequest]
    assert host.sent() == ["a"] * 3


def test_a_keyed_request_goes_again_only_while_it_is_remembered() -> None:
    keyed = make_request_class(repeatability=Repeatability.IDEMPOTENT_WITH_KEY, idempotency_window_s=0.5)
    host = PolicyDriver(make_settings([keyed]), [make_endpoint_entry(1, 1)])
    host.ask("a")
    host.now += 0.6
    host.end("a", AttemptOutcome.CONNECTION_RESET, elapsed_s=0.6)
    host.run_until(101.9)
    assert host.sent() == ["a"]


def test_a_keyed_request_stays_in_its_zone_or_cell() -> None:
    for scope, fresh in ((IdempotencyScope.ZONE, 3), (IdempotencyScope.SHARD, 1)):
        keyed = make_request_class(
            latency_objective_s=2.0, repeatability=Repeatability.IDEMPOTENT_WITH_KEY, idempotency_scope=scope
        )
        host = PolicyDriver(
            make_settings([keyed]),
            [make_endpoint_entry(1, 1), make_endpoint_entry(2, 2), make_endpoint_entry(3, 3)],
        )
        host.policy.nodes[1].queued = 0.001
        for node in (2, 3):
            host.policy.nodes[node].hold_until = 101.0
        host.ask("a", shard=-1)
        assert host.log[-1] == api.SendAttempt("a", 1)
        host.policy.nodes[1].hold_until = 110.0 if scope is IdempotencyScope.ZONE else 101.0
        host.end("a", AttemptOutcome.CONNECTION_RESET)
        host.run_until(101.2)
        assert host.log[-1] == api.SendAttempt("a", fresh)


def test_never_two_attempts_at_once() -> None:
    host = PolicyDriver(make_settings(), [make_endpoint_entry(1, 1)])
    host.ask("a")
    host.run_until(101.9)
    assert host.sent() == ["a"]


def test_a_node_that_refuses_again_and_again_is_left_alone_longer() -> None:
    host = PolicyDriver(make_settings(max_attempts=99), [make_endpoint_entry(1, 1)])
    host.ask("a", deadline=130.0)
    for _ in range(6):
        host.end("a", AttemptOutcome.CONNECT_FAILED)
        host.run_until(host.now + 1.0)
    tries = len(host.sent())
    host.end("a", AttemptOutcome.CONNECT_FAILED)
    host.run_until(host.now + 0.45)
    assert len(host.sent()) == tries


# Drains


@pytest.mark.parametrize("state", [api.EndpointState.DRAINING, api.EndpointState.REMOVED])
def test_nothing_to_a_node_that_drains_or_is_gone(state: api.EndpointState) -> None:
    host = PolicyDriver(make_settings(), [make_endpoint_entry(1, 1)])
    host.step(api.EndpointsChanged(api.EndpointUpdateKind.DELTA, [make_endpoint_entry(1, 1, state)]))
    host.ask("a")
    host.run_until(101.0)
    assert host.sent() == []


def test_nothing_to_a_node_absent_from_a_full_list() -> None:
    host = PolicyDriver(make_settings(), [make_endpoint_entry(1, 1), make_endpoint_entry(2, 2)])
    host.step(api.EndpointsChanged(api.EndpointUpdateKind.SNAPSHOT, [make_endpoint_entry(2, 2)]))
    host.ask("a")
    host.run_until(101.0)
    assert host.sent() == []


def test_the_list_is_watched_and_asked_for_again_after_a_loss() -> None:
    host = PolicyDriver(
        make_settings(must_watch_endpoints=True, safety={"endpoint_poll_interval_s": 8.0}),
        [make_endpoint_entry(1, 1)],
    )
    assert host.log == [api.WatchEndpoints()]
    host.run_until(103.0)
    assert host.log == [api.WatchEndpoints()]
    host.step(api.EndpointsChanged(api.EndpointUpdateKind.UNAVAILABLE, []))
    assert not host.run_until(104.9)
    assert host.run_until(105.1) == [api.WatchEndpoints()]


# Cold nodes


def cold_sends(host: PolicyDriver, seconds: float, units: float = 2.0) -> float:
    """Units sent to node 1 while more is always asked than it bears; each is answered at once."""
    start, end = len(host.sent()), host.now + seconds
    while host.now < end:
        host.step(host.arrival(f"at{host.now:.2f}", units=units), at=host.now + 0.02)
        for name in [name for name, held in host.policy.requests.items() if held.out]:
            host.end(name, AttemptOutcome.SERVED, elapsed_s=0.02)
    return units * (len(host.sent()) - start)


def test_many_hosts_together_give_a_cold_node_no_more_than_the_stated_units() -> None:
    """No host has an even part as large as a request; none knows a rate of its own there."""
    total = 0.0
    for seed in range(60):
        host = PolicyDriver(
            make_settings(gateway_count=60, seed=seed, slow_start_units=12.0, mean_request_units=2.0),
            [make_endpoint_entry(1, 1, started_at=99.9)],
        )
        total += cold_sends(host, 1.0)
    assert 0.0 < total <= 24.0  # 12 in a second are borne in any case; chance counts


def test_a_cold_node_gets_a_host_s_own_usual_rate_and_soon_again() -> None:
    host = PolicyDriver(make_settings(safety={"slow_start_window_s": 10.0}), [make_endpoint_entry(1, 1)])
    usual = cold_sends(host, 20.0) / 20
    host.step(
        api.EndpointsChanged(api.EndpointUpdateKind.DELTA, [make_endpoint_entry(1, 1, started_at=host.now)])
    )
    assert 0.0 < cold_sends(host, 1.0) <= usual * 0.2 * 2.0 + 2.0 * 2
    host.now += 9.0
    assert cold_sends(host, 1.0) > usual * 0.8


def test_a_restart_in_the_list_makes_a_node_cold_again() -> None:
    """Two units a second are borne in any case, one of them this host's; more than that goes by chance."""
    sent, together = 0, 0
    for seed in range(40):
        host = PolicyDriver(make_settings(slow_start_units=2.0, seed=seed), [make_endpoint_entry(1, 1)])
        host.step(
            api.EndpointsChanged(api.EndpointUpdateKind.DELTA, [make_endpoint_entry(1, 1, started_at=99.5)])
        )
        host.step(host.arrival("a"), host.arrival("b"))
        together += host.sent() == ["a", "b"]
        for number in range(200):
            host.ask(f"r{number}")
            host.run_until(host.now + 0.02)
        sent += len(host.sent())  # nothing is answered: no pace is known
    assert together <= 4
    most = 40 * 4.5  # four seconds and half a second's part at the start
    assert 40 * 2.0 < sent <= most + 2 * math.sqrt(most)


def test_a_warm_node_is_not_held_back() -> None:
    host = PolicyDriver(make_settings(slow_start_units=2.0), [make_endpoint_entry(1, 1, started_at=89.0)])
    host.step(host.arrival("a"), host.arrival("b"))
    assert host.sent() == ["a", "b"]


# Order by key


def test_one_key_runs_one_at_a_time_in_order() -> None:
    host = PolicyDriver(make_settings([ORDERED, ORDERED]), [make_endpoint_entry(1, 1)])
    host.step(
        host.arrival("a", object_key=5),
        host.arrival("b", object_key=5, class_index=1),
        host.arrival("c", object_key=6),
    )
    assert sorted(host.sent()) == ["a", "c"]
    host.end("a", AttemptOutcome.SERVED)
    assert host.sent()[-1] == "b"


def test_a_key_rests_after_an_attempt_that_may_still_run() -> None:
    host = PolicyDriver(
        make_settings([make_request_class(ordered_by_key=True, repeatability=Repeatability.NON_IDEMPOTENT)]),
        [make_endpoint_entry(1, 1)],
    )
    host.step(host.arrival("a", object_key=5), host.arrival("b", object_key=5))
    host.end("a", AttemptOutcome.TIMEOUT)
    host.run_until(100.08)
    assert host.sent() == ["a"]
    host.run_until(100.2)
    assert host.sent() == ["a", "b"]


def test_a_withdrawn_request_holds_its_key_while_its_attempt_is_out() -> None:
    host = PolicyDriver(make_settings([ORDERED]), [make_endpoint_entry(1, 1)])
    host.step(host.arrival("a", object_key=5), host.arrival("b", object_key=5))
    host.step(api.ClientCancelled("a"))
    assert host.sent() == ["a"]
    host.end("a", AttemptOutcome.CANCELLED, request_settled=True)
    host.run_until(100.2)
    assert host.sent() == ["a", "b"]


# Attempt budget


def test_extra_attempts_stay_within_the_budget() -> None:
    budget = {"retry_budget_base": 1.0, "retry_budget_ratio": 0.0, "retry_budget_window_s": 1.0}
    host = PolicyDriver(
        make_settings([make_request_class(latency_objective_s=2.0)], safety=budget),
        [make_endpoint_entry(1, 1)],
    )
    host.step(host.arrival("a"), host.arrival("b"))
    host.end("a", AttemptOutcome.ERROR)
    host.end("b", AttemptOutcome.ERROR)
    assert host.sent() == ["a", "b", "a"]
    host.run_until(101.05)
    assert host.sent() == ["a", "b", "a", "b"]


def test_the_budget_grows_with_the_requests_taken() -> None:
    budget = {"retry_budget_base": 0.0, "retry_budget_ratio": 0.5, "retry_budget_window_s": 1.0}
    host = PolicyDriver(
        make_settings([make_request_class(latency_objective_s=2.0)], safety=budget),
        [make_endpoint_entry(1, 1)],
    )
    host.ask("a")
    host.end("a", AttemptOutcome.ERROR)
    assert host.sent() == ["a"]
    host.ask("b", shard=9)
    assert host.sent() == ["a", "a"]


# Limits


def test_a_limit_is_drawn_from_this_hosts_part_once_a_request() -> None:
    limited = make_plan(rate_limit=4.0, rate_limit_burst=12.0)
    host = PolicyDriver(
        make_settings([make_request_class(latency_objective_s=2.0), make_request_class()], [limited]),
        [make_endpoint_entry(1, 1)],
    )
    host.step(host.arrival("a", units=2.0, gateway_count=2), host.arrival("b", units=2.0, gateway_count=2))
    assert host.sent() == []
    host.run_until(101.05)
    assert host.sent() == ["a"]
    host.end("a", AttemptOutcome.REJECTED)
    host.run_until(101.5)
    assert host.sent() == ["a", "a"]
    host.run_until(102.0)
    assert host.sent() == ["a", "a"]


def test_failures_in_a_row_count_as_time_waited_and_a_lost_answer_does_not() -> None:
    host = PolicyDriver(make_settings(), [make_endpoint_entry(1, 1)])
    node = host.policy.nodes[1]
    queued = []
    for number in range(3):
        host.ask(f"r{number}")
        host.now += 0.6
        host.end(f"r{number}", AttemptOutcome.CANCELLED, elapsed_s=0.6)
        queued.append(node.queued)
    assert queued[0] == host.policy.queue_aim / 2
    assert queued[1] > 2 * queued[0]
    assert queued[2] > queued[1]


def lost_answer_host(repeat: api.Repeatability) -> PolicyDriver:
    """``a`` is out at a node that has answered ``b``, which was sent later."""
    host = PolicyDriver(
        make_settings(
            [make_request_class(repeatability=repeat)], [make_plan(expected_rate=80.0, reserved_rate=80.0)]
        ),
        [make_endpoint_entry(1, 1)],
    )
    host.ask("a")
    host.step(at=host.now + 0.01)
    host.ask("b")
    host.step(at=host.now + 0.01)
    host.end("b", AttemptOutcome.SERVED, elapsed_s=0.01)
    return host


def test_a_read_whose_answer_is_lost_is_called_off_in_time_for_another_attempt() -> None:
    host = lost_answer_host(api.Repeatability.REPEATABLE)
    depth = host.policy.nodes[1].depth
    assert api.CancelAttempt("a", 0) in host.step(at=host.now + LOST * 0.5)
    host.end("a", AttemptOutcome.CANCELLED, elapsed_s=0.5)
    assert host.policy.nodes[1].depth == depth, "a lost answer is no failure of its node"
    assert host.log[-1] == api.SendAttempt("a", 1)


def test_a_write_whose_answer_is_lost_gives_its_slot_back_past_its_aim_and_is_not_sent_again() -> None:
    host = lost_answer_host(api.Repeatability.NON_IDEMPOTENT)
    assert host.step(at=host.now + LOST * 0.5) == []
    assert api.CancelAttempt("a", 0) in host.step(at=host.now + 0.5)
    host.end("a", AttemptOutcome.CANCELLED, elapsed_s=0.8)
    assert host.log[-1] == api.FailRequest("a")


def test_a_host_has_what_the_others_leave_of_a_reserve_as_nodes_tell() -> None:
    def sure(tells: bool, elsewhere: float) -> float:
        """The part of a reserve of 8 units a second that one of two hosts takes for its own in the end."""
        host = PolicyDriver(
            make_settings(plans=[make_plan(reserved_rate=8.0)], nodes_report_other_usage=tells),
            [make_endpoint_entry(1, 1)],
        )
        for number in range(40):
            host.ask(f"r{number}", gateway_count=2)
            host.step(at=host.now + 0.1)
            host.end(f"r{number}", AttemptOutcome.SERVED, elapsed_s=0.1, units_elsewhere=elsewhere)
        return host.policy.reserve_here(1, 8.0, 2)

    assert sure(False, 0.0) == 4.0
    assert 7.5 < sure(True, 0.0) <= 8.0  # the other one is idle
    assert 5.5 < sure(True, 0.2) < 6.5  # it takes two a second
    assert sure(True, 2.0) == 4.0  # it takes more than its part: an even one is this host's


def test_what_could_not_be_answered_in_its_client_s_time_is_refused_unsent() -> None:
    host = PolicyDriver(make_settings(), [make_endpoint_entry(1, 1)])
    host.policy.nodes[1].queued = 0.1
    assert host.ask("short", deadline=host.now + 0.1) == [api.RejectRequest("short")]
    assert host.ask("long", deadline=host.now + 0.2) == [api.SendAttempt("long", 1)]


def test_the_part_of_a_limit_fills_from_the_host_s_start_and_not_from_a_volume_s_first_request() -> None:
    host = PolicyDriver(
        make_settings(plans=[make_plan(rate_limit=1.0, rate_limit_burst=6.0)]), [make_endpoint_entry(1, 1)]
    )
    assert not any(isinstance(action, api.SendAttempt) for action in host.ask("early", units=4.0))
    host.run_until(host.now + 10.0)
    assert host.ask("later", volume_id=2, units=4.0) == [api.SendAttempt("later", 1)]
    assert not any(isinstance(action, api.SendAttempt) for action in host.ask("over", volume_id=2, units=4.0))


def test_a_host_that_has_just_started_sends_a_cold_node_an_even_part_of_what_a_core_serves() -> None:
    def units(hosts: int) -> float:
        """What hosts that never knew the cold node send it in nine seconds, in the mean."""
        sent = 0
        for seed in range(20):
            plans = [
                make_plan(reserved_rate=0.0, expected_rate=800.0)
            ]  # so that its spare rate holds nothing back
            facts = make_settings(
                [make_request_class(latency_objective_s=1.0)],
                plans,
                gateway_count=hosts,
                slow_start_units=1.0,
                seed=seed,
            )
            host = PolicyDriver(facts, [make_endpoint_entry(1, 1)])
            host.ask("known", shard=1)
            host.end(
                "known", api.AttemptOutcome.SERVED, node=1, elapsed_s=0.01
            )  # a hundred units a second a core
            host.step(
                api.EndpointsChanged(
                    api.EndpointUpdateKind.DELTA, [make_endpoint_entry(2, 2, started_at=host.now)]
                )
            )
            began = host.now
            while host.now < began + 9.0:
                host.ask(f"r{host.now:.2f}", shard=2, volume_id=2)
                host.run_until(host.now + 0.1)
                for name in [name for name, held in host.policy.requests.items() if held.out]:
                    host.end(name, api.AttemptOutcome.SERVED, node=2, elapsed_s=0.01)
            sent += len(host.sent()) - 1
        return sent / 20

    # at a ramp of 10 s from 0.2: 4.3 s of full warmth; twice that of 100 units a second for all hosts
    whole = BORNE * 2 * 4.3 * 100 / 40
    assert 0.8 * whole <= units(40) <= 1.2 * whole
    assert units(400) <= units(40) / 4


def test_a_refusal_for_want_of_a_slot_says_when_one_is_due() -> None:
    host = PolicyDriver(make_settings(gateway_count=8, max_retry_after_s=0.8), [make_endpoint_entry(1, 1)])
    host.step(*[host.arrival(name, gateway_count=8) for name in ("first", "second", "waits")])
    (refusal,) = [one for one in host.run_until(host.now + 0.52) if isinstance(one, api.RejectRequest)]
    assert refusal.request_id == "waits"
    assert 0.0 < refusal.retry_after_s <= 0.8
