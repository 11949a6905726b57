"""Faults of the configuration are named."""

from __future__ import annotations

import json
import tempfile
import unittest
from pathlib import Path
from typing import Any

import pytest

from storage_gateway.config import ServicesConfig, read_configuration, read_services
from storage_gateway.errors import ConfigurationError
from tests.support.peers import SETTINGS
from tests.support.project import ROOT


class ConfigCase(unittest.TestCase):
    def test_faults_are_named(self) -> None:
        good: dict[str, Any] = {"name": "n", "listen": "h:1", "discovery": "h:2", "settings": SETTINGS}
        lanes = [{**SETTINGS["Lanes"][0], "Repeat": "tea"}]
        cases: list[tuple[dict[str, Any], str]] = [
            ({"seed": "xyz"}, "seed:"),
            ({"settings": {**SETTINGS, "Lanes": lanes}}, "settings.Lanes[0].Repeat:"),
            ({"settings": {**SETTINGS, "PolicyLimits": {}}}, "settings.PolicyLimits.SendCap: missing"),
            ({"limits": {"sockets": "many"}}, "limits.sockets:"),
        ]
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "config.json"
            for change, said in cases:
                path.write_text(json.dumps({**good, **change}))
                with pytest.raises(ConfigurationError) as caught:
                    read_configuration({"RELAY_CONFIG": str(path)})
                assert str(caught.value).startswith(said), caught.value

    def test_the_fronts_file_is_off_as_shipped_and_checked_when_on(self) -> None:
        shipped = ROOT / "deploy" / "fronts.toml"
        classes, plans = {"tile-read": 0, "record-write": 1}, {"public": 0}
        assert read_services(shipped, classes, plans) == ServicesConfig(sftp=None, vrrp=None)
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "fronts.toml"
            path.write_text(shipped.read_text().replace("enabled = false", "enabled = true"))
            services = read_services(path, classes, plans)
            assert services.sftp
            assert services.vrrp
            assert (services.sftp.volumes[0].prefix, services.vrrp.interval) == ("/plats", 1.0)
            path.write_text(path.read_text().replace("unit_bytes", "unit_byte"))
            with pytest.raises(ConfigurationError, match=r"^fronts.toml: sftp.unit_byte: unknown key"):
                read_services(path, classes, plans)
