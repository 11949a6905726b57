"""Tests that the policy forgets unused records, and limits those that clients can name."""

from __future__ import annotations

import random
import unittest

from storage_gateway import policy_api as api
from storage_gateway.policy import Policy
from tests.support.configuration import make_config
from tests.support.policy import PolicyDriver, make_endpoint_entry, make_plan, make_settings

MAX_RECORDS = 50


class MemoryTest(unittest.TestCase):
    def test_unlisted_shards_named_by_requests_are_forgotten(self) -> None:
        policy = Policy(make_config().settings)
        for shard in range(50):
            policy.step(100.0, [api.RequestArrived(f"r{shard}", 0, 0, shard, shard, shard, 1.0, 101.5, 1)])
        for now in (150.0, 200.0):
            policy.step(now, [])
        requests = policy.state.requests
        assert (requests.queues, requests.by_id, requests.failed_requests) == ({}, {}, {})
        assert policy.state.volumes.by_id == {}


class RecordLimitTest(unittest.TestCase):
    """Guards against memory that grows while a client names a new volume and object in each request."""

    def make_driver(self, **plan_changes: float) -> PolicyDriver:
        settings = make_settings(
            plans=[make_plan(**plan_changes)],
            gateway_count=1,
            max_records=MAX_RECORDS,
            max_request_units=20.0,
        )
        return PolicyDriver(settings, [make_endpoint_entry(1, 1)])

    def flood(self, driver: PolicyDriver, requests: int, end: float) -> None:
        """Submit requests for a new volume and object each, evenly until this time; serve those sent."""
        interval_s = (end - driver.now) / requests
        for number in range(requests):
            driver.now += interval_s
            name = 1000 + number + int(driver.now * 1e6)
            driver.submit(f"f{name}", volume_id=name, object_key=name, shard=1 + number % 2)
            driver.end_all_attempts(0.001)

    def test_records_do_not_outgrow_their_limit(self) -> None:
        driver = self.make_driver()
        self.flood(driver, requests=2000, end=104.0)
        driver.run_until(106.0)
        state = driver.policy.state
        assert len(state.volumes.by_id) <= MAX_RECORDS
        assert len(state.requests.failed_requests) <= MAX_RECORDS
        assert len(state.timers.heap) <= MAX_RECORDS
        assert sum(len(node.excess_tokens) for node in state.nodes.by_id.values()) <= MAX_RECORDS

    def test_volume_with_an_open_request_is_not_evicted(self) -> None:
        driver = self.make_driver()
        driver.submit("open", volume_id=7)
        volume = driver.volumes[7]
        self.flood(driver, requests=3 * MAX_RECORDS, end=100.2)
        assert driver.volumes.get(7) is not volume, "it was served and forgotten"

        assert api.SendAttempt("again", 1) in driver.submit("again", volume_id=7)
        second_volume = driver.volumes[7]
        for number in range(3 * MAX_RECORDS):
            driver.submit(f"n{number}", volume_id=100 + number, shard=2)  # a shard that no node holds
        assert driver.volumes[7] is second_volume
        assert second_volume.open_requests == 1
        driver.end_attempt("again", api.AttemptOutcome.SERVED)
        assert second_volume.open_requests == 0

    def test_forgotten_volume_does_not_get_its_rate_limit_again(self) -> None:
        driver = self.make_driver(rate_limit=2.0, rate_limit_burst=10.0)
        driver.run_until(110.0)
        assert driver.submit("first", volume_id=7, units=10.0), "the share is full by now"
        driver.end_all_attempts(0.001)
        self.flood(driver, requests=2 * MAX_RECORDS, end=110.4)
        assert 7 not in driver.volumes

        sent = driver.submit("second", volume_id=7, units=10.0, deadline=driver.now + 20.0)

        assert not any(isinstance(action, api.SendAttempt) for action in sent)

    def test_rate_limit_holds_for_random_volumes_whatever_is_forgotten(self) -> None:
        rate, burst, started_at = 3.0, 9.0, 100.0
        for seed in range(5):
            numbers = random.Random(seed)
            driver = self.make_driver(rate_limit=rate, rate_limit_burst=burst)
            sent_at: dict[int, list[float]] = {}
            volumes: dict[str, int] = {}
            for number in range(1000):
                driver.now += numbers.expovariate(200.0)
                volume_id = numbers.randrange(8) if numbers.random() < 0.3 else numbers.randrange(10_000)
                volumes[str(number)] = volume_id
                for action in driver.submit(str(number), volume_id=volume_id):
                    if isinstance(action, api.SendAttempt):
                        sent_at.setdefault(volumes[action.request_id], []).append(driver.now)
                driver.end_all_attempts(0.001)
            assert max(map(len, sent_at.values())) > burst, "some volume has used its limit"
            for times in sent_at.values():
                level, refilled_at = 0.0, started_at
                for now in times:
                    level = min(burst, level + rate * (now - refilled_at)) - 1.0
                    refilled_at = now
                    assert level >= -1e-6, (seed, times)
