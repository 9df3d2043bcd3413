"""Customers: their runners, kinds of jobs, and interference between images.

Three customers follow the published sheets of the sites. Others are drawn at random
from wide ranges, so that a policy is evaluated on deployments that were not known
beforehand.
"""

import random
from typing import NamedTuple

__all__ = ["CUSTOMERS", "Customer", "JobKind", "Serving", "draw_customer"]


class JobKind(NamedTuple):
    """Parameters of a kind of jobs that end by themselves.

    Attributes
    ----------
    name : str
        Name of the kind in tables.
    arrivals_per_s : float
        Mean number of jobs that arrive per second.
    worth, late_worth : float
        Credit of a job that meets its objective, and of one that takes up to three
        times as long.
    stretch, target_s : float
        The objective: a multiple of the longest chain of tasks, plus a constant.
    steps, width : float
        Mean number of steps, and of tasks in each.
    width_spread : float
        Standard deviation of the logarithm of the width.
    cores, cores_spread : float
        Mean cores of a task, and standard deviation of their logarithm.
    run_s, run_spread : float
        Mean run time of an undisturbed task, and standard deviation of its logarithm.
    memory_gb : float
        Memory of a task.
    backfill : bool
        Whether tasks use only processor time that others leave unused.
    images : int
        Number of different images; zero if tasks have none.
    checkpoint_share : float
        Share of the jobs whose tasks write checkpoints.
    priority, attempts : int
        Priority and maximum number of attempts, as in the queue's configuration.
    failure_rate : float
        Share of the runs that fail without an external cause.
    estimate_spread : float
        Standard deviation of the logarithm of an estimate around the run time.
    tail_share, tail_factor : float
        Share of the steps whose tasks run `tail_factor` times as long as others.
    """

    name: str
    arrivals_per_s: float
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
    checkpoint_share: float = 0.0
    priority: int = 0
    attempts: int = 2
    failure_rate: float = 0.02
    estimate_spread: float = 0.5
    tail_share: float = 0.0
    tail_factor: float = 1.0


class Serving(NamedTuple):
    """Parameters of a customer's long-running jobs.

    Attributes
    ----------
    at_start : int
        Number of jobs that arrive in the first seconds.
    arrivals_per_s, worth, mean_stay_s : float
        Further jobs per second, credit for two seconds of a job, and the mean time
        until it is cancelled.
    width, cores, cores_spread, memory_gb : float
        Mean number of tasks, mean cores of a task with the standard deviation of
        their logarithm, and memory of a task.
    images : int
        Number of different images; zero if there is no interference.
    idle_tail_ms, target_ratio : float
        Tail latency without load, and the target as a multiple of it.
    load, load_amplitude, load_period_s : float
        Mean load of a task, and relative amplitude and period of its oscillation.
    """

    at_start: int
    arrivals_per_s: float
    worth: float
    mean_stay_s: float
    width: float
    cores: float
    cores_spread: float
    memory_gb: float
    images: int
    idle_tail_ms: float
    target_ratio: float
    load: float
    load_amplitude: float
    load_period_s: float


class Customer(NamedTuple):
    """Deployment and load of one customer.

    Attributes
    ----------
    name : str
        Name in tables; the dispatcher does not see it.
    runners, rack : int
        Number of runners, and of runners in a rack.
    cores, memory_gb : float
        Size of most runners; a third have half as many cores again.
    kinds : tuple of Kind
        Jobs that end by themselves.
    serving : Serving
        Long-running jobs.
    interfering_share : float
        Share of the pairs of images with strong interference.
    interference_weight : float
        Weight of such a pair: the relative increase of the serving image's service time
        when the backfilling image uses a whole runner.
    longest_lease_s, max_cancel_s : float
        The platform's bounds for the length of a lease, and for the time until nothing
        of a cancelled job is running.
    traffic_amplitude : float
        Relative amplitude of the oscillation of the traffic.
    """

    name: str
    runners: int
    rack: int
    cores: float
    memory_gb: float
    kinds: tuple[JobKind, ...]
    serving: Serving
    interfering_share: float = 0.6
    interference_weight: float = 4.5
    longest_lease_s: float = 6.0
    max_cancel_s: float = 3.4
    traffic_amplitude: float = 0.15


_SHORT = JobKind(
    name="short",
    arrivals_per_s=2.5,
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

_BATCH = JobKind(
    name="batch",
    arrivals_per_s=4.28,
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
    checkpoint_share=0.85,
    priority=2,
    attempts=3,
    failure_rate=0.005,
)

_SERVING = Serving(
    at_start=25,
    arrivals_per_s=0.141,
    worth=0.306,
    mean_stay_s=70,
    width=6,
    cores=3.2,
    cores_spread=0.25,
    memory_gb=6.4,
    images=5,
    idle_tail_ms=10.0,
    target_ratio=5.0,
    load=0.45,
    load_amplitude=0.5,
    load_period_s=14.0,
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
        _SHORT._replace(
            arrivals_per_s=2.03, worth=0.39, cores=6.3, run_s=1.0, memory_gb=12
        ),
        _BATCH._replace(
            arrivals_per_s=3.4,
            worth=1.17,
            late_worth=0.175,
            cores=7.0,
            run_s=2.2,
            memory_gb=12,
        ),
    ),
    serving=_SERVING._replace(worth=0.249, cores=12.0, memory_gb=25),
    longest_lease_s=10.0,
    max_cancel_s=3.9,
)

