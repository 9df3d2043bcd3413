"""State of a stand-in runner: fencing, lease, runs, their ends, and incarnations."""

import threading
from dataclasses import dataclass, field
from typing import Any

__all__ = ["Run", "RunnerFaults", "RunnerState"]

START_S = 0.05
"""Time until a long-running task has started, and until a run fails under the fault
`fails_all_runs`."""


@dataclass(slots=True)
class RunnerFaults:
    """Injected faults of a runner.

    Attributes
    ----------
    fails_all_runs : bool
        Each run that starts ends as failed.
    makes_no_progress : bool
        Runs make no progress and don't end.
    refuses_starts : bool
        Start orders are refused without effect.
    failing_tasks : tuple of str
        Runs of tasks whose names begin so end as failed.
    """

    fails_all_runs: bool = False
    makes_no_progress: bool = False
    refuses_starts: bool = False
    failing_tasks: tuple[str, ...] = ()


@dataclass(slots=True)
class Run:
    """One run of a task at a runner."""

    task: str
    run: int
    ends_at: float
    began_at: float
    checkpoint: str = ""
    stops_at: float | None = None
    percent: int = 100


@dataclass(slots=True)
class RunnerState:
    """One runner over all its incarnations.

    Attributes
    ----------
    runner : str
        Id of the runner.
    durations : dict
        Run time in seconds by prefix of a task's name; zero for a task that doesn't end
        by itself.
    max_lease_s, stop_s : float
        Longest lease that the runner grants, and time that a run takes to stop.
    clock_rate : float
        Rate of the runner's clock; 1 is exact.
    clock_start_ms : int
        Time of its clock at the start of its incarnation.
    capacity : dict
        Capacity as written in the runner's entry.
    domain : str
        Failure domain of the runner.
    slow_for_ms : int
        Time for which it says that it is still slow after its start.
    started : list
        All runs of all incarnations: (time, task, run).
    lock : RLock
        Must be held by callers on other threads.
    """

    runner: str
    durations: dict[str, float] = field(default_factory=dict)
    max_lease_s: float = 10.0
    stop_s: float = 0.3
    clock_rate: float = 1.0
    clock_start_ms: int = 1000
    capacity: dict[str, int] = field(
        default_factory=lambda: {"cpu": 64_000, "memMb": 256_000, "gpu": 0}
    )
    service: str = "tollgate"
    labels: tuple[str, ...] = ("a", "r1-1")
    address: str = "127.0.0.1:1"
    domain: str = "addis-kality"
    slow_for_ms: int = 0
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
        """Return the time of the runner's clock; it restarts with each incarnation."""
        age_s = (now - self.incarnation_started_at) * self.clock_rate
        return self.clock_start_ms + round(age_s * 1000)

    def build_entry(self, now: float) -> dict[str, Any]:
        """Return the entry that the runner writes to the store."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.domain,
            "version": "v1",
            "slotCount": 8,
            "state": "draining" if self.draining else "ready",
            "coldLeftMs": self.slow_for_ms,
            "capacity": self.capacity,
            "labels": list(self.labels),
            "clockMs": self.clock_ms(now),
            "sequence": 1,
            "born": round(self.incarnation_started_at * 1000),
        }

    def restart(self, now: float) -> None:
        """Begin a new incarnation, without any state of the previous one."""
        self.incarnation_started_at = now
        self.fence = 0
        self.lease_until_ms = 0
        self.running = {}
        self.refused_runs = {}
        self.ends = []
        self.end_count = 0

    def advance(self, now: float) -> None:
        """Advance to `now`: end finished runs, and all runs if the lease has lapsed."""
        lapsed = self.running and self.clock_ms(now) > self.lease_until_ms
        for run in list(self.running.values()):
            if run.stops_at is not None and now >= run.stops_at:
                self._end(run, "stopped")
            elif now >= run.ends_at and run.stops_at is None:
                self._end(run, "failed" if self._fails(run) else "done")
            elif lapsed:
                self._end(run, "lapsed")

    def _fails(self, run: Run) -> bool:
        return self.faults.fails_all_runs or run.task.startswith(
            self.faults.failing_tasks
        )

    def _end(self, run: Run, outcome: str) -> None:
        del self.running[run.task]
        self.end_count += 1
        self.ends.append([self.end_count, run.task, run.run, outcome, run.checkpoint])
        self._refuse_up_to(run.task, run.run)

    def end_run(self, task: str, outcome: str) -> None:
        """End the run of a task, as when another member of its gang has ended."""
        self._end(self.running[task], outcome)

    def _refuse_up_to(self, task: str, run: int) -> None:
        self.refused_runs[task] = max(run, self.refused_runs.get(task, 0))

    def call(self, name: str, body: dict[str, Any], now: float) -> tuple[int, dict]:
        """Serve one call of ``run-start``, ``run-stop``, ``hold`` or ``pace``."""
        self.advance(now)
        response: dict[str, Any] = {"clockMs": self.clock_ms(now)}
        if body.get("fence", 0) < self.fence:
            return 409, {**response, "reason": "fence"}
        self.fence = body.get("fence", 0)
        if name == "hold":
            return self._hold(body, response)
        if name == "run-start" and self.faults.refuses_starts:
            return 503, response
        if name == "run-start":
            return self._start(body, response, now)
        if name == "run-stop":
            return self._stop(body, response, now)
        return self._pace(body, response)

    def _extend(self, body: dict[str, Any], clock_ms: int) -> None:
        lease_until_ms = min(
            body.get("untilMs", 0), clock_ms + round(self.max_lease_s * 1000)
        )
        self.lease_until_ms = max(self.lease_until_ms, lease_until_ms)

    def _hold(self, body: dict, response: dict) -> tuple[int, dict]:
        self._extend(body, response["clockMs"])
        self.ends = [end for end in self.ends if end[0] > body.get("lastSeen", 0)]
        running = [
            [run.task, run.run, run.checkpoint, run.percent, 0]
            for run in self.running.values()
        ]
        lists = {"running": running, "endedRuns": list(self.ends)}
        born = round(self.incarnation_started_at * 1000)
        return 200, {**response, **lists, "born": born}

    def _start(self, body: dict, response: dict, now: float) -> tuple[int, dict]:
        task, number = body["task"], body["run"]
        current = self.running.get(task)
        if current is not None and current.run == number:
            self._extend(body, response["clockMs"])
            return 200, response
        if number <= self.refused_runs.get(task, 0):
            self._extend(body, response["clockMs"])
            return 409, {**response, "reason": "old"}
        if body.get("untilMs", 0) <= response["clockMs"]:
            return 409, {**response, "reason": "late"}
        self._extend(body, response["clockMs"])
        run_s = next((v for k, v in self.durations.items() if task.startswith(k)), 1.0)
        if self.faults.fails_all_runs:
            run_s = START_S
        is_endless = self.faults.makes_no_progress or not run_s
        ends_at = float("inf") if is_endless else now + run_s
        self.running[task] = Run(task, number, ends_at, now, body.get("checkpoint", ""))
        if self.faults.makes_no_progress:
            self.running[task].percent = 1
        self.started.append((now, task, number))
        return 200, response

    def _stop(self, body: dict, response: dict, now: float) -> tuple[int, dict]:
        task, number = body["task"], body["run"]
        run = self.running.get(task)
        if run is not None and run.run == number:
            run.stops_at = run.stops_at or now + self.stop_s
        else:
            self._refuse_up_to(task, number)
        return 200, response

    def _pace(self, body: dict, response: dict) -> tuple[int, dict]:
        run = self.running.get(body["task"])
        return (200 if run and run.run == body["run"] else 409), response
