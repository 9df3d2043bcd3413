"""A small deployment on loopback for the scripts of the second review.

One event loop holds the stand-ins for the platform's store, the runners and the
callers; the project's own program runs as separate processes, with the command of the
deploy file. Only the standard library is used. Where the users' pages are silent, the
stand-ins behave like a sound store or runner.
"""

import asyncio
import base64
import bisect
import contextlib
import json
import math
import os
import random
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qsl, urlsplit

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "callers.example"
SERVICE = "tollgate"
PORTS = range(12_000, 32_000)
HELD, BROKEN, NOT_RUN = 0, 1, 2
AWASH = {"heartbeat_ms": 1100, "hold_ms": 10_000, "stop_ms": 900}
ACCRA = {"heartbeat_ms": 1500, "hold_ms": 6_000, "stop_ms": 400}

SETTINGS = """node = "{node}"
role = "entry"
machineClass = "edge"
serves = ["edge"]
ip = "127.0.0.1"
zone = "addis-kality"
region = "addis"
internalPorts = [{peer}, {metrics}]
seeds = []
bootstrap = true
lossCounts = false
discovery = "platform"
entry = "vip"
heartbeatMs = {heartbeat_ms}
contracts = ["base","drain","config","cost","recover","sched","platform"]
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
[tolerate]
machines = 1
zones = 0
regions = 0
[bounds]
contactMs = 4000
ackMs = 5000
drainMs = 2500
graceS = 6
configApplyMs = 2500
recoveryS = 12
maxHoldMs = {hold_ms}
stopMs = {stop_ms}
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
leaseMs = 3000
paceMs = 100
harmMs = 4000
[platform]
address = "{store}"
form = "log"
writesPerS = 600
readsPerS = 2000
parts = 12
appendMs = 2.0
partMbS = 20.0
readMbS = 80.0
recordBytes = 262144
callBytes = 2097152
keep_s = {keep_s}
partMb = 200
minTtlMs = 1000
"""


class Journal:
    """What was sent, answered and run, in the order in which it was seen."""

    def __init__(self, path):
        self.file = path.open("w", encoding="utf-8")
        self.began = time.monotonic()

    def now(self):
        """Return the seconds since the start of the case."""
        return time.monotonic() - self.began

    def write(self, what, **fields):
        """Add a line."""
        text = " ".join(f"{k}={v}" for k, v in fields.items())
        self.file.write(f"{self.now():9.3f} {what} {text}\n")
        self.file.flush()


# -- HTTP -----------------------------------------------------------------------------


