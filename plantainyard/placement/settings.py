"""Settings and weights of placement."""

import tomllib
from pathlib import Path
from typing import NamedTuple

__all__ = ["PlacementSettings", "Weights", "load_weights"]


class Weights(NamedTuple):
    """What an operator favours; only the ratios matter.

    Attributes
    ----------
    tail : float
        Cost of raising the tail latency of services.
    throughput : float
        Cost of slowing batch tasks down, or of leaving them waiting.
    evictions : float
        Cost of an eviction.
    """

    tail: float = 1.0
    throughput: float = 1.0
    evictions: float = 1.0


class PlacementSettings(NamedTuple):
    """Constants of the policy; times in seconds.

    Attributes
    ----------
    runner_share : float
        Share of a service's runners that one worker may hold without extra cost.
    profile_s : float
        How long a worker's sums by workload are used while nothing starts or ends.
    caution : float
        Standard deviations of doubt added to harm to services, if only the tail
        weighed.
    fair_slack : float
        Difference of teams' dominant shares within which the better fit goes first.
    crowd_max : float
        Expected use of a worker's cores beyond which it takes no more, by its cores.
    candidates_min, candidates_max : int
        Workers with room that are scored for one job: the greatest number, shared
        among the jobs of one turn, but not less than the least.
    places_max : int
        Placements decided in one step.
    declared_floor : float
        Least share of the declared cores that is set aside for a task once its use has
        been observed. 1 never counts on less than was declared.
    history_s : float
        How long it is remembered what ran where, for late reports.
    fade_s : float
        Time constant with which learnt harm falls back to the prior.
    prior_harm : float
        Harm of an unknown pair: relative rise for a whole worker's cores.
    prior_deviation : float
        Standard deviation of the prior.
    base_deviation : float
        Standard deviation of the first guess of an undisturbed time, relative.
    report_noise : float
        Standard deviation of one report's relative latency.
    starve_s : float
        Wait after which a job takes turns ahead of urgent work.
    reserve_share : float
        Greatest share of workers held free for jobs that waited `starve_s`.
    aged_turn : int
        Every so many placements one goes to the longest waiting job.
    urgent_wait_s : float
        Wait after which an urgent task may evict others.
    gang_s : float
        Time for a partly running gang to become whole before it is evicted.
    backoff_s, backoff_max_s : float
        First and greatest wait of a task that failed.
    give_up_workers : int
        A job is given up after failing on so many sound workers.
    quarantine_jobs : int
        A worker is suspected after failing tasks of so many jobs in a row.
    quarantine_s, quarantine_max_s : float
        First and greatest wait before a probe.
    tolerance : float
        Relative rise of latency that is put up with at equal weights.
    patience_s : float
        Least time between two steps against harm on one worker.
    evict_pause_s : float
        Least time between two evictions for harm on one worker.
    evictions_max : int
        Evictions of one task for harm; afterwards it is only throttled.
    silence_s : float
        A worker without reports for so long is taken as fully loaded.
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
    """Return the weights of the TOML file at `path`, table ``weights``.

    Raises
    ------
    ValueError
        If a weight is negative.
    TypeError
        If the table has an unknown key.
    """
    table = tomllib.loads(Path(path).read_text(encoding="utf-8"))["weights"]
    weights = Weights(**{name: float(value) for name, value in table.items()})
    if min(weights) < 0:
        raise ValueError(f"negative weight in {path}")
    return weights
