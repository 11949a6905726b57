"""Middleware for aiohttp.web: handlers run when and where the policy decides, by the daemon's rules.

The handler finds the id of its storage node in ``request[NODE]``. It may run again for the same request, but
only where no run had an effect or the request's class allows a repeat.
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

Describe = Callable[[web.Request], Awaitable[api.RequestArrived | None]]
"""Returns how the policy is to see a request, or None for one that is not scheduled."""


def scheduled(executor: RequestExecutor, describe: Describe) -> Middleware:
    """Return a middleware that schedules the requests of an application.

    Args:
        executor: carries out the requests.
        describe: describes each request to the policy.
    """

    @web.middleware
    async def middleware(request: web.Request, handler: Handler) -> web.StreamResponse:
        arrival = await describe(request)
        if arrival is None:
            return await handler(request)
        runs = _HandlerRuns(request, handler)
        match await executor.execute(arrival, runs.attempt):
            case Served(response) if response is not None:
                return _respond(response)
            case Rejected(retry_after_s):
                headers = {"Retry-After": f"{retry_after_s:.3f}"} if retry_after_s > 0 else None
                return web.Response(status=503, headers=headers)
        if runs.last_response is None:
            return web.Response(status=502)
        return _respond(runs.last_response)

    return middleware


@dataclass(slots=True)
class _HandlerRuns:
    """The runs of a request's handler; each is one attempt."""

    request: web.Request
    handler: Handler
    last_response: web.StreamResponse | None = None

    async def attempt(self, node: int) -> AttemptResult[web.StreamResponse]:
        """Run the handler for this node.

        A response that has begun to reach the client counts as served whatever its status: it cannot be made
        anew.
        """
        self.request[NODE] = node
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
    """Return the response, or raise it where it is an exception, as aiohttp wants it."""
    if isinstance(response, web.HTTPException):
        raise response
    return response
