"""Synchronization of a rack's placement policy with the log and the workers.

The policy decides from events. This module translates folded records of the log and
responses of the workers into these events, and the policy's actions into items for the
log and requests to the workers. A new owner passes the state of the whole rack to the
policy with `load_rack` and then each record with `process_record`.
"""

from collections.abc import Callable, Iterable, Mapping
from typing import Any, NamedTuple

from plantainyard import placement
from plantainyard.clients import Usage
from plantainyard.placement.recording import create_recorded_state
from plantainyard.state import (
    AssignItem,
    DomainState,
    FoldResult,
    JobState,
    RecordType,
    get_assigned,
    list_jobs,
    list_ranges,
    parse_assign_item,
)
from plantainyard.work import TaskKey, WorkerInfo, parse_task

from .rack import RackState
from .views import AttemptKey, WorkerView

PolicyStep = Callable[
    [placement.PlacementState, placement.Event, float], list[placement.Action]
]

__all__ = [
    "Decision",
    "PlanState",
    "Recording",
    "create_plan",
    "decide",
    "load_rack",
    "process_record",
    "process_usage",
    "update_workers",
    "withdraw_placements",
]

_SUSPECT_FAILURES = 2
"""Consecutive failed calls after which a worker is reported as suspect."""


class Decision(NamedTuple):
    """Records that one round of the policy requests in the log.

    Attributes
    ----------
    assign : tuple of AssignItem
        Attempts to be recorded in the log and then started.
    abandoned : tuple of placement.GiveUp
        Jobs that failed on every worker tried and are to be cancelled.
    other_actions : tuple
        Other actions of the policy, which are only logged.
    """

    assign: tuple[AssignItem, ...] = ()
    abandoned: tuple[placement.GiveUp, ...] = ()
    other_actions: tuple[placement.Action, ...] = ()


