"""The decisions of one gateway instance: events in, actions out, no clock and no socket."""

from storage_gateway.policy.policy import Policy

__all__ = ["Policy"]
