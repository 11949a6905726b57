"""SFTP on loopback: a scripted storage node, a client, and a test case that runs a server between them."""

from __future__ import annotations

import asyncio
import unittest
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

from storage_gateway import policy_api as api
from storage_gateway.config import Address, SftpConfig, VolumePath
from storage_gateway.endpoints.registry import EndpointRegistry
from storage_gateway.lifecycle import RequestExecutor
from storage_gateway.sftp import packets
from storage_gateway.sftp.codec import decode_packet, encode_packet, read_packet
from storage_gateway.sftp.fields import DirectoryEntry, FileAttributes, OpenFlags, StatusCode
from storage_gateway.sftp.node_client import SftpNodeClient
from storage_gateway.sftp.server import SftpServer
from tests.support.configuration import make_two_class_settings
from tests.support.endpoints import apply_endpoints, make_endpoint
from tests.support.peers import FakePeer
from tests.support.policy import make_plan

NO_ATTRIBUTES = FileAttributes()
STORE_FLAGS = OpenFlags.WRITE | OpenFlags.CREAT | OpenFlags.TRUNC
PUBLIC_PLAN = make_plan(expected_rate=80.0, reserved_rate=80.0)


@dataclass
class OpenNodeHandle:
    """A file or directory handle that is open at the fake node."""

    path: str
    content: bytearray
    is_directory: bool
    has_unread_entries: bool


class FakeSftpNode(FakePeer):
    """A storage node for SFTP.

    Attributes:
        breaks_after_store: whether the node closes the connection instead of responding to a CLOSE that
            has stored a file.
        never_responds: whether the node reads requests without responding.
        files: content of each file, by path.
        store_counts: number of times that a file was stored, by path; a file is stored at its CLOSE.
        requests: the class names of all packets after the handshake.
        on_handshake: called at each INIT, before the response to it.
        may_respond: responses wait until this event is set, as it is initially.
    """

    def __init__(self, breaks_after_store: bool = False, never_responds: bool = False) -> None:
        super().__init__()
        self.breaks_after_store = breaks_after_store
        self.never_responds = never_responds
        self.files: dict[str, bytes] = {}
        self.store_counts: defaultdict[str, int] = defaultdict(int)
        self.requests: list[str] = []
        self.on_handshake: Callable[[], None] = lambda: None
        self.may_respond = asyncio.Event()
        self.may_respond.set()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Respond to the packets of one connection in turn."""
        handles: dict[bytes, OpenNodeHandle] = {}
        while True:
            packet = decode_packet(await read_packet(reader))
            if isinstance(packet, packets.Init):
                self.on_handshake()
                writer.write(encode_packet(packets.Version(packets.PROTOCOL_VERSION)))
                continue
            self.requests.append(type(packet).__name__)
            if self.never_responds:
                continue
            await self.may_respond.wait()
            response = self._make_response(packet, handles)
            if response is None:
                return
            writer.write(encode_packet(replace(response, request_id=packet.request_id)))

    def _make_response(
        self, packet: packets.Packet, handles: dict[bytes, OpenNodeHandle]
    ) -> packets.Packet | None:
        """Execute a request and return its response; None closes the connection."""
        match packet:
            case packets.Open() | packets.Opendir():
                return self._open(packet, handles)
            case packets.Readdir(handle=handle_id):
                return self._read_directory(handles[handle_id])
            case packets.Write(handle=handle_id, offset=offset, data=data):
                handles[handle_id].content[offset : offset + len(data)] = data
            case packets.Read(handle=handle_id, offset=offset, length=length):
                return packets.Data(0, bytes(handles[handle_id].content[offset : offset + length]))
            case packets.Close(handle=handle_id):
                return self._close(handles.pop(handle_id))
            case packets.Stat(path=path):
                return self._stat(path)
        return packets.Status(0, StatusCode.OK)

    def _open(
        self, packet: packets.Open | packets.Opendir, handles: dict[bytes, OpenNodeHandle]
    ) -> packets.Packet:
        is_directory = isinstance(packet, packets.Opendir)
        is_read = isinstance(packet, packets.Open) and bool(packet.flags & OpenFlags.READ)
        if is_read and packet.path not in self.files:
            return packets.Status(0, StatusCode.NO_SUCH_FILE, "no such file")
        handle_id = b"%d" % packet.request_id
        content = bytearray(self.files.get(packet.path, b""))
        handles[handle_id] = OpenNodeHandle(packet.path, content, is_directory, is_directory)
        return packets.Handle(0, handle_id)

    def _read_directory(self, handle: OpenNodeHandle) -> packets.Packet:
        paths = [path for path in self.files if path.startswith(handle.path)]
        if not handle.has_unread_entries or not paths:
            return packets.Status(0, StatusCode.EOF)
        handle.has_unread_entries = False
        return packets.Name(0, [DirectoryEntry(path, path, FileAttributes()) for path in paths])

    def _close(self, handle: OpenNodeHandle) -> packets.Packet | None:
        content = bytes(handle.content)
        if not handle.is_directory and self.files.get(handle.path) != content:
            self.files[handle.path] = content
            self.store_counts[handle.path] += 1
            if self.breaks_after_store:
                return None
        return packets.Status(0, StatusCode.OK)

    def _stat(self, path: str) -> packets.Packet:
        if path not in self.files:
            return packets.Status(0, StatusCode.NO_SUCH_FILE, "no such file")
        return packets.Attributes(0, FileAttributes(size=len(self.files[path])))


class SftpTestClient:
    """An SFTP client that sends one request at a time."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer
        self.last_request_id = 0

    async def receive(self) -> Any:
        """Return the next packet."""
        return decode_packet(await read_packet(self.reader))

    async def request(self, packet: packets.Packet) -> Any:
        """Send a request with the next id, and return its response."""
        self.last_request_id += 1
        self.writer.write(encode_packet(replace(packet, request_id=self.last_request_id)))
        response = await self.receive()
        assert response.request_id == self.last_request_id, response
        return response

    async def upload(self, path: str, content: bytes) -> packets.Status:
        """Store a file, and return the status of its CLOSE, which reports the outcome of the upload."""
        handle = (await self.request(packets.Open(0, path, STORE_FLAGS, NO_ATTRIBUTES))).handle
        for start in range(0, len(content), 32768):
            await self.request(packets.Write(0, handle, start, content[start : start + 32768]))
        status: packets.Status = await self.request(packets.Close(0, handle))
        return status

    async def list_directory(self, path: str) -> list[str] | packets.Status:
        """Return the names in a directory, or the error status if it cannot be opened."""
        opened = await self.request(packets.Opendir(0, path))
        if isinstance(opened, packets.Status):
            return opened
        names = []
        while isinstance(response := await self.request(packets.Readdir(0, opened.handle)), packets.Name):
            names += [entry.filename for entry in response.entries]
        await self.request(packets.Close(0, opened.handle))
        return names


