"""State of placement for the workers under one owner.

Classes here only hold state and keep its sums right; every decision is a function in
another module. All of it is a soft copy that is rebuilt from `TasksWaiting` and
`TaskStarted` events.
"""

import heapq
from collections import deque
from collections.abc import Callable, Hashable
from typing import Any, NamedTuple

from plantainyard.placement.interference import InterferenceModel
from plantainyard.placement.settings import PlacementSettings, Weights
from plantainyard.work import Job, Size, TaskKey, WorkerInfo

__all__ = [
    "JobState",
    "Placement",
    "PlacementState",
    "Profile",
    "Rules",
    "Span",
    "WaitingTask",
    "WorkerState",
]

_RUN_TIME_DEVIATION = 0.3
_ZERO_SIZE = Size(0.0, 0.0, 0)


class WaitingTask(NamedTuple):
    """A task that waits, and what is known of its past."""

    number: int
    attempt: int
    since: float
    failures: int = 0
    evictions: int = 0


class Span(NamedTuple):
    """What ran on a worker from `start` on, for late reports."""

    start: float
    task: TaskKey
    workload: str


class Profile(NamedTuple):
    """What runs on a worker, by workload.

    Attributes
    ----------
    at : float
        When this was summed up.
    shares : dict
        Share of the worker's cores in use.
    counts : dict
        Number of tasks.
    services : dict
        Load of each latency-critical workload, relative to its declared size.
    suffered : dict
        Relative slow-down of each by all others.
    load : float
        Share of the worker's cores in use by all.
    """

    computed_at: float
    shares: dict[str, float]
    counts: dict[str, int]
    services: dict[str, float]
    slowdown: dict[str, float]
    utilization: float


class Placement:
    """A task that occupies a worker: in flight, running, or ending."""

    __slots__ = (
        "attempt",
        "reported_cores",
        "ending",
        "evictions",
        "exposures",
        "exposure_samples",
        "failures",
        "throttled_at",
        "number",
        "job_state",
        "placed_at",
        "share",
        "since",
        "started_at",
        "worker",
    )

    def __init__(
        self, job_state: "JobState", task: WaitingTask, worker: str, now: float
    ):
        self.job_state = job_state
        self.number = task.number
        self.attempt = task.attempt
        self.since = task.since
        self.failures = task.failures
        self.evictions = task.evictions
        self.worker = worker
        self.placed_at = now
        self.started_at: float | None = None
        self.share = 1.0
        self.throttled_at = now
        self.ending = False
        self.reported_cores = -1.0
        self.exposures: dict[str, float] = {}
        self.exposure_samples = 0

    @property
    def key(self) -> TaskKey:
        """The task's key."""
        return TaskKey(self.job_state.job.id, self.number)

    @property
    def cores(self) -> float:
        """Cores in use as far as known: the last report, else the estimate."""
        if self.reported_cores >= 0.0:
            return self.reported_cores
        return self.job_state.expected.cores * self.share


class JobState:
    """A job's waiting and placed tasks, its estimate and its failures.

    Notes
    -----
    Waiting tasks that never ran are ranges of numbers, so that a job of any size costs
    one entry; tasks that wait again are single entries.
    """

    def __init__(self, job: Job):
        self.job = job
        self.workload = job.workload or job.name or job.id
        self.untried_ranges: deque[tuple[int, int, int, float, int]] = deque()
        self.retries: dict[int, WaitingTask] = {}
        self.retry_heap: list[tuple[float, int]] = []
        self.waiting = 0
        self.placed: dict[int, Placement] = {}
        self.last_placed_at = float("-inf")
        self.expected = job.size
        self.reserved = job.size
        self.failed_on: dict[str, str] = {}
        self.failures = 0
        self.successes = 0
        self.given_up = False
        self.cancelled = False
        self.last_error = ""
        self.reason = ""
        self.queue_position = 0
        self.reserved_workers = 0
        self.incomplete_since: float | None = None
        self.usage_reports = 0.0
        self.usage_cores = 0.0
        self.usage_cores_squared = 0.0
        self.peak_memory_gb = 0.0
        self.utilization = 1.0
        self.idle_fraction = 0.0
        self.racks: dict[str, int] = {}
        self.reference_latency_ms = 0.0
        self.run_time_offset = (0.0, _RUN_TIME_DEVIATION**2)

    def key(self, number: int) -> TaskKey:
        """Return the key of one of the job's tasks."""
        return TaskKey(self.job.id, number)

    def has_task(self, number: int) -> bool:
        """Return whether the task waits or is placed."""
        return (
            number in self.placed
            or number in self.retries
            or any(first <= number < stop for first, stop, *_ in self.untried_ranges)
        )

    def add_range(
        self, first: int, stop: int, attempt: int, since: float, failures: int
    ) -> None:
        """Let the unknown ones of the tasks ``first`` to ``stop - 1`` wait."""
        taken = sorted(
            [(n, n + 1) for n in (*self.placed, *self.retries) if first <= n < stop]
            + [(a, b) for a, b, *_ in self.untried_ranges if a < stop and first < b]
        )
        for low, high in taken:
            if first < low:
                self._add_piece(first, low, attempt, since, failures)
            first = max(first, high)
        if first < stop:
            self._add_piece(first, stop, attempt, since, failures)

    def _add_piece(
        self, first: int, stop: int, attempt: int, since: float, failures: int
    ) -> None:
        self.untried_ranges.append((first, stop, attempt, since, failures))
        self.waiting += stop - first

    def add_retry(self, task: WaitingTask, not_before: float) -> None:
        """Let a task wait again, from `not_before` on."""
        self.retries[task.number] = task
        heapq.heappush(self.retry_heap, (not_before, task.number))
        self.waiting += 1

    def remove_range(self, first: int, stop: int) -> None:
        """Forget the waiting tasks from `first` to ``stop - 1``."""
        kept: deque[tuple[int, int, int, float, int]] = deque()
        for low, high, *rest in self.untried_ranges:
            pieces = ((low, min(high, first)), (max(low, stop), high))
            kept.extend((a, b, *rest) for a, b in pieces if a < b)  # type: ignore[misc]
        self.untried_ranges = kept
        for number in [n for n in self.retries if first <= n < stop]:
            del self.retries[number]
        self.waiting = len(self.retries) + sum(b - a for a, b, *_ in kept)

    def clear_waiting(self) -> None:
        """Forget all waiting tasks."""
        self.untried_ranges.clear()
        self.retries.clear()
        self.retry_heap.clear()
        self.waiting = 0

    def peek_waiting(self, now: float) -> WaitingTask | None:
        """Return the task to place next, or None while all back off."""
        while self.retry_heap and self.retry_heap[0][1] not in self.retries:
            heapq.heappop(self.retry_heap)
        if self.retry_heap and self.retry_heap[0][0] <= now:
            return self.retries[self.retry_heap[0][1]]
        if self.untried_ranges:
            first, _, attempt, since, failures = self.untried_ranges[0]
            return WaitingTask(first, attempt, since, failures)
        return None

    def take_waiting(self, task: WaitingTask) -> None:
        """Remove `task`, which `next_waiting` returned."""
        self.waiting -= 1
        if task.number in self.retries:
            del self.retries[task.number]
            return
        first, stop, *rest = self.untried_ranges.popleft()
        if first + 1 < stop:
            self.untried_ranges.appendleft((first + 1, stop, *rest))  # type: ignore[arg-type]

    def get_waiting_since(self) -> float:
        """Return since when the longest waiting task waits."""
        untried_ranges = (
            since for _, _, _, since, _ in _take_first(self.untried_ranges)
        )
        retries = (task.since for task in _take_first(self.retries.values()))
        return min((*untried_ranges, *retries), default=float("inf"))


