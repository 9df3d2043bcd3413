"""Settings and weights of placement."""

from pathlib import Path
from typing import NamedTuple

from plantainyard.decoding import parse_toml, read_number

__all__ = ["PlacementSettings", "Weights", "load_weights"]


class Weights(NamedTuple):
    """Weights of the operator's objectives; only their ratios matter.

    Attributes
    ----------
    tail : float
        Cost of raising the tail latency of services.
    throughput : float
        Cost of slowing down batch tasks or of leaving them waiting.
    evictions : float
        Cost of an eviction.
    """

    tail: float = 1.0
    throughput: float = 1.0
    evictions: float = 1.0


class PlacementSettings(NamedTuple):
    """Constants of the placement policy; times are in seconds.

    Attributes
    ----------
    runner_share : float
        Share of a service's runners that one worker may hold without extra cost.
    profile_s : float
        Maximum age of a worker's cached profile while no task starts or ends there.
    caution : float
        Number of standard deviations added to the estimated slowdown of services if
        only the tail had a weight.
    fair_slack : float
        Difference of teams' dominant shares within which the better fit is preferred.
    crowd_max : float
        Expected use of a worker, relative to its cores, above which it takes no tasks.
    candidates_min, candidates_max : int
        Minimum and maximum number of suitable workers that are scored for one job. The
        maximum is divided between the jobs of one turn, down to the minimum.
    places_max : int
        Maximum number of placements in one step.
    declared_floor : float
        Minimum share of the declared cores to reserve for a task after its use has been
        observed. With 1, the declared cores are always reserved.
    history_s : float
        How long ended tasks are kept in the history of a worker, for delayed reports.
    fade_s : float
        Time constant with which interference estimates decay to the prior.
    prior_harm : float
        Slowdown of an unknown pair, relative, if all cores of the worker are used.
    prior_deviation : float
        Standard deviation of this prior.
    base_deviation : float
        Relative standard deviation of the initial estimate of an undisturbed time.
    report_noise : float
        Relative standard deviation of the latency in one report.
    starve_s : float
        Waiting time after which a job gets turns ahead of urgent work.
    reserve_share : float
        Maximum share of workers reserved for jobs that have waited `starve_s`.
    aged_turn : int
        One in this many placements goes to the longest waiting job.
    urgent_wait_s : float
        Waiting time after which an urgent task may evict others.
    gang_s : float
        Time that a partly placed gang has to become complete before it is evicted.
    backoff_s, backoff_max_s : float
        Initial and maximum backoff of a task that failed.
    give_up_workers : int
        Number of healthy workers on which a job must fail before it is given up.
    quarantine_jobs : int
        Number of jobs whose tasks must fail on a worker in a row to quarantine it.
    quarantine_s, quarantine_max_s : float
        Initial and maximum duration of a quarantine before a probe.
    tolerance : float
        Relative increase of latency that is accepted at equal weights.
    patience_s : float
        Minimum time between two steps of interference mitigation on one worker.
    evict_pause_s : float
        Minimum time between two evictions due to interference on one worker.
    evictions_max : int
        Maximum number of evictions of one task due to interference; after these it is
        only throttled.
    silence_s : float
        Time without reports after which starting a task on a worker has an extra cost.
    """

    runner_share: float = 0.17
    profile_s: float = 5.0
    caution: float = 0.3
    fair_slack: float = 0.25
    crowd_max: float = 1.1
    candidates_min: int = 4
    candidates_max: int = 24
    places_max: int = 512
    declared_floor: float = 1.0
    history_s: float = 120.0
    fade_s: float = 3600.0
    prior_harm: float = 0.5
    prior_deviation: float = 1.5
    base_deviation: float = 0.7
    report_noise: float = 0.15
    starve_s: float = 60.0
    reserve_share: float = 0.05
    aged_turn: int = 8
    urgent_wait_s: float = 0.0
    gang_s: float = 60.0
    backoff_s: float = 2.0
    backoff_max_s: float = 300.0
    give_up_workers: int = 4
    quarantine_jobs: int = 3
    quarantine_s: float = 30.0
    quarantine_max_s: float = 900.0
    tolerance: float = 2.0
    patience_s: float = 10.0
    evict_pause_s: float = 60.0
    evictions_max: int = 2
    silence_s: float = 60.0


def load_weights(path: str | Path) -> Weights:
    """Return the weights in the table ``weights`` of the TOML file at `path`.

    Raises
    ------
    ValueError
        If the file can't be read as TOML, or a weight is negative.
    TypeError
        If the table has an unknown key.
    """
    table = parse_toml(Path(path).read_text(encoding="utf-8"))["weights"]
    weights = Weights(
        **{name: read_number(value, name) for name, value in table.items()}
    )
    if min(weights) < 0:
        raise ValueError(f"negative weight in {path}")
    return weights
