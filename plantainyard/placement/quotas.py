"""Quotas of teams: shares of the capacity, divided between owners ahead of time."""

from plantainyard.placement.state import JobState, PlacementState

__all__ = ["check_quota", "get_excess", "get_dominant_share"]

_EPSILON = 1e-6


def check_quota(state: PlacementState, job_state: JobState, tasks: int = 1) -> bool:
    """Return whether the job's team may start `tasks` more of its tasks.

    Notes
    -----
    Declared sizes are charged, so that what a team may use doesn't depend on estimates.
    """
    quota = state.quotas.get(job_state.job.team)
    if quota is None:
        return True
    used = state.team_used.get(job_state.job.team, (0.0, 0.0, 0.0))
    return all(
        u + need * tasks <= limit + _EPSILON
        for u, need, limit in zip(used, job_state.job.size, quota, strict=True)
    )


def get_excess(
    state: PlacementState, job_state: JobState, tasks: int = 1
) -> list[float]:
    """Return by how much `tasks` more of the job would exceed its team's quota."""
    quota = state.quotas.get(job_state.job.team)
    if quota is None:
        return [0.0, 0.0, 0.0]
    used = state.team_used.get(job_state.job.team, [0.0, 0.0, 0.0])
    return [
        max(0.0, u + need * tasks - limit)
        for u, need, limit in zip(used, job_state.job.size, quota, strict=True)
    ]


def get_dominant_share(state: PlacementState, team: str) -> float:
    """Return the team's dominant share, relative to its quota or to the capacity.

    The dominant share is the highest ratio of use to limit among all resources.

    References
    ----------
    .. [1] A. Ghodsi et al., "Dominant Resource Fairness: Fair Allocation of Multiple
       Resource Types", NSDI 2011.
    """
    used = state.team_used.get(team)
    if used is None:
        return 0.0
    limits = state.quotas.get(team, state.capacity)
    ratios = (u / limit for u, limit in zip(used, limits, strict=True) if limit > 0)
    return max(ratios, default=0.0)
