"""A whole failure domain under faults: log, workers and instances, two at once.

The instances are the real actors, driven without threads: their calls to the log
and to workers are kept and carried out, held back or lost as the test draws. The
workers are the stand-ins' model, which fences and ends lapsed leases by its own
clock, and keeps the evidence of what ran where and when.
"""

import itertools
import json
import logging
import random
from collections.abc import Callable, Iterator
from typing import Any

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from plantainyard import state as log_state
from plantainyard.clients import (
    Instance,
    InstanceKind,
    InstanceState,
    WorkerAnswer,
)
from plantainyard.clients.worker import encode_commands, parse_state
from plantainyard.errors import CallError, ErrorKind
from plantainyard.execution import CallFailed, WorkerAnswered
from plantainyard.membership import has_authority
from plantainyard.node import domain as node_domain
from plantainyard.node.domain import DomainActor
from plantainyard.node.messages import ConfigKnown, InstancesListed, PeersHeard
from plantainyard.node.messages import Stop as StopMessage
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
    restart_machine,
)

RACK = "r1"
LEASE_S = 10.0
CAPACITY = Size(4.0, 16.0)
SNAPSHOTS = log_state.SnapshotSettings(retention_s=120.0)
WORKERS = [
    WorkerInfo(f"w{n}", f"w{n}", "region", "d", RACK, CAPACITY) for n in range(3)
]


class Process:
    """One start of an instance, and its messages under way."""

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
        """Keep a call that the actor hands to its executor."""
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
    """The platform and the instances, on one clock."""

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
                process.tell(ConfigKnown(self.now))
                process.tell(PeersHeard(*self.list_live(process)))
                process.tell(TickMessage())
                for _ in range(3):
                    self.carry_out(process)
            self.check()

    def list_live(self, process: Process) -> tuple[frozenset[str], frozenset[str]]:
        heard = [
            p
            for p in self.processes
            if not (p.paused or p.cut_peers or process.cut_peers)
        ]
        draining = frozenset(p.name for p in heard if p.actor.node.stopping)
        live = frozenset(p.name for p in heard) - draining | {process.name}
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
            process.tell(StreamEvent("domain.d", log_state.Refused(), self.now))
            return
        wire = json.loads(json.dumps(record))
        if self.hold_appends:
            self.held.append(lambda: self.write(wire))
            process.tell(StreamEvent("domain.d", log_state.Lost(), self.now))
            return
        if self.lose():
            # Half of the lost ones reach the log, some of them much later.
            late = self.rng.choice([None, self.held.append, lambda put: put()])
            if late is not None:
                late(lambda: self.write(wire))
            process.tell(StreamEvent("domain.d", log_state.Lost(), self.now))
            return
        self.write(wire)
        answer = log_state.Answered(len(self.log) - 1)
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
            # The request sits in the frozen worker's socket; the caller gave up.
            self.held.append(lambda: self.ask(call) and None)
            deliver(CallFailed(call.worker, CallError(ErrorKind.LOST, "", "")))
        else:
            reach()

    def ask(self, call: Any) -> WorkerAnswer:
        machine = self.machines[call.worker]
        status, refused = 200, list[Any]()
        if call.commands is None:
            advance_machine(machine, self.now)
        else:
            wire = json.loads(json.dumps(encode_commands(call.commands)))
            status, refused = apply_commands(machine, wire, self.now)
        body = json.loads(json.dumps(describe_machine(machine, refused, self.now)))
        return WorkerAnswer(status == 200, status == 410, parse_state(body))

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
            assert not machine.overcommitted, "a worker got more than it can hold"
        owners = [
            process.name
            for process in self.processes
            for term in process.actor.node.terms.values()
            if has_authority(term.authority, self.now)
        ]
        assert len(owners) <= 1, f"two instances hold authority: {owners}"
        running = [key[0] for m in self.machines.values() for key in m.running]
        assert len(running) == len(set(running)), f"in two places: {running}"
        resumed = [run.checkpoint for run in self.list_runs() if run.checkpoint]
        assert len(resumed) == len(set(resumed)), "a checkpoint was resumed twice"
        # What finished at a worker that was cut off may be run again, for nobody can
        # know that it did; nothing else may.
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


INDEX = st.integers(0, 2)


