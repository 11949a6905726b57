"""The requests in hand: queued, in flight, ordered by key, and those that lately failed."""

from __future__ import annotations

from storage_gateway.policy_state.node_table import NodeTable
from storage_gateway.policy_state.request import FailedTry, Request, RetryIdentity


class RequestTable:
    """Requests by id, by shard and by key; ``PolicyState`` owns it.

    Attributes:
        by_id: all that are owed an answer or have attempts in flight.
        queues: requests that wait for a node, by shard.
        key_queues: requests of ordered classes, by key, oldest first.
        key_ready_at: until when an ordered key waits after an attempt that may still be executed.
        failed_tries: requests that were not served lately.
        to_review: requests to check, if still queued after this step, for whether waiting has any use.
    """

    def __init__(self, nodes: NodeTable) -> None:
        self._nodes = nodes
        self.by_id: dict[str, Request] = {}
        self.queues: dict[int, list[Request]] = {}
        self.key_queues: dict[int, list[Request]] = {}
        self.key_ready_at: dict[int | None, float] = {}
        self.failed_tries: dict[RetryIdentity, FailedTry] = {}
        self.to_review: list[Request] = []

    def add(self, request: Request) -> None:
        """Take in a request that has arrived."""
        self.by_id[request.request_id] = request
        if request.ordering_key is not None:
            self.key_queues.setdefault(request.ordering_key, []).append(request)
        self.enqueue(request)

    def enqueue(self, request: Request) -> None:
        """Have the request wait for a node."""
        self.queues.setdefault(request.shard, []).append(request)
        self._nodes.mark_ready(request.shard)
        self.to_review.append(request)

    def take_to_review(self) -> list[Request]:
        """Return the requests to check that still wait for a node, each once."""
        waiting = dict.fromkeys(request for request in self.to_review if request.is_waiting)
        self.to_review = []
        return list(waiting)

    def is_first_of_key(self, request: Request) -> bool:
        """No older request of its key is in hand."""
        return request.ordering_key is None or self.key_queues[request.ordering_key][0] is request

    def leave_queue(self, request: Request) -> None:
        """Take the request out of its queue where it waits in one."""
        queue = self.queues.get(request.shard, [])
        if request in queue:
            queue.remove(request)

    def remember_failed_try(self, request: Request, now: float) -> None:
        """Keep it in mind for its client's retry, where it names an object."""
        if request.retry_identity.object_key is not None:
            self.failed_tries[request.retry_identity] = FailedTry(request.arrived_at, now)

    def forget(self, request: Request) -> None:
        """Drop a request that is over and has nothing in flight; the next one of its key may go."""
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
        """Drop empty queues, keys that have cooled down, and tries that failed before ``oldest``."""
        self.failed_tries = {
            identity: failed for identity, failed in self.failed_tries.items() if failed.ended_at > oldest
        }
        self.key_queues = {key: queue for key, queue in self.key_queues.items() if queue}
        self.queues = {shard: queue for shard, queue in self.queues.items() if queue}
        self.key_ready_at = {key: ready_at for key, ready_at in self.key_ready_at.items() if ready_at > now}
