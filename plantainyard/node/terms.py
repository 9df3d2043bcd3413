"""One rack during one term, at the instance that is its owner or caretaker.

A caretaker stands in for an owner that became silent while the log is out. A term
combines the execution of tasks (`plantainyard.execution`) with their placement
(`plantainyard.placement`). All of its state is dropped at its end: a new term starts
only from the log and the workers.
"""

from collections.abc import Iterator, Mapping
from typing import Any

from plantainyard import execution, placement
from plantainyard import state as log_state
from plantainyard.membership import Authority, AuthorityTerms, BeginTerm
from plantainyard.protocol import RunnerInfo
from plantainyard.settings import Settings
from plantainyard.work import Size, TaskKey, WorkerInfo

__all__ = [
    "Term",
    "begin_term",
    "build_lease_terms",
    "drain_workers",
    "update_term",
    "find_drain_time",
    "iter_runners",
    "list_leaving_runners",
    "name_runner",
    "set_policy_inputs",
    "drain_cancelled_runners",
]

_COMMAND_S = 2.0
"""Seconds after which a command that a worker has not yet read has no effect."""

_BYTES_IN_MB = 1_000_000


class Term:
    """State of one term.

    Attributes
    ----------
    rack : RackState
        Views of the workers and of the attempts that they run.
    plan : PlanState
        The placement policy.
    offset : int
        Offset of the claim that began the term.
    authority : Authority
        Acceptance of this instance by the workers.
    newly_started : set of str
        Ids of runners whose assignment was recorded during this term.
    leaving : dict of str to float
        For each leaving worker, when this was first observed.
    cancelled : dict of TaskKey to float
        For each runner of a cancelled service, when this was first observed.
    """

    def __init__(
        self,
        rack: execution.RackState,
        plan: execution.PlanState,
        offset: int,
        authority: Authority,
    ) -> None:
        self.rack = rack
        self.plan = plan
        self.offset = offset
        self.authority = authority
        self.newly_started: set[str] = set()
        self.leaving: dict[str, float] = {}
        self.cancelled: dict[TaskKey, float] = {}


def build_lease_terms(settings: Settings) -> execution.LeaseTerms:
    """Return the lease and command lengths from the settings."""
    return execution.LeaseTerms(
        settings.platform.worker_lease_s, _COMMAND_S, settings.platform.clock_drift
    )


def begin_term(
    settings: Settings,
    holder: str,
    domain: log_state.DomainState,
    rack: str,
    began: BeginTerm,
    now: float,
) -> Term:
    """Return a new term over `rack`, initialized from the log."""
    state = execution.RackState(
        rack,
        holder,
        began.epoch,
        build_lease_terms(settings),
        settings.intervals.worker_s,
        began.caretaker,
    )
    plan = execution.create_plan(int(settings.logs.decisions_mb * _BYTES_IN_MB))
    execution.load_rack(plan, domain, rack, now)
    claim = began.claim
    # A caretaker competes with the owner, whose authority has the same set of workers.
    previous = (claim.workers,) if began.caretaker else claim.previous
    platform = settings.platform
    authority = Authority(
        AuthorityTerms(platform.worker_lease_s, platform.clock_drift),
        claim.workers,
        previous,
        claim.stopped and not began.caretaker,
    )
    return Term(state, plan, claim.term, authority)


def set_policy_inputs(
    term: Term, weights: placement.Weights, shares: Mapping[str, Size], now: float
) -> None:
    """Pass the placement weights and the teams' quotas to the policy."""
    term.plan.step(term.plan.policy, placement.WeightsChanged(weights), now)
    term.plan.step(term.plan.policy, placement.QuotasChanged(dict(shares)), now)


def update_term(
    term: Term,
    domain: log_state.DomainState,
    data: Mapping[str, Any],
    change: log_state.FoldResult,
    now: float,
) -> None:
    """Update the term with a record that was just folded."""
    pending = set(term.plan.pending)
    execution.process_record(term.plan, domain, term.rack.rack, data, change, now)
    assigned = log_state.get_assigned(domain, term.rack.rack)
    for task in pending - term.plan.pending.keys():
        if task in assigned:
            key = execution.AttemptKey(task, assigned[task].attempt)
            term.newly_started.add(name_runner(key))


def drain_cancelled_runners(
    term: Term, domain: log_state.DomainState, drain_s: float, now: float
) -> None:
    """Let runners of cancelled services finish their requests before they are stopped.

    Notes
    -----
    Guards against failed requests at a planned stop: a runner that stopped at once
    would drop the requests that gateways sent to it under credits that are still valid.
    """
    runners = [
        task
        for task in log_state.list_cancelled_running(domain, term.rack.rack)
        if domain.jobs[task.job].job.latency_critical
    ]
    term.cancelled = {task: term.cancelled.get(task, now) for task in runners}
    term.rack.draining_runners = frozenset(
        task for task, since in term.cancelled.items() if now - since <= drain_s
    )


def find_drain_time(settings: Settings) -> float:
    """Return the seconds after which a leaving runner has no requests left."""
    return settings.requests.credit_s + settings.requests.request_max_s


def drain_workers(
    term: Term, domain: log_state.DomainState, drain_s: float, now: float
) -> None:
    """Request the eviction of attempts that run on leaving workers.

    Parameters
    ----------
    term : Term
        Changed in place: the attempts to be checkpointed are recorded in its views.
    domain : DomainState
        The folded stream.
    drain_s : float
        Seconds for which a runner continues after its gateways were notified. It
        finishes its requests in this time, so that a planned stop drops none.
    now : float
        Owner's clock in seconds.
    """
    leaving = {w for w, view in term.rack.views.items() if view.info.leaving}
    term.leaving = {w: term.leaving.get(w, now) for w in leaving}
    for worker, since in term.leaving.items():
        view = term.rack.views[worker]
        view.evictions.update(
            key
            for key in view.running
            if (entry := domain.jobs.get(key.task.job)) is not None
            and (not entry.job.latency_critical or now - since > drain_s)
        )


def name_runner(key: execution.AttemptKey) -> str:
    """Return a runner's id, unique for each start.

    Examples
    --------
    >>> from plantainyard.work import TaskKey
    >>> name_runner(execution.AttemptKey(TaskKey("j", 3), 2))
    'j/3#2'
    """
    return f"{key.task.job}/{key.task.number}#{key.attempt}"


def iter_runners(
    term: Term, domain: log_state.DomainState
) -> Iterator[tuple[RunnerInfo, WorkerInfo]]:
    """Yield each runner that the rack's workers list, with its worker."""
    for view in term.rack.views.values():
        for key, task in view.running.items():
            entry = domain.jobs.get(key.task.job)
            if entry is None or not task.address:
                continue
            yield _describe_runner(key, task.address, entry.job, view.info), view.info


def _describe_runner(
    key: execution.AttemptKey, address: str, job: Any, worker: WorkerInfo
) -> RunnerInfo:
    return RunnerInfo(
        name_runner(key),
        job.name,
        address,
        worker.rack,
        worker.domain,
        worker.region,
        job.slots,
        job.connections,
    )


def list_leaving_runners(term: Term, domain: log_state.DomainState) -> frozenset[str]:
    """Return the ids of runners that must receive no new requests.

    A runner is included as soon as any source shows that it will be stopped.
    """
    cancelled = set(log_state.list_cancelled_running(domain, term.rack.rack))
    return frozenset(
        name_runner(key)
        for view in term.rack.views.values()
        for key, task in view.running.items()
        if task.leaving
        or view.info.leaving
        or key in view.evictions
        or key.task in cancelled
    )
