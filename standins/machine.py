"""State of a stand-in worker: fencing, leases, simulated tasks and recorded evidence.

All functions take the time as an argument and do no input or output. The ports of
runners are opened and closed by `standins.workers`.
"""

import contextlib
import json
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any, NamedTuple

__all__ = [
    "Attempt",
    "Machine",
    "MachineFaults",
    "Run",
    "advance_machine",
    "apply_commands",
    "describe_machine",
    "restart_machine",
]

ACCEPTED, STALE, LATE = 200, 409, 410
FAIL_AFTER_S = 0.05
MAX_SAMPLES = 2000
CHECKPOINT_SEPARATOR = "@"
CAPACITY_TOLERANCE = 1e-9

Key = tuple[str, int]


class MachineFaults(NamedTuple):
    """Injected faults of a worker.

    Attributes
    ----------
    lose_next_answers : int
        Number of further commands that are carried out without a response.
    unreachable : bool
        No call gets a response; tasks continue.
    fail_everything : bool
        Each task that starts fails after `FAIL_AFTER_S`.
    refuse : bool
        Each start is refused.
    lag_s : float
        Age at which a usage report becomes visible.
    usage_s : float
        Time between two usage reports of a task.
    """

    lose_next_answers: int = 0
    unreachable: bool = False
    fail_everything: bool = False
    refuse: bool = False
    lag_s: float = 2.0
    usage_s: float = 0.5


@dataclass
class Run:
    """Record of one attempt at one worker; times are on the machine-wide clock."""

    task: str
    attempt: int
    worker: str
    begun: float
    checkpoint: str
    ended: float | None = None
    outcome: str = ""


@dataclass
class Attempt:
    """A running attempt; `actual` holds its real demands, whatever was declared."""

    task: str
    attempt: int
    until: float
    size: dict[str, Any]
    workload: str
    latency_critical: bool
    slots: int
    connections: int
    actual: dict[str, Any]
    run: Run
    progress_s: float = 0.0
    advanced_at: float = 0.0
    throttle: float = 1.0
    sampled_at: float = 0.0
    address: str = ""
    leaving: bool = False
    latency_ms: float = 0.0


@dataclass
class Machine:
    """State of a worker, whose clock shows the machine-wide time minus `clock_base`."""

    id: str
    capacity: dict[str, Any]
    clock_base: float = 0.0
    incarnation: int = 1
    epoch: int = -1
    holder: str = ""
    leaving: bool = False
    faults: MachineFaults = MachineFaults()
    actual_by_workload: dict[str, dict[str, Any]] = field(default_factory=dict)
    running: dict[Key, Attempt] = field(default_factory=dict)
    finished: dict[Key, tuple[str, str]] = field(default_factory=dict)
    started: set[Key] = field(default_factory=set)
    samples: deque[dict[str, Any]] = field(
        default_factory=lambda: deque(maxlen=MAX_SAMPLES)
    )
    runs: list[Run] = field(default_factory=list)
    ended: list[Attempt] = field(default_factory=list)
    overcommitted: dict[str, float] = field(default_factory=dict)
    fenced_calls: int = 0
    late_calls: int = 0


def advance_machine(machine: Machine, now: float) -> None:
    """Advance the tasks to `now`: end finished and lapsed ones and sample usage."""
    for attempt in list(machine.running.values()):
        _advance_attempt(machine, attempt, now)
    oldest_s = now - machine.clock_base - machine.faults.lag_s - 10
    while machine.samples and machine.samples[0]["time_s"] < oldest_s:
        machine.samples.popleft()


