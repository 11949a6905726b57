"""What the configuration holds, as typed values."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from storage_gateway import policy_api as api

SPARE_SOCKETS = 56  # listeners, log, discovery twice, files read, connections whose end is still on its way
MOST_SESSIONS = 32


@dataclass(slots=True, frozen=True)
class Address:
    host: str
    port: int


@dataclass(slots=True, frozen=True)
class VolumePath:
    """Files below ``prefix`` belong to this volume."""

    prefix: str
    volume_id: int
    plan_index: int
    shard: int
    gateway_count: int


@dataclass(slots=True, frozen=True)
class SftpConfig:
    listen: Address
    volumes: list[VolumePath]
    read_class: int
    write_class: int
    node_port: int  # 0: the port that discovery lists
    max_upload_bytes: int
    unit_bytes: int
    max_handles: int
    idle_timeout_s: float  # seconds that a client's connection may stand without a command
    command_timeout_s: float  # seconds for a command, as the protocol states none


@dataclass(slots=True, frozen=True)
class VrrpConfig:
    listen: Address
    peers: list[Address]
    router: int
    priority: int
    interval: float  # seconds between advertisements
    preempt: bool
    addresses: list[str]


@dataclass(slots=True, frozen=True)
class ConnectionBudget:
    """How the descriptors of the process are dealt out. A request in work holds a client's connection and at
    most one to a box, so as many are kept for boxes as for clients, and no attempt wants for one.
    """

    client_connections: int
    idle_client_connections: (
        int  # idle ones beyond which each ends with its answer: half of what clients open
    )
    node_connections: int
    sftp_sessions: int  # of the file front: a client's connection, one at work and an idle one to a box

    @classmethod
    def of(cls, sockets: int, files: bool) -> ConnectionBudget:
        sessions = min(MOST_SESSIONS, (sockets - SPARE_SOCKETS) // 12) if files else 0
        half = (sockets - SPARE_SOCKETS - 3 * sessions) // 2
        return cls(half, sockets // 6, half, sessions)


@dataclass(slots=True)
class GatewayConfig:
    name: str
    listen: Address
    discovery: Address
    seed: int
    connection_budget: ConnectionBudget
    known_endpoints: Any  # the old list in discovery's form, decoded by the platform front
    settings: api.Settings
    class_indexes: dict[str, int]
    plan_indexes: dict[str, int]
    client_timeouts_s: list[float]  # by class: seconds that its clients wait at the most; infinite: not said
    class_is_write: list[bool]  # by class, or empty where nothing is said
    shard_count: int  # counted from 0; 0: nothing is said
    zone_indexes: dict[str, int]
    connect_timeout_s: float
    idle_close_s: float
    configured_discovery: Address  # as the file has it, whatever RELAY_DISCOVERY says
    sftp: SftpConfig | None = None
    vrrp: VrrpConfig | None = None

    def notice(self) -> float:
        """Seconds from SIGTERM to SIGKILL: the longest deadline, 3 s at the most, and 0.7 s more."""
        return min(3.0, max(self.client_timeouts_s)) + 0.7

    def reload(self, new: GatewayConfig) -> tuple[bool, list[str]]:
        """Take what a reload takes: the address of discovery, where the file names a new one. It wins
        over RELAY_DISCOVERY, as a running process cannot be given another. Returns whether it moved, and the
        changed keys that wait for the next start; ``known`` and ``seed`` count at a start only.
        """
        new.settings.seed = self.settings.seed
        kept = (
            "name",
            "listen",
            "connection_budget",
            "settings",
            "class_indexes",
            "plan_indexes",
            "connect_timeout_s",
            "idle_close_s",
            "sftp",
            "vrrp",
        )
        waiting = [key for key in kept if getattr(self, key) != getattr(new, key)]
        moved = new.configured_discovery != self.configured_discovery
        self.configured_discovery = new.configured_discovery
        if moved:
            self.discovery = new.configured_discovery
        return moved, waiting
