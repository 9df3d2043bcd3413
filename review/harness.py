"""Small deployment for the scripts of this review.

The instances are the project's own program, started with the command of the deploy
file. Store and runners are stand-ins on loopback: the project's own state machines
(`standins.platform`) behind an HTTP server that can make the connections of a crashed
runner silent.
"""

import asyncio
import contextlib
import http.client
import json
import os
import random
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import traceback
from collections.abc import Awaitable, Callable, Iterator
from pathlib import Path
from typing import Any, NamedTuple
from urllib.parse import parse_qsl

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "target" / "deps")]

from standins.platform import RunnerState, StoreState  # noqa: E402
from standins.platform.runner import Run  # noqa: E402

HOST = "nony.example"
PREFIX = "/jobs/"
SERVICE = "tollgate"
HEARTBEAT_S = 1.1
PORTS = 190
FIRST_PORT = 12_000 + os.getpid() % 100 * PORTS
"""Each process has ports of its own, so that scripts can run side by side."""

RECORD_BYTES = 262_144
CALL_BYTES = 2_097_152
CANT_RUN = 2

SETTINGS = """node = "edge-addis-kality-{number}"
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
cpuShare = 1.0
cores = 1
memoryMb = 300
maxFds = 4100
linkMbps = 1000.0
[bounds]
contactMs = 4000
ackMs = 5000
graceS = 6
configApplyMs = 2500
recoveryS = 12
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
harmMs = 4000
[platform]
address = "{store}"
form = "log"
writesPerS = 600
readsPerS = 2000
parts = 12
recordBytes = 262144
callBytes = 2097152
keep_s = 300
minTtlMs = 1000
"""

Handler = Callable[
    [str, dict[str, str], dict[str, str], bytes], Awaitable[tuple[int, bytes]]
]


class Record:
    """The record of what was sent, answered and run."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._lock = threading.Lock()
        self.began_at = time.monotonic()

    def write(self, text: str) -> None:
        """Write a line with the time in seconds since the start."""
        with self._lock:
            age_s = time.monotonic() - self.began_at
            self._file.write(f"{age_s:8.3f} {text}\n")
            self._file.flush()


class Server:
    """An HTTP/1.1 server on loopback."""

    def __init__(self, handler: Handler) -> None:
        self.handler = handler
        self.silent = False
        self.address = ""
        self._silenced: set[asyncio.StreamWriter] = set()
        self._open: set[asyncio.StreamWriter] = set()

    async def listen(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    def lose_power(self) -> None:
        """Make all open connections silent for good, and new ones until power is back.

        Notes
        -----
        Nothing is closed or reset, as with a machine that has lost its power.
        """
        self.silent = True
        self._silenced |= self._open

    def regain_power(self) -> None:
        """Answer new connections again; those of before stay silent."""
        self.silent = False

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._open.add(writer)
        if self.silent:
            self._silenced.add(writer)
        try:
            while await self._serve_request(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._open.discard(writer)
            self._silenced.discard(writer)
            writer.close()

    async def _serve_request(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        _, target, _ = head[0].split(" ")
        headers = {
            name.strip().lower(): value.strip()
            for name, _, value in (line.partition(":") for line in head[1:])
        }
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        if writer in self._silenced:
            return True
        path, _, query = target.partition("?")
        status, answer = await self.handler(path, dict(parse_qsl(query)), headers, body)
        if writer in self._silenced:
            return True
        line = f"HTTP/1.1 {status} -\r\nContent-Length: {len(answer)}\r\n\r\n"
        writer.write(line.encode() + answer)
        await writer.drain()
        return True


class Store:
    """The platform's store."""

    def __init__(self) -> None:
        self.state = StoreState(parts=12)
        self.server = Server(self.handle)
        self.refused_too_long = 0

    async def handle(
        self, path: str, query: dict[str, str], _: dict[str, str], body: bytes
    ) -> tuple[int, bytes]:
        """Serve one call."""
        if path == "/v1/log-read":
            deadline = time.monotonic() + int(query.get("waitMs", 0)) / 1000
            while True:
                status, answer = self.state.read(query)
                if status != 200 or len(answer) > 16 or time.monotonic() >= deadline:
                    return status, answer
                await asyncio.sleep(0.005)
        await asyncio.sleep(0.004)
        if path == "/v1/log-append":
            if is_too_long(body):
                self.refused_too_long += 1
                return 413, b'{"error":"record or call is too long"}'
            return encode(self.state.append(query, body))
        if path == "/v1/log-newest":
            return encode(self.state.read_newest(query))
        if path == "/v1/log-owners":
            return encode(self.state.read_owners(query))
        if path == "/v1/log-join":
            return encode(self.state.join(json.loads(body), time.monotonic()))
        return encode(self.state.leave(json.loads(body), time.monotonic()))


