"""A small deployment for the review's scripts: stand-ins, instances and a record.

The stand-ins for the store and the runners follow the users' pages. They run in the
script's process; the instances are processes of their own, started as the deploy file
says. Nothing but the standard library is used.
"""

import asyncio
import base64
import bisect
import contextlib
import json
import os
import random
import shlex
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from collections import defaultdict
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from urllib.parse import parse_qsl, urlsplit

ROOT = Path(__file__).resolve().parent.parent
HOST = "nony24.example"
PREFIX = "/lohu930/"
SERVICE = "tollgate"

MAX_HOLD_S = 10.0
STOP_S = 0.85
"""Time that a stop takes; the bound `stopMs` is 900."""
GANG_TIMEOUT_S = 3.0
STARTUP_S = 0.4
HEARTBEAT_S = 1.1
STORE_S = 0.004
PARTS = 12
MAX_CASE_S = 85.0

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
"""Exit codes of a case."""

SETTINGS = """
node = "edge-{number}"
role = "entry"
machineClass = "edge"
serves = ["edge"]
ip = "127.0.0.1"
zone = "addis-kality"
region = "addis"
internalPorts = [{peer}, {metrics}]
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeatMs = 1100
orders = "call"
[zones]
addis-kality = "addis"
[listen]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
[limits]
cpuShare = 0.537
cores = 2
memoryMb = 300
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[bounds]
contactMs = 4000
ackMs = 5000
drainMs = 2500
graceS = 6
maxHoldMs = 10000
stopMs = 900
gangTimeoutMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
remoteFactor = 3
checkpointS = 0.5
restoreMs = 250
noticeMs = 5500
requireFence = false
leaseMs = 3000
harmMs = 4000
[platform]
address = "127.0.0.1:{store}"
form = "log"
writesPerS = 600
readsPerS = 2000
parts = 12
recordBytes = 262144
callBytes = 2097152
keep_s = 300
minTtlMs = 1000
"""

Handler = Callable[[str, str, dict[str, str], bytes], Awaitable[tuple[int, bytes]]]


class NoAnswerError(Exception):
    """The call gets no answer, and nothing more comes on its connection."""


class CannotRunError(Exception):
    """The deployment didn't come up, or the case lacks what it needs."""


def now() -> float:
    """Return the steady clock in seconds."""
    return time.monotonic()


class Record:
    """The record of a run, kept in memory and written to a file at the end."""

    def __init__(self) -> None:
        self.began_at = now()
        self.lines: list[str] = []

    def write(self, text: str) -> None:
        """Add a line with the time since the beginning."""
        self.lines.append(f"{now() - self.began_at:8.3f} {text}")

    def save(self, path: Path) -> None:
        """Write all lines."""
        path.write_text("\n".join(self.lines) + "\n")


async def _read_message(reader: asyncio.StreamReader) -> tuple[str, bytes]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    length = 0
    for line in head.split("\r\n")[1:]:
        name, _, value = line.partition(":")
        if name.lower() == "content-length":
            length = int(value)
    return head, await reader.readexactly(length) if length else b""