async def _read_message(reader):
    """Return the first line, the headers and the body of a message, or None."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    rows = (line.partition(":") for line in lines[1:] if line)
    headers = {k.strip().lower(): v.strip() for k, _, v in rows}
    length = int(headers.get("content-length", 0))
    body = await reader.readexactly(length) if length else b""
    return lines[0], headers, body


class Server:
    """A server on a loopback port that can go away and come back."""

    def __init__(self, handle, port=0):
        self.handle = handle
        self.port = port
        self.server = None
        self.writers = set()

    async def open(self):
        """Begin to listen, at the same port as before."""
        self.server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port, limit=1 << 22
        )
        self.port = self.server.sockets[0].getsockname()[1]

    def close(self):
        """Stop listening, and reset all connections, as the end of a process does."""
        if self.server is not None:
            self.server.close()
        self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    @property
    def address(self):
        """Return the address, ``ip:port``."""
        return f"127.0.0.1:{self.port}"

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while message := await _read_message(reader):
                line, headers, body = message
                method, target, _ = line.split(" ")
                parts = urlsplit(target)
                query = dict(parse_qsl(parts.query))
                answer = await self.handle(method, parts.path, query, headers, body)
                if answer is None:
                    # No response on this connection any more.
                    await asyncio.sleep(60)
                    return
                status, data = answer
                head = f"HTTP/1.1 {status} -\r\nContent-Length: {len(data)}\r\n\r\n"
                writer.write(head.encode() + data)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


async def call(address, method, path, body=b"", host=HOST, timeout_s=3.0):
    """Return status and body of one call on a new connection; 0 without an answer."""
    host_name, _, port = address.partition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host_name, int(port))
            head = (
                f"{method} {path} HTTP/1.1\r\nHost: {host}\r\nConnection: close\r\n"
                f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
            )
            writer.write(head.encode() + body)
            message = await _read_message(reader)
            if message is None:
                return 0, b""
            return int(message[0].split(" ")[1]), message[2]
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0, b""
    finally:
        if writer is not None:
            writer.close()


# -- The store ------------------------------------------------------------------------


class Partition:
    """One partition of a topic."""

    def __init__(self):
        self.records = []
        self.times = []
        self.first = 0
        self.newest = {}
        self.size = 0
        self.producers = {}
        self.lock = asyncio.Lock()
        self.grown = asyncio.Event()

    @property
    def end(self):
        """Return the offset after the last record."""
        return self.first + len(self.records)


class Store:
    """The platform's store: keyed topics and groups, as the pages describe them."""

    def __init__(self, parts=12, keep_s=20.0):
        self.parts = parts
        self.keep_s = keep_s
        self.topics = {}
        self.groups = {}
        self.size = 0
        self.limit = 400_000_000
        self.server = Server(self._handle)
        self.hook = None
        """Called before each append; may return an answer, or "lose" it."""

    def partition(self, topic, part=0):
        """Return a partition, which is created on first use."""
        return self.topics.setdefault((topic, part), Partition())

    def put(self, topic, key, value, part=0):
        """Append one keyed record, as the operator and the runners do."""
        name = key.encode()
        self._append(self.partition(topic, part), [bytes([len(name)]) + name + value])

    def _append(self, partition, records):
        for record in records:
            key = record[1 : 1 + record[0]].decode()
            old = partition.newest.pop(key, None)
            partition.size -= len(old[0]) if old else 0
            if len(record) > 1 + record[0]:
                partition.newest[key] = (record, partition.end)
                partition.size += len(record)
            partition.records.append(record)
            partition.times.append(time.monotonic())
        self._expire(partition)
        partition.grown.set()
        partition.grown = asyncio.Event()

    def _expire(self, partition):
        old = bisect.bisect_left(partition.times, time.monotonic() - self.keep_s)
        if old > 100:
            del partition.records[:old], partition.times[:old]
            partition.first += old

    def stored_bytes(self):
        """Return the size of all records that can still be read."""
        return sum(
            p.size + sum(map(len, p.records)) for p in list(self.topics.values())
        )

    async def _handle(self, method, path, query, headers, body):
        name = path.removeprefix("/v1/log-")
        await asyncio.sleep(0.004)
        if name == "append":
            return await self._serve_append(query, body)
        if name == "read":
            return await self._serve_read(query)
        if name == "newest":
            return self._serve_newest(query)
        if name == "trim":
            return 200, b"{}"
        if name == "join":
            return self._join(json.loads(body))
        if name == "leave":
            return self._leave(json.loads(body))
        if name == "owners":
            return self._owners(query)
        return 404, b"{}"

    async def _serve_append(self, query, body):
        topic, part = query["topic"], int(query.get("part", 0))
        if topic in ("keyed.op", "keyed.servers"):
            return 403, b"{}"
        lost = False
        if self.hook is not None:
            found = await self.hook(query, body)
            if found == "lose":
                lost = True
            elif found is not None:
                return found
        partition = self.partition(topic, part)
        async with partition.lock:
            await asyncio.sleep(0.002)
            answer = self._apply_append(partition, query, body)
        return None if lost else (answer[0], json.dumps(answer[1]).encode())

    def _apply_append(self, partition, query, body):
        records = []
        at = 0
        while at < len(body):
            (size,) = struct.unpack_from(">I", body, at)
            records.append(body[at + 4 : at + 4 + size])
            at += 4 + size
        if any(len(r) > 262_144 for r in records) or len(body) > 2_097_152:
            return 413, {}
        if "at" in query and int(query["at"]) != partition.end:
            return 412, {"end": partition.end}
        producer = query.get("producer")
        if producer:
            epoch, sequence = int(query["epoch"]), int(query["sequence"])
            known, last, answers = partition.producers.get(producer, (-1, 0, {}))
            if epoch < known:
                return 409, {"reason": "fenced"}
            if epoch == known and sequence in answers:
                return 200, answers[sequence]
            if epoch == known and sequence != last + 1:
                return 409, {"reason": "seq", "sequence": last + 1}
        offset = partition.end
        self._append(partition, records)
        answer = {"offset": offset, "end": partition.end}
        if producer:
            kept = {} if epoch > known else dict(list(answers.items())[-4:])
            partition.producers[producer] = (
                epoch,
                sequence,
                {**kept, sequence: answer},
            )
        return 200, answer

    async def _serve_read(self, query):
        partition = self.partition(query["topic"], int(query.get("part", 0)))
        start = int(query["from"])
        until = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        while start >= partition.end and time.monotonic() < until:
            with contextlib.suppress(TimeoutError):
                left = max(0.001, until - time.monotonic())
                await asyncio.wait_for(partition.grown.wait(), left)
        if start < partition.first:
            return 410, json.dumps({"first": partition.first}).encode()
        most = int(query.get("maxKb", 1024)) * 1024
        out, size = [], 0
        for record in partition.records[start - partition.first :]:
            if out and size + len(record) > most:
                break
            out.append(struct.pack(">I", len(record)) + record)
            size += len(record) + 4
        head = struct.pack(">QQ", partition.end, partition.first)
        return 200, head + b"".join(out)

    def _serve_newest(self, query):
        partition = self.partition(query["topic"], int(query.get("part", 0)))
        keys = sorted(k for k in partition.newest if k > query.get("after", ""))
        items, size = [], 0
        for key in keys:
            record, offset = partition.newest[key]
            if len(items) == 500 or (items and size + len(record) > 1_000_000):
                break
            value = base64.b64encode(record[1 + record[0] :]).decode()
            items.append({"key": key, "value": value, "offset": offset})
            size += len(record)
        more = len(items) < len(keys)
        data = {"items": items, "hasMore": more, "end": partition.end}
        return 200, json.dumps(data).encode()

    # A group: partitions are spread evenly; one that moves is given to its new member
    # once the old one has joined with the new generation, has left or has lapsed.

    def _group(self, name):
        new = {"generation": 0, "members": {}, "wanted": {}, "held": {}, "topic": ""}
        return self.groups.setdefault(name, new)

    def _change(self, group):
        group["generation"] += 1
        names = sorted(group["members"])
        wanted = {}
        load = dict.fromkeys(names, 0)
        most = math.ceil(self.parts / len(names)) if names else 0
        for part in range(self.parts):
            old = group["wanted"].get(part)
            if old in load and load[old] < most:
                wanted[part] = old
                load[old] += 1
        for part in range(self.parts):
            if part not in wanted and names:
                least = min(names, key=lambda name: (load[name], name))
                wanted[part] = least
                load[least] += 1
        group["wanted"] = wanted

    def _lapse(self, group):
        now = time.monotonic()
        gone = [k for k, m in group["members"].items() if now - m["at"] > m["ttl"]]
        for name in gone:
            self._drop(group, name)
        if gone:
            self._change(group)

    @staticmethod
    def _drop(group, name):
        del group["members"][name]
        group["held"] = {p: m for p, m in group["held"].items() if m != name}

    def _join(self, body):
        group, name = self._group(body["group"]), body["member"]
        group["topic"] = body["topics"][0]
        self._lapse(group)
        is_new = name not in group["members"]
        group["members"][name] = {"at": time.monotonic(), "ttl": body["ttlMs"] / 1000}
        if is_new:
            self._change(group)
        elif body["generation"] >= group["generation"]:
            group["held"] = {
                p: m
                for p, m in group["held"].items()
                if m != name or group["wanted"].get(p) == name
            }
        for part, member in group["wanted"].items():
            if member == name and group["held"].get(part, name) == name:
                group["held"][part] = name
        rows = [
            [group["topic"], part, 0]
            for part, member in group["wanted"].items()
            if member == name and group["held"].get(part) == name
        ]
        data = {"generation": group["generation"], "parts": rows}
        return 200, json.dumps(data).encode()

    def _leave(self, body):
        group = self._group(body["group"])
        if body["member"] in group["members"]:
            self._drop(group, body["member"])
            self._change(group)
        return 200, b"{}"

    def _owners(self, query):
        group = self._group(query["group"])
        self._lapse(group)
        held = group["held"]
        rows = [[group["topic"], p, held.get(p, ""), 0] for p in range(self.parts)]
        return 200, json.dumps({"parts": rows}).encode()


