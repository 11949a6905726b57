"""The state of the policy: records of nodes, requests and volumes, and estimators.

It takes no decisions; ``storage_gateway.policy`` updates and reads it through ``PolicyState``.
"""

from storage_gateway.policy_state.class_estimate import ClassEstimate
from storage_gateway.policy_state.estimators import RESPONSE_GAIN, bisect_decreasing, clamp
from storage_gateway.policy_state.node import Node
from storage_gateway.policy_state.reject_reason import RejectReason, longest_wait
from storage_gateway.policy_state.request import Attempt, Request
from storage_gateway.policy_state.state import PolicyState
from storage_gateway.policy_state.status import take_status_fields
from storage_gateway.policy_state.timer_queue import EndpointWatchDue, Subject

__all__ = [
    "RESPONSE_GAIN",
    "Attempt",
    "ClassEstimate",
    "EndpointWatchDue",
    "Node",
    "PolicyState",
    "RejectReason",
    "Request",
    "Subject",
    "bisect_decreasing",
    "clamp",
    "longest_wait",
    "take_status_fields",
]