class Domain(RuleBasedStateMachine):
    """Draws faults, any two at once and the same one twice."""

    def __init__(self) -> None:
        super().__init__()
        self.patch = pytest.MonkeyPatch()
        self.world = World()
        self.patch.setattr(node_domain, "read_clock", lambda: self.world.now)
        self.jobs = itertools.count()
        self.accept(4, 3.0)
        self.world.run(4.0)

    @rule(count=st.integers(1, 4), run_s=st.sampled_from([1.0, 8.0, 40.0]))
    def accept(self, count: int, run_s: float) -> None:
        self.world.accept(f"j{next(self.jobs)}", count, run_s)

    @rule(seconds=st.sampled_from([1.0, 3.0, 6.0, 14.0]))
    def run(self, seconds: float) -> None:
        self.world.run(seconds)

    @rule(index=INDEX)
    def pause(self, index: int) -> None:
        self.world.processes[index].paused = True

    @rule(index=INDEX)
    def resume(self, index: int) -> None:
        self.world.processes[index].resume()

    @rule(index=INDEX)
    def replace(self, index: int) -> None:
        self.world.processes[index] = self.world.start(f"i{index}")

    @rule(index=INDEX)
    def stop(self, index: int) -> None:
        self.world.processes[index].tell(StopMessage())

    @rule(
        index=INDEX,
        log=st.booleans(),
        peers=st.booleans(),
        workers=st.frozensets(st.sampled_from(["w0", "w1", "w2"])),
    )
    def cut(self, index: int, log: bool, peers: bool, workers: frozenset[str]) -> None:
        process = self.world.processes[index]
        process.cut_log, process.cut_peers = log, peers
        process.cut_workers = workers

    @rule(up=st.booleans())
    def turn_log(self, up: bool) -> None:
        self.world.log_up = up

    @rule(lossy=st.booleans())
    def lose_answers(self, lossy: bool) -> None:
        self.world.lossy = lossy

    @rule(index=INDEX, frozen=st.booleans())
    def freeze_worker(self, index: int, frozen: bool) -> None:
        if frozen:
            self.world.frozen.add(f"w{index}")
        else:
            self.world.frozen.discard(f"w{index}")
            self.world.deliver_held()

    @rule(index=INDEX)
    def restart_worker(self, index: int) -> None:
        restart_machine(self.world.machines[f"w{index}"], self.world.now)

    @rule(index=INDEX)
    def evict(self, index: int) -> None:
        for process in self.world.processes:
            for term in process.actor.node.terms.values():
                view = term.rack.views.get(f"w{index}")
                if view is not None and not process.paused:
                    view.evictions.update(view.running)

    @rule()
    def forget_records(self) -> None:
        covers = [
            record.data["covers"]
            for record in self.world.log
            if record.data.get("type") == "snapshot"
        ]
        if covers:
            self.world.first = max(covers) + 1

    @invariant()
    def holds(self) -> None:
        self.world.check()

    def teardown(self) -> None:
        try:
            self.world.heal()
            for index, process in enumerate(self.world.processes):
                if process.actor.node.stopping:
                    self.replace(index)
            self.world.run(150.0)
            finished = {r.task for r in self.world.list_runs() if r.outcome == "done"}
            state = log_state.DomainState()
            for record in self.world.log:
                log_state.apply_record(state, record.offset, record.data)
            assert not log_state.list_jobs(state), "accepted work was lost"
            done = sum(entry.done for entry in state.completed.values())
            assert done == len(finished)
        finally:
            self.patch.undo()


@pytest.fixture
def world(monkeypatch: pytest.MonkeyPatch) -> World:
    made = World()
    monkeypatch.setattr(node_domain, "read_clock", lambda: made.now)
    made.accept("j", 1, 60.0)
    made.run(20.0)
    return made


def pick_owner(world: World) -> tuple[Process, Process, Process]:
    """Return the process with authority and the two others."""
    owner = next(p for p in world.processes if p.actor.node.terms)
    rest = [p for p in world.processes if p is not owner]
    return owner, rest[0], rest[1]


def find_worker(world: World) -> str:
    return next(name for name, m in world.machines.items() if m.running)


def test_lease_renewed_by_a_caretaker_has_not_lapsed(world: World) -> None:
    """A monthly statement run is billed twice.

    A switch fails: the owner reaches the log and two of three workers; a peer is
    cut off from log and owner, and reaches only the third worker. It takes the owner
    for dead and renews the task there, while the owner sees the lease run out,
    writes so and starts the task elsewhere.
    """
    owner, peer, _ = pick_owner(world)
    worker = find_worker(world)
    owner.cut_workers = frozenset({worker})
    peer.cut_log = peer.cut_peers = True
    peer.cut_workers = frozenset(world.machines) - {worker}
    world.run(40.0)
    assert [r.attempt for r in world.list_runs()] == [1, 2]


def test_paused_owner_wakes_after_a_caretaker_renewed(world: World) -> None:
    """A monthly statement run is billed twice.

    The log is out and the owner is paused; a peer keeps its task alive. The owner
    wakes first, and the log returns: its lease has run out by all that it knows.
    """
    owner, *_ = pick_owner(world)
    world.log_up = False
    owner.paused = True
    world.run(20.0)
    assert any(
        t.rack.caretaker for p in world.processes for t in p.actor.node.terms.values()
    )
    world.log_up = True
    owner.tell(TickMessage())
    owner.resume()
    world.run(10.0)
    assert [r.attempt for r in world.list_runs()] == [1]


