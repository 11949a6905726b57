"""Middleware for aiohttp.web that lets the policy decide when, and for which storage node, a handler runs.

The handler finds the id of the node in ``request[NODE]``. As in the gateway itself, the policy may retry a
request: the handler then runs again, but only if no earlier run had an effect or the request's class allows a
repeated execution.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from aiohttp import web
from aiohttp.typedefs import Handler, Middleware

from storage_gateway import policy_api as api
from storage_gateway.errors import NotExecutedError
from storage_gateway.lifecycle import AttemptResult, Rejected, RequestExecutor, Served

NODE = web.RequestKey("node", int)
MIN_SERVER_ERROR_STATUS = 500

RequestDescriber = Callable[[web.Request], Awaitable[api.RequestArrived | None]]
"""Returns the event that reports a request to the policy, or None for a request that is not scheduled."""


def scheduled(executor: RequestExecutor, describe_request: RequestDescriber) -> Middleware:
    """Return a middleware that schedules the requests of an application.

    Args:
        executor: runs the policy and its attempts.
        describe_request: returns the event that reports a request to the policy. If it returns None, the
            handler runs at once, without a node.
    """

    @web.middleware
    async def middleware(request: web.Request, handler: Handler) -> web.StreamResponse:
        arrival = await describe_request(request)
        if arrival is None:
            return await handler(request)
        handler_runner = _HandlerRunner(request, handler)
        match await executor.execute(arrival, handler_runner.attempt):
            case Served(response) if response is not None:
                return _respond(response)
            case Rejected(retry_after_s):
                headers = {"Retry-After": f"{retry_after_s:.3f}"} if retry_after_s > 0 else None
                return web.Response(status=503, headers=headers)
        if handler_runner.last_response is None:
            return web.Response(status=502)
        return _respond(handler_runner.last_response)

    return middleware


@dataclass(slots=True)
class _HandlerRunner:
    """Runs the handler of one request, once for each attempt.

    Attributes:
        last_response: the handler's most recent response; None if no run has produced one.
    """

    request: web.Request
    handler: Handler
    last_response: web.StreamResponse | None = None

    async def attempt(self, node_id: int) -> AttemptResult[web.StreamResponse]:
        """Run the handler for this node.

        A response whose transmission to the client has begun counts as served whatever its status, as it
        cannot be replaced any more.
        """
        self.request[NODE] = node_id
        try:
            response = await self.handler(self.request)
        except NotExecutedError:
            return AttemptResult(api.AttemptOutcome.REJECTED)
        except web.HTTPException as error:
            response = error
        self.last_response = response
        if response.status < MIN_SERVER_ERROR_STATUS or response.prepared:
            return AttemptResult(api.AttemptOutcome.SERVED, response)
        return AttemptResult(api.AttemptOutcome.ERROR, response)


def _respond(response: web.StreamResponse) -> web.StreamResponse:
    """Return the response, or raise it if it is an exception, as aiohttp requires of a middleware."""
    if isinstance(response, web.HTTPException):
        raise response
    return response
