"""Execution of the tasks of one rack on its workers, under one term of ownership.

`step` is the entry point. It compares the assignments in the log (the desired state)
with the lists that the workers report (the actual state) and reconciles them: it
starts, renews, stops and acknowledges attempts, and reports ended ones to the log.
"""

import itertools
from collections.abc import Callable, Iterable, Mapping, Set

from plantainyard.clients import Commands, WorkerResponse
from plantainyard.state import (
    Assignment,
    DomainState,
    JobState,
    ResultItem,
    get_assigned,
    get_job,
    list_cancelled_running,
)
from plantainyard.work import Job, TaskKey, WorkerInfo

from .commands import (
    LeaseTerms,
    build_commands,
    keep_only_renewals,
    record_sent_leases,
    withhold_leases,
)
from .events import (
    Action,
    AppendResults,
    Call,
    CallFailed,
    Event,
    Fenced,
    Superseded,
    Tick,
    WorkerAnswered,
    WorkersListed,
)
from .results import find_result
from .views import AttemptKey, WorkerView, update_view

__all__ = ["RackState", "unmark_reported", "step"]

_RESEND_S = 0.5
"""Longest interval in seconds between calls while a worker has requests pending."""

_SILENT_FAILURES = 3
"""Consecutive failed calls after which a worker counts as silent."""

_RETRY_S = 0.5
"""Backoff in seconds that doubles with each consecutive failed call."""

_END_MARGIN_S = 0.02
"""Seconds between a task's expected end and the call that reads its result."""

_MIN_END_DELAY_S = 0.1
"""Shortest delay in seconds of a call that reads the result of a short task."""

_RETRY_MAX_S = 4.0
"""Upper bound in seconds of the backoff after failed calls."""


class RackState:
    """State of one rack during one term of its owner.

    Attributes
    ----------
    rack, holder : str
        The rack, and the name of this process.
    epoch : int
        Fencing token of this term.
    terms : LeaseTerms
        Lengths of leases and commands.
    sync_s : float
        Regular interval in seconds between calls to a worker.
    caretaker : bool
        Whether this instance is a caretaker, which stands in for an owner that became
        silent while the log is out: it renews the leases of that owner's tasks, and
        starts and stops nothing.
    views : dict
        View of each worker, by its id.
    confirmed_at : float
        Latest time on the owner's clock at which a majority of the workers is known to
        have accepted its epoch.
    has_majority : bool
        Whether a majority has ever accepted the epoch.
    reported : set of AttemptKey
        Attempts whose result has been submitted to the log but is not folded yet.
    draining_runners : frozenset of TaskKey
        Runners of cancelled services that may still serve requests and are not stopped
        yet.
    """

    def __init__(
        self,
        rack: str,
        holder: str,
        epoch: int,
        terms: LeaseTerms,
        sync_s: float,
        caretaker: bool = False,
    ) -> None:
        self.rack = rack
        self.holder = holder
        self.epoch = epoch
        self.terms = terms
        self.sync_s = sync_s
        self.caretaker = caretaker
        self.views: dict[str, WorkerView] = {}
        self.reported: set[AttemptKey] = set()
        self.confirmed_at = float("-inf")
        self.has_majority = False
        self.draining_runners: frozenset[TaskKey] = frozenset()


def step(
    state: RackState, domain: DomainState, event: Event, now: float
) -> list[Action]:
    """Advance the rack by one event.

    Parameters
    ----------
    state : RackState
        Changed in place.
    domain : DomainState
        The folded stream of the failure domain, which is not changed. It must include
        the record that began this term.
    event : Event
        The event.
    now : float
        Owner's clock in seconds.

    Returns
    -------
    list of Action
        Actions to be carried out in this order.

    Notes
    -----
    Cost: linear in the rack's workers and assigned tasks.
    """
    match event:
        case WorkersListed(workers, terminated):
            return _update_worker_list(state, workers, terminated)
        case WorkerAnswered(worker, answer, sent_at, fencing):
            return _process_answer(state, worker, answer, sent_at, fencing, now)
        case CallFailed(worker, _):
            return _record_failure(state, worker, now)
        case Tick():
            return _reconcile(state, domain, now)


def unmark_reported(state: RackState, items: Iterable[ResultItem]) -> None:
    """Allow results to be reported again whose record was not appended to the log.

    Notes
    -----
    Guards against results that are lost in a long outage of the log: the backlog of
    appends is full and rejects them, while workers keep them until acknowledged.
    """
    state.reported -= {AttemptKey(item.task, item.attempt) for item in items}


def _update_worker_list(
    state: RackState, workers: tuple[WorkerInfo, ...], terminated: frozenset[str]
) -> list[Action]:
    for info in workers:
        view = state.views.setdefault(info.id, WorkerView(info))
        view.info = info
        view.terminated = info.id in terminated
    for worker in terminated & state.views.keys():
        state.views[worker].terminated = True
    return []


