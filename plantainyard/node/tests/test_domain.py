"""A whole failure domain under faults of the log, workers and instances, two at once.

The instances are the real actors, driven without threads: their calls to the log and
to workers are queued, and carried out, delayed or lost as the test draws. The workers
are the stand-ins' model, which checks epochs, ends expired leases by its own clock, and
records which task ran where and when.
"""

import itertools
import logging
from collections.abc import Iterator

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from plantainyard import state as log_state
from plantainyard.membership import has_authority
from plantainyard.node import domain as node_domain
from plantainyard.node.messages import Stop as StopMessage
from plantainyard.node.messages import Tick as TickMessage
from plantainyard.node.tests.world import (
    RACK,
    Process,
    World,
)
from standins.machine import (
    restart_machine,
)

INDEX = st.integers(0, 2)


class Domain(RuleBasedStateMachine):
    """State machine that draws faults: any two at once, and the same one twice."""

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


@pytest.fixture(autouse=True, scope="module")
def quiet_logs() -> Iterator[None]:
    """Suppress the thousands of warnings that only these tests expect."""
    logger = logging.getLogger("plantainyard")
    before = logger.level
    logger.setLevel(logging.CRITICAL)
    yield
    logger.setLevel(before)


@pytest.fixture
def world(monkeypatch: pytest.MonkeyPatch) -> World:
    made = World()
    monkeypatch.setattr(node_domain, "read_clock", lambda: made.now)
    made.accept("j", 1, 60.0)
    made.run(20.0)
    return made


def pick_owner(world: World) -> tuple[Process, Process, Process]:
    """Return the process that owns the rack, and the two others."""
    owner = next(p for p in world.processes if p.actor.node.terms)
    rest = [p for p in world.processes if p is not owner]
    return owner, rest[0], rest[1]


def find_worker(world: World) -> str:
    return next(name for name, m in world.machines.items() if m.running)


def test_lease_renewed_by_a_caretaker_has_not_lapsed(world: World) -> None:
    """Guards against a task that runs twice, such as a monthly statement run.

    After a switch failure the owner reaches the log and two of three workers. A peer is
    cut off from the log and the owner, and reaches only the third worker. It considers
    the owner dead and renews the task's lease there, while the owner considers the
    lease expired, records that and starts the task elsewhere.
    """
    owner, peer, _ = pick_owner(world)
    worker = find_worker(world)
    owner.cut_workers = frozenset({worker})
    peer.cut_log = peer.cut_peers = True
    peer.cut_workers = frozenset(world.machines) - {worker}
    world.run(40.0)
    assert [r.attempt for r in world.list_runs()] == [1, 2]


def test_paused_owner_wakes_after_a_caretaker_renewed(world: World) -> None:
    """Guards against a task that runs twice, such as a monthly statement run.

    The log is out and the owner is paused, and a caretaker renews the lease of its
    task. The owner resumes and the log returns: as far as the owner knows, the lease
    has expired.
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
    """Guards against racks without an owner for ten seconds at each planned stop.

    The owner reports that it is stopping. If its peers no longer count it as live, they
    claim its rack before it is released and must wait for the owner's lease to expire.
    """
    owner, *rest = pick_owner(world)
    owner.tell(StopMessage())
    world.run(4.0)
    terms = [t for p in rest for t in p.actor.node.terms.values()]
    assert [has_authority(term.authority, world.now) for term in terms] == [True]


def test_hand_over_by_an_owner_that_has_a_caretaker(world: World) -> None:
    """Guards against an order taken twice: two instances let a request id run.

    A peer that is cut off from the log and the owner becomes the rack's caretaker. The
    owner can't reach the workers and doesn't know this. It stops as planned and hands
    the rack over, and its successor doesn't wait for the caretaker's lease to expire.
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


def test_hand_over_by_an_owner_without_authority_yet(world: World) -> None:
    """Guards against an order taken twice: two instances let a request id run.

    The owner is paused. Its successor claims the rack and has to wait for the owner's
    lease to expire. The successor is stopped while it waits, and the third instance
    takes over the rack as if it were free.
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
    """Guards against an order taken twice: two instances let a request id run.

    An owner with authority stops and hands its rack over, but the network delays the
    record. Meanwhile a peer that is cut off becomes the rack's caretaker. The record
    arrives, and the successor at once takes over the rack as if it were free.
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
    """Guards against tasks that never start or end after a long outage of the log.

    More records accumulate than the backlog holds. Those beyond its limit are rejected,
    and no instance reports the results again or places the tasks again.
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
def test_checkpoint_is_resumed_once_when_the_worker_restarts(
    world: World, replaced: bool
) -> None:
    """Guards against a checkpoint resumed twice, with half of the invoices sent twice.

    The run is evicted with a checkpoint and resumed. The response to its start is lost,
    and the worker restarts before the same owner or its successor calls it again.
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


TestDomain = Domain.TestCase
TestDomain.settings = settings(
    derandomize=True, deadline=None, max_examples=20, stateful_step_count=25
)
