"""Adapter to the simulator's wire: batches of events on standard input, decisions on standard output.

A batch is one line of JSON and has one line of JSON as its answer. The simulator plays many gateway instances
in one process, each of them with a policy of its own. The adapter translates and decides nothing.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Callable
from typing import Any, TextIO

from storage_gateway import policy_api as api
from storage_gateway.config import read_settings
from storage_gateway.errors import WireFormatError
from storage_gateway.policy import Policy
from storage_gateway.program import run_program

WireObject = dict[str, Any]
"""An object of the wire, as it was read from JSON or is to be written; its keys are the simulator's."""

EndpointLists = dict[int, list[api.EndpointEntry]]
"""Endpoint lists by the number that the simulator gave them."""

OUTCOMES = {
    "completed": api.AttemptOutcome.SERVED,
    "errored": api.AttemptOutcome.ERROR,
    "saturated": api.AttemptOutcome.REJECTED,
    "overdue": api.AttemptOutcome.TIMEOUT,
    "refused_conn": api.AttemptOutcome.CONNECT_FAILED,
    "severed": api.AttemptOutcome.CONNECTION_RESET,
    "recalled": api.AttemptOutcome.CANCELLED,
    "superseded": api.AttemptOutcome.NOT_SENT,
}
ENDPOINT_STATES = {
    "live": api.EndpointState.SERVING,
    "quiescing": api.EndpointState.DRAINING,
    "dead": api.EndpointState.REMOVED,
}
UPDATE_KINDS = {
    "incr": api.EndpointUpdateKind.DELTA,
    "total": api.EndpointUpdateKind.SNAPSHOT,
    "warm_copy": api.EndpointUpdateKind.CACHED,
    "lost": api.EndpointUpdateKind.UNAVAILABLE,
}
# The first is of a response that has begun, which concerns the client alone; the others answer questions that
# a policy never puts.
IGNORED_EVENTS = {"FIRST", "HEALTH", "MAIL"}


class SimulatorAdapter:
    """All gateway instances of one process; they share nothing but the endpoint lists as they were read."""

    def __init__(self) -> None:
        self._policies: dict[int, Policy] = {}  # by the number of the instance
        self._endpoint_lists: EndpointLists = {}

    def reply(self, line: str) -> WireObject:
        """Return the answer to one batch.

        Raises:
            WireFormatError: the line is no batch, or holds an event that cannot be read.
        """
        try:
            batch = json.loads(line)
            now = float(batch["TsS"])
            round_number = batch["round"]
            wire_events = batch["news"]
            events_by_instance: dict[int, list[api.Event]] = {}
            for wire_event in wire_events:
                self._read_event(wire_event, events_by_instance)
        except (KeyError, TypeError, ValueError, IndexError, AttributeError) as error:
            raise WireFormatError(f"malformed batch: {type(error).__name__}: {error}") from error
        steps: list[WireObject] = []
        for instance, events in events_by_instance.items():
            steps.extend(self._step(instance, now, events))
        return {"round": round_number, "steps": steps}

    def _read_event(self, wire_event: WireObject, events_by_instance: dict[int, list[api.Event]]) -> None:
        """Keep an endpoint list, start or stop an instance, or translate an event for one."""
        kind = wire_event["type"]
        if kind == "CATALOG":
            entries = [read_entry(entry) for entry in wire_event["Elements"]]
            self._endpoint_lists[wire_event["Slot"]] = entries
            return
        instance = wire_event["Head"]
        if kind == "BORN":
            events_by_instance.pop(instance, None)
            self._policies[instance] = Policy(read_settings(wire_event["Facts"], wire_event["RngSeed"]))
            events_by_instance[instance] = []
        elif kind == "SHUTDOWN":
            events_by_instance.pop(instance, None)
            self._policies.pop(instance, None)
        elif kind not in IGNORED_EVENTS:
            event = read_event(kind, wire_event, self._endpoint_lists)
            if instance in self._policies:
                events_by_instance.setdefault(instance, []).append(event)

    def _step(self, instance: int, now: float, events: list[api.Event]) -> list[WireObject]:
        """Return the actions of one instance on its events of the batch."""
        try:
            actions = self._policies[instance].step(now, events)
        except Exception as error:  # a fault of the policy is reported on the wire, whatever it is
            message = f"{type(error).__name__}: {error}"
            return [{"type": "INTERNAL_ERROR", "Head": instance, "Msg": message}]
        return [write_action(instance, action) for action in actions]


