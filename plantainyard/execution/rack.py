"""Runs the tasks of one rack on its workers, under one term of ownership.

`step` is the entry point. What should run is what the log assigns; what runs is
what the workers say. The step compares the two and closes the difference: it
starts, renews, stops and acknowledges, and reports ended attempts to the log.
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
_SILENT_AFTER = 3
_RETRY_S = 0.5
_MARGIN_S = 0.02
_SHORTEST_S = 0.1
_RETRY_MAX_S = 4.0


class RackState:
    """One term of one rack at its owner.

    Attributes
    ----------
    rack, holder : str
        The rack and this instance.
    epoch : int
        Fence of this term.
    caretaker : bool
        True while this instance only keeps a silent owner's work alive: it renews
        and stops, and starts nothing.
    views : dict
        What is known of each worker.
    confirmed_at : float
        Owner's clock; a majority of the workers accepted its epoch since.
    has_majority : bool
        Whether a majority ever accepted it.
    reported : set of AttemptKey
        Attempts whose end is on its way to the log.
    spared : frozenset of TaskKey
        Runners of cancelled services that still have requests; not yet stopped.
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
        The folded stream of the failure domain, read only. It must include the
        record that began this term.
    event : Event
        What happened.
    now : float
        Owner's clock in seconds.

    Returns
    -------
    list of Action
        To be carried out in order.

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
    """Let ended attempts be told again, whose record never gets into the log.

    Notes
    -----
    Guards against results that are lost in a long outage of the log: the backlog of
    appends is full and refuses them, while workers keep them until acknowledged.
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
    fence = (answer.state.epoch, answer.state.holder)
    if answer.accepted and fencing:
        view.fenced = True
        view.accepted_at = sent_at
        return [Fenced(worker, sent_at)]
    if answer.state.epoch > state.epoch or (
        fence[0] == state.epoch and fence[1] != state.holder
    ):
        view.fenced = False
        return [Superseded(worker, *fence)]
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
    for known in state.views.values():
        _prune_view(known, open_keys.keys())
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
    look_up: Callable[[str], Job | None],
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
        look_up,
        state.epoch,
        state.holder,
        state.terms,
        now,
    )
    if state.caretaker:
        commands = keep_only_renewals(commands)
    if state.caretaker and not state.has_majority:
        # The owner may still be accepted elsewhere and count a lease as over.
        commands = withhold_leases(commands)
    if view.failures >= _SILENT_AFTER:
        commands = withhold_leases(commands)
    work = _summarize_changes(commands)
    is_new = bool(work) and work != view.last_changes
    if not is_new and view.fenced and now < _find_next_call_time(state, view, work):
        return None
    view.call_in_flight = True
    view.last_changes = work
    view.called_at = now
    view.expected_end_at = _estimate_first_end(commands, now)
    record_sent_leases(view, commands)
    return Call(view.info.id, view.info.address, commands)


def _find_next_call_time(
    state: RackState, view: WorkerView, work: frozenset[object]
) -> float:
    pause_s = min(_RESEND_S, state.sync_s) if work else state.sync_s
    return min(view.called_at + pause_s, view.expected_end_at)


def _estimate_first_end(commands: Commands, now: float) -> float:
    """Return when the first of the tasks just started should have ended.

    A rack of short tasks would otherwise stand idle until the next regular call.
    """
    runs = [s.run_s for s in commands.start if not s.latency_critical]
    return now + max(min(runs) + _MARGIN_S, _SHORTEST_S) if runs else float("inf")


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
