"""The layers of docs/architecture.md: modules import only lower layers, without cycles."""

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
# From the top layer of the policy to its lowest.
POLICY_LAYERS = (f"{PACKAGE}.policy", f"{PACKAGE}.policy_state", f"{PACKAGE}.policy_api")


def imported_modules(path: Path) -> set[str]:
    """Return the modules of the package that a file imports, with imported names resolved to submodules."""
    found: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and node.module and node.module.startswith(PACKAGE):
            submodules = {f"{node.module}.{alias.name}" for alias in node.names} & MODULES.keys()
            found |= submodules or {node.module}
    return found


def test_imports_have_no_cycle() -> None:
    graph = {name: imported_modules(path) - {name} for name, path in MODULES.items()}
    packages = {name for name, path in MODULES.items() if path.name == "__init__.py"}
    for name in packages:
        graph[name] = {module for module in graph[name] if not module.startswith(f"{name}.")}

    order = list(TopologicalSorter(graph).static_order())  # raises CycleError if there is a cycle

    assert set(order) == set(MODULES)


@pytest.mark.parametrize("package", POLICY_LAYERS)
def test_policy_packages_import_only_lower_layers(package: str) -> None:
    allowed = POLICY_LAYERS[POLICY_LAYERS.index(package) :]
    modules = [path for name, path in MODULES.items() if name == package or name.startswith(f"{package}.")]

    imported = set().union(*[imported_modules(path) for path in modules])

    assert modules
    assert all(name.startswith(allowed) for name in imported), imported


def test_the_policy_reads_no_clock_and_opens_no_socket() -> None:
    forbidden = {"asyncio", "datetime", "os", "select", "socket", "subprocess", "threading", "time"}
    for name, path in MODULES.items():
        if name.startswith(POLICY_LAYERS):
            imports = [node for node in ast.walk(ast.parse(path.read_text())) if isinstance(node, ast.Import)]
            assert not forbidden & {alias.name for node in imports for alias in node.names}, name