_OVENS = Customer(
    name="ovens",
    runners=24,
    rack=8,
    cores=16,
    memory_gb=62.5,
    kinds=(
        _SHORT._replace(
            arrivals_per_s=3.31,
            worth=0.357,
            late_worth=0.0535,
            cores=1.1,
            run_s=0.64,
            memory_gb=2.2,
        ),
        _BATCH._replace(arrivals_per_s=3.11, worth=1.9, late_worth=0.285),
    ),
    serving=_SERVING._replace(at_start=19, arrivals_per_s=0.103, worth=0.511),
)

_TANKS_NOW = Customer(
    name="tanks_now",
    runners=41,
    rack=12,
    cores=32,
    memory_gb=125,
    kinds=(
        _SHORT._replace(
            arrivals_per_s=0.79,
            worth=0.345,
            late_worth=0.0518,
            width=10,
            cores=5.4,
            memory_gb=11,
            attempts=3,
            failure_rate=0.005,
            estimate_spread=0.9,
        ),
        _BATCH._replace(
            arrivals_per_s=2.57,
            worth=0.92,
            late_worth=0.138,
            width=20,
            cores=3.5,
            memory_gb=6.4,
            images=18,
            attempts=2,
        ),
    ),
    serving=_SERVING._replace(
        at_start=14,
        arrivals_per_s=0.0515,
        worth=0.236,
        width=14,
        cores=6.4,
        memory_gb=13,
        images=10,
    ),
    longest_lease_s=10.0,
    max_cancel_s=4.0,
    traffic_amplitude=0.27,
)

_TRANSCRIPTS = Customer(
    name="transcripts",
    runners=41,
    rack=8,
    cores=64,
    memory_gb=250,
    kinds=(
        _SHORT._replace(
            arrivals_per_s=0.91,
            worth=0.36,
            late_worth=0.054,
            width=10,
            cores=11.0,
            run_s=1.0,
            memory_gb=22,
            attempts=4,
            estimate_spread=0.9,
        ),
        _BATCH._replace(
            arrivals_per_s=2.18,
            worth=0.754,
            late_worth=0.113,
            width=20,
            cores=7.0,
            run_s=1.7,
            memory_gb=13,
            images=18,
            attempts=2,
            failure_rate=0.05,
            estimate_spread=0.9,
        ),
    ),
    serving=_SERVING._replace(
        at_start=14,
        arrivals_per_s=0.0757,
        worth=0.193,
        width=14,
        cores=13.0,
        memory_gb=26,
        images=10,
    ),
    longest_lease_s=6.0,
    max_cancel_s=4.4,
)

_REGISTRY = Customer(
    name="registry",
    runners=41,
    rack=20,
    cores=16,
    memory_gb=62.5,
    kinds=(
        _SHORT._replace(
            arrivals_per_s=1.23,
            worth=0.347,
            late_worth=0.052,
            width=10,
            cores=2.8,
            run_s=0.54,
            memory_gb=5.6,
            attempts=4,
            estimate_spread=0.2,
            tail_share=0.03,
            tail_factor=7.0,
        ),
        _BATCH._replace(
            arrivals_per_s=1.17,
            worth=1.82,
            late_worth=0.273,
            width=20,
            run_s=2.3,
            images=18,
            attempts=2,
            tail_share=0.03,
            tail_factor=7.0,
        ),
    ),
    serving=_SERVING._replace(
        at_start=14,
        arrivals_per_s=0.0665,
        worth=0.286,
        width=14,
        cores=3.2,
        memory_gb=6.4,
        images=10,
    ),
    max_cancel_s=4.2,
    traffic_amplitude=0.55,
)

CUSTOMERS = {
    customer.name: customer
    for customer in (
        _LANTERNS,
        _TANKS,
        _OVENS,
        _TANKS_NOW,
        _TRANSCRIPTS,
        _REGISTRY,
    )
}
"""Customers with published sheets, by name."""


def draw_customer(seed: int) -> Customer:
    """Return a customer drawn from wide ranges, determined by `seed`.

    Notes
    -----
    The amount of work is proportional to the fleet's processors, so that most draws can
    be served.
    """
    source = random.Random(f"customer {seed}")
    base = source.choice((_LANTERNS, _TANKS, _OVENS))
    short, batch = base.kinds
    serving = base.serving
    runners = source.randint(15, 45)
    size = runners / base.runners
    load = source.uniform(0.3, 0.6)
    return base._replace(
        name=f"drawn-{seed}",
        runners=runners,
        rack=source.randint(4, 12),
        interfering_share=source.uniform(0.1, 0.9),
        interference_weight=source.uniform(1.5, 6.0),
        kinds=(
            short._replace(
                arrivals_per_s=short.arrivals_per_s * size * source.uniform(0.5, 1.5),
                cores=short.cores * source.uniform(0.6, 1.4),
                run_s=short.run_s * source.uniform(0.5, 2.0),
            ),
            batch._replace(
                arrivals_per_s=batch.arrivals_per_s * size * source.uniform(0.5, 1.3),
                cores=batch.cores * source.uniform(0.6, 1.5),
                cores_spread=source.uniform(0.1, 0.5),
                run_s=batch.run_s * source.uniform(0.6, 1.6),
                images=source.randint(3, 14),
                checkpoint_share=source.random(),
            ),
        ),
        serving=serving._replace(
            at_start=max(1, round(serving.at_start * size * source.uniform(0.5, 1.1))),
            cores=serving.cores * source.uniform(0.7, 1.2),
            images=source.randint(2, 8),
            target_ratio=source.uniform(3.5, 8.0),
            load=load,
            load_amplitude=source.uniform(0.1, 0.6),
            load_period_s=source.uniform(7.0, 25.0),
        ),
    )
