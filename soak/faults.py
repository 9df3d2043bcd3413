"""Injection of a plan's faults from outside the processes."""

import itertools
import json
import signal
import threading
from collections.abc import Callable, Sequence

from plantainyard.clock import read_clock
from plantainyard.entry.topics import INTAKE, LAYOUT, OPERATIONS, PROGRESS, RUNNERS
from plantainyard.platform.evacuations import EVACUATION_PREFIX
from soak.plan import Fault, FaultKind
from soak.site import DOMAINS, Site, format_store_link

__all__ = ["heal_all", "inject_faults"]

RESTART_S = 0.5
"""Time until an instance that has ended is restarted, as the platform does."""

HEARTBEAT_S = 1.0
"""Time from a late heartbeat to the next one of the runner."""

STRAY_KEYS = (
    (RUNNERS, "i-stray"),
    (RUNNERS, "r0@1"),
    (OPERATIONS, EVACUATION_PREFIX + DOMAINS[0] + "-stray"),
    (INTAKE, "j/00000000000000ff"),
    (PROGRESS, "p/00000000000000ff/0/0"),
    (PROGRESS, "fences"),
    (PROGRESS, "bounds"),
    (LAYOUT, "owner/0"),
)
"""Topics and keys of records that other writers store."""

STRAY_VALUES = (
    b"{",
    b"\xff",
    b"[" * 50_000,
    b'{"state":["ready"],"steps":[{}],"done":"zz","highest":"a","epoch":[]}',
    b'{"born":1e999,"times":NaN,"tasks":[],"highest":1e999,"epoch":1e999}',
)
"""Values that none of them can have."""

LOST_RESPONSES = 8
"""Number of appends whose responses are lost by one fault."""


def inject_faults(
    site: Site, plan: Sequence[Fault], started_at: float, stopping: threading.Event
) -> None:
    """Inject and heal the faults of `plan` at their times.

    Parameters
    ----------
    site : Site
        Site that gets the faults.
    plan : sequence of Fault
        Faults with times relative to `started_at`.
    started_at : float
        Time at which the callers started.
    stopping : threading.Event
        Ends the injection when set; faults that are active then aren't healed.
    """
    actions: list[tuple[float, Callable[[], None]]] = []
    for fault in plan:
        begin, end = _make_fault(site, fault)
        actions += [(fault.at, begin), (fault.at + fault.for_s, end)]
    for at, act in sorted(actions, key=lambda action: action[0]):
        if stopping.wait(max(0.0, started_at + at - read_clock())):
            return
        act()


def _make_fault(
    site: Site, fault: Fault
) -> tuple[Callable[[], None], Callable[[], None]]:
    """Return the callables that begin and end a fault."""
    kind, target = fault.kind, fault.target
    signals = {
        FaultKind.KILL: signal.SIGKILL,
        FaultKind.STOP: signal.SIGTERM,
        FaultKind.PAUSE: signal.SIGSTOP,
    }
    if kind in signals:
        instance = site.instances[target]
        return lambda: instance.send_signal(signals[kind]), instance.resume_or_restart
    if kind == FaultKind.CUT_STORE:
        name = format_store_link(target)
        return lambda: site.set_cut(name, True), lambda: site.set_cut(name, False)
    if kind == FaultKind.CUT_RUNNER:
        name = site.runners[target].runner
        return lambda: site.set_cut(name, True), lambda: site.set_cut(name, False)
    if kind == FaultKind.EVACUATE:
        return lambda: site.evacuate(target), lambda: site.end_evacuation(target)
    if kind == FaultKind.NEW_INCARNATION:
        return lambda: _restart_runner(site, target), _do_nothing
    if kind in FaultKind.SILENT:
        runner = site.runners[target]
        begin = _restart_unread if kind == FaultKind.UNREAD_RESTART else _remove_entry
        return lambda: begin(site, target), lambda: site.write_runner_entry(runner)
    if kind == FaultKind.STRAY_RECORD:
        return lambda: _write_stray_record(site, target), _do_nothing
    if kind == FaultKind.LATE_HEARTBEAT:
        return _delay_heartbeat(site, target)
    return _make_store_fault(site, kind)


def _make_store_fault(
    site: Site, kind: str
) -> tuple[Callable[[], None], Callable[[], None]]:
    faults = site.store.faults

    def set_down(down: bool) -> None:
        faults.down = down

    def lose_responses() -> None:
        faults.lose_answers += LOST_RESPONSES

    if kind == FaultKind.STORE_DOWN:
        return lambda: set_down(True), lambda: set_down(False)
    if kind == FaultKind.LOSE_ANSWERS:
        return lose_responses, _do_nothing
    return site.store.drop_history, _do_nothing


def _restart_runner(site: Site, target: int) -> None:
    _restart_unread(site, target)
    site.write_runner_entry(site.runners[target])


def _restart_unread(site: Site, target: int) -> None:
    runner = site.runners[target]
    with runner.lock:
        runner.restart(read_clock())


def _remove_entry(site: Site, target: int) -> None:
    site.store.put(RUNNERS, site.runners[target].runner, b"")


def _write_stray_record(site: Site, number: int) -> None:
    """Write one of the records that no other program should write."""
    records = list(itertools.product(STRAY_KEYS, STRAY_VALUES))
    (topic, key), value = records[number % len(records)]
    site.store.put(topic, key, value)


def _delay_heartbeat(
    site: Site, target: int
) -> tuple[Callable[[], None], Callable[[], None]]:
    """Return what restarts a runner, and what writes its heartbeat of before."""
    runner = site.runners[target]
    entries: list[bytes] = []

    def restart() -> None:
        entries.append(json.dumps(runner.build_entry(read_clock())).encode())
        _restart_runner(site, target)

    def write_late() -> None:
        if entries:
            site.store.put(RUNNERS, runner.runner, entries.pop())
        timer = threading.Timer(HEARTBEAT_S, site.write_runner_entry, (runner,))
        timer.daemon = True
        timer.start()

    return restart, write_late


def _do_nothing() -> None:
    """Do nothing, because the fault ends by itself."""


def heal_all(site: Site) -> None:
    """End every fault and restart the instances that have ended."""
    site.store.faults.down = False
    site.store.faults.lose_answers = 0
    for domain in range(len(DOMAINS)):
        site.end_evacuation(domain)
    for number, instance in enumerate(site.instances):
        site.set_cut(format_store_link(number), False)
        instance.resume_or_restart()
    for runner in site.runners:
        site.set_cut(runner.runner, False)
        site.write_runner_entry(runner)
