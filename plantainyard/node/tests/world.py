"""A simulated failure domain: log, workers and instances, all without threads.

Calls to the log and to workers are queued, and carried out, delayed or lost as the test
specifies.
"""

import itertools
import json
import random
from collections.abc import Callable, Iterator
from typing import Any

from plantainyard import state as log_state
from plantainyard.clients import (
    Instance,
    InstanceKind,
    InstanceState,
    WorkerResponse,
)
from plantainyard.clients.worker import encode_commands, parse_state
from plantainyard.errors import CallError, ErrorKind
from plantainyard.execution import CallFailed, WorkerAnswered
from plantainyard.membership import has_authority
from plantainyard.node import domain as node_domain
from plantainyard.node.domain import DomainActor
from plantainyard.node.messages import ConfigConfirmed, InstancesListed, LivePeers
from plantainyard.node.messages import Tick as TickMessage
from plantainyard.node.streams import StreamEvent, StreamIO
from plantainyard.settings import Settings
from plantainyard.settings.model import Instance as Own
from plantainyard.settings.model import Platform, Security
from plantainyard.settings.secret import Secret
from plantainyard.work import Job, Size, WorkerInfo
from standins.machine import (
    Machine,
    advance_machine,
    apply_commands,
    describe_machine,
)

__all__ = [
    "CAPACITY",
    "LEASE_S",
    "RACK",
    "SNAPSHOTS",
    "WORKERS",
    "Process",
    "World",
]

RACK = "r1"
LEASE_S = 10.0
CAPACITY = Size(4.0, 16.0)
SNAPSHOTS = log_state.SnapshotSettings(retention_s=120.0)
WORKERS = [
    WorkerInfo(f"w{n}", f"w{n}", "region", "d", RACK, CAPACITY) for n in range(3)
]


class Process:
    """One start of an instance, with its queued calls and messages."""

    def __init__(self, world: "World", instance: str, start: int) -> None:
        self.name = f"{instance}.{start}"
        self.paused = False
        self.cut_log = False
        self.cut_peers = False
        self.cut_workers: frozenset[str] = frozenset()
        self.calls: list[tuple[Any, ...]] = []
        self.inbox: list[Any] = []
        own = Own(instance, "region", "d", "127.0.0.1:0", "127.0.0.1:0")
        config = Settings(own, Platform("log", "list", LEASE_S), Security(Secret("t")))
        executor: Any = self
        self.actor = DomainActor(
            config,
            self.name,
            random.Random(self.name),
            SNAPSHOTS,
            lambda _: StreamIO(world, executor, self.tell, print, 0.0),  # type: ignore[arg-type]
            node_domain.WorkerCaller(world, executor, 1.0),  # type: ignore[arg-type]
            lambda _: None,
        )
        self.actor.node.tell = self.tell
        self.tell(InstancesListed(tuple(map(_list_worker, WORKERS))))

    def submit(self, *call: Any) -> None:
        """Queue a call that the actor submits to its executor."""
        self.calls.append(call[1:])

    def tell(self, message: Any) -> None:
        if self.paused:
            self.inbox.append(message)
        else:
            self.actor.on_receive(message)

    def resume(self) -> None:
        self.paused = False
        while self.inbox:
            self.actor.on_receive(self.inbox.pop(0))


def _list_worker(info: WorkerInfo) -> Instance:
    where = (info.region, info.domain, info.address, "")
    return Instance(info.id, InstanceKind.WORKER, *where, InstanceState.LIVE, info)