def is_too_long(body: bytes) -> bool:
    """Return whether an append exceeds the limits that the settings give."""
    if len(body) > CALL_BYTES:
        return True
    position = 0
    while position < len(body):
        size = int.from_bytes(body[position : position + 4], "big")
        if size > RECORD_BYTES:
            return True
        position += 4 + size
    return False


def encode(answer: tuple[int, dict[str, Any]]) -> tuple[int, bytes]:
    """Return an answer with its body in JSON."""
    return answer[0], json.dumps(answer[1]).encode()


class NotedEnd(NamedTuple):
    """An end of a run that its runner has listed, and that was taken note of.

    Attributes
    ----------
    runner, task, run, outcome : str, str, int, str
        The end.
    at : float
        When the run ended, in Unix seconds.
    """

    runner: str
    task: str
    run: int
    outcome: str
    at: float


class Runner:
    """One runner, over all incarnations under its id."""

    def __init__(self, name: str, store: Store, record: Record) -> None:
        self.state = RunnerState(name, max_lease_s=10.0, stop_s=0.3)
        self.state.incarnation_started_at = time.time()
        self.server = Server(self.handle)
        self.store = store
        self.record = record
        self.sequence = 0
        self.noted_ends: list[NotedEnd] = []
        self._ended_at: dict[tuple[str, int], float] = {}
        self._next_ping_at = 0.0
        self._known_ends = 0

    def ping(self) -> None:
        """Write the runner's entry to the store."""
        self.sequence += 1
        entry = {**self.state.build_entry(time.time()), "sequence": self.sequence}
        value = json.dumps(entry).encode()
        self.store.state.put("keyed.servers", self.state.runner, value)

    async def keep_pinging(self) -> None:
        """Write the entry with each heartbeat while the runner has power."""
        while True:
            now = time.monotonic()
            if not self.server.silent and now >= self._next_ping_at:
                self.ping()
                self._next_ping_at = now + HEARTBEAT_S
            self._advance()
            await asyncio.sleep(0.02)

    def lose_power(self) -> None:
        """Crash: all that runs here ends, and nothing is sent any more."""
        self._advance()
        self.record.write(f"{self.state.runner} loses power; it ran {self.list_runs()}")
        self.server.lose_power()
        self.state.restart(time.time())
        self._known_ends = 0

    def regain_power(self, first_ping_s: float) -> None:
        """Start again under the same id, with nothing of before."""
        self.state.restart(time.time())
        self._known_ends = 0
        self.sequence = 0
        self._next_ping_at = time.monotonic() + first_ping_s
        self.server.regain_power()
        born = round(self.state.incarnation_started_at * 1000)
        self.record.write(f"{self.state.runner} has started again, born {born}")

    def list_runs(self) -> list[str]:
        """Return the runs that are there."""
        return [f"{run.task}/{run.run}" for run in self.state.running.values()]

    def _advance(self) -> None:
        self.state.advance(time.time())
        for end in self.state.ends:
            if end[0] > self._known_ends:
                self._known_ends = end[0]
                self._ended_at[end[1], end[2]] = time.time()
                self.record.write(f"{self.state.runner} run ended {end}")

    async def handle(
        self, path: str, _: dict[str, str], headers: dict[str, str], body: bytes
    ) -> tuple[int, bytes]:
        """Serve one call of an owner."""
        if headers.get("expect-instance", self.state.runner) != self.state.runner:
            return 421, b"{}"
        data = json.loads(body)
        name = path.removeprefix("/v1/")
        self._advance()
        born = self.state.incarnation_started_at
        before = list(self.state.ends)
        known = len(self.state.started)
        has_lapsed = self.state.clock_ms(time.time()) > self.state.lease_until_ms
        status, answer = self.state.call(name, data, time.time())
        if len(self.state.started) > known:
            text = f"{self.state.runner} run begins {data['task']}/{data['run']}"
            self.record.write(f"{text} fence {data.get('fence', 0)}")
        if name == "hold" and status == 200:
            self._note_forgotten(before, data.get("lastSeen", 0), has_lapsed)
            deadline = time.monotonic() + data.get("waitMs", 0) / 1000
            while not self.state.ends and time.monotonic() < deadline:
                await asyncio.sleep(0.005)
                self._advance()
                if born != self.state.incarnation_started_at:
                    return 503, b"{}"
            answer = self._report(answer)
        return status, json.dumps(answer).encode()

    def _note_forgotten(
        self, before: list[list[Any]], last_seen: int, has_lapsed: bool
    ) -> None:
        name = self.state.runner
        for end in before:
            if end[0] > last_seen:
                continue
            how = "after the lease lapsed" if has_lapsed else "under its lease"
            text = f"{name} forgets {end} by lastSeen {last_seen}, {how}"
            self.record.write(text)
            if not has_lapsed:
                at = self._ended_at[end[1], end[2]]
                self.noted_ends.append(NotedEnd(name, end[1], end[2], end[3], at))

    def _report(self, answer: dict[str, Any]) -> dict[str, Any]:
        now = time.time()
        rows = [
            [run.task, run.run, "", measure_percent(run, now), 0]
            for run in self.state.running.values()
        ]
        clock_ms = self.state.clock_ms(time.time())
        ends = list(self.state.ends)[:500]
        return {**answer, "clockMs": clock_ms, "running": rows, "endedRuns": ends}