def apply_commands(
    machine: Machine, commands: dict[str, Any], now: float
) -> tuple[int, list[list[Any]]]:
    """Carry out `commands` and return the HTTP status and the refused starts.

    Notes
    -----
    Within a call, stops come first, then renewals, then starts, so that a start can use
    the capacity that a stop in the same call frees.
    """
    advance_machine(machine, now)
    epoch, holder = commands["epoch"], commands["holder"]
    clock_s = now - machine.clock_base
    if epoch < machine.epoch or (epoch == machine.epoch and holder != machine.holder):
        machine.fenced_calls += 1
        return STALE, []
    if (
        commands["not_after"] < clock_s
        or commands["incarnation"] != machine.incarnation
    ):
        machine.late_calls += 1
        return LATE, []
    machine.epoch, machine.holder = epoch, holder
    for task, attempt in commands.get("ack", ()):
        machine.finished.pop((task, attempt), None)
    for found in _find_attempts(machine, commands.get("stop", ())):
        _end_attempt(machine, found, "stopped", "", now)
    for found in _find_attempts(machine, commands.get("checkpoint", ())):
        _end_attempt(machine, found, "evicted", _write_checkpoint(found), now)
    for task, attempt, until in commands.get("renew", ()):
        for found in _find_attempts(machine, [(task, attempt)]):
            found.until = max(found.until, until)
    for task, attempt, share in commands.get("throttle", ()):
        for found in _find_attempts(machine, [(task, attempt)]):
            found.throttle = min(1.0, max(0.01, share))
    refused = [
        [start["task"], start["attempt"], reason]
        for start in commands.get("start", ())
        if (reason := _start_attempt(machine, start, now))
    ]
    return ACCEPTED, refused


def restart_machine(machine: Machine, now: float) -> None:
    """Restart the worker: all running tasks end, and its clock starts at zero.

    The fencing token and the unacknowledged results are kept, as the platform promises.
    """
    advance_machine(machine, now)
    for attempt in list(machine.running.values()):
        _close_run(machine, attempt, "restarted", now)
    machine.incarnation += 1
    machine.clock_base = now
    machine.started.clear()
    machine.samples.clear()


def describe_machine(
    machine: Machine, refused: Iterable[list[Any]], now: float
) -> dict[str, Any]:
    """Return the worker's state as it reports it."""
    clock_s = now - machine.clock_base
    return {
        "worker": machine.id,
        "incarnation": machine.incarnation,
        "clock_s": clock_s,
        "epoch": machine.epoch,
        "holder": machine.holder,
        "leaving": machine.leaving,
        "capacity": machine.capacity,
        "refused": list(refused),
        "running": [
            {
                "task": a.task,
                "attempt": a.attempt,
                "until": a.until,
                "size": a.size,
                "workload": a.workload,
                "address": a.address,
                "leaving": a.leaving,
                "throttle": a.throttle,
            }
            for a in machine.running.values()
        ],
        "finished": [
            {"task": task, "attempt": attempt, "outcome": outcome, "detail": detail}
            for (task, attempt), (outcome, detail) in machine.finished.items()
        ],
        "usage": _list_usage(machine, clock_s),
    }


def measure_slowdown(machine: Machine) -> float:
    """Return the factor by which interference of the running tasks slows a runner."""
    interference = sum(
        float(a.actual.get("noise", 0.0)) * a.throttle
        for a in list(machine.running.values())
    )
    return 1.0 + interference


def _find_attempts(machine: Machine, keys: Iterable[Iterable[Any]]) -> list[Attempt]:
    found = [machine.running.get((task, attempt)) for task, attempt in keys]
    return [attempt for attempt in found if attempt is not None]


def _start_attempt(machine: Machine, start: dict[str, Any], now: float) -> str:
    key = (start["task"], start["attempt"])
    if key in machine.started:
        return ""
    if machine.faults.refuse:
        return "refused by the worker"
    if machine.leaving:
        return "worker is leaving"
    if start["until"] <= now - machine.clock_base:
        return "lease is over"
    machine.started.add(key)
    checkpoint = start.get("checkpoint", "")
    run = Run(start["task"], start["attempt"], machine.id, now, checkpoint)
    machine.runs.append(run)
    machine.running[key] = Attempt(
        start["task"],
        start["attempt"],
        start["until"],
        start["size"],
        start.get("workload", ""),
        bool(start.get("latency_critical")),
        int(start.get("slots", 0)),
        int(start.get("connections", 0)),
        _read_actual_demands(machine, start),
        run,
        progress_s=_read_checkpoint(checkpoint),
        advanced_at=now,
        sampled_at=now,
    )
    _record_overcommit(machine)
    return ""


