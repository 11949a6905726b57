"""The gateway process: builds and starts one instance, reloads it on SIGHUP and shuts it down on SIGTERM."""

from __future__ import annotations

import asyncio
import os
import signal
from dataclasses import replace
from typing import TYPE_CHECKING

import structlog

from storage_gateway.config import GatewayConfig, read_configuration
from storage_gateway.endpoints.codec import read_endpoint_update
from storage_gateway.endpoints.discovery import DiscoveryClient
from storage_gateway.endpoints.registry import EndpointRegistry, EndpointUpdate
from storage_gateway.errors import ConfigurationError, ProtocolError
from storage_gateway.http.node_client import NodeClient
from storage_gateway.http.server import HttpServer
from storage_gateway.lifecycle import RequestExecutor
from storage_gateway.logging import configure_logging
from storage_gateway.memory import MemoryBudget, configure_garbage_collection, read_resident_bytes
from storage_gateway.program import run_program
from storage_gateway.shutdown_schedule import MIN_ACCEPT_TIME_S, ShutdownSchedule

if TYPE_CHECKING:
    from storage_gateway.sftp_service import SftpService

# Without a message of discovery, the gateway reports that it is ready after these seconds.
READY_TIMEOUT_S = 1.0  # without a cached list: there is nothing to wait for but discovery
CACHED_READY_TIMEOUT_S = 8.5  # with one that is not used yet; platforms expect a restart to take 10 s at most
CLOSE_OVERRUN_S = 0.1  # for a close that the event loop has delayed; it takes from the time for the exit

log = structlog.get_logger()


