"""What the policy remembers and estimates: records and estimators without a decision.

``storage_gateway.policy`` fills and reads them. The shared record is ``PolicyState``.
"""

from storage_gateway.policy_state.class_estimate import ClassEstimate
from storage_gateway.policy_state.estimators import FAST_GAIN, bisect_decreasing, clamp
from storage_gateway.policy_state.node import Node
from storage_gateway.policy_state.reject_reason import RejectReason, longest_wait
from storage_gateway.policy_state.request import Attempt, Request
from storage_gateway.policy_state.state import PolicyState
from storage_gateway.policy_state.status import take_status_fields
from storage_gateway.policy_state.timer_queue import Subject, WatchDue

__all__ = [
    "FAST_GAIN",
    "Attempt",
    "ClassEstimate",
    "Node",
    "PolicyState",
    "RejectReason",
    "Request",
    "Subject",
    "WatchDue",
    "bisect_decreasing",
    "clamp",
    "longest_wait",
    "take_status_fields",
]
