"""State of the modelled runners, and random generation of a customer's fleet."""

import math
import random
from dataclasses import dataclass, field

from bench.dispatch.customers import Customer
from bench.dispatch.workload import SERVICE, JobBehavior
from plantainyard.batch.tasks import TaskKey
from plantainyard.batch.values import Resources, Step
from plantainyard.platform.entries import RunnerEntry
from plantainyard.platform.runner_messages import RunEnd

__all__ = ["Condition", "Run", "Site", "Worker", "build_workers"]


@dataclass(slots=True)
class Condition:
    """Faults of a runner that are in force."""

    slowdown: float = 1.0
    disconnected: bool = False
    terminated: bool = False
    fails_all: bool = False
    stalled: bool = False


@dataclass(slots=True, eq=False)
class Run:
    """One run of a task on a runner; times are in seconds."""

    key: TaskKey
    number: int
    spec: Step
    behavior: JobBehavior
    remaining_s: float
    length_s: float
    saved_s: float
    ready_at: float
    will_fail: bool
    pace: float = 1.0
    stops_at: float = math.inf
    quiet: bool = False
    phase_ends_at: float = math.inf
    tail: float = 0.0
    cpu_use: float = 0.0
    reported_cpu_use: float = 0.0
    progress_s: float = 0.0


@dataclass(slots=True, eq=False)
class Worker:
    """One incarnation of a runner."""

    name: str
    incarnation: int
    cpu: int
    memory: int
    rack: str
    delay_s: float
    condition: Condition = field(default_factory=Condition)
    fence: int = 0
    lease_until: float = 0.0
    runs: dict[TaskKey, Run] = field(default_factory=dict)
    last_ended_runs: dict[TaskKey, int] = field(default_factory=dict)
    ends: list[RunEnd] = field(default_factory=list)
    end_count: int = 0

    @property
    def entry(self) -> RunnerEntry:
        """Return the entry that the runner publishes about itself."""
        return RunnerEntry(
            runner=self.name,
            started_at_ms=self.incarnation,
            service=SERVICE,
            address="",
            domain="",
            draining=False,
            leaves_in_ms=None,
            capacity=Resources(self.cpu, self.memory, 0),
            labels=("a", self.rack),
        )


@dataclass(slots=True, eq=False)
class Site:
    """State that all runners of a customer share.

    Attributes
    ----------
    customer : Customer
        The customer who owns the runners.
    weights : dict
        True interference weight by (serving image, backfilling image).
    rng : Random
        Random source of failures, phases and noise.
    over_own, over_others : float
        Seconds in which serving tasks exceeded their targets because of their own load,
        and because of backfilling tasks on the same runner.
    wasted : float
        Core-seconds of work that was lost.
    credit : dict
        Task-seconds within the target, by long-running job and second of the day; a
        second above the target because of other tasks subtracts three.
    running_at : dict
        Runners on which each task is running now.
    violations : list of str
        Violated invariants: a task that runs twice, a runner above its capacity.
    """

    customer: Customer
    weights: dict[tuple[str, str], float]
    rng: random.Random
    over_own: float = 0.0
    over_others: float = 0.0
    wasted: float = 0.0
    credit: dict[tuple[str, int], float] = field(default_factory=dict)
    running_at: dict[TaskKey, list[str]] = field(default_factory=dict)
    violations: list[str] = field(default_factory=list)


def build_workers(customer: Customer, seed: int) -> tuple[Site, list[Worker]]:
    """Return a customer's runners and their shared state, drawn from `seed`."""
    source = random.Random(f"{seed} workers")
    backfilling = max((k.images for k in customer.kinds if k.backfill), default=0)
    weights = {
        (f"s{s}", f"b{b}"): _draw_weight(customer, source)
        for s in range(customer.serving.images)
        for b in range(backfilling)
    }
    workers = [
        Worker(
            f"r{n}",
            1,
            round(customer.cores * 1000 * source.choice((1.0, 1.0, 1.5))),
            round(customer.memory_gb * 1000),
            f"k{n // customer.rack}",
            (0.0005, 0.0015, 0.012)[n * 3 // customer.runners],
        )
        for n in range(customer.runners)
    ]
    return Site(customer, weights, random.Random(f"{seed} luck")), workers


def _draw_weight(customer: Customer, source: random.Random) -> float:
    if source.random() < customer.interfering_share:
        return customer.interference_weight * source.uniform(0.5, 1.1)
    return source.uniform(0.0, 0.3)
