"""Adapter to the simulator: reads batches of events from standard input, writes actions to standard output.

A batch is one line of JSON, and so is the reply to it. The simulator runs many gateway instances in one
process, each with its own policy. The adapter only translates; the policies make all decisions.
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
"""A JSON object of the simulator's protocol, whose keys the simulator defines."""

EndpointLists = dict[int, list[api.EndpointEntry]]
"""Endpoint lists by the number under which the simulator refers to them (``Slot``)."""

OUTCOME_BY_DISPOSITION = {
    "completed": api.AttemptOutcome.SERVED,
    "errored": api.AttemptOutcome.ERROR,
    "saturated": api.AttemptOutcome.REJECTED,
    "overdue": api.AttemptOutcome.TIMEOUT,
    "refused_conn": api.AttemptOutcome.CONNECT_FAILED,
    "severed": api.AttemptOutcome.CONNECTION_RESET,
    "recalled": api.AttemptOutcome.CANCELLED,
    "superseded": api.AttemptOutcome.NOT_SENT,
}
ENDPOINT_STATE_BY_NAME = {
    "live": api.EndpointState.SERVING,
    "quiescing": api.EndpointState.DRAINING,
    "dead": api.EndpointState.REMOVED,
}
UPDATE_KIND_BY_MODE = {
    "incr": api.EndpointUpdateKind.DELTA,
    "total": api.EndpointUpdateKind.SNAPSHOT,
    "warm_copy": api.EndpointUpdateKind.CACHED,
    "lost": api.EndpointUpdateKind.UNAVAILABLE,
}
# FIRST reports that a response has begun, which concerns only the client. HEALTH and MAIL reply to queries
# that the policy never sends.
IGNORED_EVENTS = {"FIRST", "HEALTH", "MAIL"}


class SimulatorAdapter:
    """The gateway instances of one simulator process, which share only the decoded endpoint lists."""

    def __init__(self) -> None:
        self._policies: dict[int, Policy] = {}  # by instance number
        self._endpoint_lists: EndpointLists = {}

    def process_batch(self, line: str) -> WireObject:
        """Pass the events of a batch to the policies, and return the reply with their actions.

        Args:
            line: the batch, as one line of JSON.

        Raises:
            WireFormatError: the line is not a batch, or an event in it is malformed or of an unknown type.
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
            raise WireFormatError(f"malformed batch of events: {type(error).__name__}: {error}") from error
        steps: list[WireObject] = []
        for instance, events in events_by_instance.items():
            steps.extend(self._step_policy(instance, now, events))
        return {"round": round_number, "steps": steps}

    def _read_event(self, wire_event: WireObject, events_by_instance: dict[int, list[api.Event]]) -> None:
        """Store an endpoint list, start or stop an instance, or translate an event for its policy.

        Events for an instance that is not running are dropped.
        """
        event_type = wire_event["type"]
        if event_type == "CATALOG":
            entries = [read_endpoint_entry(entry) for entry in wire_event["Elements"]]
            self._endpoint_lists[wire_event["Slot"]] = entries
            return
        instance = wire_event["Head"]
        if event_type == "BORN":
            events_by_instance.pop(instance, None)
            self._policies[instance] = Policy(read_settings(wire_event["Facts"], wire_event["RngSeed"]))
            events_by_instance[instance] = []
        elif event_type == "SHUTDOWN":
            events_by_instance.pop(instance, None)
            self._policies.pop(instance, None)
        elif event_type not in IGNORED_EVENTS:
            event = read_event(event_type, wire_event, self._endpoint_lists)
            if instance in self._policies:
                events_by_instance.setdefault(instance, []).append(event)

    def _step_policy(self, instance: int, now: float, events: list[api.Event]) -> list[WireObject]:
        """Return the actions of an instance's policy for its events in the batch."""
        try:
            actions = self._policies[instance].step(now, events)
        except Exception as error:  # any fault of a policy is reported to the simulator
            message = f"{type(error).__name__}: {error}"
            return [{"type": "INTERNAL_ERROR", "Head": instance, "Msg": message}]
        return [write_action(instance, action) for action in actions]


def serve(input_stream: TextIO, output_stream: TextIO) -> None:
    """Reply to each batch until the input ends.

    Raises:
        WireFormatError: a line is not a valid batch.
    """
    adapter = SimulatorAdapter()
    for line in input_stream:
        output_stream.write(json.dumps(adapter.process_batch(line), separators=(",", ":")) + "\n")
        output_stream.flush()


def main() -> int:
    """Serve the simulator on standard input and output; return the exit status of the process."""
    return run_program("simulator_adapter", lambda: serve(sys.stdin, sys.stdout), WireFormatError)


def read_endpoint_entry(entry: WireObject) -> api.EndpointEntry:
    """Translate one entry of an endpoint list; a missing shard, zone or start time takes its default."""
    shard = entry.get("Pack")
    return api.EndpointEntry(
        id=entry["Shelf"],
        shard=api.NO_SHARD if shard is None else shard,
        zone=entry.get("Area") or 0,
        state=ENDPOINT_STATE_BY_NAME[entry["StageState"]],
        started_at=entry.get("UpSinceS") or 0.0,
    )


def read_event(event_type: str, event: WireObject, endpoint_lists: EndpointLists) -> api.Event:
    """Translate an event for the policy of an instance.

    Raises:
        WireFormatError: the type of the event is unknown.
    """
    if event_type == "ROSTER_CHANGE":
        return _read_endpoints_changed(event, endpoint_lists)
    reader = _EVENT_READERS.get(event_type)
    if reader is None:
        raise WireFormatError(f"unknown event type {event_type!r}")
    return reader(event)


def write_action(instance: int, action: api.Action) -> WireObject:
    """Translate an action of an instance's policy for the simulator."""
    match action:
        case api.SendAttempt(request_id, node_id):
            return {"type": "ROUTE", "Head": instance, "Req": request_id, "Shelf": node_id}
        case api.RejectRequest(request_id, retry_after_s):
            return {"type": "SAY_NO", "Head": instance, "Req": request_id, "WaitS": retry_after_s}
        case api.FailRequest(request_id):
            return {"type": "SURRENDER", "Head": instance, "Req": request_id}
        case api.CancelAttempt(request_id, attempt_number):
            return {"type": "DROP_ATTEMPT", "Head": instance, "Req": request_id, "Shot": attempt_number}
        case api.SetTimer(delay_s, timer_id):
            return {"type": "TIMER", "Head": instance, "AfterS": delay_s, "Ref": timer_id}
        case api.WatchEndpoints():
            return {"type": "WATCH", "Head": instance, "On": True}


def _read_endpoints_changed(event: WireObject, endpoint_lists: EndpointLists) -> api.EndpointsChanged:
    kind = UPDATE_KIND_BY_MODE[event["Mode"]]
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
        attempt_number=event["Shot"],
        node_id=event["Shelf"],
        outcome=OUTCOME_BY_DISPOSITION[event["Disposition"]],
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