class Recording:
    """A term's policy events, as lines whose replay gives the same decisions.

    Parameters
    ----------
    limit_bytes : int
        Maximum total size of the lines. At this size the recording ends instead of
        dropping its oldest lines, because it can't be replayed without its beginning.

    Attributes
    ----------
    lines : list of str
        Recorded lines.
    size : int
        Total length of the lines.
    complete : bool
        Whether no line has been left out.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.lines: list[str] = []
        self.size = 0
        self.complete = True


def record_line(recording: Recording, line: str) -> None:
    """Append a line to the recording unless that exceeds its size limit."""
    if not recording.complete or recording.size + len(line) > recording.limit_bytes:
        recording.complete = False
        return
    recording.lines.append(line)
    recording.size += len(line)


def create_plan(record_bytes: int) -> "PlanState":
    """Return a new plan, with a recording if `record_bytes` is above zero."""
    if not record_bytes:
        return PlanState(placement.create_state())
    recording = Recording(record_bytes)
    policy, step = create_recorded_state(
        placement.PlacementSettings(),
        placement.Weights(),
        lambda line: record_line(recording, line),
    )
    return PlanState(policy, step, recording)


class PlanState:
    """The placement policy of one rack during one term.

    Attributes
    ----------
    policy : placement.PlacementState
        The policy's own state.
    step : callable
        Advances the policy, and records the event if there is a recording.
    recording : Recording or None
        Recording of the events since the term began.
    pending : dict of TaskKey to AssignItem
        Placements whose record is not folded yet.
    suspects : set of str
        Workers that were reported to the policy as suspect.
    wait_reasons : dict of str to placement.HoldBack
        For each job, why its next task is waiting.
    workers : tuple of WorkerInfo
        Workers that were last reported to the policy.
    """

    def __init__(
        self,
        policy: placement.PlacementState,
        step: PolicyStep = placement.step,
        recording: Recording | None = None,
    ) -> None:
        self.policy = policy
        self.step = step
        self.recording = recording
        self.pending: dict[TaskKey, AssignItem] = {}
        self.suspects: set[str] = set()
        self.wait_reasons: dict[str, placement.HoldBack] = {}
        self.workers: tuple[WorkerInfo, ...] = ()


def load_rack(plan: PlanState, domain: DomainState, rack: str, now: float) -> None:
    """Pass the state of `rack` in the log to the policy.

    Notes
    -----
    Cost: linear in the ranges of waiting tasks and in the assigned tasks.
    """
    assigned = get_assigned(domain, rack)
    for entry in list_jobs(domain):
        if not entry.cancelled:
            _add_waiting(plan, entry, rack, now)
    for task, assignment in assigned.items():
        job = domain.jobs.get(task.job)
        if job is not None:
            started = placement.TaskStarted(
                job.job, task.number, assignment.attempt, assignment.worker
            )
            plan.step(plan.policy, started, now)
    plan.step(plan.policy, placement.Cancelled(tuple(domain.cancelled)), now)


def _add_waiting(plan: PlanState, entry: JobState, rack: str, now: float) -> None:
    unattempted = entry.unattempted.get(rack)
    for first, stop in list_ranges(unattempted) if unattempted else ():
        waiting = placement.TasksWaiting(entry.job, first, stop, 1, now)
        plan.step(plan.policy, waiting, now)
    for number, retry in entry.retries.get(rack, {}).items():
        failure = entry.failures.get(number)
        again = placement.TasksWaiting(
            entry.job,
            number,
            number + 1,
            retry.attempts + 1,
            now,
            failure.failures if failure else 0,
        )
        plan.step(plan.policy, again, now)


def process_record(
    plan: PlanState,
    domain: DomainState,
    rack: str,
    data: Mapping[str, Any],
    change: FoldResult,
    now: float,
) -> None:
    """Pass one record that was just folded into `domain` to the policy.

    Parameters
    ----------
    plan : PlanState
        Changed in place.
    domain : DomainState
        The state after the record.
    rack : str
        The rack of this plan.
    data : Mapping
        The record.
    change : FoldResult
        Result of folding the record.
    now : float
        Owner's clock in seconds.
    """
    if change.parts:
        for part, part_change in zip(data["records"], change.parts, strict=True):
            process_record(plan, domain, rack, part, part_change, now)
        return
    if change.type == RecordType.ASSIGN and data.get("rack") == rack:
        _process_assign(plan, domain, data, change, now)
    elif not change.applied:
        return
    elif change.type == RecordType.ACCEPT:
        entry = domain.jobs.get(data["job"]["id"])
        if entry is not None:
            _add_waiting(plan, entry, rack, now)
    elif change.type == RecordType.RESULTS and data["rack"] == rack:
        _process_results(plan, domain, data, change, now)
    elif change.type == RecordType.CANCEL:
        plan.step(plan.policy, placement.Cancelled(tuple(data["jobs"])), now)
        for job in data["jobs"]:
            plan.wait_reasons.pop(job, None)
    elif change.type == RecordType.MOVE:
        _process_move(plan, domain, rack, data, now)


def _process_assign(
    plan: PlanState,
    domain: DomainState,
    data: Mapping[str, Any],
    change: FoldResult,
    now: float,
) -> None:
    void = {AttemptKey(item.task, item.attempt) for item in change.void}
    for item in map(parse_assign_item, data["items"]):
        task, attempt, worker, _ = item
        if plan.pending.get(task) != item:
            continue
        del plan.pending[task]
        entry = domain.jobs.get(task.job)
        if AttemptKey(task, attempt) in void or not change.applied or entry is None:
            _report_end(
                plan, task, attempt, worker, placement.Outcome.UNPLACED, "", now
            )
        else:
            started = placement.TaskStarted(entry.job, task.number, attempt, worker)
            plan.step(plan.policy, started, now)


def _process_results(
    plan: PlanState,
    domain: DomainState,
    data: Mapping[str, Any],
    change: FoldResult,
    now: float,
) -> None:
    void = {AttemptKey(item.task, item.attempt) for item in change.void}
    for text, attempt, outcome, detail in data["items"]:
        task = parse_task(text)
        if AttemptKey(task, attempt) in void:
            continue
        entry = domain.jobs.get(task.job)
        cancelled = entry is None or entry.cancelled
        if cancelled and outcome != placement.Outcome.DONE:
            outcome = placement.Outcome.CANCELLED
        _report_end(plan, task, attempt, "", outcome, detail, now)


def _process_move(
    plan: PlanState,
    domain: DomainState,
    rack: str,
    data: Mapping[str, Any],
    now: float,
) -> None:
    tasks = [parse_task(text) for text in data["tasks"]]
    if data["rack"] == rack:
        for task in tasks:
            gone = placement.TasksGone(task.job, task.number, task.number + 1)
            plan.step(plan.policy, gone, now)
    elif data["to_rack"] == rack:
        for job in {task.job for task in tasks} & domain.jobs.keys():
            _add_waiting(plan, domain.jobs[job], rack, now)


def _report_end(
    plan: PlanState,
    task: TaskKey,
    attempt: int,
    worker: str,
    outcome: str,
    detail: str,
    now: float,
) -> None:
    ended = placement.TaskEnded(task, attempt, worker, outcome, detail)
    plan.step(plan.policy, ended, now)


def update_workers(plan: PlanState, rack: RackState, now: float) -> None:
    """Report to the policy which workers may take tasks and which are suspect."""
    workers = tuple(
        view.info
        for view in rack.views.values()
        if not view.terminated and not view.info.leaving
    )
    if workers != plan.workers:
        plan.workers = workers
        plan.step(plan.policy, placement.WorkersChanged(workers), now)
    suspects = {worker for worker, view in rack.views.items() if not _is_trusted(view)}
    for worker in suspects - plan.suspects:
        plan.step(plan.policy, placement.WorkerSuspect(worker), now)
    for worker in plan.suspects - suspects:
        plan.step(plan.policy, placement.WorkerBack(worker), now)
    plan.suspects = suspects


def _is_trusted(view: WorkerView) -> bool:
    return view.fenced and view.failures < _SUSPECT_FAILURES


def process_usage(
    plan: PlanState, view: WorkerView, usage: Iterable[Usage], now: float
) -> None:
    """Pass a worker's delayed usage reports to the policy, with the times measured."""
    shift = view.heard_at - view.clock_s
    for report in usage:
        event = placement.UsageReported(
            view.info.id,
            report.task,
            min(report.time_s + shift, now),
            report.cores,
            report.memory_gb,
            report.latency_ms,
        )
        plan.step(plan.policy, event, now)