def measure_percent(run: Run, now: float) -> int:
    """Return the progress of a run, which is below 100 until it has ended."""
    return min(99, round(100 * (now - run.began_at) / (run.ends_at - run.began_at)))


class Instance:
    """One instance as a process."""

    def __init__(self, number: int, folder: Path, store: str) -> None:
        ports = find_ports(4)
        self.front, self.ready = ports[0], ports[1]
        self.settings = folder / f"edge-{number}.toml"
        self.settings.write_text(
            SETTINGS.format(
                number=number,
                front=ports[0],
                ready=ports[1],
                peer=ports[2],
                metrics=ports[3],
                store=store,
            )
        )
        self.log = (folder / f"edge-{number}.log").open("ab")
        self.process = self._start()

    def _start(self) -> "subprocess.Popen[bytes]":
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = shlex.split(deploy["roles"]["entry"]["run"])
        return subprocess.Popen(
            command,
            cwd=ROOT,
            env={
                "PATH": os.environ["PATH"],
                "HOME": os.environ.get("HOME", "/"),
                "PYTHONPATH": str(ROOT / "target" / "deps"),
                "PYTHONDONTWRITEBYTECODE": "1",
                "PLANTAINYARD_CONFIG": str(self.settings),
            },
            stdin=subprocess.DEVNULL,
            stdout=self.log,
            stderr=self.log,
        )

    def is_ready(self) -> bool:
        """Return whether the readiness check succeeds."""
        return call(self.ready, "GET", "/v1/readiness", None, 0.5)[0] == 200

    def stop(self) -> None:
        """End the process."""
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGTERM)
            try:
                self.process.wait(8)
            except subprocess.TimeoutExpired:
                self.process.kill()
                self.process.wait()
        self.log.close()


_used_ports: set[int] = set()


def find_ports(count: int) -> list[int]:
    """Return free ports below the range of outgoing connections, each only once."""
    source = random.SystemRandom()
    with contextlib.ExitStack() as stack:
        found: list[int] = []
        while len(found) < count:
            port = FIRST_PORT + source.randrange(PORTS)
            if port in _used_ports:
                continue
            _used_ports.add(port)
            held = stack.enter_context(socket.socket())
            with contextlib.suppress(OSError):
                held.bind(("127.0.0.1", port))
                found.append(port)
        return found