class Gateway:
    """One gateway instance with all its parts. It must be created in a running event loop."""

    def __init__(self, config: GatewayConfig) -> None:
        settings = config.settings
        self._config = config
        self._loop = asyncio.get_running_loop()
        self._memory_budget = MemoryBudget.allocate(config.memory_limit_bytes, read_resident_bytes())
        self._executor = RequestExecutor(replace(settings, max_records=self._memory_budget.records))
        self._registry = EndpointRegistry(config.zone_indexes)
        self._node_client = NodeClient(
            self._registry,
            config.connect_timeout_s,
            config.idle_close_s,
            config.connection_budget.node_connections,
            self._memory_budget.response_bytes,
        )
        # Number of instances that call the same discovery service; 1 if this one has a local agent.
        self._discovery_clients = settings.gateway_count if settings.must_watch_endpoints else 1
        self._discovery = DiscoveryClient(
            config.discovery, self._registry, self._executor.post, self._discovery_clients, config.seed
        )
        self._cached_list = self._read_cached_list()  # handed over to the discovery client at the start
        self._ready_timeout_s = CACHED_READY_TIMEOUT_S if self._cached_list else READY_TIMEOUT_S
        self._start_time = self._loop.time()
        self._http_server = HttpServer(
            config, self._executor, self._node_client, self.is_ready, self._memory_budget
        )
        self._sftp_service: SftpService | None = None

    def is_ready(self) -> bool:
        """Return whether discovery has sent a list, or has been silent for as long as a start may take.

        A gateway that is ready without a list rejects each request at once.
        """
        if self._discovery.connected.is_set():
            return True
        return self._loop.time() - self._start_time > self._ready_timeout_s

    async def start(self) -> None:
        """Start the endpoint watch and the listeners, and log that this instance is ready.

        Raises:
            ConfigurationError: if a configured address cannot be listened on.
        """
        self._discovery.start(self._cached_list)
        self._cached_list = None
        self._loop.add_signal_handler(signal.SIGHUP, self.reload)
        try:
            self._http_server.listen()
            self._sftp_service = await self._start_sftp_service()
        except OSError as error:
            raise ConfigurationError("listen", f"{error}") from error
        self._executor.status_sources += [
            self._memory_budget.status_fields,
            self._node_client.status_fields,
            self._discovery.status_fields,
            self._http_server.status_fields,
        ]
        self._executor.start_status_log()
        configure_garbage_collection()
        self._log_ready()

    def reload(self) -> None:
        """Reload the configuration on SIGHUP; an invalid one changes nothing."""
        try:
            result = self._config.apply_reload(read_configuration(os.environ))
        except ConfigurationError as error:
            log.error("reload_failed", reason=str(error))
            return
        log.info(
            "reload_applied",
            discovery=self._config.discovery,
            discovery_moved=result.discovery_moved,
            deferred_keys=result.deferred_keys,
        )
        if result.discovery_moved:
            self._discovery.move(self._config.discovery)

    async def shut_down(self) -> None:
        """Shut down gracefully: each request has its response before the termination grace period ends.

        Requests are still accepted for a while, as their clients have no other instance to send them to.
        Then the listeners and the idle connections are closed.
        """
        started_at = self._loop.time()
        schedule = ShutdownSchedule.fit(
            self._config.termination_grace_period_s(), self._latency_objectives_s()
        )
        log.info("shutdown_started", pending=len(self._executor.pending), schedule=schedule)
        self._executor.begin_shutdown(schedule.response_time_s)
        try:
            async with asyncio.timeout(schedule.close_time_s + CLOSE_OVERRUN_S):
                await asyncio.gather(
                    self._close_http_server(schedule, started_at),
                    self._close_sftp_service(schedule, started_at),
                )
        except TimeoutError:
            log.warning("shutdown_timed_out", pending=len(self._executor.pending))
        self._discovery.stop()
        self._node_client.close()
        await self._discovery.wait_closed()
        log.info("gateway_stopped")

    async def _start_sftp_service(self) -> SftpService | None:
        """Start the SFTP service if it is enabled; otherwise its modules are not even imported."""
        if self._config.sftp is None:
            return None
        from storage_gateway.sftp_service import SftpService

        return await SftpService.start(
            self._config, self._executor, self._registry, self._discovery.list_usable
        )

    def _read_cached_list(self) -> EndpointUpdate | None:
        """Return the endpoint list of the configuration; None if there is none, or it is invalid."""
        if not self._config.cached_endpoints:
            return None
        try:
            return read_endpoint_update(self._config.cached_endpoints)
        except ProtocolError as error:
            log.warning("cached_endpoints_skipped", reason=str(error))
            return None

    def _log_ready(self) -> None:
        settings = self._config.settings
        log.info(
            "gateway_ready",
            name=self._config.name,
            listen=self._http_server.address,
            nodes=len(self._registry.endpoints),
            discovery_clients=self._discovery_clients,
            gateway_count=settings.gateway_count,
            latency_objectives_s=self._latency_objectives_s(),
            safety=settings.safety,
            slow_start_units=settings.slow_start_units,
            memory_budget=self._memory_budget,
            min_excess_rate=self._executor.policy.state.nodes.min_excess_rate,
            max_retry_after_s=settings.max_retry_after_s,
        )

    def _latency_objectives_s(self) -> list[float]:
        return [request_class.latency_objective_s for request_class in self._config.settings.classes]

    async def _close_http_server(self, schedule: ShutdownSchedule, started_at: float) -> None:
        await asyncio.sleep(schedule.accept_time_s)
        await self._http_server.close(started_at + schedule.response_time_s, schedule.linger_s)

    async def _close_sftp_service(self, schedule: ShutdownSchedule, started_at: float) -> None:
        await asyncio.sleep(min(MIN_ACCEPT_TIME_S, schedule.accept_time_s))
        if self._sftp_service is not None:
            await self._sftp_service.close(started_at + schedule.close_time_s - self._loop.time())


async def run_gateway(config: GatewayConfig) -> None:
    """Run one gateway instance until SIGTERM or SIGINT, and shut it down gracefully.

    Raises:
        ConfigurationError: if a configured address cannot be listened on.
    """
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    gateway = Gateway(config)
    await gateway.start()
    await stop_requested.wait()
    await gateway.shut_down()


def main() -> int:
    """Run the gateway as the environment configures it, and return the exit status of the process."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # until ``start`` handles it, it would end the process
    configure_logging()
    return run_program("storage_gateway", _run_from_environment, ConfigurationError)


def _run_from_environment() -> None:
    asyncio.run(run_gateway(read_configuration(os.environ)))