def decide(plan: PlanState, rack: RackState, now: float) -> Decision:
    """Run one round of the policy and record its requests for running tasks.

    Returns
    -------
    Decision
        Records to be appended to the log.
    """
    actions = plan.step(plan.policy, placement.Tick(), now)
    assign = tuple(
        AssignItem(a.task, a.attempt, a.worker, rack.views[a.worker].incarnation)
        for a in actions
        if isinstance(a, placement.Place)
    )
    plan.pending.update({item.task: item for item in assign})
    for action in actions:
        _record_action(plan, rack, action)
    handled = (placement.Place, placement.HoldBack, placement.GiveUp)
    return Decision(
        assign,
        tuple(a for a in actions if isinstance(a, placement.GiveUp)),
        tuple(a for a in actions if not isinstance(a, handled)),
    )


def withdraw_placements(
    plan: PlanState, items: Iterable[AssignItem], now: float
) -> None:
    """Let the policy place `items` again, whose record was not appended to the log.

    Notes
    -----
    Guards against tasks that wait forever: in a long outage the backlog of appends is
    full, the record is rejected, and the policy would keep waiting for its result.
    """
    for item in items:
        if plan.pending.pop(item.task, None) is not None:
            _report_end(plan, *item[:3], placement.Outcome.UNPLACED, "", now)


def _record_action(plan: PlanState, rack: RackState, action: placement.Action) -> None:
    match action:
        case placement.Throttle(task, attempt, worker, share):
            if worker in rack.views:
                rack.views[worker].throttles[AttemptKey(task, attempt)] = share
        case placement.Checkpoint(task, attempt, worker, _):
            if worker in rack.views:
                rack.views[worker].evictions.add(AttemptKey(task, attempt))
        case placement.Place(task, _, _, _):
            plan.wait_reasons.pop(task.job, None)
        case placement.HoldBack(task, _, _):
            plan.wait_reasons[task.job] = action
