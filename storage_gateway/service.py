"""The daemon: wiring, signals and the log."""

from __future__ import annotations

import asyncio
import gc
import os
import signal
import sys

import structlog

from storage_gateway import policy_api as api
from storage_gateway.config import GatewayConfig, read_configuration
from storage_gateway.endpoints.codec import read_endpoint_update
from storage_gateway.endpoints.registry import EndpointRegistry
from storage_gateway.endpoints.watch import DiscoveryClient
from storage_gateway.errors import ConfigurationError, ProtocolError
from storage_gateway.http.node_client import NodeClient
from storage_gateway.http.server import DRAIN, HttpServer
from storage_gateway.lifecycle import RequestExecutor
from storage_gateway.logging import configure_logging
from storage_gateway.sftp.node_client import SftpNodeClient
from storage_gateway.sftp.server import SftpServer
from storage_gateway.vrrp.transport import VrrpTransport

FIRST_LIST = 1.0  # seconds for discovery's first word, after which the old list has to do
LEAST_ACCEPTING = 0.75  # seconds after SIGTERM in which everything is accepted at the least
ANSWERS = 2.0  # times the shortest aim: what is kept for what is taken last
EXIT = 0.15  # seconds kept for the exit itself
log = structlog.get_logger()


def accepting_time(last: float, aims: list[float]) -> float:
    """Seconds for which a front that leaves goes on taking requests: while the quickest class can be served.

    Guards the clients of a front that is not back before it is ended: none else serves them meanwhile. What
    comes of a slower class has its answer by ``last`` all the same.
    """
    return max(LEAST_ACCEPTING, last - ANSWERS * min(aims))


class FileService:
    """The front for file commands, where it is on; with VRRP it is open while this instance is master."""

    def __init__(self, front: SftpServer | None = None, carrier: VrrpTransport | None = None) -> None:
        self.front, self.carrier = front, carrier

    @classmethod
    async def start(
        cls, config: GatewayConfig, executor: RequestExecutor, registry: EndpointRegistry
    ) -> FileService:
        if config.sftp is None:
            return cls()
        sessions = config.connection_budget.sftp_sessions
        boxes = SftpNodeClient(
            registry, config.sftp.node_port, config.connect_timeout_s, config.idle_close_s, sessions
        )
        front = SftpServer(config.sftp, executor, boxes, sessions)
        if config.vrrp is None:
            await front.open()
            return cls(front)

        async def changed(master: bool) -> None:
            await (
                front.open() if master else front.close(config.sftp.command_timeout_s if config.sftp else 0.0)
            )

        carrier = VrrpTransport(config.vrrp, changed)
        await carrier.start()
        return cls(front, carrier)

    async def close(self, patience: float) -> None:
        if self.carrier:
            await self.carrier.stop()
        if self.front:
            await self.front.close(patience)
            self.front.boxes.close()


async def run(config: GatewayConfig) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    executor, registry = RequestExecutor(config.settings), EndpointRegistry(config.zone_indexes)
    boxes = NodeClient(
        registry, config.connect_timeout_s, config.idle_close_s, config.connection_budget.node_connections
    )
    callers = (
        config.settings.gateway_count if config.settings.must_watch_endpoints else 1
    )  # of one discovery, no agent of ours
    discovery = DiscoveryClient(config.discovery, registry, executor.post, callers, config.seed)
    if config.known_endpoints:
        try:
            discovery.take(read_endpoint_update(config.known_endpoints), api.EndpointUpdateKind.CACHED)
        except ProtocolError as error:
            log.warning("known_list_skipped", why=str(error))
    began = loop.time()

    def ready() -> bool:
        """The list is known: by discovery's word or, where that comes in turn, by the old copy."""
        turn = callers > 1 and bool(registry.endpoints)
        return turn or discovery.heard.is_set() or loop.time() - began > FIRST_LIST

    front = HttpServer(config, executor, boxes, ready)
    discovery.start()

    def reload() -> None:
        """SIGHUP: the file is read again, and kept out as a whole where it has a fault."""
        try:
            moved, waiting = config.reload(read_configuration(os.environ))
        except ConfigurationError as error:
            log.error("reload_failed", why=str(error))
            return
        log.info("reloaded", discovery=config.discovery, moved=moved, next_start=waiting)
        if moved:
            discovery.move(config.discovery)

    loop.add_signal_handler(signal.SIGHUP, reload)
    try:
        front.listen()
        files = await FileService.start(config, executor, registry)
    except OSError as error:
        raise ConfigurationError("listen", f"{error}") from error
    executor.status_sources += [boxes.status_fields, discovery.status_fields, front.status_fields]
    executor.start_status_log()
    gc.collect()
    gc.freeze()  # what the start made stays; later collections pass over it
    log.info(
        "ready",
        name=config.name,
        listen=front.address,
        nodes=len(registry.endpoints),
        callers=callers,
        gateway_count=config.settings.gateway_count,
        latency_objectives_s=[kind.latency_objective_s for kind in config.settings.classes],
        safety=config.settings.safety,
        slow_start_units=config.settings.slow_start_units,
        spare=executor.policy.spare,
        max_retry_after_s=config.settings.max_retry_after_s,
    )
    await stop.wait()
    log.info("leaving", open=len(executor.pending))
    last = config.notice() - EXIT
    executor.begin_shutdown(last - DRAIN)
    accepting = accepting_time(last, [kind.latency_objective_s for kind in config.settings.classes])

    async def close_files() -> None:
        await asyncio.sleep(LEAST_ACCEPTING)
        await files.close(last - LEAST_ACCEPTING)

    async def close_front() -> None:
        await asyncio.sleep(accepting)
        await front.close()

    try:
        async with asyncio.timeout(last):
            await asyncio.gather(close_front(), close_files())
    except TimeoutError:
        log.warning("left_unanswered", open=len(executor.pending))
    discovery.stop()
    boxes.close()
    log.info("left")


def main() -> int:
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # until the loop handles it, it would end the process
    configure_logging()
    try:
        asyncio.run(run(read_configuration(os.environ)))
    except ConfigurationError as error:
        print(f"storage_gateway: {error}", file=sys.stderr)
        return 2
    return 0