class World:
    """The platform and the instances, with one simulated clock."""

    def __init__(self) -> None:
        self.now = 1000.0
        self.rng = random.Random(11)
        self.log: list[log_state.LogRecord] = []
        self.first = 0
        self.lapsed: set[str] = set()
        self.log_up = True
        self.lossy = False
        self.fail_starts = False
        self.hold_appends = False
        self.frozen: set[str] = set()
        self.held: list[Callable[[], None]] = []
        self.starts = itertools.count()
        self.machines = {
            info.id: Machine(
                info.id, CAPACITY._asdict(), clock_base=self.rng.uniform(0, 900)
            )
            for info in WORKERS
        }
        self.processes = [self.start(f"i{n}") for n in range(3)]

    def start(self, instance: str) -> Process:
        return Process(self, instance, next(self.starts))

    def run(self, seconds: float, step_s: float = 0.5) -> None:
        for _ in range(int(seconds / step_s)):
            self.now += step_s
            for process in self.processes:
                if process.paused:
                    continue
                process.tell(ConfigConfirmed(self.now))
                process.tell(LivePeers(*self.list_live(process)))
                process.tell(TickMessage())
                for _ in range(3):
                    self.carry_out(process)
            self.check()

    def list_live(self, process: Process) -> tuple[frozenset[str], frozenset[str]]:
        heartbeats = [
            p
            for p in self.processes
            if not (p.paused or p.cut_peers or process.cut_peers)
        ]
        draining = frozenset(p.name for p in heartbeats if p.actor.node.stopping)
        live = frozenset(p.name for p in heartbeats) - draining | {process.name}
        return live, draining - {process.name}

    def carry_out(self, process: Process) -> None:
        calls, process.calls = process.calls, []
        for call in calls:
            match call:
                case (_, _, log_state.Fetch() as fetch, _):
                    self.read(process, fetch)
                case (_, _, dict() as record):
                    self.append(process, record)
                case (_, node_call, deliver):
                    self.command(process, node_call, deliver)

    def lose(self) -> bool:
        return self.lossy and self.rng.random() < 0.4

    def read(self, process: Process, fetch: log_state.Fetch) -> None:
        event: Any = log_state.FetchFailed()
        if self.log_up and not process.cut_log:
            start = max(fetch.offset, self.first)
            records = self.log[start : start + fetch.limit]
            event = log_state.Fetched(self.first, len(self.log), records)
        process.tell(StreamEvent("domain.d", event, self.now))

    def append(self, process: Process, record: dict[str, Any]) -> None:
        if not self.log_up or process.cut_log:
            process.tell(StreamEvent("domain.d", log_state.AppendRefused(), self.now))
            return
        wire = json.loads(json.dumps(record))
        if self.hold_appends:
            self.held.append(lambda: self.write(wire))
            process.tell(
                StreamEvent("domain.d", log_state.AppendUnconfirmed(), self.now)
            )
            return
        if self.lose():
            # Two thirds of the unconfirmed records reach the log, half of those later.
            late = self.rng.choice([None, self.held.append, lambda put: put()])
            if late is not None:
                late(lambda: self.write(wire))
            process.tell(
                StreamEvent("domain.d", log_state.AppendUnconfirmed(), self.now)
            )
            return
        self.write(wire)
        answer = log_state.AppendSucceeded(len(self.log) - 1)
        process.tell(StreamEvent("domain.d", answer, self.now))

    def write(self, wire: Any) -> None:
        self.log.append(log_state.LogRecord(len(self.log), self.now, wire))
        for part in wire.get("records", [wire]):
            if part["type"] == "results":
                ends = (item for item in part["items"] if item[2] == "lapsed")
                self.lapsed.update(item[0] for item in ends)

    def command(self, process: Process, call: Any, deliver: Any) -> None:
        sent_at = self.now

        def reach() -> None:
            answer = self.ask(call)
            starts = call.commands is not None and bool(call.commands.start)
            if self.lose() or (starts and self.fail_starts):
                deliver(CallFailed(call.worker, CallError(ErrorKind.LOST, "", "")))
            else:
                fencing = call.commands is not None
                deliver(WorkerAnswered(call.worker, answer, sent_at, fencing))

        if call.worker in process.cut_workers:
            error = CallError(ErrorKind.UNREACHABLE, "", "")
            deliver(CallFailed(call.worker, error))
        elif call.worker in self.frozen:
            # The request waits in the frozen worker's socket; the caller timed out.
            self.held.append(lambda: self.ask(call) and None)
            deliver(CallFailed(call.worker, CallError(ErrorKind.LOST, "", "")))
        else:
            reach()

    def ask(self, call: Any) -> WorkerResponse:
        machine = self.machines[call.worker]
        status, refused = 200, list[Any]()
        if call.commands is None:
            advance_machine(machine, self.now)
        else:
            wire = json.loads(json.dumps(encode_commands(call.commands)))
            status, refused = apply_commands(machine, wire, self.now)
        body = json.loads(json.dumps(describe_machine(machine, refused, self.now)))
        return WorkerResponse(status == 200, status == 410, parse_state(body))

    def deliver_held(self) -> None:
        held, self.held = self.held, []
        for act in held:
            act()

    def accept(self, name: str, count: int, run_s: float) -> None:
        job = Job(name, name, "team", False, count, Size(2.0, 1.0), run_s)
        self.write(log_state.make_accept(f"accept-{name}", job, {RACK: count}))

    def list_runs(self) -> Iterator[Any]:
        return itertools.chain.from_iterable(m.runs for m in self.machines.values())

    def check(self) -> None:
        for machine in self.machines.values():
            advance_machine(machine, self.now)
            assert not machine.overcommitted, "a worker exceeds its capacity"
        owners = [
            process.name
            for process in self.processes
            for term in process.actor.node.terms.values()
            if has_authority(term.authority, self.now)
        ]
        assert len(owners) <= 1, f"two instances hold authority: {owners}"
        running = [key[0] for m in self.machines.values() for key in m.running]
        assert len(running) == len(set(running)), f"task runs in two places: {running}"
        resumed = [run.checkpoint for run in self.list_runs() if run.checkpoint]
        assert len(resumed) == len(set(resumed)), "a checkpoint was resumed twice"
        # Only a task that finished on a worker that was cut off may run again, because
        # the owner can't know that it finished.
        lapsed = self.lapsed
        done = [r.task for r in self.list_runs() if r.outcome == "done"]
        once = [task for task in done if task not in lapsed]
        assert len(once) == len(set(once)), "a task was done twice"

    def heal(self) -> None:
        self.log_up, self.lossy = True, False
        self.frozen.clear()
        for process in self.processes:
            process.cut_log = process.cut_peers = False
            process.cut_workers = frozenset()
            process.resume()
        self.deliver_held()
