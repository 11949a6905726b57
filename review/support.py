"""What the cases share: the gateway as a process, and stand-ins for clients, storage nodes and discovery."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import tempfile
import time
import tomllib
import zlib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
READY_TIMEOUT_S = 30.0
READY_POLL_S = 0.05
CASE_TIMEOUT_S = 110.0
FINAL_ANSWER_GRACE_S = 0.5  # "Up to half a second after its time it only earns nothing; later ... it is lost"
WIRE_SLACK_S = 0.05  # "every time limit is longer by 50 ms"
CLIENT_DELAY_S = 0.05  # allowance for the time that the clients of these scripts take themselves
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD = 0
BROKEN = 1
NOT_RUN = 2


class NotRunError(Exception):
    """The case could not run, so it says nothing about the rule."""


class Record:
    """Writes what happened to ``record.txt``, each line with the seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", buffering=1)
        self._start = time.monotonic()

    def line(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{time.monotonic() - self._start:8.3f} {text}\n")


def run_case(play: Callable[[Record, Path], Awaitable[int]], folder: Path) -> int:
    """Run a case with a temporary folder, and return the exit status.

    Args:
        play: plays the case and returns ``HELD`` or ``BROKEN``.
        folder: where ``record.txt`` is written.
    """
    record = Record(folder)

    async def play_once(temporary: Path) -> int:
        task = asyncio.current_task()
        assert task
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        async with asyncio.timeout(CASE_TIMEOUT_S):
            return await play(record, temporary)

    with tempfile.TemporaryDirectory() as temporary:
        try:
            return asyncio.run(play_once(Path(temporary)))
        except (
            Exception,
            asyncio.CancelledError,
        ) as error:  # a fault of the case says nothing about the rule
            record.line(f"not run: {type(error).__name__}: {error}")
            print(f"not run: {type(error).__name__}: {error}")
            return NOT_RUN


def free_port(host: str = "127.0.0.1", kind: socket.SocketKind = socket.SOCK_STREAM) -> int:
    """Return a port that is free at the moment."""
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind((host, 0))
        return int(probe.getsockname()[1])


class GatewayProcess:
    """The program, started by the ``run`` command of the deploy file as the platform does it."""

    def __init__(self, name: str, record: Record, folder: Path, root: Path = ROOT) -> None:
        self.name = name
        self.port = 0
        self.process: asyncio.subprocess.Process | None = None
        self._record = record
        self._folder = folder
        self._root = root
        self._reader: asyncio.Task[None] | None = None

    async def start(self, settings: dict[str, Any], discovery: str, sockets: int = 1024) -> None:
        """Start the process, limited to that many descriptors, and wait until it is ready.

        Raises:
            NotRunError: it did not become ready.
        """
        self.port = free_port()
        listen = f"127.0.0.1:{self.port}"
        config = {
            "name": self.name,
            "listen": listen,
            "discovery": discovery,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets},
            "settings": settings,
        }
        path = self._folder / f"{self.name}.json"
        path.write_text(json.dumps(config))
        run = tomllib.loads((self._root / "deploy" / "balancer.toml").read_text())["run"]
        told = {"NAME": self.name, "LISTEN": listen, "DISCOVERY": discovery, "CONFIG": str(path)}
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh",
            "-c",
            run,
            cwd=self._root,
            env={**os.environ, **{f"RELAY_{name}": value for name, value in told.items()}},
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.PIPE,
        )
        self._reader = asyncio.create_task(self._read_log())
        for _ in range(int(READY_TIMEOUT_S / READY_POLL_S)):
            if await self._is_up():
                self._record.line(f"{self.name}: answers 200 to GET /up on port {self.port}")
                return
            await asyncio.sleep(READY_POLL_S)
        raise NotRunError(f"{self.name} is not ready")

    async def _is_up(self) -> bool:
        """Return whether it answers 200 to ``GET /up``; from then on, clients may use it."""
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        except OSError:
            return False
        writer.write(b"GET /up HTTP/1.1\r\nHost: api.internal\r\nConnection: close\r\n\r\n")
        try:
            return b" 200 " in await reader.readline()
        except OSError:
            return False
        finally:
            writer.close()

    def send_signal(self, number: signal.Signals) -> None:
        """Send the process a signal."""
        assert self.process
        self._record.line(f"{self.name}: {number.name}")
        self.process.send_signal(number)

    async def end(self) -> None:
        """Kill the process if it still runs."""
        if self.process and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
            await self.process.wait()
        if self._reader:
            self._reader.cancel()

    async def _read_log(self) -> None:
        assert self.process
        assert self.process.stderr
        while line := (await self.process.stderr.readline()).decode(errors="replace").rstrip():
            if "status_reported" not in line:
                self._record.line(f"{self.name} log: {line[:300]}")


