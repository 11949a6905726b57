"""KNOWN-RED.txt lists the tests that fail because of a known fault, one per line: test, cause, issue.

A listed test that passes fails the run, so that its line is removed once the fault is fixed. The list has at
most ``MAX_KNOWN_RED`` lines.
"""

from __future__ import annotations

from pathlib import Path

import pytest

KNOWN_RED_FILE = "KNOWN-RED.txt"
MAX_KNOWN_RED = 3


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Mark each listed test as a strict expected failure, and reject a list with an unknown test.

    A test counts as unknown only if its file was collected in full.
    """
    known_red = _read_known_red(config.rootpath / KNOWN_RED_FILE)
    collected_files = {_file_of(item.nodeid) for item in items}
    found = set()
    for item in items:
        if item.nodeid in known_red:
            found.add(item.nodeid)
            item.add_marker(pytest.mark.xfail(reason=known_red[item.nodeid], strict=True))
    missing = [name for name in known_red if name not in found and _file_of(name) in collected_files]
    is_selection = config.getoption("keyword") or any("::" in arg for arg in config.args)
    if missing and not is_selection:
        raise pytest.UsageError(f"{KNOWN_RED_FILE}: no such test: {', '.join(missing)}")


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    """Print the list of known failures at the end of each run."""
    for line in _read_known_red(config.rootpath / KNOWN_RED_FILE).values():
        terminalreporter.write_line(f"known red: {line}")


def _read_known_red(path: Path) -> dict[str, str]:
    """Return the lines of the list by test id; empty if there is no list."""
    if not path.exists():
        return {}
    lines = [line for line in path.read_text().splitlines() if line.strip()]
    if len(lines) > MAX_KNOWN_RED:
        raise pytest.UsageError(f"{path.name}: {len(lines)} lines, {MAX_KNOWN_RED} at most")
    return {line.partition(",")[0].strip(): line for line in lines}


def _file_of(test_id: str) -> Path:
    return Path(test_id.partition("::")[0])
