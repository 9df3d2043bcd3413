"""Quarantine of faulty workers, and detection of faulty jobs.

A worker on which several different jobs fail in a row is considered faulty, and so is a
job that fails on several otherwise healthy workers. A failure counts against both the
worker and the job until a success clears one of them.
"""

from plantainyard.placement.actions import (
    Action,
    GiveUp,
    Probe,
    Quarantine,
    Release,
)
from plantainyard.placement.state import JobState, PlacementState, WorkerState

__all__ = ["compute_backoff", "record_failure", "record_success", "start_probes"]

_FAILURE_WINDOW_S = 900.0
_UNPROVEN_JOB_WEIGHT = 0.5


def compute_backoff(state: PlacementState, failures: int) -> float:
    """Return the backoff of a task after `failures` earlier failures, in seconds."""
    settings = state.settings
    return min(settings.backoff_max_s, settings.backoff_s * 2.0 ** min(failures, 20))


def record_success(
    state: PlacementState,
    job_state: JobState,
    worker: WorkerState | None,
    probe: bool = False,
) -> list[Action]:
    """Clear the recorded failures of the job and the worker after a success.

    A quarantined worker is released only by its probe. A success of a task that started
    before the quarantine doesn't show that the worker can still start tasks.
    """
    job_state.successes += 1
    job_state.failed_on.clear()
    if worker is None:
        return []
    worker.failed_jobs.clear()
    if worker.quarantined_until is None or not probe:
        return []
    return [_release(state, worker)]


def _release(state: PlacementState, worker: WorkerState) -> Release:
    worker.quarantined_until = None
    worker.probing = False
    worker.probe_task = None
    worker.quarantine_count = 0
    state.capacity_version += 1
    return Release(worker.info.id)


def record_failure(
    state: PlacementState,
    job_state: JobState,
    worker: WorkerState | None,
    detail: str,
    now: float,
    probe: bool = False,
) -> list[Action]:
    """Attribute a failed attempt to the worker, the job or, if undecided, both.

    Notes
    -----
    A faulty worker would use up the attempts of every job placed on it, and a faulty
    job would make every worker look faulty. Therefore only failures on workers that
    aren't considered faulty count towards giving up a job, and only failures of jobs
    that aren't considered faulty count towards a quarantine.
    """
    job_state.failures += 1
    job_state.last_error = detail or job_state.last_error
    if worker is None:
        return []
    if not state.rules.quarantines_workers:
        _record_failed_worker(job_state, worker, detail)
        return _give_up(state, job_state)
    if worker.quarantined_until is not None:
        if not probe:
            return []
        return [_quarantine(state, worker, now, f"probe failed: {detail}")]
    for job_id, when in list(worker.failed_jobs.items()):
        if now - when > _FAILURE_WINDOW_S:
            del worker.failed_jobs[job_id]
    _record_failed_worker(job_state, worker, detail)
    if not _is_faulty_job(state, job_state):
        worker.failed_jobs[job_state.job.id] = now
    if _weigh_failed_jobs(state, worker) >= state.settings.quarantine_jobs:
        actions: list[Action] = [
            _quarantine(state, worker, now, f"fails everything: {detail}")
        ]
        _clear_job_failures(state, worker)
        return actions
    return _give_up(state, job_state)


def _record_failed_worker(
    job_state: JobState, worker: WorkerState, detail: str
) -> None:
    job_state.failed_on.pop(worker.info.id, None)
    job_state.failed_on[worker.info.id] = detail


def _weigh_failed_jobs(state: PlacementState, worker: WorkerState) -> float:
    """Return the weighted number of jobs that failed on the worker but aren't faulty.

    A job that has never succeeded counts less, since several faulty jobs that start at
    the same time would otherwise look like a faulty worker.
    """
    job_states = map(state.jobs.get, worker.failed_jobs)
    weights = (
        0.0
        if job_state is None or _is_faulty_job(state, job_state)
        else 1.0
        if job_state.successes
        else _UNPROVEN_JOB_WEIGHT
        for job_state in job_states
    )
    return sum(weights)


def _is_faulty_job(state: PlacementState, job_state: JobState) -> bool:
    return len(job_state.failed_on) >= 2 and not any(
        len(worker.failed_jobs) > 1
        for worker in map(state.workers.get, job_state.failed_on)
        if worker is not None
    )


def _clear_job_failures(state: PlacementState, worker: WorkerState) -> None:
    for job_id in worker.failed_jobs:
        job_state = state.jobs.get(job_id)
        if job_state is not None:
            job_state.failed_on.pop(worker.info.id, None)
    worker.failed_jobs.clear()


def _give_up(state: PlacementState, job_state: JobState) -> list[Action]:
    healthy_workers = [
        worker_id
        for worker_id in job_state.failed_on
        if worker_id in state.workers
        and state.workers[worker_id].quarantined_until is None
    ]
    required_workers = min(
        state.settings.give_up_workers, max(1, len(state.active_workers))
    )
    has_enough_failures = job_state.failures >= state.settings.give_up_workers
    if (
        job_state.given_up
        or len(healthy_workers) < required_workers
        or not has_enough_failures
    ):
        return []
    job_state.given_up = True
    job_state.last_error = (
        job_state.failed_on[healthy_workers[-1]] or job_state.last_error
    )
    return [GiveUp(job_state.job.id, job_state.last_error)]


def _quarantine(
    state: PlacementState, worker: WorkerState, now: float, reason: str
) -> Quarantine:
    settings = state.settings
    duration_s = min(
        settings.quarantine_max_s, settings.quarantine_s * 2**worker.quarantine_count
    )
    worker.quarantine_count += 1
    worker.quarantined_until = now + duration_s
    worker.probing = False
    return Quarantine(worker.info.id, reason)


def start_probes(state: PlacementState, now: float) -> list[Action]:
    """Allow one probe task on each worker whose quarantine period has ended.

    A probe that still runs after ``quarantine_s`` counts as passed, since a task of a
    service never ends by itself.
    """
    due = [
        worker
        for worker in state.active_workers
        if worker.quarantined_until is not None
        and not worker.probing
        and now >= worker.quarantined_until
        and not worker.suspect
    ]
    for worker in due:
        worker.probing = True
        state.capacity_version += 1
    passed = [
        worker
        for worker in state.active_workers
        if _has_passed_probe(state, worker, now)
    ]
    probes: list[Action] = [Probe(worker.info.id) for worker in due]
    return probes + [_release(state, worker) for worker in passed]


def _has_passed_probe(state: PlacementState, worker: WorkerState, now: float) -> bool:
    probe = worker.placed.get(worker.probe_task) if worker.probe_task else None
    if probe is None or probe.started_at is None:
        return False
    return now - probe.started_at > state.settings.quarantine_s