def _process_answer(
    state: RackState,
    worker: str,
    answer: WorkerResponse,
    sent_at: float,
    fencing: bool,
    now: float,
) -> list[Action]:
    view = state.views.get(worker)
    if view is None:
        return []
    view.call_in_flight = False
    view.failures = 0
    update_view(view, answer.state, now)
    worker_fence = (answer.state.epoch, answer.state.holder)
    if answer.accepted and fencing:
        view.fenced = True
        view.accepted_at = sent_at
        return [Fenced(worker, sent_at)]
    if answer.state.epoch > state.epoch or (
        worker_fence[0] == state.epoch and worker_fence[1] != state.holder
    ):
        view.fenced = False
        return [Superseded(worker, *worker_fence)]
    return []


def _record_failure(state: RackState, worker: str, now: float) -> list[Action]:
    view = state.views.get(worker)
    if view is None:
        return []
    view.call_in_flight = False
    view.failures += 1
    view.next_call_at = now + min(_RETRY_S * 2**view.failures, _RETRY_MAX_S)
    return []


def _reconcile(state: RackState, domain: DomainState, now: float) -> list[Action]:
    assigned = get_assigned(domain, state.rack)
    cancelled = (
        frozenset(list_cancelled_running(domain, state.rack)) - state.draining_runners
    )
    by_worker = _group_by_worker(assigned)

    def find_job(job: str) -> Job | None:
        entry = get_job(domain, job)
        return entry.job if isinstance(entry, JobState) else None

    results = _collect_results(state, assigned)
    calls = [
        call
        for view in state.views.values()
        if (
            call := _plan_call(
                state,
                view,
                by_worker.get(view.info.id, {}),
                cancelled,
                find_job,
                now,
            )
        )
    ]
    return [*results, *calls]


def _group_by_worker(
    assigned: Mapping[TaskKey, Assignment],
) -> dict[str, dict[TaskKey, Assignment]]:
    groups: dict[str, dict[TaskKey, Assignment]] = {}
    for task, assignment in assigned.items():
        groups.setdefault(assignment.worker, {})[task] = assignment
    return groups


def _collect_results(
    state: RackState, assigned: Mapping[TaskKey, Assignment]
) -> list[Action]:
    open_keys = {AttemptKey(task, a.attempt): a for task, a in assigned.items()}
    state.reported &= open_keys.keys()
    for worker_view in state.views.values():
        _prune_view(worker_view, open_keys.keys())
    items = [
        item
        for key, assignment in open_keys.items()
        if key not in state.reported
        and (view := state.views.get(assignment.worker)) is not None
        and (
            item := find_result(
                view, key, assignment, state.confirmed_at, state.terms.drift
            )
        )
        is not None
    ]
    state.reported |= {AttemptKey(i.task, i.attempt) for i in items}
    return [AppendResults(tuple(items))] if items else []


def _prune_view(view: WorkerView, open_keys: Set[AttemptKey]) -> None:
    view.seen_attempts &= open_keys
    view.evictions &= open_keys
    view.lease_ends = {k: v for k, v in view.lease_ends.items() if k in open_keys}
    view.throttles = {k: v for k, v in view.throttles.items() if k in open_keys}


def _plan_call(
    state: RackState,
    view: WorkerView,
    assigned: Mapping[TaskKey, Assignment],
    cancelled: frozenset[TaskKey],
    find_job: Callable[[str], Job | None],
    now: float,
) -> Call | None:
    if view.call_in_flight or view.terminated:
        return None
    if view.failures and now < view.next_call_at:
        return None
    if not view.has_answered:
        view.call_in_flight = True
        return Call(view.info.id, view.info.address, None)
    commands = build_commands(
        view,
        assigned,
        cancelled,
        find_job,
        state.epoch,
        state.holder,
        state.terms,
        now,
    )
    if state.caretaker:
        commands = keep_only_renewals(commands)
    if state.caretaker and not state.has_majority:
        # Other workers may still accept the owner, which may consider a lease expired.
        commands = withhold_leases(commands)
    if view.failures >= _SILENT_FAILURES:
        commands = withhold_leases(commands)
    changes = _summarize_changes(commands)
    is_new = bool(changes) and changes != view.last_changes
    if not is_new and view.fenced and now < _find_next_call_time(state, view, changes):
        return None
    view.call_in_flight = True
    view.last_changes = changes
    view.called_at = now
    view.expected_end_at = _estimate_first_end(commands, now)
    record_sent_leases(view, commands)
    return Call(view.info.id, view.info.address, commands)


def _find_next_call_time(
    state: RackState, view: WorkerView, changes: frozenset[object]
) -> float:
    pause_s = min(_RESEND_S, state.sync_s) if changes else state.sync_s
    return min(view.called_at + pause_s, view.expected_end_at)


def _estimate_first_end(commands: Commands, now: float) -> float:
    """Return when the first of the tasks just started should have ended.

    The worker is called again at that time: a rack of short tasks would otherwise be
    idle until the next regular call.
    """
    runs = [s.run_s for s in commands.start if not s.latency_critical]
    return (
        now + max(min(runs) + _END_MARGIN_S, _MIN_END_DELAY_S) if runs else float("inf")
    )


def _summarize_changes(commands: Commands) -> frozenset[object]:
    return frozenset(
        itertools.chain(
            (("start", s.task, s.attempt) for s in commands.start),
            (("stop", *key) for key in commands.stop),
            (("checkpoint", *key) for key in commands.checkpoint),
            (("throttle", *item) for item in commands.throttle),
            (("ack", *key) for key in commands.ack),
        )
    )
