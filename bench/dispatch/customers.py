"""Customers: how many runners, which kinds of jobs, which images disturb each other.

Three follow the published sheets of the sites; others are drawn at random within wide
ranges, so that a policy is judged on deployments that nobody has seen.
"""

import random
from typing import NamedTuple

__all__ = ["CUSTOMERS", "Customer", "Kind", "Serving", "draw_customer"]


class Kind(NamedTuple):
    """A kind of jobs that end.

    Attributes
    ----------
    name : str
        For tables.
    per_s : float
        Jobs a second.
    worth, late_worth : float
        Credit of a job in time, and of one that takes up to three times as long.
    stretch, target_s : float
        The objective: so many times the longest chain of work, and so much more.
    steps, width : float
        Mean number of steps, and of tasks in each.
    width_spread : float
        Spread of the logarithm of the width.
    cores, cores_spread : float
        Cores of a task.
    run_s, run_spread : float
        Run time of a task on its own.
    memory_gb : float
        Memory of a task.
    backfill : bool
        Tasks get the processor time that others leave unused.
    images : int
        Number of images; zero for none.
    saves : float
        Share of the jobs whose tasks write checkpoints.
    priority, attempts : int
        As in the queue's configuration.
    fails : float
        Share of the runs that fail by themselves.
    """

    name: str
    per_s: float
    worth: float
    late_worth: float
    stretch: float
    target_s: float
    steps: float
    width: float
    width_spread: float
    cores: float
    cores_spread: float
    run_s: float
    run_spread: float
    memory_gb: float
    backfill: bool = False
    images: int = 0
    saves: float = 0.0
    priority: int = 0
    attempts: int = 2
    fails: float = 0.02


class Serving(NamedTuple):
    """The long-running jobs of a customer.

    Attributes
    ----------
    at_start : int
        Jobs that come in the first seconds.
    per_s, worth, stay_s : float
        Further jobs a second, credit for two seconds of one, and how long each stays.
    width, cores, cores_spread, memory_gb : float
        Tasks of a job, and what each asks for.
    images : int
        Number of images; zero where nothing is disturbed.
    idle_tail_ms, target_ratio : float
        Tail latency without any load, and the target as a multiple of it.
    load, swing, swing_s : float
        Mean load of a task, the part by which it swings, and the time of one swing.
    """

    at_start: int
    per_s: float
    worth: float
    stay_s: float
    width: float
    cores: float
    cores_spread: float
    memory_gb: float
    images: int
    idle_tail_ms: float
    target_ratio: float
    load: float
    swing: float
    swing_s: float


class Customer(NamedTuple):
    """A deployment of one customer.

    Attributes
    ----------
    name : str
        For tables; no decision sees it.
    runners, rack : int
        Number of runners, and how many share a rack.
    cores, memory_gb : float
        Of a runner of usual size; a third are half as large again.
    kinds : tuple of Kind
        Jobs that end.
    serving : Serving
        Jobs that last.
    harmful : float
        Share of the pairs of images that harm.
    harm : float
        Weight of such a pair: by how much a whole runner of the backfilling image
        stretches the work of the serving one.
    longest_lease_s, cancelled_s : float
        Bounds of the platform.
    """

    name: str
    runners: int
    rack: int
    cores: float
    memory_gb: float
    kinds: tuple[Kind, ...]
    serving: Serving
    harmful: float = 0.6
    harm: float = 4.5
    longest_lease_s: float = 6.0
    cancelled_s: float = 3.4


_SHORT = Kind(
    name="short",
    per_s=2.5,
    worth=0.389,
    late_worth=0.0584,
    stretch=1.5,
    target_s=0.4,
    steps=1.6,
    width=6,
    width_spread=0.8,
    cores=1.6,
    cores_spread=0.45,
    run_s=0.8,
    run_spread=0.5,
    memory_gb=3.2,
)