# -- The runners ----------------------------------------------------------------------


class Run:
    """One run of a task at a runner."""

    def __init__(self, task, number, info, began):
        self.task, self.number, self.info, self.began = task, number, info, began
        self.stopping = False
        self.timer = None
        self.working_since = None

    def percent(self, now):
        """Return the progress in percent; 100 for a lasting task that is at work."""
        if self.working_since is None:
            return 0
        elapsed = now - self.working_since
        if self.info["seconds"] is None:
            return 100 if elapsed > 0.4 else 50
        return min(99, int(100 * elapsed / max(0.001, self.info["seconds"])))


class Runner:
    """A runner; `site.describe` tells what a task needs and how its runs end."""

    def __init__(self, site, name, labels=("a", "r1-1"), cpu=64_000, mem=256_000):
        self.site, self.name = site, name
        self.labels, self.cpu, self.mem = list(labels), cpu, mem
        self.server = Server(self._handle)
        self.stop_s = 0.95 * site.bounds["stop_ms"] / 1000
        self.up = False
        self.cut_from_store = False
        self.draining = False
        self.sequence = 0

    async def start(self):
        """Begin the first or a new life of the runner."""
        self._reset()
        self.up = True
        await self.server.open()
        self.beat()

    def _reset(self):
        self.born = int(time.time() * 1000)
        self.clock_zero = time.monotonic()
        self.next_beat = self.clock_zero + self.site.heartbeat_s
        self.fence = 0
        self.until_ms = 0
        self.runs = {}
        self.refused = {}
        self.ends = []
        self.count = 0
        self.changed = asyncio.Event()

    def crash(self):
        """End at once, with everything that runs there."""
        self.site.journal.write("runner_crash", runner=self.name, runs=len(self.runs))
        self.up = False
        for run in list(self.runs.values()):
            self._forget(run, "lost")
        self.server.close()

    def clock_ms(self):
        """Return the runner's own clock."""
        return 1000 + int((time.monotonic() - self.clock_zero) * 1000)

    def beat(self):
        """Write the runner's entry."""
        self.sequence += 1
        self.beat_at = time.monotonic()
        self.listed = True
        entry = {
            "service": SERVICE,
            "address": self.server.address,
            "zone": "addis-kality",
            "version": "v1",
            "slotCount": 8,
            "state": "draining" if self.draining else "ready",
            "coldLeftMs": 0,
            "capacity": {"cpu": self.cpu, "memMb": self.mem, "gpu": 0},
            "labels": self.labels,
            "clockMs": self.clock_ms(),
            "sequence": self.sequence,
            "born": self.born,
        }
        self.site.store.put("keyed.servers", self.name, json.dumps(entry).encode())

    def tick(self):
        """End everything if the lease has lapsed."""
        if self.up and self.runs and self.clock_ms() > self.until_ms:
            for run in list(self.runs.values()):
                self._end(run, "lapsed")

    def begin_again(self):
        """End with everything that runs there, and start again under the same id."""
        self.site.journal.write("runner_reborn", runner=self.name, runs=len(self.runs))
        for run in list(self.runs.values()):
            self._forget(run, "lost")
        for writer in list(self.server.writers):
            writer.transport.abort()
        self._reset()

    async def _handle(self, method, path, query, headers, body):
        data = json.loads(body)
        late_s = self.site.choose_delay(self, path, data)
        if late_s is not None:
            loop = asyncio.get_running_loop()
            loop.call_later(late_s, self._carry_out_late, path, headers, data)
            return None
        return await self._answer_call(path, headers, data)

    def _carry_out_late(self, path, headers, data):
        """Carry out an order that got no answer, in whatever life there is now."""
        if self.up:
            task = asyncio.ensure_future(self._answer_call(path, headers, data))
            task.add_done_callback(
                lambda done: self.site.journal.write(
                    "carried_out_late",
                    runner=self.name,
                    task=data.get("task"),
                    run=data.get("run"),
                    answer=done.result(),
                )
            )

    async def _answer_call(self, path, headers, data):
        if headers.get("expect-instance", self.name) != self.name:
            return 421, b"{}"
        fence = data.get("fence", 0)
        if fence < self.fence:
            return self._answer(409, reason="fence")
        self.fence = fence
        if path == "/v1/run-start":
            return self._start(data)
        if path == "/v1/run-stop":
            return self._stop(data)
        if path == "/v1/hold":
            return await self._hold(data)
        if path == "/v1/pace":
            return self._answer(200)
        return self._answer(404)

    def _answer(self, status, **fields):
        return status, json.dumps({"clockMs": self.clock_ms(), **fields}).encode()

    def _extend(self, data):
        clock = self.clock_ms()
        self.until_ms = max(
            self.until_ms,
            min(data.get("untilMs", 0), clock + self.site.bounds["hold_ms"]),
        )

    def _start(self, data):
        task, number = data["task"], data["run"]
        if (task, number) in self.runs:
            self._extend(data)
            return self._answer(200)
        if number <= self.refused.get(task, 0):
            self._extend(data)
            return self._answer(409, reason="old")
        if data["untilMs"] <= self.clock_ms():
            return self._answer(409, reason="late")
        self._extend(data)
        info = self.site.describe(task, number, data)
        run = Run(task, number, info, time.monotonic())
        self.runs[task, number] = run
        self.site.on_start(self, run, data)
        run.working_since = run.began
        if info["seconds"] is not None:
            loop = asyncio.get_running_loop()
            outcome = info["outcome"]
            run.timer = loop.call_later(info["seconds"], self._end, run, outcome)
        return self._answer(200)

    def _stop(self, data):
        task, number = data["task"], data["run"]
        run = self.runs.get((task, number))
        if run is None:
            self.refused[task] = max(number, self.refused.get(task, 0))
        elif not run.stopping:
            run.stopping = True
            if run.timer is not None:
                run.timer.cancel()
            loop = asyncio.get_running_loop()
            run.timer = loop.call_later(self.stop_s, self._end, run, "stopped")
            self.site.journal.write("stop", runner=self.name, task=task, run=number)
        return self._answer(200)

    async def _hold(self, data):
        self._extend(data)
        seen = data.get("lastSeen", 0)
        self.ends = [end for end in self.ends if end[0] > seen]
        until = time.monotonic() + data.get("waitMs", 0) / 1000
        while not self.ends and (left := until - time.monotonic()) > 0:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), left)
        now = time.monotonic()
        running = [
            [r.task, r.number, "", r.percent(now), 0] for r in self.runs.values()
        ]
        return self._answer(
            200, born=self.born, running=running, endedRuns=self.ends[:500]
        )

    def _forget(self, run, outcome):
        if run.timer is not None:
            run.timer.cancel()
        self.runs.pop((run.task, run.number), None)
        self.site.on_end(self, run, outcome)

    def _end(self, run, outcome):
        if (run.task, run.number) not in self.runs:
            return
        self._forget(run, outcome)
        self.refused[run.task] = max(run.number, self.refused.get(run.task, 0))
        self.count += 1
        self.ends.append([self.count, run.task, run.number, outcome, ""])
        self.changed.set()
        self.changed = asyncio.Event()


