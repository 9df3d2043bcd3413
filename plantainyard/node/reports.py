"""Functions for a `Query` that report the domain actor's state as plain values."""

from typing import Any

from plantainyard import state as log_state
from plantainyard.execution import Recording
from plantainyard.membership import find_authority_end, has_authority
from plantainyard.work import format_task

from .terms import Term

__all__ = ["list_epochs", "dump_domain", "find_authority_ends", "list_racks"]

_MAX_DUMPED_JOBS = 1000


def list_epochs(actor: Any, now: float) -> dict[str, int]:
    """Return the epoch of each rack over which this instance has authority."""
    return {
        rack: term.rack.epoch
        for rack, term in actor.node.terms.items()
        if has_authority(term.authority, now)
    }


def find_authority_ends(actor: Any, now: float) -> dict[str, float]:
    """Return when the authority ends over each rack where this instance has it."""
    return {
        rack: find_authority_end(term.authority)
        for rack, term in actor.node.terms.items()
        if has_authority(term.authority, now)
    }


def list_racks(actor: Any, now: float) -> list[dict[str, Any]]:
    """Return the status of each owned rack, with the field names of the schema."""
    return [
        _describe_rack(actor.node.domain, rack, term, now)
        for rack, term in sorted(actor.node.terms.items())
    ]


def _describe_rack(
    domain: log_state.DomainState, rack: str, term: Term, now: float
) -> dict[str, Any]:
    views = term.rack.views.values()
    waiting = sum(
        log_state.count_waiting(entry, rack) for entry in log_state.list_jobs(domain)
    )
    return {
        "rack": rack,
        "term": term.offset,
        "authority": has_authority(term.authority, now),
        "workers": len(views),
        "workers_silent": sum(not view.fenced or view.failures > 0 for view in views),
        "tasks_assigned": len(log_state.get_assigned(domain, rack)),
        "tasks_waiting": waiting,
    }


def dump_domain(actor: Any, now: float) -> dict[str, Any]:
    """Return the domain's state and that of the owned racks."""
    node, stream = actor.node, actor.stream
    return {
        "stream": {
            "next_offset": stream.reader.next_offset,
            "age_s": log_state.get_staleness(stream.reader, now),
            "backlog": log_state.count_backlog(stream.appender),
            "appends": stream.appends,
        },
        "mailbox": actor.actor_inbox.qsize(),
        "live": sorted(node.live),
        "claims": {rack: claim._asdict() for rack, claim in node.domain.claims.items()},
        "jobs": [
            {
                "id": entry.job.id,
                "name": entry.job.name,
                **log_state.count_tasks(entry)._asdict(),
            }
            for entry in log_state.list_jobs(node.domain)[:_MAX_DUMPED_JOBS]
        ],
        "racks": {rack: _dump_term(node, rack, t) for rack, t in node.terms.items()},
    }


def _dump_term(node: Any, rack: str, term: Term) -> dict[str, Any]:
    return {
        "epoch": term.rack.epoch,
        "workers": {name: _dump_view(v) for name, v in term.rack.views.items()},
        "assigned": {
            format_task(task): assignment._asdict()
            for task, assignment in log_state.get_assigned(node.domain, rack).items()
        },
        "recording": _dump_recording(term.plan.recording),
        "pending": [format_task(task) for task in term.plan.pending],
        "waiting": {
            job: held._asdict() for job, held in term.plan.wait_reasons.items()
        },
    }


def _dump_recording(recording: Recording | None) -> dict[str, Any] | None:
    if recording is None:
        return None
    return {"complete": recording.complete, "lines": list(recording.lines)}


def _dump_view(view: Any) -> dict[str, Any]:
    return {
        "fenced": view.fenced,
        "failures": view.failures,
        "heard_at": view.heard_at,
        "running": [format_task(key.task) for key in view.running],
        "finished": [format_task(key.task) for key in view.finished],
    }
