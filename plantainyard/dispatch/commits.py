"""Commits: the records of all changes since the last one, and what follows from them.

Commits are stored one at a time, in order. Starts are sent, and jobs forgotten, only
once their records are stored.
"""

from collections.abc import Iterable

from plantainyard.batch.records import (
    encode_progress,
    make_end_key,
    make_handover_key,
    make_progress_key,
)
from plantainyard.batch.replica import (
    FENCES_KEY,
    INTERFERENCE_KEY,
    RUN_TIMES_KEY,
    Fences,
    encode_fences,
)
from plantainyard.batch.values import StepProgress, TaskProgress
from plantainyard.dispatch import orders
from plantainyard.dispatch.actions import Commit, JobSummary
from plantainyard.dispatch.containment import record_exception
from plantainyard.dispatch.critical_path import summarize_path
from plantainyard.dispatch.forwarding import forward_outgoing, pop_delivery_records
from plantainyard.dispatch.inherited_bounds import (
    confirm_bounds,
    encode_changed_bounds,
)
from plantainyard.dispatch.measured_runs import summarize_estimate
from plantainyard.dispatch.model import Job, Phase, StepRun
from plantainyard.dispatch.pieces import build_result, forward_result
from plantainyard.dispatch.room import begin_moves, stop_moved_tasks
from plantainyard.dispatch.run_time_records import encode_run_times
from plantainyard.dispatch.state import Dispatcher
from plantainyard.dispatch.timing import summarize_times
from plantainyard.dispatch.unanswered_starts import list_recipients
from plantainyard.dispatch.unseen_runs import (
    confirm_seen,
    limit_assigned,
    list_seen,
    list_unseen_s,
)
from plantainyard.dispatch.verifications import (
    needs_verification,
    request_verifications,
)
from plantainyard.dispatch.verified_starts import hold_start, send_verified
from plantainyard.dispatch.weights import encode_interference
from plantainyard.platform.store_messages import Record

__all__ = ["apply_commit", "request_commit"]

INTERFERENCE_INTERVAL_S = 3.0
"""Time between stored copies of the interference model: a change of owner loses about a
second of learning on average, at the cost of a kilobyte per copy."""

RUN_TIMES_INTERVAL_S = 3.0
"""Time between stored copies of the learned run times, for the same reason; a copy
takes 14 KB with the default number of entries."""


def request_commit(state: Dispatcher, now: float) -> None:
    """Commit all changes since the last commit, if there are any to store."""
    summaries = _summarize_ended(state, now)
    limit_assigned(state, now)
    request_verifications(state, now)
    records = [
        *_encode_steps(state.dirty_steps.values(), now),
        *_encode_ends(state),
        *_encode_handovers(state),
    ]
    last_ends = _list_last_ends(state)
    records += _encode_fences(state, bool(records), now)
    records += encode_changed_bounds(state, bool(records), now)
    if not records:
        for incarnation, number in last_ends.items():
            state.runners[incarnation].last_stored_end = number
        state.unstored_ends = set()
        return
    # These are stored only together with others: a separate commit is another call.
    records += _encode_started(state, now)
    records += pop_delivery_records(state)
    records += _encode_interference(state, now)
    records += _encode_run_times(state, now)
    state.commit_pending = True
    state.commit_requested_at = now
    begin_moves(state)
    state.committing_last_ends = last_ends
    state.unstored_ends = set()
    state.committing_ends = list(state.new_final_states)
    state.committing_outgoing = state.outgoing
    state.outgoing = {}
    state.committing_starts = state.assigned
    state.committing_seen = list_seen(list(state.dirty_steps.values()))
    state.dirty_steps = {}
    state.started_steps = {}
    state.new_final_states = {}
    state.assigned = []
    state.actions.append(Commit(records, summaries))


def _list_last_ends(state: Dispatcher) -> dict[str, int]:
    """Return the number of the last end of each runner that has unstored ones."""
    found = (state.runners.get(name) for name in state.unstored_ends)
    return {r.incarnation: r.last_end for r in found if r is not None}


def _encode_ends(state: Dispatcher) -> list[Record]:
    """Return the records of jobs that have ended, and those that delete their steps."""
    ends = [
        Record(make_end_key(job_id), final_state.encode())
        for job_id, final_state in state.new_final_states.items()
    ]
    deletions = [
        Record(make_progress_key(job_id, *position), b"")
        for job_id in state.new_final_states
        for position in state.jobs[job_id].steps
    ]
    ended = [state.jobs[job_id] for job_id in state.new_final_states]
    results = [build_result(job) for job in ended if job.submission.home is not None]
    return ends + deletions + results


def _encode_handovers(state: Dispatcher) -> list[Record]:
    return [
        Record(make_handover_key(job_id), str(state.handed_over[job_id]).encode())
        for job_id, submission in state.outgoing.items()
        if not submission.piece
    ]


def _encode_interference(state: Dispatcher, now: float) -> list[Record]:
    is_due = now - state.interference_stored_at > INTERFERENCE_INTERVAL_S
    if not state.interference.estimates or not is_due:
        return []
    state.interference_stored_at = now
    return [Record(INTERFERENCE_KEY, encode_interference(state.interference))]