# -- The instances --------------------------------------------------------------------


class Instance:
    """One entry instance: successive processes with the deploy file's command."""

    def __init__(self, site, number, folder):
        self.site, self.number = site, number
        ports = _find_ports(4)
        self.address = f"127.0.0.1:{ports[0]}"
        self.ready_address = f"127.0.0.1:{ports[1]}"
        self.settings = folder / f"edge-{number}.toml"
        text = SETTINGS.format(
            node=f"edge-{number}",
            front=ports[0],
            ready=ports[1],
            peer=ports[2],
            metrics=ports[3],
            store=site.store.server.address,
            keep_s=round(site.store.keep_s),
            **site.bounds,
        )
        self.settings.write_text(text)
        self.log = (folder / f"edge-{number}.log").open("ab")
        self.process = None

    def start(self):
        """Start a process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["entry"]["run"].split(" ")
        kept = ("PATH", "HOME", "LANG")
        env = {k: os.environ[k] for k in kept if k in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        env["PLANTAINYARD_CONFIG"] = str(self.settings)
        self.process = subprocess.Popen(
            command,
            cwd=ROOT,
            env=env,
            stdin=subprocess.DEVNULL,
            stdout=self.log,
            stderr=self.log,
        )

    def send(self, number):
        """Send a signal to the process unless it has ended."""
        if self.process.poll() is None:
            self.process.send_signal(number)

    async def restart(self, grace_s=6.0, pause_s=0.3):
        """Stop the process as the platform does, and start it again."""
        self.site.journal.write("sigterm", instance=self.number)
        self.send(signal.SIGTERM)
        until = time.monotonic() + grace_s
        while self.process.poll() is None and time.monotonic() < until:
            await asyncio.sleep(0.02)
        self.end()
        await asyncio.sleep(pause_s)
        self.start()
        self.site.journal.write("started_again", instance=self.number)

    def end(self):
        """Kill the process if it still runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
        if self.process is not None:
            self.process.wait()

    def owned_units(self):
        """Return what the instance's log says last of the units that it owns."""
        owned = set()
        for line in Path(self.log.name).read_bytes().splitlines():
            with contextlib.suppress(ValueError):
                event = json.loads(line)
                if event.get("event") == "started":
                    owned = set()
                elif event.get("event") == "owner_gained":
                    owned.add(event["unit"])
                elif event.get("event") == "owner_lost":
                    owned.discard(event["unit"])
        return owned


