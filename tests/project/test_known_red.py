"""The list of known failures: only the listed tests may fail, and each of them must."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

from tests.support.project import ROOT

TESTS = "def test_red():\n    assert False\n\ndef test_green():\n    pass\n"


@pytest.mark.parametrize(
    ("listed", "exit_status", "printed"),
    [
        ("", 1, "1 failed, 1 passed"),
        ("test_it.py::test_red, a cause, issue 5\n", 0, "known red: test_it.py::test_red, a cause, issue 5"),
        ("test_it.py::test_red, x, 5\ntest_it.py::test_green, x, 5\n", 1, "1 failed, 1 xfailed"),
        ("test_it.py::test_gone, x, 5\n", 4, "no such test"),
        ("a\nb\nc\nd\n", 4, "4 lines, 3 at most"),
    ],
)
def test_known_red_list_is_strict(tmp_path: Path, listed: str, exit_status: int, printed: str) -> None:
    (tmp_path / "test_it.py").write_text(TESTS)
    (tmp_path / "conftest.py").write_text((ROOT / "tests" / "conftest.py").read_text())
    (tmp_path / "KNOWN-RED.txt").write_text(listed)
    options = ["-p", "no:cacheprovider", "--rootdir", str(tmp_path)]

    result = subprocess.run(
        [sys.executable, "-m", "pytest", *options, str(tmp_path)],
        cwd=tmp_path,
        capture_output=True,
        text=True,
    )

    output = result.stdout + result.stderr
    assert result.returncode == exit_status, output
    assert printed in output