def _read_actual_demands(machine: Machine, start: dict[str, Any]) -> dict[str, Any]:
    actual = {
        "true_run_s": start.get("run_s", 0.0),
        "true_cores": start["size"]["cores"],
        "true_memory_gb": start["size"]["memory_gb"],
        **machine.actual_by_workload.get(start.get("workload", ""), {}),
    }
    with contextlib.suppress(ValueError):
        work = json.loads(start.get("work") or "{}")
        actual.update(work if isinstance(work, dict) else {})
    if machine.faults.fail_everything:
        actual.update({"fail": True, "true_run_s": FAIL_AFTER_S})
    return actual


def _advance_attempt(machine: Machine, attempt: Attempt, now: float) -> None:
    lapses_at = attempt.until + machine.clock_base
    ends_at = float("inf")
    if not attempt.latency_critical or attempt.actual.get("fail"):
        remaining_s = float(attempt.actual["true_run_s"]) - attempt.progress_s
        ends_at = attempt.advanced_at + max(0.0, remaining_s) / attempt.throttle
    # If the lease ends before the task, the task has lapsed, even if both times are
    # already in the past when this is evaluated.
    if ends_at <= now and ends_at <= lapses_at:
        outcome = "failed" if attempt.actual.get("fail") else "done"
        _end_attempt(machine, attempt, outcome, "", ends_at)
    elif lapses_at <= now:
        _end_attempt(machine, attempt, "lapsed", "", lapses_at)
    else:
        attempt.progress_s += (now - attempt.advanced_at) * attempt.throttle
        attempt.advanced_at = now
        _sample_usage(machine, attempt, now)


def _sample_usage(machine: Machine, attempt: Attempt, now: float) -> None:
    if now - attempt.sampled_at < machine.faults.usage_s:
        return
    attempt.sampled_at = now
    machine.samples.append(
        {
            "task": attempt.task,
            "attempt": attempt.attempt,
            "time_s": now - machine.clock_base,
            "cores": attempt.actual["true_cores"] * attempt.throttle,
            "memory_gb": attempt.actual["true_memory_gb"],
            "latency_ms": attempt.latency_ms,
        }
    )


def _list_usage(machine: Machine, clock_s: float) -> list[dict[str, Any]]:
    newest_visible_s = clock_s - machine.faults.lag_s
    newest = {
        (s["task"], s["attempt"]): s
        for s in machine.samples
        if s["time_s"] <= newest_visible_s
    }
    return list(newest.values())


def _end_attempt(
    machine: Machine, attempt: Attempt, outcome: str, detail: str, now: float
) -> None:
    machine.finished[attempt.task, attempt.attempt] = (outcome, detail)
    _close_run(machine, attempt, outcome, now)


def _close_run(machine: Machine, attempt: Attempt, outcome: str, now: float) -> None:
    attempt.run.ended, attempt.run.outcome = now, outcome
    del machine.running[attempt.task, attempt.attempt]
    machine.ended.append(attempt)


def _write_checkpoint(attempt: Attempt) -> str:
    name = f"{attempt.task}#{attempt.attempt}"
    return f"{name}{CHECKPOINT_SEPARATOR}{attempt.progress_s:.3f}"


def _read_checkpoint(checkpoint: str) -> float:
    _, separator, progress = checkpoint.rpartition(CHECKPOINT_SEPARATOR)
    return float(progress) if separator else 0.0


def _record_overcommit(machine: Machine) -> None:
    for name, capacity in machine.capacity.items():
        used = sum(a.size.get(name, 0) for a in machine.running.values())
        if used > capacity + CAPACITY_TOLERANCE:
            previous = machine.overcommitted.get(name, 0.0)
            machine.overcommitted[name] = max(previous, used - capacity)