def _find_ports(count):
    source = random.SystemRandom()
    with contextlib.ExitStack() as stack:
        found = []
        while len(found) < count:
            port = source.choice(PORTS)
            held = stack.enter_context(socket.socket())
            with contextlib.suppress(OSError):
                held.bind(("127.0.0.1", port))
                found.append(port)
        return found


class Site:
    """A running deployment with handles for a case."""

    def __init__(self, folder, temporary, queues, bounds):
        self.journal = Journal(folder / "record.txt")
        self.temporary = Path(temporary)
        self.store = Store()
        self.bounds = bounds
        self.heartbeat_s = bounds["heartbeat_ms"] / 1000
        self.queues = queues
        self.runners = []
        self.instances = []
        self.jobs = {}
        self.tasks = []
        self.starts = []
        self.ends = []
        self.over = []

    # The default behaviour of tasks, by the job's spec, which is JSON:
    # {"STEP": {"seconds": ..., "fails": [INDEX, ...], "fail_seconds": ...}}.

    def describe(self, task, number, data):
        """Return what a run needs and how it ends."""
        job_id, _, step, index = task.split(".")
        body = self.jobs[job_id]
        spec = json.loads(body["spec"]).get(step, {})
        needs = body["steps"][int(step)]
        fails = int(index) in spec.get("fails", [])
        seconds = spec.get("fail_seconds", 0.3) if fails else spec.get("seconds", 1.0)
        return {
            "cpu": needs.get("cpu", 0),
            "mem": needs.get("memMb", 0),
            "counted": not needs.get("fillCount", False),
            "seconds": None if needs.get("longRunning") and not fails else seconds,
            "outcome": "failed" if fails else "done",
        }

    def choose_delay(self, runner, path, data):
        """Return after how long a call is carried out unanswered; None for at once."""

    def on_start(self, runner, run, data):
        """Record a start, and whether the runner is over its capacity by it."""
        now = self.journal.now()
        self.starts.append((now, runner.name, run.task, run.number, data["fence"]))
        cpu = sum(r.info["cpu"] for r in runner.runs.values() if r.info["counted"])
        mem = sum(r.info["mem"] for r in runner.runs.values())
        self.journal.write(
            "start",
            runner=runner.name,
            task=run.task,
            run=run.number,
            fence=data["fence"],
            cpu=cpu,
        )
        if cpu > runner.cpu or mem > runner.mem:
            stopping = [r.task for r in runner.runs.values() if r.stopping]
            self.over.append((now, runner.name, run.task, cpu, mem, stopping))
            self.journal.write(
                "OVER_CAPACITY",
                runner=runner.name,
                task=run.task,
                cpu=cpu,
                of=runner.cpu,
                mem=mem,
                stopping=stopping,
            )

    def on_end(self, runner, run, outcome):
        """Record the end of a run."""
        now = self.journal.now()
        self.ends.append((now, runner.name, run.task, run.number, outcome))
        self.journal.write(
            "end", runner=runner.name, task=run.task, run=run.number, how=outcome
        )

    async def submit(self, instance, prefix, job_id, body, timeout_s=3.0):
        """Submit a job; return the status."""
        self.jobs[job_id] = body
        data = json.dumps(body).encode()
        address = instance.address
        status, _ = await call(address, "POST", prefix + job_id, data, HOST, timeout_s)
        self.journal.write(
            "submit",
            job=job_id,
            at=instance.number,
            bytes=len(data),
            status=status,
        )
        return status

    async def hand_in(self, prefix, job_id, body, first=0):
        """Submit a job, at the next instance after a refusal; return whether it is in.

        A caller that is told 503, or nothing, sends the same job again.
        """
        for number in range(first, first + 12):
            instance = self.instances[number % len(self.instances)]
            if await self.submit(instance, prefix, job_id, body) == 200:
                return True
            await asyncio.sleep(0.5)
        return False

    async def get(self, instance, prefix, job_id):
        """Return status and state of a job."""
        status, body = await call(instance.address, "GET", prefix + job_id)
        state = ""
        with contextlib.suppress(ValueError, KeyError):
            state = json.loads(body)["state"]
        return status, state

    async def cancel(self, instance, prefix, job_id):
        """Cancel a job; return the status."""
        status, _ = await call(instance.address, "DELETE", prefix + job_id)
        self.journal.write("cancel", job=job_id, at=instance.number, status=status)
        return status

    def put_configuration(self, version=7):
        """Write the operator's config."""
        data = {
            "version": version,
            "routes": self.queues,
            "services": [
                {"name": SERVICE, "healthPath": "/health", "admissionCheck": False}
            ],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144},
        }
        self.store.put("keyed.op", "config", json.dumps(data).encode())

    async def _beat(self):
        """Write each runner's entry once in a while, counted from its start.

        An entry is removed after three intervals of silence.
        """
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for runner in self.runners:
                if now >= runner.next_beat:
                    runner.next_beat += self.heartbeat_s
                    if runner.up and not runner.cut_from_store:
                        runner.beat()
                silent_s = now - runner.beat_at
                if runner.listed and silent_s >= 3 * self.heartbeat_s:
                    runner.listed = False
                    self.journal.write("entry_removed", runner=runner.name)
                    self.store.put("keyed.servers", runner.name, b"")

    async def _tick(self):
        while True:
            await asyncio.sleep(0.05)
            for runner in self.runners:
                runner.tick()

    async def open(self, instances):
        """Start store, runners and instances; return whether all became ready."""
        await self.store.server.open()
        self.put_configuration()
        for runner in self.runners:
            await runner.start()
        self.tasks = [asyncio.create_task(t()) for t in (self._beat, self._tick)]
        for number in range(instances):
            instance = Instance(self, number, self.temporary)
            self.instances.append(instance)
            instance.start()
        for _ in range(200):
            await asyncio.sleep(0.1)
            answers = [
                await call(i.ready_address, "GET", "/v1/readiness", timeout_s=0.5)
                for i in self.instances
            ]
            if all(status == 200 for status, _ in answers):
                self.journal.write("ready", instances=instances)
                return True
        self.journal.write("not_ready")
        return False

    def close(self):
        """End everything that was started."""
        for task in self.tasks:
            task.cancel()
        for instance in self.instances:
            instance.end()
        for runner in self.runners:
            runner.server.close()
        self.store.server.close()