def test_planned_stop_hands_the_rack_over_at_once(world: World) -> None:
    """Each replaced instance costs its racks ten seconds without an owner.

    The owner says that it is stopping; its peers leave it out of those that live and
    claim its rack before it has given it up, and so must wait for its lease to end.
    """
    owner, *rest = pick_owner(world)
    owner.tell(StopMessage())
    world.run(4.0)
    terms = [t for p in rest for t in p.actor.node.terms.values()]
    assert [has_authority(term.authority, world.now) for term in terms] == [True]


def test_hand_over_by_an_owner_that_has_a_caretaker(world: World) -> None:
    """An order is taken twice: two instances let its request id run.

    A peer that is cut off from the log and the owner cares for the rack; the owner,
    which can't reach the workers, doesn't know. It stops as planned and hands the
    rack over, and its successor doesn't wait for the caretaker's lease to end.
    """
    owner, peer, third = pick_owner(world)
    owner.cut_workers = frozenset(world.machines)
    peer.cut_log = peer.cut_peers = True
    world.run(25.0)
    assert has_authority(peer.actor.node.terms[RACK].authority, world.now)
    peer.paused = True
    owner.tell(StopMessage())
    world.run(30.0)
    assert [p for p in world.processes if p.actor.node.terms] == [peer, third]


def test_hand_over_by_an_owner_in_waiting(world: World) -> None:
    """An order is taken twice: two instances let its request id run.

    An owner is paused; its successor claims the rack and has to wait for the lease to
    end. It is stopped while it waits, and the third instance takes the rack as free.
    """
    owner, *rest = pick_owner(world)
    owner.paused = True
    while not any(p.actor.node.terms for p in rest):
        world.run(0.5)
    world.run(1.0)
    waiting = next(p for p in rest if p.actor.node.terms)
    successor = next(p for p in rest if p is not waiting)
    successor.paused = True
    waiting.tell(StopMessage())
    world.run(1.0)
    successor.resume()
    world.run(40.0)
    assert not waiting.actor.node.terms and pick_owner(world)


def test_hand_over_that_reaches_the_log_late(world: World) -> None:
    """An order is taken twice: two instances let its request id run.

    An owner with authority stops and hands its rack over, but the network holds the
    record back. Meanwhile a peer that is cut off cares for the rack. The record
    arrives, and the successor takes the rack as free at once.
    """
    owner, peer, third = pick_owner(world)
    world.hold_appends = True
    owner.tell(StopMessage())
    world.run(1.0)
    peer.cut_log = peer.cut_peers = third.paused = True
    world.run(25.0)
    assert has_authority(peer.actor.node.terms[RACK].authority, world.now)
    peer.paused = True
    world.hold_appends = False
    world.deliver_held()
    third.resume()
    world.run(30.0)
    assert has_authority(third.actor.node.terms[RACK].authority, world.now)


def test_outage_that_fills_the_backlog_loses_nothing(world: World) -> None:
    """After a long outage of the log some statement runs never end, others never start.

    More records gather than the backlog holds. Those past its bound are refused, and
    nobody tells the results again or places the tasks anew.
    """
    owner, *_ = pick_owner(world)
    for process in world.processes:
        settings = process.actor.stream.appender.settings._replace(max_backlog=1)
        process.actor.stream.appender.settings = settings
    for count, run_s in enumerate((4.0, 6.0, 8.0), 1):
        world.accept(f"short{count}", 1, run_s)
    world.run(3.0)
    world.log_up = False
    world.run(120.0)
    world.log_up = True
    world.accept("late", 2, 1.0)
    world.run(60.0)
    assert pick_owner(world)[0] is owner
    assert not owner.actor.node.domain.jobs


@pytest.mark.parametrize("replaced", [False, True])
def test_checkpoint_is_resumed_once_though_the_worker_restarts(
    world: World, replaced: bool
) -> None:
    """Half of the invoices of an evicted run are sent twice.

    The run is evicted with a checkpoint and resumed; the answer to its start is
    lost, and the worker restarts before it is asked again, by the same owner or by
    its successor.
    """
    owner, *_ = pick_owner(world)
    for view in owner.actor.node.terms[RACK].rack.views.values():
        view.evictions.update(view.running)
    world.fail_starts = True
    while not any(r.checkpoint for r in world.list_runs()):
        world.run(0.5)
    world.fail_starts = False
    owner.paused = replaced
    for machine in world.machines.values():
        restart_machine(machine, world.now)
    world.run(30.0)
    owner.resume()
    world.run(90.0)
    assert any(r.outcome == "done" for r in world.list_runs())


logging.getLogger("plantainyard").setLevel(logging.CRITICAL)
TestDomain = Domain.TestCase
TestDomain.settings = settings(
    derandomize=True, deadline=None, max_examples=20, stateful_step_count=25
)