def _encode_run_times(state: Dispatcher, now: float) -> list[Record]:
    run_times = state.run_times
    is_due = now - run_times.stored_at > RUN_TIMES_INTERVAL_S
    if state.limits.policy.run_times is None or not run_times.entries or not is_due:
        return []
    run_times.stored_at = now
    return [Record(RUN_TIMES_KEY, encode_run_times(run_times, state.wall_offset_s))]


def _encode_fences(state: Dispatcher, has_others: bool, now: float) -> list[Record]:
    """Return the record of the fencing tokens if it has changed.

    Notes
    -----
    A higher token is stored at once, all else only together with other records. The
    cost is a pass over the runners.
    """
    if state.wanted_fence <= state.stored_fence and not has_others:
        return []
    state.committing_fence = state.wanted_fence
    state.committing_restarts = _list_restarts(state, now)
    fences = Fences(state.committing_fence, state.committing_restarts)
    if fences == (state.stored_fence, state.stored_restarts):
        return []
    return [Record(FENCES_KEY, encode_fences(fences))]


def _list_restarts(state: Dispatcher, now: float) -> frozenset[str]:
    """Return the incarnations that may have leases granted by earlier calls.

    Notes
    -----
    An inherited one whose entry hasn't been read is kept for as long as any lease.
    """
    runners = state.runners
    current = {k for k, runner in runners.items() if runner.earlier_calls_end > now}
    if now - state.took_over_at < state.limits.longest_lease_s:
        current |= {k for k in state.inherited_restarts if k not in runners}
    return frozenset(current)


def _encode_started(state: Dispatcher, now: float) -> list[Record]:
    """Return the records of steps that only the start of their jobs has changed."""
    started = state.started_steps.items()
    return _encode_steps((v for k, v in started if k not in state.dirty_steps), now)


def _encode_steps(steps: Iterable[StepRun], now: float) -> list[Record]:
    return [
        Record(_progress_key(item), _encode_step(item, now))
        for item in steps
        if not item.job.final_state
    ]


def _summarize_ended(state: Dispatcher, now: float) -> list[JobSummary]:
    """Return the summaries of the jobs whose ends are to be stored.

    Notes
    -----
    Guards against an end that holds up all further commits; its summary is left out.
    """
    summaries = []
    for job_id in state.new_final_states:
        try:
            summaries.append(_summarize(state, state.jobs[job_id], now))
        except Exception as error:
            record_exception(state, job_id, error, 0.0, 1)
    return summaries


def _summarize(state: Dispatcher, job: Job, now: float) -> JobSummary:
    submission = job.submission
    received_ms = (job.received_at + state.wall_offset_s) * 1000
    intake_s = (received_ms - submission.accepted_at_ms) / 1000
    return JobSummary(
        submission.record_id,
        job.final_state,
        submission.queue,
        round(intake_s, 3),
        round(now - job.accepted_at, 3),
        round(now - job.deadline, 3),
        summarize_times(job),
        dict(job.lost_runs),
        summarize_path(job, intake_s, now),
        summarize_estimate(state.run_times, state.limits.policy.run_times, job, now),
    )


def apply_commit(state: Dispatcher, now: float) -> None:
    """Carry out what waited for the records of the last commit to be stored."""
    state.commit_pending = False
    state.stored_fence = max(state.stored_fence, state.committing_fence)
    state.stored_restarts = state.committing_restarts
    for incarnation, number in state.committing_last_ends.items():
        if incarnation in state.runners:
            runner = state.runners[incarnation]
            # The last end was reset if a new incarnation has answered in the meantime.
            runner.last_stored_end = max(
                runner.last_stored_end, min(number, runner.last_end)
            )
    confirm_seen(state.committing_seen)
    confirm_bounds(state)
    for job_id in state.committing_ends:
        job = state.jobs.pop(job_id, None)
        if job is not None:
            forward_result(state, job)
    forward_outgoing(state)
    for task in state.committing_starts:
        if task.phase != Phase.STORING:
            continue
        if needs_verification(task):
            hold_start(state, task)
        else:
            orders.send_start(state, task, now)
    send_verified(state, now)
    stop_moved_tasks(state, now)
    state.committing_last_ends = {}
    state.committing_ends = []
    state.committing_starts = []


def _progress_key(item: StepRun) -> str:
    return make_progress_key(
        item.job.submission.record_id, item.occurrence, item.number
    )


def _encode_step(item: StepRun, now: float) -> bytes:
    done = frozenset(t.key.number for t in item.tasks if t.phase == Phase.DONE)
    tasks = {
        t.key.number: TaskProgress(
            t.run, t.incarnation, t.failures, t.checkpoint, t.unit, t.handovers
        )
        for t in item.tasks
        if t.phase != Phase.DONE and (t.run or t.handovers or t.unit is not None)
    }
    unseen_s = list_unseen_s(item, now)
    recipients = list_recipients(item.tasks)
    return encode_progress(
        StepProgress(done, tasks, item.job.started, unseen_s, recipients)
    )
