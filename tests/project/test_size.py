"""Limits on the size of files, classes and functions, on formatter skips, and on names of constants."""

from __future__ import annotations

import ast
import re
import tokenize
from dataclasses import dataclass
from pathlib import Path

from tests.support.project import ROOT

MAX_FILE_LINES = 300
MAX_EXPLAINED_FILE_LINES = 400  # for a file whose module docstring explains its length
MAX_EXPLAINED_FILES = 2
MAX_CLASS_LINES = 200
MAX_FUNCTION_LINES = 50
MAX_FORMATTER_SKIPS = 3

FILES = sorted(path for folder in ("storage_gateway", "tests") for path in (ROOT / folder).rglob("*.py"))


@dataclass(frozen=True)
class Definition:
    """A class or function.

    Attributes:
        name: path, line and name of the definition.
        line_count: number of its lines, including the docstring and decorators.
    """

    name: str
    line_count: int


def test_files_are_short_or_explain_their_length() -> None:
    line_counts = {_relative(path): len(path.read_text().splitlines()) for path in FILES}
    long_files = {name: count for name, count in line_counts.items() if count > MAX_FILE_LINES}
    unexplained = {name: count for name, count in long_files.items() if not _explains_its_length(name)}

    assert not unexplained, unexplained
    assert len(long_files) <= MAX_EXPLAINED_FILES, long_files
    assert max(line_counts.values()) <= MAX_EXPLAINED_FILE_LINES, long_files


def test_classes_are_short() -> None:
    classes = [definition for path in FILES for definition in _list_definitions(path, ast.ClassDef)]

    long_classes = [
        class_definition for class_definition in classes if class_definition.line_count > MAX_CLASS_LINES
    ]
    assert classes
    assert not long_classes, long_classes


def test_functions_are_short() -> None:
    functions = [
        definition
        for path in FILES
        for definition in _list_definitions(path, ast.FunctionDef, ast.AsyncFunctionDef)
    ]

    long_functions = [
        function_definition
        for function_definition in functions
        if function_definition.line_count > MAX_FUNCTION_LINES
    ]
    assert functions
    assert not long_functions, long_functions


def test_formatter_is_rarely_skipped() -> None:
    skips = [
        f"{_relative(path)}:{token.start[0]}"
        for path in FILES
        for token in _list_tokens(path)
        if token.type == tokenize.COMMENT and re.search(r"#\s*fmt:\s*(skip|off)", token.string)
    ]

    assert len(skips) <= MAX_FORMATTER_SKIPS, "\n".join(skips)


def test_limits_are_named_max_and_min() -> None:
    forbidden_names = [
        f"{_relative(path)}:{token.start[0]}: {token.string}"
        for path in FILES
        for token in _list_tokens(path)
        if token.type == tokenize.NAME and re.match(r"_*(MOST|LEAST)_", token.string)
    ]

    assert not forbidden_names, "\n".join(forbidden_names)


def _relative(path: Path) -> str:
    return str(path.relative_to(ROOT))


def _explains_its_length(name: str) -> bool:
    """Return whether the module docstring mentions the limit, as one that explains the length does."""
    docstring = ast.get_docstring(ast.parse((ROOT / name).read_text())) or ""
    return f"{MAX_FILE_LINES} lines" in docstring


def _list_definitions(path: Path, *kinds: type[ast.AST]) -> list[Definition]:
    found = []
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ClassDef | ast.FunctionDef | ast.AsyncFunctionDef) and isinstance(
            node, kinds
        ):
            first_line = min([node.lineno, *(decorator.lineno for decorator in node.decorator_list)])
            last_line = node.end_lineno or first_line
            name = f"{_relative(path)}:{first_line}: {node.name}"
            found.append(Definition(name, last_line - first_line + 1))
    return found


def _list_tokens(path: Path) -> list[tokenize.TokenInfo]:
    with path.open("rb") as source:
        return list(tokenize.tokenize(source.readline))
