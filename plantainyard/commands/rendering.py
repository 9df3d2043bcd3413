"""Formatting of the schema's messages as text and tables."""

import json
from collections.abc import Iterable, Iterator, Mapping
from typing import Any

from google.protobuf.message import Message
from google.protobuf.struct_pb2 import Value

from plantainyard.api import operators_pb2 as schema
from plantainyard.api import read_value
from plantainyard.commands.command import format_table

__all__ = [
    "format_age",
    "format_ages",
    "format_counts",
    "format_job",
    "format_explanation",
    "format_jobs",
    "format_size",
    "format_state",
    "format_value",
    "format_json",
]

STALE_S = 30.0
"""Age in seconds above which a failure domain is reported as stale."""
UNKNOWN_AGE_S = 1e9
"""Age in seconds from which on an age is shown as ``never``."""
STATE_PREFIX = "JOB_STATE_"


def format_state(state: int) -> str:
    """Return the name of a job's state in lower case."""
    try:
        return schema.JobState.Name(state).removeprefix(STATE_PREFIX).lower()
    except ValueError:
        return f"state {state}"


def format_counts(counts: schema.TaskCounts) -> str:
    """Return the numbers of tasks by state, on one line.

    Examples
    --------
    >>> format_counts(schema.TaskCounts(waiting=2, done=1))
    '1 done, 0 assigned, 2 waiting'
    """
    text = f"{counts.done} done, {counts.assigned} assigned, {counts.waiting} waiting"
    extra = (("cancelled", counts.cancelled), ("failed attempts", counts.failures))
    return ", ".join([text, *(f"{n} {name}" for name, n in extra if n)])


def format_size(size: schema.Size) -> str:
    """Return the resources of a size on one line."""
    text = f"{size.cores:g} cores, {size.memory_gb:g} GB"
    return f"{text}, {size.accelerators} accelerators" if size.accelerators else text


def format_value(message: Message, field: str) -> str:
    """Return a configuration value as JSON, or a dash if it isn't set."""
    if not message.HasField(field):
        return "-"
    return format_json(getattr(message, field))


def format_json(value: Value) -> str:
    """Return a configuration value as JSON on one line."""
    return json.dumps(read_value(value))


def format_jobs(response: schema.ListJobsResponse) -> str:
    """Return a table of jobs, with a warning for each stale failure domain."""
    rows = (
        (
            job.job_id,
            job.name,
            job.team,
            format_state(job.state),
            job.domain,
            format_counts(job.counts),
            job.reason,
        )
        for job in response.jobs
    )
    headers = ("job", "name", "team", "state", "domain", "tasks", "reason")
    return "\n".join([format_table(headers, rows), *format_ages(response.ages)])


def format_age(age_s: float) -> str:
    """Return an age as text.

    Examples
    --------
    >>> format_age(2.04), format_age(float("inf"))
    ('2.0 s ago', 'never')
    """
    return f"{age_s:.1f} s ago" if age_s < UNKNOWN_AGE_S else "never"


def format_ages(ages: Iterable[schema.DomainAge]) -> list[str]:
    """Return a warning for each failure domain older than `STALE_S`."""
    return [
        f"{age.domain}: last read {format_age(age.age_s)}; what is told of it is old"
        for age in ages
        if age.age_s > STALE_S
    ]


def format_job(response: schema.DescribeJobResponse) -> str:
    """Return the description of a job, with its racks and places."""
    job, limits = response.job, response.constraints
    allowed = {
        "regions": ", ".join(limits.regions),
        "domains": ", ".join(limits.domains),
        "accelerator": limits.accelerator,
    }
    rows: list[tuple[str, Any]] = [
        ("job", job.job_id),
        ("name", job.name),
        ("team", job.team),
        ("state", format_state(job.state)),
        ("home domain", job.domain),
        ("tasks", format_counts(job.counts)),
    ]
    if response.HasField("size"):
        rows.append(("size of one", format_size(response.size)))
    if response.run_s:
        rows.append(("declared run time", f"{response.run_s:g} s"))
    if response.slots:
        rows.append(("slots, connections", f"{response.slots}, {response.connections}"))
    rows += [(f"only in {name}", names) for name, names in allowed.items() if names]
    lines = [f"{name + ':':<20} {value}" for name, value in rows]
    lines += [
        f"{'because:':<20} {_format_reason(reason)}" for reason in response.reasons
    ]
    lines += format_ages([schema.DomainAge(domain=job.domain, age_s=response.age_s)])
    return "\n".join([*lines, *_iter_tables(response)])


def format_explanation(response: schema.ExplainTaskResponse) -> str:
    """Return the explanation of a task's placement, with a line for each worker."""
    where = f" on {response.worker}" if response.worker else ""
    place = f", place {response.place} in the order" if response.place else ""
    headline = f"{response.status}{where}: {response.reason}{place}"
    decider = f"decided for {response.rack} by {response.decided_by or 'nobody yet'}"
    rows = (
        (w.worker, w.failing or "possible", f"{w.cost:.3g}", _format_parts(w.parts))
        for w in response.workers
    )
    headers = ("worker", "now", "cost", "parts of the cost")
    return "\n".join([headline, decider, "", format_table(headers, rows)])


def _format_parts(parts: Mapping[str, float]) -> str:
    return ", ".join(f"{name} {parts[name]:.3g}" for name in sorted(parts))


def _iter_tables(response: schema.DescribeJobResponse) -> Iterator[str]:
    racks = [
        (r.rack, r.tasks, r.waiting, r.place or "-", r.owner or "nobody yet")
        for r in response.racks
    ]
    places = [
        (p.number, p.attempt, p.worker, p.rack, p.domain) for p in response.places
    ]
    if racks:
        headers = ("rack", "tasks", "waiting", "place", "decided by")
        yield "\n" + format_table(headers, racks)
    if places:
        yield "\n" + format_table(
            ("task", "attempt", "worker", "rack", "domain"), places
        )


def _format_reason(reason: schema.Reason) -> str:
    when = "can never run" if reason.permanent else "waits"
    where = f" on {reason.rack}" if reason.rack else ""
    return f"{reason.tasks} tasks{where}: {when}: {reason.code} {reason.detail}".strip()
