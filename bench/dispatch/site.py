"""The state of the model's runners, and how a customer's are drawn."""

import math
import random
from dataclasses import dataclass, field

from bench.dispatch.customers import Customer
from bench.dispatch.workload import SERVICE, Truth
from plantainyard.batch.tasks import TaskKey
from plantainyard.batch.values import Resources, Step
from plantainyard.platform.entries import RunnerEntry
from plantainyard.platform.runners import RunEnd

__all__ = ["Condition", "Run", "Site", "Worker", "build_workers"]


@dataclass(slots=True)
class Condition:
    """What is wrong with a runner."""

    slow: float = 1.0
    cut: bool = False
    gone: bool = False
    fails_all: bool = False
    stands_still: bool = False


@dataclass(slots=True, eq=False)
class Run:
    """One run of a task at a runner; times in seconds."""

    key: TaskKey
    number: int
    spec: Step
    truth: Truth
    left_s: float
    length_s: float
    saved_s: float
    at_work_at: float
    fails: bool
    pace: float = 1.0
    stops_at: float = math.inf
    quiet: bool = False
    turns_at: float = math.inf
    tail: float = 0.0
    use: float = 0.0
    reported_use: float = 0.0
    spent_s: float = 0.0


@dataclass(slots=True, eq=False)
class Worker:
    """One life of a runner."""

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
    settled: dict[TaskKey, int] = field(default_factory=dict)
    ends: list[RunEnd] = field(default_factory=list)
    ended: int = 0

    @property
    def entry(self) -> RunnerEntry:
        """Return what the runner writes about itself."""
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
    """What all runners share.

    Attributes
    ----------
    customer : Customer
        Whose runners.
    weights : dict
        True weight by (serving image, backfilling image).
    luck : Random
        Of failures, phases and noise.
    over_own, over_others : float
        Seconds in which serving tasks were over their target by their own load, and by
        what backfills beside them.
    wasted : float
        Core-seconds thrown away.
    credit : dict
        Seconds at work within the target (less those that others' work takes away) by
        long-running job and second of the day.
    places : dict
        Runners at which each task is at work now.
    broken : list of str
        Rules that were broken: a task at work twice, a runner over its room.
    """

    customer: Customer
    weights: dict[tuple[str, str], float]
    luck: random.Random
    over_own: float = 0.0
    over_others: float = 0.0
    wasted: float = 0.0
    credit: dict[tuple[str, int], float] = field(default_factory=dict)
    places: dict[TaskKey, list[str]] = field(default_factory=dict)
    broken: list[str] = field(default_factory=list)


def build_workers(customer: Customer, seed: int) -> tuple[Site, list[Worker]]:
    """Return a customer's runners and what they share, the same for the same seed."""
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
    if source.random() < customer.harmful:
        return customer.harm * source.uniform(0.5, 1.1)
    return source.uniform(0.0, 0.3)
