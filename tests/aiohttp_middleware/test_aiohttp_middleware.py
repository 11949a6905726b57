"""The middleware in an aiohttp.web application, whose handlers stand in for storage nodes."""

from __future__ import annotations

import unittest
from dataclasses import dataclass, field

from aiohttp import web
from aiohttp.test_utils import TestClient, TestServer

from storage_gateway import policy_api as api
from storage_gateway.aiohttp_middleware import NODE, scheduled
from storage_gateway.endpoints.registry import EndpointRegistry
from storage_gateway.errors import NotExecutedError
from storage_gateway.lifecycle import RequestExecutor
from tests.support.configuration import make_two_class_settings
from tests.support.endpoints import apply_endpoints, make_endpoint
from tests.support.policy import make_plan

UNSCHEDULED_PATH = "/free"


@dataclass
class ScriptedHandler:
    """A handler that returns the next status of its script, or raises the next exception.

    Attributes:
        script: results of the runs to come, in order.
        nodes: the node of each run; None for a run without one.
    """

    script: list[int | Exception]
    nodes: list[int | None] = field(default_factory=list)

    async def __call__(self, request: web.Request) -> web.Response:
        self.nodes.append(request.get(NODE))
        step = self.script.pop(0)
        if isinstance(step, Exception):
            raise step
        return web.Response(status=step)


def make_executor(has_node: bool) -> RequestExecutor:
    plan = make_plan(expected_rate=80.0, reserved_rate=80.0)
    executor = RequestExecutor(make_two_class_settings(plans=[plan]))
    if has_node:
        executor.post(apply_endpoints(EndpointRegistry({}), make_endpoint("s-0", 1), is_snapshot=True))
    return executor


async def send_request(
    method: str, path: str, script: list[int | Exception], has_node: bool = True
) -> tuple[int, list[int | None]]:
    """Return the status of the response and, for each run of the handler, its node."""
    executor = make_executor(has_node)
    handler = ScriptedHandler(script)

    async def describe_request(request: web.Request) -> api.RequestArrived | None:
        if request.path == UNSCHEDULED_PATH:
            return None
        return api.RequestArrived(
            request_id=executor.new_request_id(),
            class_index=int(request.method == "PUT"),
            plan_index=0,
            volume_id=1,
            object_key=1,
            shard=0,
            units=1.0,
            deadline=executor.now() + 1.0,
            gateway_count=1,
        )

    app = web.Application(middlewares=[scheduled(executor, describe_request)])
    app.router.add_route("*", "/{path:.*}", handler.__call__)
    async with TestClient(TestServer(app)) as client:
        response = await client.request(method, path)
        return response.status, handler.nodes


class ScheduledTest(unittest.IsolatedAsyncioTestCase):
    """When the policy lets a handler run, and which status the client receives."""

    async def test_a_handler_runs_for_the_node_that_the_policy_names(self) -> None:
        assert await send_request("GET", "/tile", [200]) == (200, [1])
        assert await send_request("GET", UNSCHEDULED_PATH, [200]) == (200, [None])

    async def test_a_write_runs_again_only_if_it_was_not_executed(self) -> None:
        assert await send_request("PUT", "/tile", [NotExecutedError(), 201]) == (201, [1, 1])
        assert await send_request("PUT", "/tile", [500, 201]) == (500, [1])
        assert await send_request("PUT", "/tile", [RuntimeError("half written"), 201]) == (502, [1])

    async def test_an_http_exception_counts_as_the_response(self) -> None:
        assert await send_request("GET", "/tile", [web.HTTPNotFound()]) == (404, [1])

    async def test_without_a_node_a_request_is_rejected(self) -> None:
        assert await send_request("GET", "/tile", [200], has_node=False) == (503, [])
