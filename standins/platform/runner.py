"""A stand-in runner: fence, lease, runs, numbered ends, new lives."""

import threading
from dataclasses import dataclass, field
from typing import Any

__all__ = ["Run", "RunnerFaults", "RunnerState"]

START_S = 0.05
"""Time until a long-running task is at work."""


@dataclass(slots=True)
class RunnerFaults:
    """What is wrong with a runner.

    Attributes
    ----------
    fails_all_runs : bool
        Whatever starts ends as failed.
    makes_no_progress : bool
        Tasks make no progress.
    refuses_starts : bool
        Starts are refused; nothing is done.
    """

    fails_all_runs: bool = False
    makes_no_progress: bool = False
    refuses_starts: bool = False


@dataclass(slots=True)
class Run:
    """A run at a runner."""

    task: str
    run: int
    ends_at: float
    began_at: float
    checkpoint: str = ""
    stops_at: float | None = None
    percent: int = 100


@dataclass(slots=True)
class RunnerState:
    """One runner over all its lives.

    Attributes
    ----------
    runner : str
        Its id.
    durations : dict
        Run time in seconds by the beginning of a task's name; zero for a task that
        lasts.
    max_lease_s, stop_s : float
        Bounds of the platform.
    capacity : dict
        As in its entry.
    started : list
        All runs that ever began here: (time, task, run).
    lock : RLock
        Held by whoever calls it from a thread of its own.
    """

    runner: str
    durations: dict[str, float] = field(default_factory=dict)
    max_lease_s: float = 10.0
    stop_s: float = 0.3
    capacity: dict[str, int] = field(
        default_factory=lambda: {"cpu": 64_000, "memMb": 256_000, "gpu": 0}
    )
    service: str = "tollgate"
    labels: tuple[str, ...] = ("a", "r1-1")
    address: str = "127.0.0.1:1"
    draining: bool = False
    faults: RunnerFaults = field(default_factory=RunnerFaults)
    incarnation_started_at: float = 0.0
    fence: int = 0
    lease_until_ms: int = 0
    running: dict[str, Run] = field(default_factory=dict)
    refused_runs: dict[str, int] = field(default_factory=dict)
    ends: list[list[Any]] = field(default_factory=list)
    end_count: int = 0
    started: list[tuple[float, str, int]] = field(default_factory=list)
    lock: threading.RLock = field(default_factory=threading.RLock)

    def clock_ms(self, now: float) -> int:
        """Return the runner's own clock; it starts anew with each life."""
        return 1000 + round((now - self.incarnation_started_at) * 1000)

    def build_entry(self, now: float) -> dict[str, Any]:
        """Return what the runner writes about itself."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": "addis-kality",
            "version": "v1",
            "slotCount": 8,
            "state": "draining" if self.draining else "ready",
            "coldLeftMs": 0,
            "capacity": self.capacity,
            "labels": list(self.labels),
            "clockMs": self.clock_ms(now),
            "sequence": 1,
            "born": round(self.incarnation_started_at * 1000),
        }

    def restart(self, now: float) -> None:
        """Begin a new life, which knows nothing of the one before."""
        self.incarnation_started_at = now
        self.fence = 0
        self.lease_until_ms = 0
        self.running = {}
        self.refused_runs = {}
        self.ends = []
        self.end_count = 0

    def advance(self, now: float) -> None:
        """Let time pass: runs end, and everything stops when the lease is over."""
        lapsed = self.running and self.clock_ms(now) > self.lease_until_ms
        for run in list(self.running.values()):
            if run.stops_at is not None and now >= run.stops_at:
                self._end(run, "stopped")
            elif now >= run.ends_at and run.stops_at is None:
                self._end(run, "failed" if self.faults.fails_all_runs else "done")
            elif lapsed:
                self._end(run, "lapsed")

    def _end(self, run: Run, how: str) -> None:
        del self.running[run.task]
        self.end_count += 1
        self.ends.append([self.end_count, run.task, run.run, how, run.checkpoint])
        self._refuse_up_to(run.task, run.run)

    def _refuse_up_to(self, task: str, run: int) -> None:
        self.refused_runs[task] = max(run, self.refused_runs.get(task, 0))

    def call(self, name: str, body: dict[str, Any], now: float) -> tuple[int, dict]:
        """Serve one call of ``run-start``, ``run-stop``, ``hold`` or ``pace``."""
        self.advance(now)
        answer: dict[str, Any] = {
            "clockMs": self.clock_ms(now),
            "born": round(self.incarnation_started_at * 1000),
        }
        if body.get("fence", 0) < self.fence:
            return 409, {**answer, "reason": "fence"}
        self.fence = body.get("fence", 0)
        if name == "hold":
            return self._hold(body, answer)
        if name == "run-start" and self.faults.refuses_starts:
            return 503, answer
        if name == "run-start":
            return self._start(body, answer, now)
        if name == "run-stop":
            return self._stop(body, answer, now)
        return self._pace(body, answer)

    def _extend(self, body: dict[str, Any], clock_ms: int) -> None:
        until = min(body.get("untilMs", 0), clock_ms + round(self.max_lease_s * 1000))
        self.lease_until_ms = max(self.lease_until_ms, until)

    def _hold(self, body: dict, answer: dict) -> tuple[int, dict]:
        self._extend(body, answer["clockMs"])
        self.ends = [end for end in self.ends if end[0] > body.get("lastSeen", 0)]
        running = [
            [run.task, run.run, run.checkpoint, run.percent, 0]
            for run in self.running.values()
        ]
        return 200, {**answer, "running": running, "endedRuns": list(self.ends)}

    def _start(self, body: dict, answer: dict, now: float) -> tuple[int, dict]:
        task, number = body["task"], body["run"]
        present = self.running.get(task)
        if present is not None and present.run == number:
            self._extend(body, answer["clockMs"])
            return 200, answer
        if number <= self.refused_runs.get(task, 0):
            self._extend(body, answer["clockMs"])
            return 409, {**answer, "reason": "old"}
        if body.get("untilMs", 0) <= answer["clockMs"]:
            return 409, {**answer, "reason": "late"}
        self._extend(body, answer["clockMs"])
        length = next((v for k, v in self.durations.items() if task.startswith(k)), 1.0)
        if self.faults.fails_all_runs:
            length = START_S
        endless = self.faults.makes_no_progress or not length
        ends_at = float("inf") if endless else now + length
        self.running[task] = Run(task, number, ends_at, now, body.get("checkpoint", ""))
        if self.faults.makes_no_progress:
            self.running[task].percent = 1
        self.started.append((now, task, number))
        return 200, answer

    def _stop(self, body: dict, answer: dict, now: float) -> tuple[int, dict]:
        task, number = body["task"], body["run"]
        run = self.running.get(task)
        if run is not None and run.run == number:
            run.stops_at = run.stops_at or now + self.stop_s
        else:
            self._refuse_up_to(task, number)
        return 200, answer

    def _pace(self, body: dict, answer: dict) -> tuple[int, dict]:
        run = self.running.get(body["task"])
        return (200 if run and run.run == body["run"] else 409), answer
