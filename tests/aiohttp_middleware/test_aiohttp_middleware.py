"""The middleware on a common aiohttp.web application, with handlers in the place of boxes."""

from __future__ import annotations

import unittest

from aiohttp import web
from aiohttp.test_utils import TestClient, TestServer

from storage_gateway import policy_api as api
from storage_gateway.aiohttp_middleware import NODE, scheduled
from storage_gateway.endpoints.registry import EndpointRegistry
from storage_gateway.errors import NotExecutedError
from storage_gateway.lifecycle import RequestExecutor
from tests.support.peers import apply_endpoints, make_endpoint, make_two_class_settings
from tests.support.policy import make_plan


class MiddlewareCase(unittest.IsolatedAsyncioTestCase):
    async def ask(self, method: str, script: list[object], node: bool = True) -> tuple[int, list[int | None]]:
        """The status, and the node of each run of the handler, which does as scripted."""
        executor = RequestExecutor(
            make_two_class_settings(plans=[make_plan(expected_rate=80.0, reserved_rate=80.0)])
        )
        if node:
            executor.post(apply_endpoints(EndpointRegistry({}), make_endpoint("s-0", 1), is_snapshot=True))
        runs: list[int | None] = []

        async def handler(request: web.Request) -> web.Response:
            runs.append(request.get(NODE))
            match script.pop(0):
                case Exception() as error:
                    raise error
                case status:
                    return web.Response(status=int(str(status)))

        async def describe(request: web.Request) -> api.RequestArrived | None:
            if request.path == "/free":
                return None
            kind = int(request.method == "PUT")
            return api.RequestArrived(
                executor.new_request_id(), kind, 0, 1, 1, 0, 1.0, executor.now() + 1.0, 1
            )

        app = web.Application(middlewares=[scheduled(executor, describe)])
        app.router.add_route("*", "/{path:.*}", handler)
        async with TestClient(TestServer(app)) as client:
            response = await client.request(method.split()[0], method.split()[1])
            return response.status, runs

    async def test_a_handler_runs_at_the_node_that_the_core_names(self) -> None:
        assert await self.ask("GET /tile", [200]) == (200, [1])
        assert await self.ask("GET /free", [200]) == (200, [None])

    async def test_a_write_runs_again_only_if_it_never_ran(self) -> None:
        assert await self.ask("PUT /tile", [NotExecutedError(), 201]) == (201, [1, 1])
        assert await self.ask("PUT /tile", [500, 201]) == (500, [1])
        assert await self.ask("PUT /tile", [RuntimeError("half done"), 201]) == (502, [1])

    async def test_an_http_exception_is_the_handler_s_answer(self) -> None:
        assert await self.ask("GET /tile", [web.HTTPNotFound()]) == (404, [1])

    async def test_without_a_node_a_request_is_refused(self) -> None:
        assert await self.ask("GET /tile", [200], node=False) == (503, [])
