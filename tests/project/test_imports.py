"""The layers of docs/architecture.md: imports run downwards and never in a circle."""

from __future__ import annotations

import ast
from graphlib import TopologicalSorter
from pathlib import Path

import pytest

from tests.support.project import ROOT

PACKAGE = "storage_gateway"
MODULES = {
    ".".join(path.relative_to(ROOT).with_suffix("").parts).removesuffix(".__init__"): path
    for path in (ROOT / PACKAGE).rglob("*.py")
}
BELOW_THE_POLICY = (f"{PACKAGE}.policy", f"{PACKAGE}.policy_state", f"{PACKAGE}.policy_api")


def imported_modules(path: Path) -> set[str]:
    """Return the modules of the package that a file imports, by the names that it imports from them."""
    found: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and node.module and node.module.startswith(PACKAGE):
            submodules = {f"{node.module}.{alias.name}" for alias in node.names} & MODULES.keys()
            found |= submodules or {node.module}
    return found


def test_imports_never_run_in_a_circle() -> None:
    graph = {name: imported_modules(path) - {name} for name, path in MODULES.items()}
    packages = {name for name, path in MODULES.items() if path.name == "__init__.py"}
    for name in packages:
        graph[name] = {module for module in graph[name] if not module.startswith(f"{name}.")}

    order = list(TopologicalSorter(graph).static_order())  # raises CycleError where there is one

    assert set(order) == set(MODULES)


@pytest.mark.parametrize("package", BELOW_THE_POLICY)
def test_the_policy_uses_nothing_around_it(package: str) -> None:
    allowed = BELOW_THE_POLICY[BELOW_THE_POLICY.index(package) :]
    modules = [path for name, path in MODULES.items() if name == package or name.startswith(f"{package}.")]

    imported = set().union(*[imported_modules(path) for path in modules])

    assert modules
    assert all(name.startswith(allowed) for name in imported), imported


def test_the_policy_reads_no_clock_and_opens_no_socket() -> None:
    forbidden = {"asyncio", "datetime", "os", "select", "socket", "subprocess", "threading", "time"}
    for name, path in MODULES.items():
        if name.startswith(BELOW_THE_POLICY):
            imports = [node for node in ast.walk(ast.parse(path.read_text())) if isinstance(node, ast.Import)]
            assert not forbidden & {alias.name for node in imports for alias in node.names}, name
