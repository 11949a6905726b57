"""The configuration of a gateway instance as typed values, and the part of it that a reload changes."""

from __future__ import annotations

from dataclasses import dataclass, field, fields, replace
from typing import Any, Final

from storage_gateway import policy_api as api

# File descriptors for neither clients nor storage nodes: listeners, the log, two endpoint watches with up to
# 8 calls each (both are open while discovery moves to another address), configuration files and connections
# that are still closing.
RESERVED_DESCRIPTORS = 56
MAX_SFTP_SESSIONS = 32
DESCRIPTORS_PER_SFTP_SESSION = 3  # the client's connection, a node connection in use and an idle one
MIN_DESCRIPTORS_PER_SFTP_SESSION = 12  # unreserved ones, so that all sessions take at most a quarter
DESCRIPTORS_PER_IDLE_CLIENT = 6

MAX_GRACE_TIMEOUT_S = 3.0  # longer client timeouts do not extend the termination grace period
GRACE_MARGIN_S = 0.7  # added by the platform to the client timeout

# Metadata of a field whose change on a reload takes effect only at the next start.
DEFERRED_ON_RELOAD: Final = {"deferred_on_reload": True}


@dataclass(slots=True, frozen=True)
class Address:
    """A host name or IP address, without brackets, and a TCP port or, for VRRP, a UDP port."""

    host: str
    port: int


