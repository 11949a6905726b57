"""Tests that the policy forgets unused records."""

from __future__ import annotations

import unittest

from storage_gateway import policy_api as api
from storage_gateway.policy import Policy
from tests.support.configuration import make_config


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
