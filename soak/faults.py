"""Injecting the faults of a plan from outside the processes."""

import signal
import threading
from collections.abc import Callable, Sequence

from plantainyard.clock import read_clock
from soak.plan import Fault, FaultKind
from soak.site import Site, name_store_link

__all__ = ["heal_all", "inject_faults"]

RESTART_S = 0.5
"""Time until an instance that has ended is started again, as the platform does."""

LOST_ANSWERS = 8
"""Appends whose answers are lost with one fault."""


def inject_faults(
    site: Site, plan: Sequence[Fault], began: float, stopping: threading.Event
) -> None:
    """Inject and heal what the plan says, in time."""
    moments: list[tuple[float, Callable[[], None]]] = []
    for fault in plan:
        begin, end = _make_fault(site, fault)
        moments += [(fault.at, begin), (fault.at + fault.for_s, end)]
    for at, act in sorted(moments, key=lambda moment: moment[0]):
        if stopping.wait(max(0.0, began + at - read_clock())):
            return
        act()


def _make_fault(
    site: Site, fault: Fault
) -> tuple[Callable[[], None], Callable[[], None]]:
    """Return what begins a fault and what ends it."""
    kind, target = fault.kind, fault.target
    signals = {
        FaultKind.KILL: signal.SIGKILL,
        FaultKind.STOP: signal.SIGTERM,
        FaultKind.PAUSE: signal.SIGSTOP,
    }
    if kind in signals:
        member = site.members[target]
        return lambda: member.send(signals[kind]), member.revive
    if kind == FaultKind.CUT_STORE:
        name = name_store_link(target)
        return lambda: site.cut(name, True), lambda: site.cut(name, False)
    if kind == FaultKind.CUT_RUNNER:
        name = site.runners[target].runner
        return lambda: site.cut(name, True), lambda: site.cut(name, False)
    if kind == FaultKind.NEW_INCARNATION:
        return lambda: _restart_runner(site, target), _do_nothing
    return _make_store_fault(site, kind)


def _make_store_fault(
    site: Site, kind: str
) -> tuple[Callable[[], None], Callable[[], None]]:
    faults = site.store.faults

    def set_down(down: bool) -> None:
        faults.down = down

    def lose() -> None:
        faults.lose_answers += LOST_ANSWERS

    if kind == FaultKind.STORE_DOWN:
        return lambda: set_down(True), lambda: set_down(False)
    if kind == FaultKind.LOSE_ANSWERS:
        return lose, _do_nothing
    return site.store.drop_history, _do_nothing


def _restart_runner(site: Site, target: int) -> None:
    runner = site.runners[target]
    with runner.lock:
        runner.restart(read_clock())
    site.announce(runner)


def _do_nothing() -> None:
    """Do nothing: the fault is over by itself."""


def heal_all(site: Site) -> None:
    """End every fault, and start what has ended."""
    site.store.faults.down = False
    site.store.faults.lose_answers = 0
    for number, member in enumerate(site.members):
        site.cut(name_store_link(number), False)
        member.revive()
    for runner in site.runners:
        site.cut(runner.runner, False)