@dataclass(slots=True, frozen=True)
class VolumePath:
    """A path that the SFTP service serves: the files below ``prefix`` belong to one volume.

    Attributes:
        prefix: absolute path without a trailing slash.
        volume_id: id of the volume in the policy's requests.
        plan_index: index of the volume's plan in ``api.Settings.plans``.
        shard: the shard that holds the volume; ``api.NO_SHARD`` for none.
        gateway_count: number of gateway instances that serve the volume.
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
        listen: address on which SFTP clients connect.
        volumes: the paths served, the longest prefix first, so that the first match is the most specific.
        read_class: index of the request class of reads and listings.
        write_class: index of the request class of uploads and other changes.
        node_port: port of the storage nodes' SFTP service; 0 for the port that discovery lists.
        max_upload_bytes: maximum number of bytes buffered for an upload.
        unit_bytes: bytes that count as one unit of a request's size.
        max_handles: maximum number of handles that a session may have open.
        idle_timeout_s: seconds that a client's connection may stay open without a command.
        command_timeout_s: seconds within which a command must end, as SFTP requests carry no deadline.
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
        peers: addresses of the other instances, to which advertisements are sent.
        router_id: virtual router id, from 1 to 255; it is the same for all instances of the router.
        priority: this instance's priority, from 1 to 255; with 255 it starts as master.
        interval_s: seconds between two advertisements of a master.
        preempt: whether this instance takes over from a master of lower priority.
        addresses: the virtual IP addresses of the router, which the advertisements list.
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
    """The allocation of the process's file descriptors.

    A request in flight holds its client's connection and at most one to a storage node. As many descriptors
    are therefore kept for nodes as for clients, so that no attempt fails for lack of one.

    Attributes:
        client_connections: maximum number of client connections over HTTP.
        idle_client_connections: number of idle client connections beyond which each connection closes after
            its response: a sixth of the descriptor limit, ``DESCRIPTORS_PER_IDLE_CLIENT`` for each.
        node_connections: maximum number of connections to storage nodes for HTTP requests.
        sftp_sessions: maximum number of SFTP sessions; 0 if the service is off.
    """

    client_connections: int
    idle_client_connections: int
    node_connections: int
    sftp_sessions: int

    @classmethod
    def from_descriptor_limit(cls, max_descriptors: int, sftp_enabled: bool) -> ConnectionBudget:
        """Allocate the descriptors of a process that may open ``max_descriptors`` of them."""
        available = max_descriptors - RESERVED_DESCRIPTORS
        sessions = (
            min(MAX_SFTP_SESSIONS, available // MIN_DESCRIPTORS_PER_SFTP_SESSION) if sftp_enabled else 0
        )
        half = (available - DESCRIPTORS_PER_SFTP_SESSION * sessions) // 2
        return cls(
            client_connections=half,
            idle_client_connections=max_descriptors // DESCRIPTORS_PER_IDLE_CLIENT,
            node_connections=half,
            sftp_sessions=sessions,
        )

    def within(self, max_client_connections: int) -> ConnectionBudget:
        """Return the allocation with so many client connections at most; 0 for no further limit."""
        if not max_client_connections:
            return self
        return replace(
            self,
            client_connections=min(self.client_connections, max_client_connections),
            idle_client_connections=min(self.idle_client_connections, max_client_connections // 2),
        )


@dataclass(slots=True, frozen=True)
class ReloadResult:
    """The effect of a reload of the configuration.

    Attributes:
        discovery_moved: whether the discovery address in the file has changed; the new one is now in use.
        deferred_keys: fields of ``GatewayConfig`` that have changed, but keep their values until a restart.
    """

    discovery_moved: bool
    deferred_keys: list[str]


@dataclass(slots=True)
class GatewayConfig:
    """The whole configuration of a gateway instance.

    A reload compares the fields marked ``DEFERRED_ON_RELOAD`` and reports those that have changed.

    Attributes:
        name: the instance's name, for the log.
        listen: address on which HTTP clients connect.
        discovery: address of the discovery service in use: that of the file, unless ``RELAY_DISCOVERY`` was
            set at the start and no reload has replaced it since.
        seed: seed of the instance's random numbers.
        connection_budget: limits on the numbers of connections.
        memory_limit_bytes: memory beyond which the platform ends the process; 0 for no limit.
        cached_endpoints: an earlier endpoint list in discovery's JSON format, unchecked; empty for none.
        settings: the policy's settings.
        class_indexes: index of each request class by its name.
        plan_indexes: index of each plan by its name.
        client_timeouts_s: by class, the maximum seconds that its clients wait; infinite if not configured.
        class_is_write: by class, whether its requests change data; empty if not configured.
        shard_count: number of shards, which are numbered from 0; 0 if not configured.
        zone_indexes: index of each zone by its name.
        connect_timeout_s: seconds within which a connection to a storage node must be established.
        idle_close_s: seconds after which the storage nodes close an idle connection; the gateway stops
            reusing its own earlier.
        configured_discovery: the discovery address in the file, even if ``RELAY_DISCOVERY`` overrides it; an
            empty host and port 0 if the file has none.
        sftp: the SFTP service; None if it is off.
        vrrp: the virtual router; None if it is off.
    """

    name: str = field(metadata=DEFERRED_ON_RELOAD)
    listen: Address = field(metadata=DEFERRED_ON_RELOAD)
    discovery: Address
    seed: int
    connection_budget: ConnectionBudget = field(metadata=DEFERRED_ON_RELOAD)
    memory_limit_bytes: int = field(metadata=DEFERRED_ON_RELOAD)
    cached_endpoints: Any
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
        """Return the seconds from SIGTERM to SIGKILL: the longest client timeout, at most 3 s, plus 0.7 s."""
        return min(MAX_GRACE_TIMEOUT_S, max(self.client_timeouts_s)) + GRACE_MARGIN_S

    def apply_reload(self, new: GatewayConfig) -> ReloadResult:
        """Adopt the discovery address of a configuration that has been read again.

        An address that has changed in the file overrides ``RELAY_DISCOVERY``, as the environment of a running
        process cannot be changed from outside. ``cached_endpoints`` and ``seed`` apply only at a start, and
        their changes are not reported. The policy's settings hold the seed too, so it is copied into ``new``
        before they are compared.
        """
        new.settings.seed = self.settings.seed
        deferred_keys = self._list_deferred_changes(new)
        discovery_moved = new.configured_discovery != self.configured_discovery
        self.configured_discovery = new.configured_discovery
        if discovery_moved:
            self.discovery = new.configured_discovery
        return ReloadResult(discovery_moved, deferred_keys)

    def _list_deferred_changes(self, new: GatewayConfig) -> list[str]:
        return [
            config_field.name
            for config_field in fields(self)
            if config_field.metadata == DEFERRED_ON_RELOAD
            and getattr(self, config_field.name) != getattr(new, config_field.name)
        ]
