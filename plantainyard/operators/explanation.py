"""Handler of the call that explains why a task was or wasn't placed on a worker."""

from functools import partial
from typing import Any

from result import Err, Ok, Result

from plantainyard import state as log_state
from plantainyard.api import ApiError, ErrorCode
from plantainyard.api import operators_pb2 as schema
from plantainyard.placement import explain
from plantainyard.state.ranges import has_number
from plantainyard.work import TaskKey

from .home_domains import parse_home_domain
from .node import Node, find_peer, forward_call, list_peers, mark_relayed, query

__all__ = ["explain_task", "find_task_rack"]

_ENDED = "ended"
_RETRY_AFTER_S = 2.0


def explain_task(
    node: Node, request: schema.ExplainTaskRequest
) -> Result[schema.ExplainTaskResponse, ApiError]:
    """Explain the placement of a task, as decided by the owner of its rack.

    Notes
    -----
    A relayed call is answered from this instance's own state, see `mark_relayed`.
    """
    empty = schema.ExplainTaskResponse()
    domain = parse_home_domain(request.job_id)
    if domain != node.settings.instance.domain:
        peer = find_peer(node, domain)
        if peer is None:
            detail = f"{domain or 'the home domain'} is not heard from"
            return Err(
                ApiError(ErrorCode.REFUSED, detail, retry_after_s=_RETRY_AFTER_S)
            )
        return forward_call(node, peer, "ExplainTask", request, empty)
    task = TaskKey(request.job_id, request.number)
    response: schema.ExplainTaskResponse | None = query(
        node.domain, partial(_explain, task)
    )
    if response is None:
        return Err(ApiError(ErrorCode.NOT_FOUND, "no such task", "number"))
    owner = response.decided_by
    peer = next((p for p in list_peers(node) if p.is_live and p.process == owner), None)
    if request.relayed or owner == node.name or peer is None:
        return Ok(response)
    return forward_call(node, peer, "ExplainTask", mark_relayed(request), empty)


def find_task_rack(
    state: log_state.DomainState, entry: log_state.JobState, task: TaskKey
) -> str:
    """Return the rack that a task belongs to, or an empty string if it has ended."""
    assigned = (r for r, tasks in state.assigned.items() if task in tasks)
    unattempted = (
        r for r, ranges in entry.unattempted.items() if has_number(ranges, task.number)
    )
    retries = (r for r, numbers in entry.retries.items() if task.number in numbers)
    return next((r for racks in (assigned, unattempted, retries) for r in racks), "")


def _explain(task: TaskKey, actor: Any, _: float) -> schema.ExplainTaskResponse | None:
    state = actor.node.domain
    entry = log_state.get_job(state, task.job)
    if entry is None or task.number >= _count_tasks(entry):
        return None
    ended = schema.ExplainTaskResponse(status=_ENDED, reason="done or cancelled")
    if isinstance(entry, log_state.JobSummary):
        return ended
    rack = find_task_rack(state, entry, task)
    if not rack:
        return ended
    claim = log_state.find_claim(state, rack)
    term = actor.node.terms.get(rack)
    if term is None:
        return schema.ExplainTaskResponse(
            status="unknown",
            reason="the rack has another owner, or none",
            rack=rack,
            decided_by=claim.holder if claim else "",
        )
    found = explain(term.plan.policy, task)
    return schema.ExplainTaskResponse(
        status=found.status,
        worker=found.worker,
        reason=found.reason,
        place=found.place,
        rack=rack,
        decided_by=actor.node.name,
        workers=[
            schema.WorkerVerdict(**verdict._asdict()) for verdict in found.workers
        ],
    )


def _count_tasks(entry: log_state.JobState | log_state.JobSummary) -> int:
    if isinstance(entry, log_state.JobSummary):
        return entry.task_count
    return entry.job.task_count
