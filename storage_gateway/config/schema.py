"""The configuration of a gateway instance as typed values, and what a reload changes of it."""

from __future__ import annotations

from dataclasses import dataclass, field, fields
from typing import Any, Final

from storage_gateway import policy_api as api

# Descriptors that are no client's and no storage node's: listeners, the log, two endpoint watches (both are
# open while discovery moves), configuration files and connections that are still closing.
RESERVED_DESCRIPTORS = 56
MAX_SFTP_SESSIONS = 32
DESCRIPTORS_PER_SFTP_SESSION = 3  # the client's connection, a node connection in use and an idle one
MIN_DESCRIPTORS_PER_SFTP_SESSION = 12  # available ones, so that all sessions take a quarter of them at most
DESCRIPTORS_PER_IDLE_CLIENT = 6

MAX_GRACE_TIMEOUT_S = 3.0  # longer client timeouts do not lengthen the termination grace period
GRACE_MARGIN_S = 0.7  # which the platform adds to the client timeout

# Metadata of a field whose change in a reloaded file takes effect at the next start only.
DEFERRED_ON_RELOAD: Final = {"deferred_on_reload": True}


@dataclass(slots=True, frozen=True)
class Address:
    """A host name or IP address, without brackets, and a TCP port or, for VRRP, a UDP port."""

    host: str
    port: int


@dataclass(slots=True, frozen=True)
class VolumePath:
    """A path of the SFTP service: the files below ``prefix`` belong to one volume.

    Attributes:
        prefix: an absolute path without a trailing slash.
        volume_id: the volume, as requests name it to the policy.
        plan_index: index of the volume's plan in ``Settings.plans``.
        shard: the shard that holds the volume; ``api.NO_SHARD`` for none.
        gateway_count: how many gateway instances serve the volume.
    """

    prefix: str
    volume_id: int
    plan_index: int
    shard: int
    gateway_count: int


@dataclass(slots=True, frozen=True)
class SftpConfig:
    """The SFTP service, from the ``sftp`` table of the services file.

    Attributes:
        listen: address on which clients connect.
        volumes: the paths served, the longest prefix first, so that the first match is the closest.
        read_class: index of the request class of reads and listings.
        write_class: index of the request class of uploads and changes.
        node_port: port of the storage nodes' file service; 0 for the port that discovery lists.
        max_upload_bytes: the most that is buffered for an upload.
        unit_bytes: bytes that count as one unit of a request's size.
        max_handles: file handles that a session may have open at once.
        idle_timeout_s: seconds that a client's connection may stay open without a command.
        command_timeout_s: seconds for a command, as the protocol states no deadline.
    """

    listen: Address
    volumes: list[VolumePath]
    read_class: int
    write_class: int
    node_port: int
    max_upload_bytes: int
    unit_bytes: int
    max_handles: int
    idle_timeout_s: float
    command_timeout_s: float


@dataclass(slots=True, frozen=True)
class VrrpConfig:
    """The virtual router, from the ``vrrp`` table of the services file.

    Attributes:
        listen: address on which advertisements are received.
        peers: addresses to which advertisements are sent.
        router_id: virtual router id, from 1 to 255.
        priority: this instance's priority, from 1 to 255.
        interval_s: seconds between advertisements.
        preempt: whether a higher priority takes over from a master of a lower one.
        addresses: the virtual IP addresses that are advertised.
    """

    listen: Address
    peers: list[Address]
    router_id: int
    priority: int
    interval_s: float
    preempt: bool
    addresses: list[str]