def assert_status(status: Any, code: StatusCode, message_part: str) -> None:
    """Assert that a response is a status with this code, and that its message contains this text."""
    assert isinstance(status, packets.Status)
    assert status.code == code, status
    assert message_part in status.message


class SftpServerCase(unittest.IsolatedAsyncioTestCase):
    """A test case with an SFTP server for one volume, ``/plats``, and fake storage nodes."""

    async def start(
        self, *nodes: FakeSftpNode, plan: api.Plan = PUBLIC_PLAN, **config_changes: Any
    ) -> SftpTestClient:
        """Start the nodes and a server with an endpoint for the first node, and connect a client."""
        self.executor = RequestExecutor(make_two_class_settings(plans=[plan]))
        self.registry = EndpointRegistry({})
        self.node_client = SftpNodeClient(self.registry, 0, 0.25, 30.0, 32)
        config = replace(make_sftp_config(), **config_changes)
        self.server = SftpServer(config, self.executor, self.node_client, 32)
        await self.server.open()
        self.nodes = [await node.start() for node in nodes]
        if nodes:
            endpoint = make_endpoint("s-0", nodes[0].port)
            self.executor.post(apply_endpoints(self.registry, endpoint, is_snapshot=True))
        self.clients: list[SftpTestClient] = []
        self.addAsyncCleanup(self.stop)
        client = await self.connect()
        client.writer.write(encode_packet(packets.Init(packets.PROTOCOL_VERSION)))
        assert await client.receive() == packets.Version(packets.PROTOCOL_VERSION)
        return client

    async def connect(self) -> SftpTestClient:
        """Connect a client, without the handshake."""
        assert self.server.listener
        port = self.server.listener.sockets[0].getsockname()[1]
        client = SftpTestClient(*await asyncio.open_connection("127.0.0.1", port))
        self.clients.append(client)
        return client

    async def stop(self) -> None:
        """Close everything that ``start`` opened."""
        for client in self.clients:
            client.writer.close()
        await self.server.close(1.0)
        self.node_client.close()
        for node in self.nodes:
            node.stop()


def make_sftp_config() -> SftpConfig:
    """Return the configuration of a server with small limits."""
    return SftpConfig(
        listen=Address("127.0.0.1", 0),
        volumes=[VolumePath("/plats", 7, 0, 0, 1)],
        read_class=0,
        write_class=1,
        node_port=0,
        max_upload_bytes=65536,
        unit_bytes=8192,
        max_handles=4,
        idle_timeout_s=5.0,
        command_timeout_s=1.0,
    )
