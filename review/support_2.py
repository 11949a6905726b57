"""Stand-ins for the cases 6 to 10: discovery agent, chunk servers, clients, and the start of a front."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Self, TextIO

ROOT = Path(__file__).resolve().parents[1]
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2
CASE_LIMIT_S = 110.0
BLANK_LINE_EVERY_S = 2.0  # of a watch on which nothing changes, by the protocol page
READY_WITHIN_S = 30.0
VOLUME = "00000003b4d60021"


class CaseError(Exception):
    """The case could not run, for a reason that says nothing about the rule."""


def trouble_is_on() -> bool:
    """Return whether the case runs with its disruption; ``TROUBLE=0`` leaves it out."""
    return os.environ.get("TROUBLE", "1") != "0"


def make_settings(**changes: Any) -> dict[str, Any]:
    """Return the settings of a small deployment: one front, a few chunk servers, three classes, one plan."""
    settings: dict[str, Any] = {
        "Areas": ["hall-a"],
        "Clients": {"MarksRetry": False},
        "Contracts": [
            {
                "Name": "estandar",
                "BaseRate": 400.0,
                "FloorRate": 400.0,
                "Limit": 0.0,
                "LimitBurst": 0.0,
                "CapSlack": 0.0,
                "Proportion": 1.0,
                "WorthFactor": 1.0,
            }
        ],
        "Discovery": "automatic",
        "Extra": {
            "ChangesData": [False, True, False],
            "ColdUnits": 8.0,
            "Largest": 6,
            "MeanUnits": 2.0,
            "SaysOthers": False,
            "Shards": 9,
            "WithinShare": 0.3,
            "BeyondShare": 0.05,
        },
        "Family": "stores",
        "Lanes": [
            _lane("stock-read", 0.2, 1.2, "repeatable", 3.0),
            _lane("stock-move", 0.3, 2.5, "once", 3.0),
            _lane("stock-export", 1.5, 5.0, "repeatable", 1.0),
        ],
        "Locality": 0,
        "MyNumber": 0,
        "PolicyLimits": {
            "Cancel": True,
            "DialTimeoutS": 0.25,
            "IdleCloseS": 30.0,
            "MaxRetryAfterS": 0.5,
            "ParallelTries": False,
            "Peers": False,
            "Probes": False,
            "RetryAfter": True,
            "SendCap": 4,
            "StreamsPerConn": 1,
        },
        "Report": {"Fields": ["avg_ms"], "How": "answers"},
        "Safety": {
            "ColdFrom": 0.15,
            "GraceToAnswerS": 0.008,
            "RampTimeS": 17.0,
            "StopSendingWithinS": 2.0,
            "TipAfterS": 1.0,
            "TipMultiple": 2.0,
        },
        "Siblings": 1,
        "Tiers": ["stock-store"],
        "Tier": 0,
        "WeightSource": "none",
    }
    return {**settings, **changes}


def _lane(name: str, aim_s: float, give_up_s: float, repeat: str, worth: float) -> dict[str, Any]:
    return {
        "Name": name,
        "AimS": aim_s,
        "GiveUpS": give_up_s,
        "Repeat": repeat,
        "DedupScope": "all",
        "MemorySpanS": 5.0,
        "LateShare": 0.1,
        "Streamed": False,
        "Worth": worth,
    }


class Record:
    """The record of a run: what was sent, answered and run, with the seconds since its start."""

    def __init__(self, folder: Path) -> None:
        self._file: TextIO = (folder / "record.txt").open("w", encoding="utf-8")
        self._start = time.monotonic()

    def add(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{time.monotonic() - self._start:9.4f} {text}\n")
        self._file.flush()


@dataclass(slots=True)
class Arrived:
    """A request that has arrived completely at a chunk server."""

    trace_id: str
    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    arrived_at: float


Answer = Callable[[Arrived, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[bool]]
"""Answers a request; returns whether the connection goes on."""


def whole_answer(body: bytes, *fields: str, status: str = "200 OK") -> bytes:
    """Return an answer with its length."""
    lines = [f"HTTP/1.1 {status}", f"Content-Length: {len(body)}", *fields, "", ""]
    return "\r\n".join(lines).encode() + body


class Listener:
    """A TCP listener on a free loopback port, whose connections a subclass serves."""

    def __init__(self) -> None:
        self.port = 0
        self.accepted = 0
        self.writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    @property
    def address(self) -> str:
        """Host and port."""
        return f"127.0.0.1:{self.port}"

    async def start(self) -> Self:
        """Listen; after a stop, on the same port as before."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", self.port)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    def stop(self) -> None:
        """Stop listening, and reset all connections, as the death of a process does."""
        if self._server:
            self._server.close()
        for writer in self.writers:
            writer.transport.abort()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.accepted += 1
        self.writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (EOFError, OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        raise NotImplementedError


class ChunkServer(Listener):
    """A chunk server: reads whole requests one at a time on a connection, and answers each by ``answer``."""

    def __init__(self, name: str, cell: int, record: Record, answer: Answer | None = None) -> None:
        super().__init__()
        self.name = name
        self.cell = cell
        self.record = record
        self.answer: Answer = answer or serve_at_once
        self.arrived: list[Arrived] = []

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve requests until one side ends the connection."""
        while True:
            request = await self._read_request(reader)
            self.arrived.append(request)
            self.record.add(f"{self.name}: request {request.method} {request.trace_id} arrived")
            if not await self.answer(request, reader, writer):
                return

    async def _read_request(self, reader: asyncio.StreamReader) -> Arrived:
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        first, *lines = head.split("\r\n")
        headers = {name.lower(): value for name, value in (line.split(": ", 1) for line in lines if line)}
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        method, target, _ = first.split(" ")
        return Arrived(headers["x-trace-id"], method, target, headers, body, time.monotonic())

    def entry(self, state: str = "SERVING", started_at_ms: int = 0) -> dict[str, Any]:
        """Return this server as discovery lists it."""
        return {
            "instanceId": self.name,
            "hostPort": self.address,
            "zone": "hall-a",
            "machineType": "small-2c",
            "cell": self.cell,
            "lifecycle": state,
            "weight": 1.0,
            "startedAtMs": started_at_ms,
        }


def body_of(request: Arrived) -> bytes:
    """Return the body that belongs to this request alone."""
    return f"the answer made for {request.trace_id}".encode()


async def serve_at_once(request: Arrived, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
    """Serve the request at once, with the body that belongs to it."""
    writer.write(whole_answer(body_of(request)))
    await writer.drain()
    return True


class Agent(Listener):
    """The discovery agent on the front's machine: answers at once with what has been sent to it."""

    def __init__(self, record: Record, name: str = "agent") -> None:
        super().__init__()
        self.name = name
        self.record = record
        self.generation = 40
        self.entries: dict[str, dict[str, Any]] = {}
        self.changes: list[tuple[int, dict[str, Any]]] = []
        self.watches: set[asyncio.Queue[dict[str, Any]]] = set()

    def list_all(self, *entries: dict[str, Any]) -> None:
        """Set entries without telling open watches, as before the start of the front."""
        self.entries |= {entry["instanceId"]: entry for entry in entries}

    def change(self, *entries: dict[str, Any]) -> None:
        """Change entries, and tell the open watches."""
        self.generation += 1
        for entry in entries:
            self.changes.append((self.generation, entry))
            if entry["lifecycle"] == "DELETED":
                self.entries.pop(entry["instanceId"], None)
            else:
                self.entries[entry["instanceId"]] = entry
        message = {"generation": self.generation, "reset": False, "instances": list(entries)}
        self.record.add(f"{self.name}: {json.dumps(message)}")
        for queue in self.watches:
            queue.put_nowait(message)

    def whole_list(self) -> dict[str, Any]:
        """Return the whole list."""
        return {"generation": self.generation, "reset": True, "instances": list(self.entries.values())}

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer calls for the list; a watch lasts until its connection ends."""
        while True:
            target = (await reader.readuntil(b"\r\n\r\n")).decode().split(" ")[1]
            self.record.add(f"{self.name}: call {target}")
            if "watch=1" in target:
                await self.send_changes(writer, target)
                return
            await self.send_list(writer)

    async def send_list(self, writer: asyncio.StreamWriter) -> None:
        """Send the whole list."""
        text = json.dumps(self.whole_list()).encode()
        writer.write(whole_answer(text, "Content-Type: application/json"))
        await writer.drain()

    async def send_changes(self, writer: asyncio.StreamWriter, target: str) -> None:
        """Send the changes after the version in the target, and each later one, as a watch gets them."""
        after = target.partition("after=")[2].partition("&")[0]
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        queue: asyncio.Queue[dict[str, Any]] = asyncio.Queue()
        queue.put_nowait(self._changes_after(after))
        self.watches.add(queue)
        try:
            while not writer.is_closing():
                try:
                    line = json.dumps(await asyncio.wait_for(queue.get(), BLANK_LINE_EVERY_S))
                except TimeoutError:
                    line = ""
                data = line.encode() + b"\n"
                writer.write(b"%x\r\n%s\r\n" % (len(data), data))
                await writer.drain()
        finally:
            self.watches.discard(queue)

    def _changes_after(self, after: str) -> dict[str, Any]:
        if not after.isdecimal() or int(after) < 40:
            return self.whole_list()
        entries = [entry for generation, entry in self.changes if generation > int(after)]
        return {"generation": self.generation, "reset": False, "instances": entries}


@dataclass(slots=True)
class Front:
    """A front, started with the ``run`` command of the deploy file."""

    name: str
    folder: Path
    config: dict[str, Any]
    record: Record
    port: int = 0
    process: asyncio.subprocess.Process | None = None
    variables: dict[str, str] = field(default_factory=dict)

    async def start(self) -> Self:
        """Start the process, and wait until ``GET /up`` is answered with 200."""
        self.port = self.port or free_port()
        self.config = {"name": self.name, "listen": f"127.0.0.1:{self.port}", "seed": "8c1f30", **self.config}
        self.write_config()
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        inherited = {name: value for name, value in os.environ.items() if not name.startswith("RELAY_")}
        log = (self.folder / f"{self.name}.log").open("ab")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh",
            "-c",
            command,
            cwd=ROOT,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=log,
            stderr=log,
            env={**inherited, **self.variables, "RELAY_CONFIG": str(self.folder / f"{self.name}.json")},
        )
        log.close()
        await self._wait_until_up()
        self.record.add(f"front {self.name}: ready")
        return self

    def write_config(self) -> None:
        """Replace the configuration file."""
        path = self.folder / f"{self.name}.json"
        new = path.with_suffix(".new")
        new.write_text(json.dumps(self.config))
        new.replace(path)

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the front."""
        assert self.process
        self.record.add(f"front {self.name}: {number.name}")
        self.process.send_signal(number)

    def is_running(self) -> bool:
        """Return whether the process has not ended."""
        return self.process is not None and self.process.returncode is None

    async def kill(self) -> None:
        """End the process."""
        if self.process and self.process.returncode is None:
            with suppress(ProcessLookupError):
                self.process.kill()
            await self.process.wait()

    async def _wait_until_up(self) -> None:
        until = time.monotonic() + READY_WITHIN_S
        while time.monotonic() < until:
            if not self.is_running():
                raise CaseError(f"the front ended: {(self.folder / f'{self.name}.log').read_text()}")
            with suppress(OSError, EOFError):
                client = await Client.connect(self.port)
                try:
                    status, _ = await client.ask(b"GET /up HTTP/1.1\r\nHost: api.internal\r\n\r\n")
                finally:
                    client.close()
                if status == 200:
                    return
            await asyncio.sleep(0.05)
        raise CaseError("the front was not ready in time")


def free_port() -> int:
    """Return a port that was free a moment ago."""
    import socket

    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


def encode_request(
    trace_id: str,
    block: int,
    *,
    request_class: str = "stock-read",
    expires_ms: int = 1200,
    body: bytes = b"",
    shard: int = 0,
    units: int = 2,
    hosts: int = 1,
    plan: str = "estandar",
    volume: str = VOLUME,
) -> bytes:
    """Encode a request as a usual client sends it: a write with a body, a read without one."""
    lines = [
        f"{'PUT' if body else 'GET'} /api?block={block:016x} HTTP/1.1",
        "Host: api.internal",
        f"X-Trace-Id: {trace_id}",
        f"X-Qos: {request_class}",
        f"X-Plan: {plan}",
        f"X-Expires-In-Ms: {expires_ms}",
        *([f"Content-Length: {len(body)}"] if body else []),
        f"X-IO: volume={volume},units={units},shard={shard},hosts={hosts}",
        "",
        "",
    ]
    return "\r\n".join(lines).encode() + body


class Client:
    """A client's connection to a front; one request at a time."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer
        self.is_reusable = True

    @classmethod
    async def connect(cls, port: int) -> Client:
        """Connect to a front."""
        return cls(*await asyncio.open_connection("127.0.0.1", port))

    async def ask(self, request: bytes) -> tuple[int, bytes]:
        """Send a request, and return status and body of its answer.

        Raises:
            EOFError, OSError: the connection ended without a whole answer.
        """
        self.writer.write(request)
        await self.writer.drain()
        return await self.read_answer()

    async def read_answer(self) -> tuple[int, bytes]:
        """Read one whole answer."""
        head = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *lines = head.split("\r\n")
        headers = {
            name.strip().lower(): value.strip() for name, _, value in (li.partition(":") for li in lines)
        }
        status = int(first.split(" ")[1])
        if headers.get("connection", "").lower() == "close":
            self.is_reusable = False
        if headers.get("transfer-encoding", "").lower() == "chunked":
            return status, await self._read_chunks()
        if "content-length" in headers:
            return status, await self.reader.readexactly(int(headers["content-length"]))
        self.is_reusable = False
        return status, await self.reader.read()

    async def _read_chunks(self) -> bytes:
        body = b""
        while True:
            size = int((await self.reader.readline()).split(b";")[0], 16)
            body += await self.reader.readexactly(size)
            await self.reader.readline()
            if not size:
                return body

    def close(self) -> None:
        """Close the connection."""
        self.writer.transport.abort()


def run_case(file: str, main: Callable[[Record, Path], Awaitable[int]]) -> None:
    """Run a case within its time, and exit with its status."""
    folder = Path(file).resolve().parent
    record = Record(folder)

    async def run() -> int:
        task = asyncio.current_task()
        assert task
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)  # ends the processes too
        with tempfile.TemporaryDirectory() as temporary:
            async with asyncio.timeout(CASE_LIMIT_S):
                return await main(record, Path(temporary))

    try:
        status = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as error:  # a fault of the case says nothing about the rule
        record.add(f"not run: {type(error).__name__}: {error}")
        status = EXIT_NOT_RUN
    verdict = {EXIT_HELD: "held", EXIT_BROKEN: "BROKEN", EXIT_NOT_RUN: "not run"}[status]
    record.add(f"verdict: {verdict}")
    print(f"{folder.name}: {verdict}")
    sys.exit(status)