class Server:
    """An HTTP server on loopback whose connections can all be dropped."""

    def __init__(self, handler: Handler) -> None:
        self.handler = handler
        self.server: asyncio.Server | None = None
        self.port = 0
        self.tasks: set[asyncio.Task[None]] = set()

    async def open(self) -> None:
        """Listen, at the port of before if there was one."""
        self.server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port, reuse_address=True
        )
        self.port = self.server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        """Stop listening and reset all connections."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for task in list(self.tasks):
            task.cancel()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        try:
            while True:
                head, body = await _read_message(reader)
                method, target, _ = head.split(" ", 2)
                url = urlsplit(target)
                query = dict(parse_qsl(url.query))
                status, answer = await self.handler(method, url.path, query, body)
                writer.write(
                    f"HTTP/1.1 {status} -\r\nContent-Length: {len(answer)}\r\n"
                    "Content-Type: application/json\r\n\r\n".encode()
                    + answer
                )
                await writer.drain()
        except NoAnswerError:
            with contextlib.suppress(OSError):
                await reader.read()
        except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            writer.transport.abort()


@dataclass
class Partition:
    """One partition of a topic."""

    records: list[bytes] = field(default_factory=list)
    producers: dict[str, tuple[int, int, dict[int, dict[str, Any]]]] = field(
        default_factory=dict
    )
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    newest: dict[str, tuple[int, bytes]] = field(default_factory=dict)
    keys: list[str] = field(default_factory=list)
    indexed: int = 0

    def index(self) -> tuple[dict[str, tuple[int, bytes]], list[str]]:
        """Return the newest record of each key that has a value, and the keys."""
        for offset in range(self.indexed, len(self.records)):
            data = self.records[offset]
            size = 1 + data[0]
            key, value = data[1:size].decode(), data[size:]
            if value:
                self.newest[key] = (offset, value)
            else:
                self.newest.pop(key, None)
        if self.indexed < len(self.records):
            self.indexed = len(self.records)
            self.keys = sorted(self.newest)
        return self.newest, self.keys


@dataclass
class Group:
    """A group: members with their last join, and partitions with their holders."""

    generation: int = 0
    members: dict[str, list[float]] = field(default_factory=dict)
    holders: dict[int, str] = field(default_factory=dict)
    wanted: dict[int, str] = field(default_factory=dict)
    topic: str = ""


class Store:
    """The platform's store: a log of keyed topics, and groups."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.partitions: dict[tuple[str, int], Partition] = defaultdict(Partition)
        self.groups: dict[str, Group] = defaultdict(Group)
        self.leader = -1
        self.writes = 0
        self.lose: Callable[[str, list[bytes]], bool] = lambda topic, records: False

    def put(self, topic: str, key: str, value: bytes, part: int = 0) -> None:
        """Append a keyed record."""
        self._add(
            self.partitions[topic, part],
            [bytes((len(key),)) + key.encode() + value],
        )

    def _add(self, partition: Partition, records: list[bytes]) -> None:
        partition.records += records
        partition.changed.set()
        partition.changed = asyncio.Event()

    def build_handler(self, instance: int) -> Handler:
        """Return the handler of the address that one instance uses."""

        async def handle(
            method: str, path: str, query: dict[str, str], body: bytes
        ) -> tuple[int, bytes]:
            await asyncio.sleep(STORE_S)
            if path == "/v1/log-read":
                return await self._read(query)
            if path == "/v1/log-append":
                return self._append(instance, query, body)
            if path == "/v1/log-newest":
                return 200, json.dumps(self._read_newest(query)).encode()
            if path == "/v1/log-join":
                return 200, json.dumps(self._join(json.loads(body))).encode()
            if path == "/v1/log-leave":
                data = json.loads(body)
                self._remove(self.groups[data["group"]], data["member"])
                return 200, b"{}"
            if path == "/v1/log-owners":
                group = self.groups[query["group"]]
                rows = [[group.topic, p, m, 0] for p, m in group.holders.items()]
                return 200, json.dumps({"parts": rows}).encode()
            return 400, b"{}"

        return handle

    def _append(
        self, instance: int, query: dict[str, str], body: bytes
    ) -> tuple[int, bytes]:
        topic = query["topic"]
        partition = self.partitions[topic, int(query.get("part", 0))]
        records = _split(body)
        status, answer = self._apply(partition, query, records)
        self.writes += 1
        if "producer" in query and status == 200:
            self.leader = instance
        if self.lose(topic, records):
            raise NoAnswerError
        return status, json.dumps(answer).encode()

    def _apply(
        self, partition: Partition, query: dict[str, str], records: list[bytes]
    ) -> tuple[int, dict[str, Any]]:
        end = len(partition.records)
        if "at" in query and int(query["at"]) != end:
            return 412, {"end": end}
        if "producer" not in query:
            self._add(partition, records)
            return 200, {"offset": end, "end": len(partition.records)}
        name, epoch = query["producer"], int(query["epoch"])
        sequence = int(query["sequence"])
        known, last, answers = partition.producers.get(name, (-1, 0, {}))
        if epoch < known:
            return 409, {"reason": "fenced"}
        if epoch == known and sequence in answers:
            return 200, answers[sequence]
        if epoch == known and sequence != last + 1:
            return 409, {"reason": "seq", "sequence": last + 1}
        self._add(partition, records)
        answer = {"offset": end, "end": len(partition.records)}
        kept = {**(answers if epoch == known else {}), sequence: answer}
        newest = {number: kept[number] for number in sorted(kept)[-5:]}
        partition.producers[name] = (epoch, sequence, newest)
        return 200, answer

    async def _read(self, query: dict[str, str]) -> tuple[int, bytes]:
        partition = self.partitions[query["topic"], int(query.get("part", 0))]
        offset = int(query["from"])
        until = now() + int(query.get("waitMs", 0)) / 1000
        while offset >= len(partition.records) and now() < until:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(partition.changed.wait(), until - now())
        body = struct.pack(">QQ", len(partition.records), 0)
        for data in partition.records[offset:]:
            if len(body) > 1_000_000:
                break
            body += struct.pack(">I", len(data)) + data
        return 200, body

    def _read_newest(self, query: dict[str, str]) -> dict[str, Any]:
        partition = self.partitions[query["topic"], int(query.get("part", 0))]
        newest, keys = partition.index()
        first = bisect.bisect_right(keys, query.get("after", ""))
        items: list[dict[str, Any]] = []
        size = 0
        for key in keys[first : first + 500]:
            offset, value = newest[key]
            size += len(value)
            if items and size > 1_000_000:
                break
            text = base64.b64encode(value).decode()
            items.append({"key": key, "value": text, "offset": offset})
        has_more = first + len(items) < len(keys)
        return {"items": items, "hasMore": has_more, "end": len(partition.records)}

    def _join(self, data: dict[str, Any]) -> dict[str, Any]:
        group, name = self.groups[data["group"]], data["member"]
        group.topic = data["topics"][0]
        for member, (joined_at, ttl_s, _) in list(group.members.items()):
            if now() - joined_at > ttl_s and member != name:
                self._remove(group, member)
        is_new = name not in group.members
        group.members[name] = [now(), data["ttlMs"] / 1000, data["generation"]]
        if is_new:
            self._deal(group)
        for part, wanted in group.wanted.items():
            holder = group.holders.get(part)
            if wanted == name and (
                holder is None or group.members[holder][2] >= group.generation
            ):
                group.holders[part] = name
        rows = [
            [group.topic, part, 0]
            for part, holder in group.holders.items()
            if holder == name and group.wanted.get(part) == name
        ]
        return {"generation": group.generation, "parts": rows}

    def _deal(self, group: Group) -> None:
        group.generation += 1
        members = sorted(group.members)
        group.wanted = {p: members[p % len(members)] for p in range(PARTS) if members}

    def _remove(self, group: Group, member: str) -> None:
        if group.members.pop(member, None) is None:
            return
        group.holders = {p: m for p, m in group.holders.items() if m != member}
        self._deal(group)


