"""The typed configuration: the connection budget, the termination grace period and reloads."""

from __future__ import annotations

import math
import unittest

from storage_gateway.config import Address, ConnectionBudget, ReloadResult
from tests.support.configuration import make_config, make_two_class_settings


class ConnectionBudgetTest(unittest.TestCase):
    """The allocation of file descriptors."""

    def test_allocation_uses_all_descriptors_within_the_limit(self) -> None:
        for max_descriptors in (112, 500, 1024, 1 << 20):
            for sftp_enabled in (False, True):
                budget = ConnectionBudget.from_descriptor_limit(max_descriptors, sftp_enabled)
                in_use = budget.client_connections + budget.node_connections + 3 * budget.sftp_sessions
                assert max_descriptors - 56 - 1 <= in_use <= max_descriptors - 56
                assert budget.node_connections >= budget.client_connections
                assert (budget.sftp_sessions > 0) is sftp_enabled

    def test_default_limit_is_allocated_as_documented(self) -> None:
        assert ConnectionBudget.from_descriptor_limit(1024, True) == ConnectionBudget(436, 170, 436, 32)


class GatewayConfigTest(unittest.TestCase):
    """The termination grace period and the effect of a reload."""

    def test_grace_period_follows_the_longest_client_timeout_up_to_three_seconds(self) -> None:
        assert make_config(client_timeouts_s=[0.5, 1.5]).termination_grace_period_s() == 1.5 + 0.7
        assert make_config(client_timeouts_s=[0.5, math.inf]).termination_grace_period_s() == 3.0 + 0.7

    def test_reload_adopts_a_discovery_address_that_changed_in_the_file(self) -> None:
        config = make_config(discovery=Address("from-environment", 1))
        moved = make_config(configured_discovery=Address("127.0.0.1", 2))
        assert config.apply_reload(make_config()) == ReloadResult(False, [])
        assert config.discovery == Address("from-environment", 1)
        assert config.apply_reload(moved) == ReloadResult(True, [])
        assert config.discovery == Address("127.0.0.1", 2)
        assert config.configured_discovery == Address("127.0.0.1", 2)

    def test_reload_reports_changed_keys_that_take_effect_at_the_next_start(self) -> None:
        config = make_config()
        new = make_config(
            name="n1",
            idle_close_s=1.0,
            listen=Address("127.0.0.1", 9),
            settings=make_two_class_settings(),
            seed=7,
            cached_endpoints={"generation": 1},
        )
        result = config.apply_reload(new)
        assert result.deferred_keys == ["name", "listen", "settings", "idle_close_s"]
        assert config.name == "n0"

    def test_reload_does_not_compare_the_seed(self) -> None:
        new = make_config()
        new.settings.seed += 1
        assert make_config().apply_reload(new) == ReloadResult(False, [])
