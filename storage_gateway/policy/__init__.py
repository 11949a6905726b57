"""The policy of one gateway instance: events in, actions out. It reads no clock and opens no socket."""

from storage_gateway.policy.policy import Policy

__all__ = ["Policy"]
