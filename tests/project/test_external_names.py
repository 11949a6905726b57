"""The names that leave the process: wire fields, settings, log fields and protocol constants.

Clients, storage nodes, operators' tools and stored configuration depend on them. The test fails if a name of
``external_names.txt`` is missing from the file that its heading names.
"""

from __future__ import annotations

import ast
import re
import tomllib
from collections.abc import Iterator
from pathlib import Path
from typing import Any, NamedTuple

import pytest

from tests.support.project import ROOT

LIST = Path(__file__).with_name("external_names.txt")
HEADING = re.compile(r"\[(?P<title>[^:]+): (?P<path>\S+)\]")
SEPARATORS = re.compile(r"[\r\n]+")


class Section(NamedTuple):
    """Names that one file contains.

    Attributes:
        title: what the names are used for.
        path: path of the file, relative to the project's root.
        names: the names, letter for letter.
    """

    title: str
    path: str
    names: list[str]


def read_sections(text: str) -> list[Section]:
    """Parse the list: headings in brackets and one name per line, without blank lines and comments."""
    sections: list[Section] = []
    for line in text.splitlines():
        if heading := HEADING.fullmatch(line):
            sections.append(Section(heading["title"], heading["path"], []))
        elif line and not line.startswith("#"):
            sections[-1].names.append(line)
    return sections


def names_in_toml(text: str) -> set[str]:
    """Return the keys of all tables of a TOML file."""
    return set(_keys_of(tomllib.loads(text)))


def names_in_python(text: str) -> set[str]:
    """Return the names that a module can send out of the process.

    These are its string and bytes literals, the keyword arguments of log calls, the fields of its classes as
    ``Class.field``, and its integer constants as ``NAME = value`` or ``Class.NAME = value``. Docstrings and
    ``__all__`` are skipped. A literal of several lines counts as a whole and as each of its lines, without
    the colon and space that end a header name.
    """
    tree = ast.parse(text)
    skipped = {id(part) for node in ast.walk(tree) if _is_skipped(node) for part in ast.walk(node)}
    names: set[str] = set()
    for node in ast.walk(tree):
        if isinstance(node, ast.Constant) and id(node) not in skipped:
            names.update(_literal_names(node.value))
        elif isinstance(node, ast.Call) and _is_log_call(node):
            names.update(keyword.arg for keyword in node.keywords if keyword.arg)
        elif isinstance(node, ast.ClassDef):
            names.update(_assigned_names(node, f"{node.name}."))
    names.update(_assigned_names(tree, ""))
    return names


def missing_names(section: Section, text: str) -> list[str]:
    """Return the names of a section that are missing from the text of its file."""
    found = names_in_toml(text) if section.path.endswith(".toml") else names_in_python(text)
    return [name for name in section.names if name not in found]


SECTIONS = read_sections(LIST.read_text())


@pytest.mark.parametrize("section", SECTIONS, ids=lambda section: section.title)
def test_external_names_are_in_the_code(section: Section) -> None:
    assert section.names
    assert missing_names(section, (ROOT / section.path).read_text()) == []


@pytest.mark.parametrize(
    ("name", "renamed"),
    [
        ("X-Qos", 'headers.get("X-Class")'),
        ("Host", 'head = "GET / HTTP/1.1\\r\\nServer: "'),
        ("reason", 'log.info("reload_failed", cause="x")'),
        ("reason", "def fail(reason): ...\nreason = 1"),
        ("Address.port", "class Address:\n    host: str\n    tcp_port: int"),
        ("Open.packet_type = 3", "class Open:\n    packet_type = 4"),
        ("EXIT_OK = 0", "EXIT_OK = 1"),
        ("served", '"""served"""'),
        ("served", '__all__ = ["served"]'),
    ],
)
def test_a_renamed_name_is_reported(name: str, renamed: str) -> None:
    assert missing_names(Section("title", "module.py", [name]), renamed) == [name]


def test_a_renamed_key_of_a_data_file_is_reported() -> None:
    section = Section("title", "file.toml", ["sftp", "listen"])

    assert missing_names(section, "[sftp]\nlisten = 1") == []
    assert missing_names(section, "[sftp]\naddress = 'listen'") == ["listen"]


def _keys_of(value: Any) -> Iterator[str]:
    if isinstance(value, dict):
        for key, inner in value.items():
            yield key
            yield from _keys_of(inner)
    elif isinstance(value, list):
        for inner in value:
            yield from _keys_of(inner)


def _is_skipped(node: ast.AST) -> bool:
    """Return whether the node is a docstring or the assignment of ``__all__``."""
    if isinstance(node, ast.Assign):
        return any(isinstance(target, ast.Name) and target.id == "__all__" for target in node.targets)
    return isinstance(node, ast.Expr) and isinstance(node.value, ast.Constant)


def _literal_names(value: object) -> list[str]:
    text = value.decode("latin-1") if isinstance(value, bytes) else value
    if not isinstance(text, str):
        return []
    return [text, *(part.strip(" :") for part in SEPARATORS.split(text))]


def _is_log_call(node: ast.Call) -> bool:
    function = node.func
    return (
        isinstance(function, ast.Attribute)
        and isinstance(function.value, ast.Name)
        and function.value.id == "log"
    )


def _assigned_names(owner: ast.Module | ast.ClassDef, prefix: str) -> Iterator[str]:
    for statement in owner.body:
        if isinstance(statement, ast.AnnAssign) and isinstance(statement.target, ast.Name) and prefix:
            yield f"{prefix}{statement.target.id}"
        elif isinstance(statement, ast.Assign) and isinstance(statement.value, ast.Constant):
            for target in statement.targets:
                if isinstance(target, ast.Name) and isinstance(statement.value.value, int):
                    yield f"{prefix}{target.id} = {statement.value.value}"