class StandIn:
    """A server on loopback; ``serve`` handles one connection."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.port = 0
        self.writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    @property
    def address(self) -> str:
        """The address on which it listens."""
        return f"127.0.0.1:{self.port}"

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def reset_connections(self) -> None:
        """Reset all open connections."""
        for writer in self.writers:
            writer.transport.abort()

    def stop(self) -> None:
        """Stop listening and reset the connections."""
        if self._server:
            self._server.close()
        self.reset_connections()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Handle one connection until it ends."""
        raise NotImplementedError

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (EOFError, OSError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()


@dataclass
class NodeRequest:
    """A request that has arrived whole at a storage node."""

    trace_id: str
    method: str
    target: str
    body: bytes
    writer: asyncio.StreamWriter
    headers: dict[str, str] = field(default_factory=dict)


Answer = Callable[[NodeRequest], Awaitable[None]]
"""Writes the answer to a request, and closes the connection where the answer needs that."""


class Node(StandIn):
    """A storage node: it runs each request once its last byte has arrived, and answers it.

    Attributes:
        runs: how often each trace id has run.
    """

    def __init__(self, name: str, record: Record, answer: Answer) -> None:
        super().__init__(record)
        self.name = name
        self.runs: dict[str, int] = {}
        self._answer = answer

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the requests of one connection in turn."""
        while True:
            lines = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
            method, target, _ = lines[0].split(" ")
            headers = dict(line.split(": ", 1) for line in lines[1:] if line)
            body = await reader.readexactly(int(headers.get("Content-Length", 0)))
            trace_id = headers["X-Trace-Id"]
            self.runs[trace_id] = self.runs.get(trace_id, 0) + 1
            expires_ms = headers.get("X-Expires-In-Ms")
            self.record.line(
                f"{self.name}: runs {method} {trace_id}, run {self.runs[trace_id]}, has {expires_ms} ms"
            )
            await self._answer(NodeRequest(trace_id, method, target, body, writer, headers))
            if writer.is_closing():
                return


def length_answer(body: bytes) -> bytes:
    """Return a complete 200 answer with a length."""
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body


class Discovery(StandIn):
    """The agent: the whole list, and a watch whose first object comes at once and whose empty line each 2 s.

    Attributes:
        instances: the entries of the list.
        generation: version of the list.
        indents_watch_list: where set, a new watch gets the whole list, indented by this many blanks; 0 for
            the whole list on one line; None for the changes after the version that it names (there are none).
    """

    def __init__(self, record: Record, instances: list[dict[str, Any]]) -> None:
        super().__init__(record)
        self.instances = instances
        self.generation = 41
        self.indents_watch_list: int | None = None

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer a call for the list, or run a watch."""
        while True:
            target = (await reader.readuntil(b"\r\n\r\n")).decode().split()[1]
            self.record.line(f"discovery: GET {target}")
            if "watch" not in target:
                writer.write(length_answer(json.dumps(self._message(self.instances, True)).encode()))
                continue
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            writer.write(_chunk(self._first_object()))
            while True:
                await writer.drain()
                await asyncio.sleep(2.0)
                writer.write(_chunk(b"\n"))

    def _message(self, instances: list[dict[str, Any]], reset: bool) -> dict[str, Any]:
        return {"generation": self.generation, "reset": reset, "instances": instances}

    def _first_object(self) -> bytes:
        if self.indents_watch_list is None:
            return json.dumps(self._message([], False)).encode() + b"\n"
        text = json.dumps(self._message(self.instances, True), indent=self.indents_watch_list or None)
        self.record.line(
            f"discovery: the watch gets the whole list: {len(text)} bytes, {text.count('{')} objects"
        )
        return text.encode() + b"\n"


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


def entry(name: str, address: str, cell: int) -> dict[str, Any]:
    """Return a serving storage node in discovery's form."""
    return {
        "instanceId": name,
        "hostPort": address,
        "zone": "hall-a",
        "machineType": "small-2c",
        "cell": cell,
        "lifecycle": "SERVING",
        "weight": 1.0,
        "startedAtMs": 0,
    }


@dataclass
class Response:
    """What a client got for a request.

    Attributes:
        status: the answer's status; ``NOT_TAKEN``, ``CLOSED`` or ``SILENT`` if there was no whole answer.
        seconds: from the last byte of the request to the end.
    """

    status: int
    seconds: float


NOT_TAKEN = -2  # the connection was refused
CLOSED = -1  # the connection ended without a whole answer
SILENT = 0  # nothing came while the client waited


class Clients:
    """Usual clients: each is new, asks once, and keeps its connection until the front ends it.

    Attributes:
        most_open: largest number of connections that they have held at a time.
    """

    def __init__(self, port: int, record: Record, nodes: list[Node], wait_s: float) -> None:
        self.most_open = 0
        self._port = port
        self._record = record
        self._nodes = nodes
        self._wait_s = wait_s
        self._writers: set[asyncio.StreamWriter] = set()
        self._resting: set[asyncio.Task[None]] = set()

    async def ask(self, request_class: str, trace_id: str, shard: int, timeout_ms: int) -> bool:
        """Send a read and wait for its answer; return whether the rule on final answers was kept for it.

        A late answer is still waited for, to record when it comes; the verdict does not depend on that.
        """
        self._record.line(f"client: sends {trace_id}")
        response = await self._exchange(request_class, trace_id, shard, timeout_ms)
        is_kept = self._is_kept(response, trace_id, timeout_ms / 1000)
        verdict = "kept" if is_kept else "LOST"
        self._record.line(
            f"client: {trace_id} got {response.status} after {response.seconds:.3f} s: {verdict}"
        )
        return is_kept

    def close(self) -> None:
        """Close all connections."""
        for task in self._resting:
            task.cancel()
        for writer in self._writers:
            writer.transport.abort()

    def _is_kept(self, response: Response, trace_id: str, timeout_s: float) -> bool:
        """Return whether the rule holds, with its excuses.

        A refused connection took no request. A connection that the front ended with nothing sent on for its
        first request counts as shut unread: whether the front had read it cannot be seen from outside.
        """
        if response.status == NOT_TAKEN:
            return True
        if response.status == CLOSED:
            return not any(trace_id in node.runs for node in self._nodes)
        limit_s = timeout_s + FINAL_ANSWER_GRACE_S + WIRE_SLACK_S + CLIENT_DELAY_S
        return response.status != SILENT and response.seconds <= limit_s

    async def _exchange(self, request_class: str, trace_id: str, shard: int, timeout_ms: int) -> Response:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self._port)
        except OSError:
            return Response(NOT_TAKEN, 0.0)
        self._writers.add(writer)
        self.most_open = max(self.most_open, len(self._writers))
        head = (
            f"GET /api?block={zlib.crc32(trace_id.encode()):016x} HTTP/1.1\r\nHost: api.internal\r\n"
            f"X-Trace-Id: {trace_id}\r\nX-Qos: {request_class}\r\nX-Plan: prioritario\r\n"
            f"X-Expires-In-Ms: {timeout_ms}\r\n"
            f"X-IO: volume={0x3B4D60021 + shard:016x},units=1,shard={shard},hosts=1\r\n\r\n"
        )
        writer.write(head.encode())
        sent_at = time.monotonic()
        try:
            async with asyncio.timeout(self._wait_s):
                lines = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
                fields = {name.lower(): value for name, _, value in (line.partition(": ") for line in lines)}
                await reader.readexactly(int(fields.get("content-length", 0)))
            status = int(lines[0].split()[1])
        except TimeoutError:
            status = SILENT
        except (EOFError, OSError):
            status = CLOSED
        seconds = time.monotonic() - sent_at
        self._resting.add(asyncio.create_task(self._rest(reader, writer)))
        return Response(status, seconds)

    async def _rest(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError):
            await reader.read()
        self._writers.discard(writer)
        writer.transport.abort()