def _take_first(values: Any, count: int = 4) -> list[Any]:
    """Return the first few of `values`; enough for an estimate of the oldest."""
    return [value for value, _ in zip(values, range(count), strict=False)]


class WorkerState:
    """A worker with what occupies it and what is known of its health."""

    def __init__(self, info: WorkerInfo, now: float):
        self.info = info
        self.listed = True
        self.suspect = False
        self.placed: dict[TaskKey, Placement] = {}
        self.allocated = [0.0, 0.0, 0.0]
        self.expected_cores = 0.0
        self.spans: dict[TaskKey, Span] = {}
        self.past_spans: deque[tuple[float, Span]] = deque()
        self.last_report = now
        self.service_count = 0
        self.failed_jobs: dict[str, float] = {}
        self.quarantined_until: float | None = None
        self.probing = False
        self.probe_task: TaskKey | None = None
        self.quarantine_count = 0
        self.reserved_for: str = ""
        self.reserved_until = 0.0
        self.reserved_tasks = 0
        self.reserved_size = _ZERO_SIZE
        self.latency_ratios: dict[TaskKey, float] = {}
        self.mitigated_at = float("-inf")
        self.evicted_at = float("-inf")
        self.distrust = 0.0
        self.profile: Profile | None = None

    def recount(self) -> None:
        """Sum up the placed tasks' sizes anew."""
        sizes = [placement.job_state.reserved for placement in self.placed.values()]
        self.allocated = [sum(size[i] for size in sizes) for i in range(3)]
        self.expected_cores = sum(
            p.job_state.expected.cores for p in self.placed.values()
        )


class Rules(NamedTuple):
    """The parts of the policy that a baseline replaces.

    Attributes
    ----------
    cost : callable
        ``cost(state, job_state, worker_state, now)``; the cheapest worker is chosen.
    learns_sizes, learns_harm : bool
        Whether observed sizes and learnt harm are used.
    acts : bool
        Whether harm is acted upon by limits and evictions.
    hysteresis : bool
        Whether such steps are paced.
    judges_workers : bool
        Whether bad workers are quarantined.
    predict_harm : callable, optional
        ``predict_harm(victim, aggressor)`` in place of the learnt one.
    """

    cost: Callable[["PlacementState", JobState, WorkerState, float], float]
    learns_sizes: bool = True
    learns_interference: bool = True
    mitigates_interference: bool = True
    hysteresis: bool = True
    quarantines_workers: bool = True
    predict_slowdown: Callable[[str, str], float] | None = None


class PlacementState:
    """Everything that placement knows under one owner.

    Parameters
    ----------
    settings : PlacementSettings
        Constants of the policy.
    weights : Weights
        What the operator favours.
    rules : Rules
        The replaceable parts; `policy.create_state` gives the product's own.
    """

    def __init__(self, settings: PlacementSettings, weights: Weights, rules: Rules):
        self.settings = settings
        self.weights = weights
        self.rules = rules
        self.workers: dict[str, WorkerState] = {}
        self.jobs: dict[str, JobState] = {}
        self.quotas: dict[str, Size] = {}
        self.team_used: dict[str, list[float]] = {}
        self.interference = InterferenceModel(settings)
        self.capacity = _ZERO_SIZE
        self.scan_position = 0
        self.turn_count = 0
        self.capacity_version = 0
        self.unplaceable_shapes: dict[Hashable, int] = {}
        self.active_workers: list[WorkerState] = []
        self.now = 0.0