def _split(body: bytes) -> list[bytes]:
    records, offset = [], 0
    while offset < len(body):
        (size,) = struct.unpack_from(">I", body, offset)
        records.append(body[offset + 4 : offset + 4 + size])
        offset += 4 + size
    return records


@dataclass(eq=False)
class Run:
    """A run at a runner."""

    task: str
    number: int
    began_at: float
    cpu: int
    ends_at: float
    outcome: str
    lasting: bool
    stops_at: float = 0.0
    order: str = ""

    def is_at_work(self) -> bool:
        """Return whether a task that lasts is at work."""
        return self.lasting and now() - self.began_at >= STARTUP_S and not self.stops_at


class Runner:
    """A runner over its lives, which doesn't guard its capacity."""

    def __init__(self, site: "Site", name: str, cpu: int) -> None:
        self.site, self.name, self.cpu = site, name, cpu
        self.server = Server(self._handle)
        self.labels = ("a", "r1-1")
        self.begin()

    def begin(self) -> None:
        """Begin a life that knows nothing of before."""
        self.born = time.time()
        self.clock_from = now()
        self.fence = 0
        self.lease_until = 0.0
        self.running: dict[str, Run] = {}
        self.refused: dict[str, int] = {}
        self.ends: list[list[Any]] = []
        self.end_count = 0
        self.changed = asyncio.Event()

    def clock(self) -> float:
        """Return the runner's clock in seconds."""
        return now() - self.clock_from + 1.0

    def write_entry(self, sequence: int) -> None:
        """Write the runner's entry to the store."""
        entry = {
            "service": SERVICE,
            "address": f"127.0.0.1:{self.server.port}",
            "zone": "addis-kality",
            "version": "v1",
            "slotCount": 8,
            "state": "ready",
            "coldLeftMs": 0,
            "sequence": sequence,
            "capacity": {"cpu": self.cpu, "memMb": 256_000, "gpu": 0},
            "labels": list(self.labels),
            "machine": f"m-{self.name}",
            "clockMs": round(self.clock() * 1000),
            "born": round(self.born * 1000),
        }
        self.site.store.put("keyed.servers", self.name, json.dumps(entry).encode())

    def advance(self) -> None:
        """End the runs whose time has come, and all runs if the lease has lapsed."""
        lapsed = bool(self.running) and self.clock() > self.lease_until
        for run in list(self.running.values()):
            if run.stops_at and now() >= run.stops_at:
                self.end(run, "stopped")
            elif lapsed:
                self.end(run, "lapsed")
            elif not run.stops_at and now() >= run.ends_at:
                self.end(run, run.outcome)

    def end(self, run: Run, how: str) -> None:
        """List the end of a run."""
        del self.running[run.task]
        self.refused[run.task] = max(run.number, self.refused.get(run.task, 0))
        self.end_count += 1
        self.ends.append([self.end_count, run.task, run.number, how, ""])
        self.site.on_end(self, run, how)
        self.changed.set()
        self.changed = asyncio.Event()

    async def _handle(
        self, method: str, path: str, query: dict[str, str], body: bytes
    ) -> tuple[int, bytes]:
        data = json.loads(body)
        self.advance()
        answer: dict[str, Any] = {"clockMs": round(self.clock() * 1000)}
        if data.get("fence", 0) < self.fence:
            return 409, json.dumps({**answer, "reason": "fence"}).encode()
        self.fence = data.get("fence", 0)
        if path == "/v1/hold":
            return 200, json.dumps(await self._hold(data)).encode()
        if path == "/v1/run-start":
            status, more = self._start(data)
        elif path == "/v1/run-stop":
            status, more = self._stop(data)
        else:
            run = self.running.get(data["task"])
            status, more = (200 if run else 409), {}
        return status, json.dumps({**answer, **more}).encode()

    def _extend(self, data: dict[str, Any]) -> None:
        until = min(data.get("untilMs", 0) / 1000, self.clock() + MAX_HOLD_S)
        self.lease_until = max(self.lease_until, until)

    async def _hold(self, data: dict[str, Any]) -> dict[str, Any]:
        self._extend(data)
        last_seen = data.get("lastSeen", 0)
        self.ends = [end for end in self.ends if end[0] > last_seen]
        until = now() + data.get("waitMs", 0) / 1000
        while not self.ends and now() < until:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), until - now())
        self.advance()
        return {
            "clockMs": round(self.clock() * 1000),
            "born": round(self.born * 1000),
            "running": [
                [r.task, r.number, "", self._percent(r), 0]
                for r in self.running.values()
            ],
            "endedRuns": self.ends[:500],
        }

    def _percent(self, run: Run) -> int:
        if run.lasting:
            return 100 if now() - run.began_at >= STARTUP_S else 0
        length = max(run.ends_at - run.began_at, 0.001)
        return min(99, int(100 * (now() - run.began_at) / length))

    def _start(self, data: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        task, number = data["task"], data["run"]
        current = self.running.get(task)
        if current is not None and current.number == number:
            self._extend(data)
            return 200, {}
        if number <= self.refused.get(task, 0):
            self._extend(data)
            return 409, {"reason": "old"}
        if data.get("untilMs", 0) / 1000 <= self.clock():
            return 409, {"reason": "late"}
        self._extend(data)
        length, how, cpu, lasting = self.site.plan_run(task, number)
        run = Run(task, number, now(), cpu, now() + length, how, lasting)
        self.running[task] = run
        self.site.on_start(self, run)
        return 200, {}

    def _stop(self, data: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        task, number = data["task"], data["run"]
        run = self.running.get(task)
        if run is None or run.number != number:
            self.refused[task] = max(number, self.refused.get(task, 0))
            return 200, {}
        if not run.stops_at:
            self.site.on_stop(self, run)
            run.stops_at = now() + self.site.stop_s
        return 200, {}


class Instance:
    """An entry instance, a process with the command of the deploy file."""

    def __init__(self, site: "Site", number: int) -> None:
        self.site, self.number = site, number
        self.store_server = Server(site.store.build_handler(number))
        self.process: subprocess.Popen[bytes] | None = None
        self.ports: dict[str, int] = {}

    async def prepare(self, folder: Path) -> None:
        """Open its store address, choose its ports and write its settings."""
        await self.store_server.open()
        names = ("front", "ready", "peer", "metrics")
        self.ports = dict(zip(names, _find_ports(len(names)), strict=True))
        self.settings = folder / f"edge-{self.number}.toml"
        self.settings.write_text(
            SETTINGS.format(
                number=self.number, store=self.store_server.port, **self.ports
            )
        )
        self.log = folder / f"edge-{self.number}.log"

    def start(self) -> None:
        """Start its process."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = shlex.split(deploy["roles"]["entry"]["run"])
        names = ("PATH", "HOME", "LANG")
        environment = {k: os.environ[k] for k in names if k in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["PLANTAINYARD_CONFIG"] = str(self.settings)
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                command,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to its process."""
        if self.process is not None and self.process.poll() is None:
            self.site.record.write(f"edge-{self.number} gets {number.name}")
            self.process.send_signal(number)

    def wait(self) -> None:
        """Wait until its process has ended."""
        if self.process is not None:
            self.process.wait(15.0)

    def read_memory(self) -> str:
        """Return the memory of its process, as the system tells it."""
        if self.process is None or self.process.poll() is not None:
            return "no process"
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        lines = (line for line in status.splitlines() if line.startswith("VmRSS"))
        return " ".join(next(lines, "").split())

    def end(self) -> None:
        """End its process."""
        if self.process is None:
            return
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()


def _find_ports(count: int) -> list[int]:
    """Return free ports below those that outgoing connections get."""
    source, found = random.SystemRandom(), []
    with contextlib.ExitStack() as stack:
        while len(found) < count:
            port = source.randrange(12_000, 31_000)
            held = stack.enter_context(socket.socket())
            with contextlib.suppress(OSError):
                held.bind(("127.0.0.1", port))
                found.append(port)
    return found


class Site:
    """The deployment with its record, and what runs in it."""

    def __init__(self, instances: int, runners: list[int]) -> None:
        self.record = Record()
        self.store = Store(self.record)
        self.runners = [
            Runner(self, f"i-{number:08x}", cpu) for number, cpu in enumerate(runners)
        ]
        self.instances = [Instance(self, number) for number in range(instances)]
        self.jobs: dict[str, dict[str, Any]] = {}
        self.plans: dict[str, Callable[[int], tuple[float, str]]] = {}
        self.broken: list[str] = []
        self.stop_s = STOP_S
        self.max_attempts = 4
        self.priority = 0
        self.start_watchers: list[Callable[[Runner, Run], None]] = []
        self.stop_watchers: list[Callable[[Runner, Run], None]] = []
        self.end_watchers: list[Callable[[Runner, Run, str], None]] = []

    def plan_run(self, task: str, number: int) -> tuple[float, str, int, bool]:
        """Return how long a run takes, how it ends, its size and whether it lasts."""
        job_id, _, step, _ = task.split(".")
        body = self.jobs[job_id]["steps"][int(step)]
        length, how = 1.0, "done"
        for prefix, plan in self.plans.items():
            if task.startswith(prefix):
                length, how = plan(number)
        lasting = body.get("longRunning", False)
        return length, how, body.get("cpu", 0), lasting

    def break_rule(self, text: str) -> None:
        """Record that the rule is broken."""
        self.record.write(f"BROKEN {text}")
        self.broken.append(text)

    def on_start(self, runner: Runner, run: Run) -> None:
        """Record a start."""
        used = sum(r.cpu for r in runner.running.values())
        self.record.write(
            f"start {run.task} run {run.number} cpu {run.cpu} at {runner.name},"
            f" {used} of {runner.cpu} in use"
        )
        for watch in self.start_watchers:
            watch(runner, run)

    def on_stop(self, runner: Runner, run: Run) -> None:
        """Record the order to stop a run."""
        self.record.write(f"stop ordered {run.task} run {run.number} at {runner.name}")
        for watch in self.stop_watchers:
            watch(runner, run)

    def on_end(self, runner: Runner, run: Run, how: str) -> None:
        """Record an end."""
        self.record.write(f"end {run.task} run {run.number} {how} at {runner.name}")
        for watch in self.end_watchers:
            watch(runner, run, how)

    def write_configuration(self, version: int = 1, **changes: Any) -> None:
        """Write the config with one queue."""
        route = {
            "name": "q",
            "host": HOST,
            "pathPrefix": PREFIX,
            "service": SERVICE,
            "priority": self.priority,
            "maxAttempts": self.max_attempts,
            "stretch": 2.0,
            "targetLatencyMs": 1000,
            **changes,
        }
        config = {
            "version": version,
            "routes": [route],
            "services": [{"name": SERVICE, "admissionCheck": False}],
            "limits": {"maxBodyBytes": 262_144},
        }
        self.store.put("keyed.op", "config", json.dumps(config).encode())

    async def call(
        self, method: str, instance: int, rest: str, body: Any = None
    ) -> tuple[int, Any]:
        """Call an instance as a requester does; the status is 0 without an answer."""
        data = b"" if body is None else json.dumps(body).encode()
        status, answer = await self._send(method, instance, rest, data)
        self.record.write(f"{method} {rest} at edge-{instance}: {status} {answer}")
        return status, answer

    async def _send(
        self, method: str, instance: int, rest: str, data: bytes
    ) -> tuple[int, Any]:
        port = self.instances[instance].ports["front"]
        head = (
            f"{method} {PREFIX}{rest} HTTP/1.1\r\nHost: {HOST}\r\n"
            "Content-Type: application/json\r\nConnection: close\r\n"
            f"Content-Length: {len(data)}\r\n\r\n"
        )
        try:
            async with asyncio.timeout(3.0):
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.write(head.encode() + data)
                answer_head, answer = await _read_message(reader)
                writer.close()
                return int(answer_head.split(" ")[1]), json.loads(answer or b"{}")
        except (TimeoutError, OSError, asyncio.IncompleteReadError, ValueError):
            return 0, None

    async def submit(self, instance: int, job_id: str, **body: Any) -> None:
        """Submit a job, with the retries of a requester, until it is accepted."""
        self.jobs[job_id] = body
        count = len(self.instances)
        for attempt in range(5):
            number = (instance + attempt) % count
            status, _ = await self.call("POST", number, job_id, body)
            if 200 <= status < 300:
                return
            await asyncio.sleep(0.5)
        raise CannotRunError(f"job {job_id} isn't accepted")

    async def wait_for(
        self, condition: Callable[[], Any], seconds: float, what: str
    ) -> Any:
        """Wait until a condition holds."""
        until = now() + seconds
        while now() < until:
            found = condition()
            if found:
                return found
            await asyncio.sleep(0.005)
        raise CannotRunError(f"not seen: {what}")

    def find_run(self, task: str) -> Run | None:
        """Return the run of a task that is at a runner."""
        for runner in self.runners:
            if task in runner.running:
                return runner.running[task]
        return None

    async def _tick(self) -> None:
        while True:
            for runner in self.runners:
                if runner.server.server is not None:
                    runner.advance()
            await asyncio.sleep(0.005)

    async def _beat(self, runner: Runner, sequence: int = 0) -> None:
        while True:
            sequence += 1
            if runner.server.server is not None:
                runner.write_entry(sequence)
            await asyncio.sleep(HEARTBEAT_S)

    async def _open(self, folder: Path) -> None:
        self.write_configuration()
        for runner in self.runners:
            await runner.server.open()
        for instance in self.instances:
            await instance.prepare(folder)
            instance.start()

    async def wait_until_ready(self) -> None:
        """Wait until all instances report that they are ready."""
        until = now() + 30.0
        for instance in self.instances:
            while not await self._is_ready(instance):
                if now() > until:
                    raise CannotRunError(f"edge-{instance.number} isn't ready")
                await asyncio.sleep(0.1)
        self.record.write("all instances are ready")

    async def _is_ready(self, instance: Instance) -> bool:
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(
                    "127.0.0.1", instance.ports["ready"]
                )
                writer.write(b"GET /v1/readiness HTTP/1.1\r\nHost: a\r\n\r\n")
                head = await reader.readuntil(b"\r\n")
                writer.close()
                return b" 200 " in head
        except (TimeoutError, OSError, asyncio.IncompleteReadError):
            return False

    async def _run(self, case: Callable[["Site"], Awaitable[None]]) -> None:
        with tempfile.TemporaryDirectory() as folder:
            background = []
            try:
                await self._open(Path(folder))
                background.append(asyncio.create_task(self._tick()))
                for runner in self.runners:
                    background.append(asyncio.create_task(self._beat(runner)))
                await self.wait_until_ready()
                async with asyncio.timeout(MAX_CASE_S):
                    await case(self)
            finally:
                for task in background:
                    task.cancel()
                for instance in self.instances:
                    instance.end()
                if os.environ.get("LOGS"):
                    target = Path(os.environ["LOGS"])
                    for instance in self.instances:
                        text = instance.log.read_text(errors="replace")
                        (target / instance.log.name).write_text(text)


def has_trouble() -> bool:
    """Return whether the case is to bring its disruption about."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(site: Site, case: Callable[[Site], Awaitable[None]], folder: Path) -> int:
    """Run a case, write its record and return the exit code."""
    try:
        asyncio.run(site._run(case))
    except (CannotRunError, TimeoutError, OSError) as error:
        site.record.write(f"the case couldn't run: {error!r}")
        site.record.save(folder / "record.txt")
        print(f"couldn't run: {error!r}", file=sys.stderr)
        return COULD_NOT_RUN
    site.record.write("the rule was broken" if site.broken else "the rule held")
    site.record.save(folder / "record.txt")
    return BROKEN if site.broken else HELD
