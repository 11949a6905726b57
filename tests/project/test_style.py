"""Format, lint, types, and the limit on the policy's size."""

import subprocess
import sys
import tomllib

from tests.support.project import ROOT


def run_module(*command: str) -> None:
    """Run a Python module as a program on the project, and expect that it finds no fault."""
    result = subprocess.run([sys.executable, "-m", *command], cwd=ROOT, capture_output=True, text=True)
    assert result.returncode == 0, result.stdout + result.stderr


def test_format() -> None:
    run_module("ruff", "format", "--check", "--no-cache", ".")


def test_lint() -> None:
    run_module("ruff", "check", "--no-cache", ".")


def test_types() -> None:
    run_module("mypy", "--cache-dir=/dev/null")


def test_module_stays_small() -> None:
    files = [ROOT / path for path in tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["policy"]]
    assert set(files) == set((ROOT / "storage_gateway" / "policy").glob("*.py"))
    lines = [line for file in files for line in file.read_text().splitlines()]
    assert sum(1 for line in lines if line.strip()) <= 560
    assert max(len(line) for line in lines) <= 110