def small_deployment(shards: int = 9) -> dict[str, Any]:
    """Return settings like those of the example on the wire page."""
    plan = {"CapSlack": 0.0, "Limit": 0.0, "LimitBurst": 0.0}
    lane = {"DedupScope": "all", "MemorySpanS": 5.0, "Streamed": False}
    return {
        "Areas": ["hall-a", "hall-b"],
        "Clients": {"MarksRetry": False},
        "Contracts": [
            {
                **plan,
                "Name": "estandar",
                "BaseRate": 51.0,
                "FloorRate": 41.0,
                "Proportion": 3.0,
                "WorthFactor": 1.0,
            },
            {
                **plan,
                "Name": "prioritario",
                "BaseRate": 85.0,
                "FloorRate": 68.0,
                "Proportion": 4.0,
                "WorthFactor": 1.5,
            },
        ],
        "Discovery": "automatic",
        "Extra": {
            "BeyondShare": 0.05,
            "ChangesData": [False, True, False],
            "ColdUnits": 8.0,
            "Largest": 6,
            "MeanUnits": 1.94,
            "MeterPeriodS": 0.0,
            "SaysOthers": True,
            "Shards": shards,
            "WithinShare": 0.3,
        },
        "Family": "stores",
        "Kinds": ["small-2c"],
        "Lanes": [
            {
                **lane,
                "Name": "stock-read",
                "AimS": 0.2,
                "GiveUpS": 1.2,
                "LateShare": 0.1,
                "Repeat": "repeatable",
                "Worth": 3.0,
            },
            {
                **lane,
                "Name": "stock-move",
                "AimS": 0.3,
                "GiveUpS": 2.5,
                "LateShare": 0.15,
                "Repeat": "once",
                "Worth": 3.0,
            },
            {
                **lane,
                "Name": "stock-export",
                "AimS": 1.5,
                "GiveUpS": 5.0,
                "LateShare": 0.2,
                "Repeat": "repeatable",
                "Worth": 1.0,
            },
        ],
        "Locality": 1,
        "MyNumber": 0,
        "PolicyLimits": {
            "Cancel": True,
            "DialTimeoutS": 0.25,
            "IdleCloseS": 30.0,
            "MaxOpen": 21678,
            "MaxRetryAfterS": 0.5,
            "ParallelTries": False,
            "Peers": False,
            "Probes": False,
            "RetryAfter": True,
            "SendCap": 4,
            "StreamsPerConn": 100,
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
        "Siblings": 3,
        "Tier": 0,
        "Tiers": ["stock-store"],
        "WeightSource": "rough",
    }
