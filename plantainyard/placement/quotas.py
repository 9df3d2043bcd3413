"""Quotas of teams: shares of the capacity, divided ahead of time."""

from plantainyard.placement.state import JobState, PlacementState

__all__ = ["check_quota", "get_excess", "get_dominant_share"]

_EPSILON = 1e-6


def check_quota(state: PlacementState, job_state: JobState, tasks: int = 1) -> bool:
    """Return whether the job's team may start `tasks` more of its tasks.

    Notes
    -----
    Declared sizes are charged: what a team may hold does not depend on what is learnt.
    """
    share = state.quotas.get(job_state.job.team)
    if share is None:
        return True
    used = state.team_used.get(job_state.job.team, (0.0, 0.0, 0.0))
    return all(
        u + need * tasks <= limit + _EPSILON
        for u, need, limit in zip(used, job_state.job.size, share, strict=True)
    )


def get_excess(
    state: PlacementState, job_state: JobState, tasks: int = 1
) -> list[float]:
    """Return by how much `tasks` more of the job would exceed its team's quota."""
    share = state.quotas.get(job_state.job.team)
    if share is None:
        return [0.0, 0.0, 0.0]
    used = state.team_used.get(job_state.job.team, [0.0, 0.0, 0.0])
    return [
        max(0.0, u + need * tasks - limit)
        for u, need, limit in zip(used, job_state.job.size, share, strict=True)
    ]


def get_dominant_share(state: PlacementState, team: str) -> float:
    """Return the team's dominant share: use by its quota, or by the capacity.

    References
    ----------
    .. [1] A. Ghodsi et al., "Dominant Resource Fairness: Fair Allocation of Multiple
       Resource Types", NSDI 2011.
    """
    used = state.team_used.get(team)
    if used is None:
        return 0.0
    whole = state.quotas.get(team, state.capacity)
    loads = (u / limit for u, limit in zip(used, whole, strict=True) if limit > 0)
    return max(loads, default=0.0)
