"""KNOWN-RED.txt: tests that fail for a fault that is known, one a line: test, cause, issue; three at most.

Each has to fail: one that passes turns the run red, so that its line goes with the mend.
"""

from __future__ import annotations

from pathlib import Path

import pytest

MOST = 3


def read(path: Path) -> dict[str, str]:
    lines = [line for line in path.read_text().splitlines() if line.strip()] if path.exists() else []
    if len(lines) > MOST:
        raise pytest.UsageError(f"{path.name}: {len(lines)} lines, {MOST} at most")
    return {line.partition(",")[0].strip(): line for line in lines}


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    known = read(config.rootpath / "KNOWN-RED.txt")
    whole = {Path(item.nodeid.partition("::")[0]) for item in items}
    found = set()
    for item in items:
        if item.nodeid in known:
            found.add(item.nodeid)
            item.add_marker(pytest.mark.xfail(reason=known[item.nodeid], strict=True))
    lost = [name for name in known if name not in found and Path(name.partition("::")[0]) in whole]
    if lost and not config.getoption("keyword") and not any("::" in arg for arg in config.args):
        raise pytest.UsageError(f"KNOWN-RED.txt: no such test: {', '.join(lost)}")


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    for line in read(config.rootpath / "KNOWN-RED.txt").values():
        terminalreporter.write_line(f"known red: {line}")