@dataclass(slots=True, frozen=True)
class ConnectionBudget:
    """How the process's file descriptors are shared out.

    A request in flight holds its client's connection and at most one to a storage node, so as many
    descriptors are kept for nodes as for clients, and no attempt fails for want of one.

    Attributes:
        client_connections: the most client connections over HTTP.
        idle_client_connections: idle ones beyond which each closes with its response: half of what clients
            open.
        node_connections: the most connections to storage nodes.
        sftp_sessions: the most SFTP sessions; 0 where the service is off.
    """

    client_connections: int
    idle_client_connections: int
    node_connections: int
    sftp_sessions: int

    @classmethod
    def of(cls, sockets: int, sftp_enabled: bool) -> ConnectionBudget:
        """Share out a limit of ``sockets`` descriptors."""
        available = sockets - RESERVED_DESCRIPTORS
        sessions = (
            min(MAX_SFTP_SESSIONS, available // MIN_DESCRIPTORS_PER_SFTP_SESSION) if sftp_enabled else 0
        )
        half = (available - DESCRIPTORS_PER_SFTP_SESSION * sessions) // 2
        return cls(
            client_connections=half,
            idle_client_connections=sockets // DESCRIPTORS_PER_IDLE_CLIENT,
            node_connections=half,
            sftp_sessions=sessions,
        )


@dataclass(slots=True, frozen=True)
class ReloadResult:
    """What a reload of the configuration did.

    Attributes:
        discovery_moved: whether the file names another discovery address, which now counts.
        deferred_keys: fields of ``GatewayConfig`` that changed and wait for the next start.
    """

    discovery_moved: bool
    deferred_keys: list[str]


@dataclass(slots=True)
class GatewayConfig:
    """All that a gateway instance is configured with.

    Fields with ``DEFERRED_ON_RELOAD`` are compared on a reload, and their changes reported.

    Attributes:
        name: the instance's name, for the log.
        listen: address on which HTTP clients connect.
        discovery: address of the discovery service in use; ``RELAY_DISCOVERY`` or a reload sets it.
        seed: seed of the instance's random numbers.
        connection_budget: limits on the numbers of connections.
        known_endpoints: an earlier endpoint list in discovery's JSON form, not yet checked; empty for none.
        settings: the policy's settings.
        class_indexes: index of each request class by its name.
        plan_indexes: index of each plan by its name.
        client_timeouts_s: by class, the most seconds that its clients wait; infinite where nothing is said.
        class_is_write: by class, whether it changes data; empty where nothing is said.
        shard_count: number of shards, which count from 0; 0 where nothing is said.
        zone_indexes: index of each zone by its name.
        connect_timeout_s: seconds for a connection to a storage node.
        idle_close_s: seconds after which an idle node connection is closed.
        configured_discovery: discovery's address as the file has it, whatever ``RELAY_DISCOVERY`` says.
        sftp: the SFTP service; None where it is off.
        vrrp: the virtual router; None where it is off.
    """

    name: str = field(metadata=DEFERRED_ON_RELOAD)
    listen: Address = field(metadata=DEFERRED_ON_RELOAD)
    discovery: Address
    seed: int
    connection_budget: ConnectionBudget = field(metadata=DEFERRED_ON_RELOAD)
    known_endpoints: Any
    settings: api.Settings = field(metadata=DEFERRED_ON_RELOAD)
    class_indexes: dict[str, int] = field(metadata=DEFERRED_ON_RELOAD)
    plan_indexes: dict[str, int] = field(metadata=DEFERRED_ON_RELOAD)
    client_timeouts_s: list[float]
    class_is_write: list[bool]
    shard_count: int
    zone_indexes: dict[str, int]
    connect_timeout_s: float = field(metadata=DEFERRED_ON_RELOAD)
    idle_close_s: float = field(metadata=DEFERRED_ON_RELOAD)
    configured_discovery: Address
    sftp: SftpConfig | None = field(default=None, metadata=DEFERRED_ON_RELOAD)
    vrrp: VrrpConfig | None = field(default=None, metadata=DEFERRED_ON_RELOAD)

    def termination_grace_period_s(self) -> float:
        """Seconds from SIGTERM to SIGKILL: the longest client timeout, 3 s at most, and 0.7 s more."""
        return min(MAX_GRACE_TIMEOUT_S, max(self.client_timeouts_s)) + GRACE_MARGIN_S

    def apply_reload(self, new: GatewayConfig) -> ReloadResult:
        """Take over the address of discovery from a configuration that was read anew.

        An address that changed in the file wins over ``RELAY_DISCOVERY``, as the environment of a running
        process cannot be changed from outside. ``known_endpoints`` and ``seed`` count at a start only, and
        their changes are not reported; the policy's settings hold the seed too, so it is made equal first.
        """
        new.settings.seed = self.settings.seed
        deferred_keys = self._changed_keys_that_wait(new)
        discovery_moved = new.configured_discovery != self.configured_discovery
        self.configured_discovery = new.configured_discovery
        if discovery_moved:
            self.discovery = new.configured_discovery
        return ReloadResult(discovery_moved, deferred_keys)

    def _changed_keys_that_wait(self, new: GatewayConfig) -> list[str]:
        return [
            key.name
            for key in fields(self)
            if key.metadata == DEFERRED_ON_RELOAD and getattr(self, key.name) != getattr(new, key.name)
        ]