_BATCH = Kind(
    name="batch",
    per_s=4.28,
    worth=1.14,
    late_worth=0.171,
    stretch=2.0,
    target_s=1.0,
    steps=2.0,
    width=8,
    width_spread=0.6,
    cores=1.8,
    cores_spread=0.3,
    run_s=1.7,
    run_spread=0.5,
    memory_gb=3.2,
    backfill=True,
    images=9,
    saves=0.85,
    priority=2,
    attempts=3,
    fails=0.005,
)

_SERVING = Serving(
    at_start=25,
    per_s=0.141,
    worth=0.306,
    stay_s=70,
    width=6,
    cores=3.2,
    cores_spread=0.25,
    memory_gb=6.4,
    images=5,
    idle_tail_ms=10.0,
    target_ratio=5.0,
    load=0.45,
    swing=0.5,
    swing_s=14.0,
)

_LANTERNS = Customer(
    name="lanterns",
    runners=33,
    rack=8,
    cores=16,
    memory_gb=62.5,
    kinds=(_SHORT, _BATCH),
    serving=_SERVING,
)

_TANKS = Customer(
    name="tanks",
    runners=33,
    rack=11,
    cores=64,
    memory_gb=250,
    kinds=(
        _SHORT._replace(per_s=2.03, worth=0.39, cores=6.3, run_s=1.0, memory_gb=12),
        _BATCH._replace(
            per_s=3.4, worth=1.17, late_worth=0.175, cores=7.0, run_s=2.2, memory_gb=12
        ),
    ),
    serving=_SERVING._replace(worth=0.249, cores=12.0, memory_gb=25),
    longest_lease_s=10.0,
    cancelled_s=3.9,
)

_OVENS = Customer(
    name="ovens",
    runners=24,
    rack=8,
    cores=16,
    memory_gb=62.5,
    kinds=(
        _SHORT._replace(
            per_s=3.31,
            worth=0.357,
            late_worth=0.0535,
            cores=1.1,
            run_s=0.64,
            memory_gb=2.2,
        ),
        _BATCH._replace(per_s=3.11, worth=1.9, late_worth=0.285),
    ),
    serving=_SERVING._replace(at_start=19, per_s=0.103, worth=0.511),
)

CUSTOMERS = {customer.name: customer for customer in (_LANTERNS, _TANKS, _OVENS)}
"""Customers whose sheets are published, by the name used here."""


def draw_customer(seed: int) -> Customer:
    """Return a customer drawn from wide ranges; the same for the same seed.

    Notes
    -----
    Work is drawn as a part of the fleet's processors, so that most draws can be served.
    """
    source = random.Random(f"customer {seed}")
    base = source.choice(list(CUSTOMERS.values()))
    short, batch = base.kinds
    serving = base.serving
    runners = source.randint(15, 45)
    size = runners / base.runners
    load = source.uniform(0.3, 0.6)
    return base._replace(
        name=f"drawn-{seed}",
        runners=runners,
        rack=source.randint(4, 12),
        harmful=source.uniform(0.1, 0.9),
        harm=source.uniform(1.5, 6.0),
        kinds=(
            short._replace(
                per_s=short.per_s * size * source.uniform(0.5, 1.5),
                cores=short.cores * source.uniform(0.6, 1.4),
                run_s=short.run_s * source.uniform(0.5, 2.0),
            ),
            batch._replace(
                per_s=batch.per_s * size * source.uniform(0.5, 1.3),
                cores=batch.cores * source.uniform(0.6, 1.5),
                cores_spread=source.uniform(0.1, 0.5),
                run_s=batch.run_s * source.uniform(0.6, 1.6),
                images=source.randint(3, 14),
                saves=source.random(),
            ),
        ),
        serving=serving._replace(
            at_start=max(1, round(serving.at_start * size * source.uniform(0.5, 1.1))),
            cores=serving.cores * source.uniform(0.7, 1.2),
            images=source.randint(2, 8),
            target_ratio=source.uniform(3.5, 8.0),
            load=load,
            swing=source.uniform(0.1, 0.6),
            swing_s=source.uniform(7.0, 25.0),
        ),
    )