def serve(source: TextIO, sink: TextIO) -> None:
    """Answer batch after batch until the input ends.

    Raises:
        WireFormatError: a line is no batch.
    """
    adapter = SimulatorAdapter()
    for line in source:
        sink.write(json.dumps(adapter.reply(line), separators=(",", ":")) + "\n")
        sink.flush()


def main() -> int:
    """Serve the simulator on standard input and output, and return the exit status of the process."""
    return run_program("simulator_adapter", lambda: serve(sys.stdin, sys.stdout), WireFormatError)


def read_entry(entry: WireObject) -> api.EndpointEntry:
    """Translate one endpoint of a list."""
    shard = entry.get("Pack")
    return api.EndpointEntry(
        node=entry["Shelf"],
        shard=api.NO_SHARD if shard is None else shard,
        zone=entry.get("Area") or 0,
        state=ENDPOINT_STATES[entry["StageState"]],
        started_at=entry.get("UpSinceS") or 0.0,
    )


def read_event(kind: str, event: WireObject, endpoint_lists: EndpointLists) -> api.Event:
    """Translate one event of an instance that is running.

    Raises:
        WireFormatError: its kind is unknown.
    """
    if kind == "ROSTER_CHANGE":
        return _read_endpoints_changed(event, endpoint_lists)
    read = _EVENT_READERS.get(kind)
    if read is None:
        raise WireFormatError(f"unknown event type {kind!r}")
    return read(event)


def write_action(instance: int, action: api.Action) -> WireObject:
    """Translate one action of an instance."""
    match action:
        case api.SendAttempt(request_id, node):
            return {"type": "ROUTE", "Head": instance, "Req": request_id, "Shelf": node}
        case api.RejectRequest(request_id, retry_after_s):
            return {"type": "SAY_NO", "Head": instance, "Req": request_id, "WaitS": retry_after_s}
        case api.FailRequest(request_id):
            return {"type": "SURRENDER", "Head": instance, "Req": request_id}
        case api.CancelAttempt(request_id, attempt):
            return {"type": "DROP_ATTEMPT", "Head": instance, "Req": request_id, "Shot": attempt}
        case api.SetTimer(delay_s, timer_id):
            return {"type": "TIMER", "Head": instance, "AfterS": delay_s, "Ref": timer_id}
        case api.WatchEndpoints():
            return {"type": "WATCH", "Head": instance, "On": True}


def _read_endpoints_changed(event: WireObject, endpoint_lists: EndpointLists) -> api.EndpointsChanged:
    kind = UPDATE_KINDS[event["Mode"]]
    if kind is api.EndpointUpdateKind.UNAVAILABLE:
        return api.EndpointsChanged(kind, [])
    return api.EndpointsChanged(kind, endpoint_lists[event["Slot"]])


def _read_request_arrived(event: WireObject) -> api.RequestArrived:
    return api.RequestArrived(
        request_id=event["Req"],
        class_index=event["Profile"],
        plan_index=event["Contract"],
        volume_id=event["StoreUser"],
        object_key=event.get("Item"),
        shard=int(event["Placement"]),
        units=event.get("CostUnits") or 0.0,
        deadline=event["DeadlineS"],
        gateway_count=int(event.get("NHosts") or 0),
    )


def _read_attempt_ended(event: WireObject) -> api.AttemptEnded:
    return api.AttemptEnded(
        request_id=event["Req"],
        attempt=event["Shot"],
        node=event["Shelf"],
        outcome=OUTCOMES[event["Disposition"]],
        elapsed_s=event["SpentS"],
        request_settled=bool(event.get("Settled")),
        units_elsewhere=float(event.get("OthersGot") or 0.0),
    )


def _read_timer_fired(event: WireObject) -> api.TimerFired:
    return api.TimerFired(event["Ref"])


def _read_client_cancelled(event: WireObject) -> api.ClientCancelled:
    return api.ClientCancelled(event["Req"])


_EVENT_READERS: dict[str, Callable[[WireObject], api.Event]] = {
    "REQ": _read_request_arrived,
    "FINISHED": _read_attempt_ended,
    "BELL": _read_timer_fired,
    "ABORTED": _read_client_cancelled,
}


if __name__ == "__main__":
    sys.exit(main())
