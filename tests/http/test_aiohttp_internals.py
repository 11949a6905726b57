"""The undocumented parts of aiohttp that are used, checked against the installed version."""

from __future__ import annotations

import ast
import asyncio
import inspect
from pathlib import Path
from unittest import mock

import aiohttp
import pytest
from aiohttp import web
from aiohttp.http import HttpResponseParser

from storage_gateway.http import aiohttp_internals
from tests.support.project import ROOT

PUBLIC_MODULES = {"aiohttp", "aiohttp.web", "aiohttp.abc", "aiohttp.typedefs"}
PACKAGE = ROOT / "storage_gateway" / "http"


class TestAiohttpInternals:
    """The assumptions of ``aiohttp_internals`` about aiohttp."""

    def test_installed_version_is_the_pinned_and_verified_one(self) -> None:
        assert aiohttp.__version__ == aiohttp_internals.AIOHTTP_VERSION
        assert (
            f"aiohttp=={aiohttp_internals.AIOHTTP_VERSION}" in (ROOT / "requirements.txt").read_text().split()
        )

    @pytest.mark.parametrize(
        "name", ["_waiter", "_messages", "_loop", "_next_keepalive_close_time", "_keepalive_handle"]
    )
    def test_request_handler_has_the_attribute(self, name: str) -> None:
        slots = {slot for base in web.RequestHandler.__mro__ for slot in getattr(base, "__slots__", ())}
        assert name in slots

    def test_request_handler_calls_the_keepalive_method_that_is_overridden(self) -> None:
        assert not inspect.signature(web.RequestHandler._process_keepalive).parameters.keys() - {"self"}
        assert "self._process_keepalive" in inspect.getsource(web.RequestHandler.connection_made)

    def test_server_calls_its_request_factory_with_the_arguments_that_it_takes(self) -> None:
        factory = aiohttp_internals.make_request_factory(mock.Mock(), 1)
        expected = ["message", "payload", "protocol", "writer", "task"]
        assert list(inspect.signature(factory).parameters) == expected
        assert list(inspect.signature(web.Server._make_request).parameters) == ["self", *expected]

    def test_request_takes_the_arguments_that_the_factory_gives_it(self) -> None:
        names = list(inspect.signature(web.BaseRequest.__init__).parameters)
        assert names[:7] == ["self", "message", "payload", "protocol", "payload_writer", "task", "loop"]
        assert "client_max_size" in names

    def test_response_parser_returns_one_message_and_its_body(self) -> None:
        loop = asyncio.new_event_loop()
        parser = aiohttp_internals.make_response_parser(loop, 1024, 1024)
        ((message, payload),) = parser.feed_data(b"HTTP/1.1 200 X\r\nContent-Length: 4\r\n\r\n")[0]
        loop.close()
        assert isinstance(parser, HttpResponseParser)
        assert message.code == 200
        assert message.headers["Content-Length"] == "4"
        assert not message.should_close
        assert not payload.is_eof()


def imported_modules(path: Path) -> set[str]:
    """Return the modules that a source file imports from."""
    modules: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and node.module:
            modules.add(node.module)
        elif isinstance(node, ast.Import):
            modules |= {alias.name for alias in node.names}
    return modules


@pytest.mark.parametrize("path", sorted(PACKAGE.glob("*.py")), ids=lambda path: path.name)
def test_only_aiohttp_internals_imports_modules_that_are_not_public(path: Path) -> None:
    if path.name != "aiohttp_internals.py":
        imported = {name for name in imported_modules(path) if name.partition(".")[0] == "aiohttp"}
        assert imported <= PUBLIC_MODULES
