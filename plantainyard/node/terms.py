"""One rack under one term, at the instance that owns it or cares for it.

A term joins what runs the tasks (`plantainyard.execution`) with what decides where
(`plantainyard.placement`). It ends whole: a new term starts from the log and the
workers alone.
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
_BYTES_IN_MB = 1_000_000


class Term:
    """State of one term.

    Attributes
    ----------
    rack : RackState
        What runs, by the workers' word.
    plan : PlanState
        The policy.
    offset : int
        Offset of the claim that began the term.
    authority : Authority
        Whether the workers let this instance act.
    newly_started : set of str
        Runners whose assignment was written under this term.
    leaving : dict of str to float
        Leaving workers and when that was noticed.
    cancelled : dict of TaskKey to float
        Runners of cancelled services and when that was noticed.
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
    """Return the lengths of leases that the settings give."""
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
    """Return a new term over `rack` with all that the log says of it."""
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
    # A caretaker's rival is the owner itself, whose authority rests on the same set.
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
    """Tell the policy the weights and the teams' quotas."""
    term.plan.step(term.plan.policy, placement.WeightsChanged(weights), now)
    term.plan.step(term.plan.policy, placement.QuotasChanged(dict(shares)), now)


def update_term(
    term: Term,
    domain: log_state.DomainState,
    data: Mapping[str, Any],
    change: log_state.FoldResult,
    now: float,
) -> None:
    """Tell the term of a record that was just folded."""
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
    """Let the runners of cancelled services serve what they have, then stop them.

    Notes
    -----
    Guards a planned stop: a runner that is stopped at once cuts off the requests that
    gateways sent it under credits that still hold.
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
    """Return the seconds after which a leaving runner has no request any more."""
    return settings.requests.credit_s + settings.requests.request_max_s


def drain_workers(
    term: Term, domain: log_state.DomainState, drain_s: float, now: float
) -> None:
    """Evict what runs on workers that are leaving.

    Parameters
    ----------
    term : Term
        Changed: the attempts to be checkpointed are noted.
    domain : DomainState
        The folded stream.
    patience_s : float
        Seconds for which a runner goes on after its gateways were told. Until then
        it serves what it has, so that the planned stop cuts off no request.
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
    """Yield the runners that the rack's workers list, with their worker."""
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
    """Return the runners that must get nothing new, by the first sign of it."""
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
