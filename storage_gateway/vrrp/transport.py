"""VRRP version 3 (RFC 5798) over UDP.

UDP replaces IP protocol 112. Advertisements go to configured peers instead of a multicast group, so the TTL
is not checked. The checksum covers the VRRP message alone, as the UDP checksum covers the addresses.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Awaitable, Callable

import structlog

from storage_gateway.config import Address, VrrpConfig
from storage_gateway.errors import AdvertisementError
from storage_gateway.vrrp.advertisement import Advertisement, decode_advertisement, encode_advertisement
from storage_gateway.vrrp.router import RouterState, VirtualRouter

log = structlog.get_logger()


class VrrpTransport(asyncio.DatagramProtocol):
    """The UDP socket, clock and timer of a virtual router.

    ``on_mastership_change`` is awaited for each gain (True) and loss (False) of mastership, one at a time and
    in order.
    """

    def __init__(self, config: VrrpConfig, on_mastership_change: Callable[[bool], Awaitable[None]]) -> None:
        self.config = config
        self.router = VirtualRouter(config.priority, config.interval_s, config.preempt, config.listen.host)
        self._on_mastership_change = on_mastership_change
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.DatagramTransport | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._is_master = False
        self._mastership_changes: asyncio.Queue[bool] = asyncio.Queue()
        self._notifier_task: asyncio.Task[None] | None = None

    async def start(self) -> Address:
        """Bind the socket and begin the protocol.

        Returns:
            The address that the socket is bound to.

        Raises:
            OSError: the address cannot be bound.
        """
        address = await self.bind()
        self.begin()
        return address

    async def bind(self) -> Address:
        """Bind the socket; advertisements are ignored until ``begin``.

        Returns:
            The address that the socket is bound to.

        Raises:
            OSError: the address cannot be bound.
        """
        listen = self.config.listen
        self._transport, _ = await self._loop.create_datagram_endpoint(
            lambda: self, local_addr=(listen.host, listen.port)
        )
        return Address(*self._transport.get_extra_info("sockname")[:2])

    def begin(self) -> None:
        """Begin the protocol: from now on this instance may become master."""
        self._notifier_task = asyncio.create_task(self._notify_mastership_changes())
        self._apply_event_result(self.router.startup(self._loop.time()))

    async def stop(self) -> None:
        """Stop; a master announces it, so that a backup need not wait for the master-down interval."""
        self._apply_event_result(self.router.shutdown())
        if self._transport:
            self._transport.close()
        if self._notifier_task:
            self._notifier_task.cancel()
            await asyncio.wait([self._notifier_task])

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Pass an advertisement from a configured peer to the router; log and ignore anything else."""
        source = addr[0]
        try:
            advertisement = self._decode(data, source)
        except AdvertisementError as error:
            log.warning("vrrp_advertisement_ignored", reason=str(error), source=source)
            return
        self._apply_event_result(self.router.advertisement_received(advertisement, source, self._loop.time()))

    def error_received(self, exc: Exception) -> None:
        """Log a failed send; the protocol detects a failed peer by its missing advertisements."""
        log.warning("vrrp_send_failed", reason=str(exc))

    def _decode(self, data: bytes, source: str) -> Advertisement:
        if not any(peer.host == source for peer in self.config.peers):
            raise AdvertisementError("sender is not a configured peer")
        advertisement = decode_advertisement(data)
        if advertisement.router_id != self.config.router_id:
            raise AdvertisementError(
                f"virtual router id is {advertisement.router_id}, expected {self.config.router_id}"
            )
        return advertisement

    def _timer_fired(self) -> None:
        self._apply_event_result(self.router.timer_fired(self._loop.time()))

    def _apply_event_result(self, priority: int | None) -> None:
        """Send the advertisement that an event asked for, set the timer, and queue a mastership change."""
        if priority is not None:
            self._advertise(priority)
        self._set_timer()
        is_master = self.router.state is RouterState.MASTER
        if is_master == self._is_master:
            return
        self._is_master = is_master
        log.info(
            "vrrp_mastership_gained" if is_master else "vrrp_mastership_lost", router=self.config.router_id
        )
        self._mastership_changes.put_nowait(is_master)

    def _set_timer(self) -> None:
        if self._timer:
            self._timer.cancel()
            self._timer = None
        if self.router.timer_due < math.inf:
            self._timer = self._loop.call_at(self.router.timer_due, self._timer_fired)

    def _advertise(self, priority: int) -> None:
        if self._transport is None:
            return
        config = self.config
        message = encode_advertisement(
            Advertisement(config.router_id, priority, config.interval_s, tuple(config.addresses))
        )
        for peer in config.peers:
            self._transport.sendto(message, (peer.host, peer.port))

    async def _notify_mastership_changes(self) -> None:
        """Run until cancelled; an OSError, such as a listener that cannot be opened, is logged."""
        while True:
            is_master = await self._mastership_changes.get()
            try:
                await self._on_mastership_change(is_master)
            except OSError as error:
                log.error("vrrp_mastership_change_failed", is_master=is_master, reason=str(error))