def call(
    port: int, method: str, path: str, body: Any, timeout_s: float = 3.0
) -> tuple[int, dict[str, Any]]:
    """Send one request; the status is 0 if there is no answer."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout_s)
    data = None if body is None else json.dumps(body).encode()
    headers = {"Host": HOST, "Content-Type": "application/json", "Deadline-Ms": "3000"}
    try:
        connection.request(method, path, data, headers)
        response = connection.getresponse()
        text = response.read()
        return response.status, json.loads(text) if text else {}
    except (OSError, http.client.HTTPException, ValueError):
        return 0, {}
    finally:
        connection.close()


class Site:
    """A running deployment."""

    def __init__(self, record: Record, store: Store, runners: list[Runner]) -> None:
        self.record = record
        self.store = store
        self.runners = runners
        self.instances: list[Instance] = []
        self.loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self.loop.run_forever, daemon=True)

    def serve(self) -> None:
        """Start the stand-ins' servers on a thread of their own."""
        self._thread.start()
        for server in (self.store.server, *(r.server for r in self.runners)):
            self.run(server.listen())
        for runner in self.runners:
            runner.state.address = runner.server.address
            asyncio.run_coroutine_threadsafe(runner.keep_pinging(), self.loop)

    def run(self, coroutine: Any) -> Any:
        """Run a coroutine on the stand-ins' thread and return its result."""
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(10)

    def do(self, function: Callable[[], Any]) -> Any:
        """Call a function on the stand-ins' thread and return its result."""

        async def call_it() -> Any:
            return function()

        return self.run(call_it())

    def find_busiest_runner(self) -> Runner:
        """Return the runner at which most runs began in the last seconds."""
        since = time.time() - 3.0

        def count(runner: Runner) -> int:
            return sum(began_at > since for began_at, _, _ in runner.state.started)

        return max(self.runners, key=count)

    def submit(self, job_id: str, body: dict[str, Any], number: int = 0) -> bool:
        """Submit a job, if need be at further instances; return if it was accepted."""
        for attempt in range(5):
            instance = self.instances[(number + attempt) % len(self.instances)]
            status, _ = call(instance.front, "POST", PREFIX + job_id, body)
            self.record.write(f"POST {job_id} -> {status or 'no answer'}")
            if status == 200:
                return True
            time.sleep(0.3)
        return False

    def get_state(self, job_id: str, number: int = 0) -> str:
        """Return the state of a job as one instance tells it; empty if none."""
        instance = self.instances[number % len(self.instances)]
        status, answer = call(instance.front, "GET", PREFIX + job_id, None)
        state = str(answer.get("state", "")) if status == 200 else ""
        self.record.write(f"GET {job_id} -> {status or 'no answer'} {state}")
        return state

    def wait_until_ready(self, timeout_s: float = 25.0) -> bool:
        """Wait until all instances are ready."""
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            if all(instance.is_ready() for instance in self.instances):
                return True
            time.sleep(0.2)
        for instance in self.instances:
            lines = Path(instance.log.name).read_text(errors="replace").splitlines()
            self.record.write(f"not ready, or another isn't: {lines[-4:]}")
        return False


def make_configuration(max_attempts: int) -> bytes:
    """Return a configuration with one queue and one service."""
    route = {
        "name": "r-1",
        "host": HOST,
        "pathPrefix": PREFIX,
        "kind": "non_idempotent",
        "timeoutMs": 3000,
        "targetLatencyMs": 400,
        "priority": 0,
        "service": SERVICE,
        "maxAttempts": max_attempts,
        "stretch": 1.5,
    }
    service = {
        "name": SERVICE,
        "healthPath": "/health",
        "maxConns": 64,
        "protocol": "h1",
        "tls": False,
        "admissionCheck": False,
        "standby": False,
    }
    limits = {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 262144,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    }
    data = {"version": 1, "routes": [route], "services": [service], "limits": limits}
    return json.dumps(data).encode()


@contextlib.contextmanager
def open_site(
    folder: Path, instances: int, runners: int, max_attempts: int = 3
) -> Iterator[Site]:
    """Start a deployment, and end all that was started on exit."""
    record = Record(Path(os.environ.get("RECORD", folder / "record.txt")))
    store = Store()
    store.state.put("keyed.op", "config", make_configuration(max_attempts))
    states = [Runner(f"i-{n:04x}", store, record) for n in range(runners)]
    site = Site(record, store, states)
    site.serve()
    with (
        tempfile.TemporaryDirectory() as temporary,
        contextlib.ExitStack() as stack,
    ):
        for number in range(instances):
            address = store.server.address
            instance = Instance(number + 1, Path(temporary), address)
            site.instances.append(instance)
            stack.callback(instance.stop)
        try:
            yield site
        finally:
            if keep := os.environ.get("KEEP_LOGS"):
                for path in Path(temporary).glob("*.log"):
                    (Path(keep) / path.name).write_bytes(path.read_bytes())
            for instance in site.instances:
                if instance.process.poll() is None:
                    instance.process.send_signal(signal.SIGTERM)


def has_trouble() -> bool:
    """Return whether the disruption is to take place."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(check: Callable[[Site], int], folder: Path, runners: int) -> int:
    """Run a check on a deployment of three instances; return the exit status."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(CANT_RUN))
    try:
        with open_site(folder, 3, runners) as site:
            return check(site)
    except Exception:
        traceback.print_exc()
        return CANT_RUN
