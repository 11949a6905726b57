"""Reading the services file of a deployment; each error names the faulty key."""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path

import pytest

from storage_gateway.config import ServicesConfig, read_services
from storage_gateway.errors import ConfigurationError
from tests.support.project import ROOT

SHIPPED_FILE = ROOT / "deploy" / "fronts.toml"
CLASS_INDEXES = {"tile-read": 0, "record-write": 1}
PLAN_INDEXES = {"public": 0}


def read_all_enabled(folder: Path, *replacements: tuple[str, str]) -> ServicesConfig:
    """Read the shipped file with all services enabled and some of its text replaced."""
    text = SHIPPED_FILE.read_text().replace("enabled = false", "enabled = true")
    for old, new in replacements:
        assert old in text
        text = text.replace(old, new)
    path = folder / "fronts.toml"
    path.write_text(text)
    return read_services(path, CLASS_INDEXES, PLAN_INDEXES)


class ReadServicesTest(unittest.TestCase):
    """The shipped file."""

    def test_shipped_services_are_off_and_valid_when_enabled(self) -> None:
        off = read_services(SHIPPED_FILE, CLASS_INDEXES, PLAN_INDEXES)
        assert off == ServicesConfig(sftp=None, vrrp=None)
        with tempfile.TemporaryDirectory() as folder:
            services = read_all_enabled(Path(folder))
            assert services.sftp
            assert services.vrrp
            assert (services.sftp.volumes[0].prefix, services.vrrp.interval_s) == ("/plats", 1.0)
            with pytest.raises(ConfigurationError, match=r"^fronts.toml: sftp.unit_byte: unknown key"):
                read_all_enabled(Path(folder), ("unit_bytes", "unit_byte"))


@pytest.mark.parametrize(
    ("old", "new", "faulty_key"),
    [
        ('path = "/plats"', 'path = "/plats/"', "sftp.volume[0].path"),
        ('volume = "0000', 'volume = "wxyz', "sftp.volume[0].volume"),
        ('plan = "public"', 'plan = "unknown"', "sftp.volume[0].plan"),
        ('read_class = "tile-read"', 'read_class = "unknown"', "sftp.read_class"),
        ('peers = ["127.0.0.2:3112"]', "", "vrrp.peers"),
        ('peers = ["127.0.0.2:3112"]', "peers = []", "vrrp.peers"),
        ('addresses = ["127.0.0.1"]', "addresses = [1]", "vrrp.addresses"),
        ("router = 1", "router = 256", "vrrp.router"),
    ],
)
def test_error_names_the_faulty_key(tmp_path: Path, old: str, new: str, faulty_key: str) -> None:
    with pytest.raises(ConfigurationError) as caught:
        read_all_enabled(tmp_path, (old, new))
    assert str(caught.value).startswith(f"fronts.toml: {faulty_key}: ")


def test_missing_addresses_are_reported_before_invalid_peers(tmp_path: Path) -> None:
    faults = (('peers = ["127.0.0.2:3112"]', "peers = []"), ('addresses = ["127.0.0.1"]', ""))
    with pytest.raises(ConfigurationError, match=r"^fronts\.toml: vrrp\.addresses: missing"):
        read_all_enabled(tmp_path, *faults)


def test_without_a_file_all_services_are_off(tmp_path: Path) -> None:
    assert read_services(tmp_path / "absent.toml", CLASS_INDEXES, PLAN_INDEXES) == ServicesConfig()
