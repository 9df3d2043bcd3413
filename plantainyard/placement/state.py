"""State of placement for the workers under one owner.

The classes only hold state and keep its sums consistent; all decisions are functions in
other modules. The state is soft: a new owner rebuilds it from `TasksWaiting` and
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
    """A waiting task with its next attempt and its earlier failures and evictions."""

    number: int
    attempt: int
    since: float
    failures: int = 0
    evictions: int = 0


class Span(NamedTuple):
    """A task that occupied a worker from `start` on; needed for delayed reports."""

    start: float
    task: TaskKey
    workload: str


class Profile(NamedTuple):
    """Summary of the tasks on a worker, by workload.

    Attributes
    ----------
    computed_at : float
        Time at which the profile was computed.
    shares : dict
        Share of the worker's cores that each workload uses.
    counts : dict
        Number of tasks of each workload.
    services : dict
        Utilization of each latency-critical workload, relative to its declared size.
    slowdown : dict
        Relative slowdown of each workload by all others.
    utilization : float
        Share of the worker's cores that all workloads use.
    """

    computed_at: float
    shares: dict[str, float]
    counts: dict[str, int]
    services: dict[str, float]
    slowdown: dict[str, float]
    utilization: float


class Placement:
    """A task that occupies a worker: being assigned, running, or ending."""

    __slots__ = (
        "attempt",
        "ending",
        "evictions",
        "exposure_samples",
        "exposures",
        "failures",
        "job_state",
        "number",
        "placed_at",
        "reported_cores",
        "share",
        "since",
        "started_at",
        "throttled_at",
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
        """Cores in use according to the last report, or the estimate without one."""
        if self.reported_cores >= 0.0:
            return self.reported_cores
        return self.job_state.expected.cores * self.share


class JobState:
    """Waiting and placed tasks of a job, its size estimates and its failures.

    Notes
    -----
    Waiting tasks that have not run yet are stored as ranges of numbers, so that a job
    of any size needs one entry. Tasks that wait for another attempt are single entries.
    """

    def __init__(self, job: Job):
        self.job = job
        self.workload = job.workload or job.name or job.id
        self.untried_ranges: deque[tuple[int, int, int, float, int]] = deque()
        self.retries: dict[int, WaitingTask] = {}
        self.retry_heap: list[tuple[float, int]] = []
        self.waiting_count = 0
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
        self.reserved_worker_count = 0
        self.incomplete_since: float | None = None
        self.usage_report_count = 0.0
        self.usage_cores_sum = 0.0
        self.usage_cores_squared_sum = 0.0
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
        """Return whether a task is waiting or placed."""
        return (
            number in self.placed
            or number in self.retries
            or any(first <= number < stop for first, stop, *_ in self.untried_ranges)
        )

    def add_range(
        self, first: int, stop: int, attempt: int, since: float, failures: int
    ) -> None:
        """Add those of the tasks ``first`` to ``stop - 1`` that are not known yet."""
        taken = sorted(
            [(n, n + 1) for n in (*self.placed, *self.retries) if first <= n < stop]
            + [(a, b) for a, b, *_ in self.untried_ranges if a < stop and first < b]
        )
        for low, high in taken:
            if first < low:
                self._add_untried(first, low, attempt, since, failures)
            first = max(first, high)
        if first < stop:
            self._add_untried(first, stop, attempt, since, failures)

    def _add_untried(
        self, first: int, stop: int, attempt: int, since: float, failures: int
    ) -> None:
        self.untried_ranges.append((first, stop, attempt, since, failures))
        self.waiting_count += stop - first

    def add_retry(self, task: WaitingTask, not_before: float) -> None:
        """Add a task that waits for another attempt until `not_before`."""
        self.retries[task.number] = task
        heapq.heappush(self.retry_heap, (not_before, task.number))
        self.waiting_count += 1

    def remove_range(self, first: int, stop: int) -> None:
        """Remove the waiting tasks ``first`` to ``stop - 1``."""
        kept: deque[tuple[int, int, int, float, int]] = deque()
        for low, high, *rest in self.untried_ranges:
            rest_ranges = ((low, min(high, first)), (max(low, stop), high))
            kept.extend((a, b, *rest) for a, b in rest_ranges if a < b)  # type: ignore[misc]
        self.untried_ranges = kept
        for number in [n for n in self.retries if first <= n < stop]:
            del self.retries[number]
        self.waiting_count = len(self.retries) + sum(b - a for a, b, *_ in kept)

    def clear_waiting(self) -> None:
        """Remove all waiting tasks."""
        self.untried_ranges.clear()
        self.retries.clear()
        self.retry_heap.clear()
        self.waiting_count = 0

    def peek_waiting(self, now: float) -> WaitingTask | None:
        """Return the task to place next, or None if there is none or all back off."""
        while self.retry_heap and self.retry_heap[0][1] not in self.retries:
            heapq.heappop(self.retry_heap)
        if self.retry_heap and self.retry_heap[0][0] <= now:
            return self.retries[self.retry_heap[0][1]]
        if self.untried_ranges:
            first, _, attempt, since, failures = self.untried_ranges[0]
            return WaitingTask(first, attempt, since, failures)
        return None

    def take_waiting(self, task: WaitingTask) -> None:
        """Remove `task`, which `peek_waiting` returned, from the waiting tasks."""
        self.waiting_count -= 1
        if task.number in self.retries:
            del self.retries[task.number]
            return
        first, stop, *rest = self.untried_ranges.popleft()
        if first + 1 < stop:
            self.untried_ranges.appendleft((first + 1, stop, *rest))  # type: ignore[arg-type]

    def get_waiting_since(self) -> float:
        """Return the time since which the longest waiting task has waited."""
        untried_since = (
            since for _, _, _, since, _ in _list_first(self.untried_ranges)
        )
        retries_since = (task.since for task in _list_first(self.retries.values()))
        return min((*untried_since, *retries_since), default=float("inf"))


def _list_first(values: Any, count: int = 4) -> list[Any]:
    """Return the first few of `values`, which suffice to estimate the longest wait."""
    return [value for value, _ in zip(values, range(count), strict=False)]


class WorkerState:
    """A worker with its placed tasks, its reservation and the state of its health."""

    def __init__(self, info: WorkerInfo, now: float):
        self.info = info
        self.listed = True
        self.suspect = False
        self.placed: dict[TaskKey, Placement] = {}
        self.allocated = [0.0, 0.0, 0.0]
        self.expected_cores = 0.0
        self.spans: dict[TaskKey, Span] = {}
        self.past_spans: deque[tuple[float, Span]] = deque()
        self.last_report_at = now
        self.service_count = 0
        self.failed_jobs: dict[str, float] = {}
        self.quarantined_until: float | None = None
        self.probing = False
        self.probe_task: TaskKey | None = None
        self.quarantine_count = 0
        self.reserved_for: str = ""
        self.reserved_until = 0.0
        self.reserved_task_count = 0
        self.reserved_size = _ZERO_SIZE
        self.latency_ratios: dict[TaskKey, float] = {}
        self.mitigated_at = float("-inf")
        self.evicted_at = float("-inf")
        self.distrust = 0.0
        self.profile: Profile | None = None

    def recount(self) -> None:
        """Recompute the sums of the placed tasks' sizes."""
        sizes = [placement.job_state.reserved for placement in self.placed.values()]
        self.allocated = [sum(size[i] for size in sizes) for i in range(3)]
        self.expected_cores = sum(
            p.job_state.expected.cores for p in self.placed.values()
        )


class Rules(NamedTuple):
    """Replaceable parts of the policy, for comparison with baselines.

    Attributes
    ----------
    cost : callable
        ``cost(state, job_state, worker_state, now)``; the worker with the lowest cost
        is chosen.
    learns_sizes, learns_interference : bool
        Whether observed sizes and estimated interference are used.
    mitigates_interference : bool
        Whether interference is mitigated by throttling and evictions.
    hysteresis : bool
        Whether the steps of this mitigation are paced.
    quarantines_workers : bool
        Whether faulty workers are quarantined.
    predict_slowdown : callable, optional
        ``predict_slowdown(victim, aggressor)``, used in place of the estimates.
    """

    cost: Callable[["PlacementState", JobState, WorkerState, float], float]
    learns_sizes: bool = True
    learns_interference: bool = True
    mitigates_interference: bool = True
    hysteresis: bool = True
    quarantines_workers: bool = True
    predict_slowdown: Callable[[str, str], float] | None = None


class PlacementState:
    """Complete state of placement under one owner.

    Parameters
    ----------
    settings : PlacementSettings
        Constants of the policy.
    weights : Weights
        Objectives of the operator.
    rules : Rules
        Replaceable parts of the policy; `policy.create_state` supplies the defaults.
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
