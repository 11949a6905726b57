"""The open requests, queued or in flight, and the recently failed ones."""

from __future__ import annotations

from itertools import islice

from storage_gateway.policy_state.node_table import NodeTable
from storage_gateway.policy_state.request import FailedRequest, Request, RetryIdentity


class RequestTable:
    """Requests by id, by shard and by ordering key; ``PolicyState`` owns it.

    Attributes:
        by_id: requests that await their final response or have attempts in flight, by id.
        queues: requests that wait for a node, by shard.
        key_queues: open requests of ordered classes, by ordering key, oldest first.
        key_ready_at: end of the key cooldown after an attempt that may still be executed, by ordering key.
        failed_requests: requests that recently ended without being served.
        to_review: requests to review at the end of the step, if still queued then.
    """

    def __init__(self, nodes: NodeTable) -> None:
        self._nodes = nodes
        self.by_id: dict[str, Request] = {}
        self.queues: dict[int, list[Request]] = {}
        self.key_queues: dict[int, list[Request]] = {}
        self.key_ready_at: dict[int | None, float] = {}
        self.failed_requests: dict[RetryIdentity, FailedRequest] = {}
        self.to_review: list[Request] = []

    def add(self, request: Request) -> None:
        """Add a request that has arrived, and queue it."""
        self.by_id[request.request_id] = request
        if request.ordering_key is not None:
            self.key_queues.setdefault(request.ordering_key, []).append(request)
        self.enqueue(request)

    def enqueue(self, request: Request) -> None:
        """Queue the request for a node, and have it reviewed."""
        self.queues.setdefault(request.shard, []).append(request)
        self._nodes.mark_ready(request.shard)
        self.to_review.append(request)

    def take_to_review(self) -> list[Request]:
        """Return each request to review that still waits for a node, once, and clear the list."""
        waiting = dict.fromkeys(request for request in self.to_review if request.is_waiting)
        self.to_review = []
        return list(waiting)

    def is_first_of_key(self, request: Request) -> bool:
        """Return whether no older request with the same ordering key is open."""
        return request.ordering_key is None or self.key_queues[request.ordering_key][0] is request

    def dequeue(self, request: Request) -> None:
        """Remove the request from its queue if it waits there."""
        queue = self.queues.get(request.shard, [])
        if request in queue:
            queue.remove(request)

    def remember_failed_request(self, request: Request, now: float) -> None:
        """Remember a request that names an object, to recognize the client's retry of it."""
        if request.retry_identity.object_key is not None:
            self.failed_requests[request.retry_identity] = FailedRequest(request.arrived_at, now)

    def limit_failed_requests(self, max_requests: int) -> None:
        """Drop the requests that failed first if more than so many have failed.

        The client's retry of one that was dropped counts as a new request.
        """
        excess = len(self.failed_requests) - max_requests
        for identity in list(islice(self.failed_requests, max(0, excess))):
            del self.failed_requests[identity]

    def forget(self, request: Request) -> None:
        """Drop a request that is over and has no attempt in flight; the next one of its key may be sent."""
        if not request.is_over or request.in_flight or request.request_id not in self.by_id:
            return
        del self.by_id[request.request_id]
        if request.ordering_key is None:
            return
        queue = self.key_queues[request.ordering_key]
        queue.remove(request)
        if queue:
            self._nodes.mark_ready(queue[0].shard)

    def forget_unused(self, now: float, oldest: float) -> None:
        """Drop empty queues, key cooldowns that are over, and requests that failed before ``oldest``."""
        self.failed_requests = {
            identity: failed for identity, failed in self.failed_requests.items() if failed.ended_at > oldest
        }
        self.key_queues = {key: queue for key, queue in self.key_queues.items() if queue}
        self.queues = {shard: queue for shard, queue in self.queues.items() if queue}
        self.key_ready_at = {key: ready_at for key, ready_at in self.key_ready_at.items() if ready_at > now}
