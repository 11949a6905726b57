"""Only ``policy/`` decides: the deploy file lists its modules, and no other module creates actions."""

from __future__ import annotations

import ast
import tomllib
from collections.abc import Iterable
from pathlib import Path
from typing import get_args

import pytest

from storage_gateway import policy_api
from tests.support.project import ROOT

PACKAGE = ROOT / "storage_gateway"
POLICY = PACKAGE / "policy"
DEPLOY = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
ACTIONS = {action.__name__ for action in get_args(policy_api.Action)}


def unlisted_modules(listed: Iterable[str], modules: Iterable[Path]) -> set[Path]:
    """Return the modules that are not listed, and the listed paths that are not modules."""
    return {ROOT / path for path in listed} ^ set(modules)


def created_actions(source: str) -> list[str]:
    """Return the actions that a module creates, also those imported under another name."""
    tree = ast.parse(source)
    imported = {
        alias.asname or alias.name: alias.name
        for node in ast.walk(tree)
        if isinstance(node, ast.ImportFrom)
        for alias in node.names
    }
    created = []
    for node in ast.walk(tree):
        if isinstance(node, ast.Call):
            name = _called_name(node, imported)
            if name in ACTIONS:
                created.append(f"{name} in line {node.lineno}")
    return created


def test_deploy_file_lists_all_policy_modules() -> None:
    assert unlisted_modules(DEPLOY["policy"], POLICY.rglob("*.py")) == set()


def test_policy_module_that_is_not_listed_is_reported() -> None:
    added = POLICY / "added.py"

    assert unlisted_modules(DEPLOY["policy"], [*POLICY.rglob("*.py"), added]) == {added}
    assert unlisted_modules(DEPLOY["policy"][1:], POLICY.rglob("*.py")) == {ROOT / DEPLOY["policy"][0]}


def test_no_module_outside_the_policy_creates_an_action() -> None:
    outside = [path for path in PACKAGE.rglob("*.py") if not path.is_relative_to(POLICY)]
    created = {str(path): found for path in outside if (found := created_actions(path.read_text()))}

    assert outside
    assert created == {}


@pytest.mark.parametrize("action", sorted(ACTIONS))
def test_action_that_another_module_creates_is_reported(action: str) -> None:
    by_module = f"from storage_gateway import policy_api as api\nqueue.put(api.{action}())"
    by_name = f"from storage_gateway.policy_api import {action}\nqueue.put({action}())"
    by_alias = f"from storage_gateway.policy_api import {action} as Other\nqueue.put(Other())"
    matched = f"match action:\n    case api.{action}():\n        pass"

    for source in (by_module, by_name, by_alias):
        assert created_actions(source) == [f"{action} in line 2"]
    assert created_actions(matched) == []


def test_other_modules_import_only_the_policy_class() -> None:
    for path in PACKAGE.rglob("*.py"):
        if path.is_relative_to(POLICY):
            continue
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.ImportFrom) and _is_policy(node.module or ""):
                assert [alias.name for alias in node.names] == ["Policy"], path
            elif isinstance(node, ast.Import):
                assert not any(_is_policy(alias.name) for alias in node.names), path


def _called_name(call: ast.Call, imported: dict[str, str]) -> str:
    if isinstance(call.func, ast.Attribute):
        return call.func.attr
    if isinstance(call.func, ast.Name):
        return imported.get(call.func.id, call.func.id)
    return ""


def _is_policy(module: str) -> bool:
    return module == "storage_gateway.policy" or module.startswith("storage_gateway.policy.")