def make_queue(name, prefix, attempts=4, priority=0, stretch=1.5, target_ms=400):
    """Return a route of the config."""
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": prefix,
        "kind": "non_idempotent",
        "timeoutMs": 3000,
        "targetLatencyMs": target_ms,
        "priority": priority,
        "service": SERVICE,
        "maxAttempts": attempts,
        "stretch": stretch,
    }


def run_case(folder, queues, case, bounds=AWASH):
    """Run ``case(site)``, a coroutine that returns the exit code; end all processes."""
    if not (ROOT / "target/deps").is_dir():
        print("target/deps is missing: run the build of the deploy file")
        sys.exit(NOT_RUN)

    async def main(temporary):
        site = Site(folder, temporary, queues, bounds)
        try:
            async with asyncio.timeout(110):
                return await case(site)
        except TimeoutError:
            site.journal.write("case_timed_out")
            return NOT_RUN
        finally:
            site.close()
            if os.environ.get("KEEP_LOGS"):
                for instance in site.instances:
                    name = Path(instance.log.name).name
                    text = Path(instance.log.name).read_bytes()
                    Path(os.environ["KEEP_LOGS"], name).write_bytes(text)

    with tempfile.TemporaryDirectory() as temporary:
        code = asyncio.run(main(temporary))
    print({HELD: "held", BROKEN: "broken", NOT_RUN: "could not run"}[code])
    sys.exit(code)
