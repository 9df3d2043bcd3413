"""Dumps of an instance's state and of single jobs, for troubleshooting.

The metrics port serves them at ``GET /state`` and ``GET /jobs/ID``. The state is read
while other threads modify it, so a dump is not a consistent snapshot.
"""

import json
from collections.abc import Callable, Iterable
from typing import Any
from wsgiref.types import StartResponse, WSGIApplication, WSGIEnvironment

from plantainyard.clock import read_clock
from plantainyard.dispatch import Dispatcher, count_state, list_needs
from plantainyard.dispatch.headroom import describe_headroom
from plantainyard.dispatch.model import Job, Task
from plantainyard.dispatch.reservations import describe_room
from plantainyard.dispatch.run_time_records import describe_run_times
from plantainyard.dispatch.unit_forecasts import find_forecast_age
from plantainyard.entry.instance import Instance
from plantainyard.entry.peers import look_up_job
from plantainyard.entry.responses import OK, send_response

__all__ = ["build_inspection_app", "describe_job", "describe_state"]

JOBS_PATH = "/jobs/"


def describe_state(instance: Instance) -> dict[str, Any]:
    """Return the state of an instance as JSON values."""
    now = read_clock()
    configuration = instance.configuration
    return {
        "instance": instance.settings.instance,
        "configuration": {
            "version": configuration.version if configuration else None,
            "age_s": round(now - instance.configuration_synced_at(), 3),
        },
        "evacuations": {
            "versions": dict(instance.evacuations.versions),
            "read_s_ago": _count_since(instance.evacuations.read_at, now),
        },
        "admission": {
            "in_force": instance.policy.admission is not None,
            "rejected_ids": instance.rejected.count(),
        },
        "units": instance.layout.units,
        "owners": {u: o._asdict() for u, o in list(instance.layout.owners.items())},
        "owned": {
            unit: _describe_unit(owned.context.dispatcher, now)
            for unit, owned in list(instance.owned.items())
        },
    }


def _count_since(at: float, now: float) -> float | None:
    """Return the seconds since `at`; None if it has never come."""
    return round(now - at, 3) if at > 0 else None


def _describe_unit(state: Dispatcher, now: float) -> dict[str, Any]:
    return {
        **count_state(state)._asdict(),
        "run_times": describe_run_times(state.run_times, now),
        "load": {k: v for k, v in state.load._asdict().items() if k != "queues"},
        "needs": [need._asdict() for need in list_needs(state)],
        "forecasts": [row._asdict() for row in state.load.queues or ()],
        "forecast_age_s": find_forecast_age(state, now),
        "evacuated": sorted(state.evacuated_domains),
        "renewed_s_ago": round(now - state.renewed_at, 3),
        "commit_out": state.commit_pending,
        "moved": len(state.handed_over),
        "room": describe_room(state.room, now),
        "headroom": describe_headroom(state.headroom),
        "runner_health": _describe_health(state, now),
    }


def _describe_health(state: Dispatcher, now: float) -> dict[str, Any] | None:
    """Return which runners are failing or slow, and why; None if that isn't judged."""
    if state.limits.policy.health is None:
        return None
    health = state.health
    return {
        "max_avoided": health.max_avoided,
        "avoided": sorted(health.avoided),
        "steps": len(health.steps),
        "failing": {
            key: {
                "score": round(found.blamed, 2),
                "failures": len(found.failures),
                "left_s": round(found.failing_until - now, 3),
            }
            for key, found in list(health.runners.items())
            if found.failing_until
        },
        "slow": {
            key: {
                "ratio": round(found.ratio, 2),
                "slow_s": round(now - found.slow_since, 3),
                "evidence_s_ago": round(now - found.slow_at, 3),
                "compared": len(found.evidence),
                "probe": found.probe and [*found.probe[0], found.probe[1]],
            }
            for key, found in list(health.runners.items())
            if found.is_slow
        },
    }


def describe_job(instance: Instance, job_id: str) -> dict[str, Any]:
    """Return the stored state of a job and, on its owner, the state of its tasks."""
    if not instance.copies:
        return {"known": False}
    copy = instance.find_copy(job_id)
    lookup = look_up_job(copy, job_id)
    owned = instance.owned.get(copy.unit)
    owner = instance.layout.owners.get(copy.unit)
    job = owned.context.dispatcher.jobs.get(job_id) if owned else None
    return {
        "known": bool(lookup.state),
        "state": lookup.state,
        "unit": copy.unit,
        "moved": lookup.moved,
        "owner": owner.address if owner else None,
        "tasks": _describe_tasks(job, read_clock()) if job else None,
    }


def _describe_tasks(job: Job, now: float) -> list[dict[str, Any]]:
    tasks = [task for step in list(job.steps.values()) for task in step.tasks]
    return [_describe_task(task, now) for task in tasks]


def _describe_task(task: Task, now: float) -> dict[str, Any]:
    waits_s = now - task.waiting_since if task.waiting_since else 0.0
    return {
        "task": task.key[1:],
        "phase": task.phase,
        "run": task.run,
        "runner": task.incarnation,
        "waits_s": round(waits_s, 3),
        "failures": task.failures,
        "percent": task.percent,
        "pace": task.pace,
        "avoids": sorted(task.avoided_runners),
        "unit": task.unit,
    }


def build_inspection_app(
    instance: Instance, metrics: WSGIApplication
) -> Callable[[WSGIEnvironment, StartResponse], Iterable[bytes]]:
    """Return the WSGI application of the metrics port.

    It serves the dumps and passes all other requests to `metrics`.
    """

    def serve(environ: WSGIEnvironment, start: StartResponse) -> Iterable[bytes]:
        path = environ.get("PATH_INFO", "")
        if path == "/state":
            data = describe_state(instance)
        elif path.startswith(JOBS_PATH):
            data = describe_job(instance, path.removeprefix(JOBS_PATH))
        else:
            return metrics(environ, start)
        body = json.dumps(data, indent=1).encode() + b"\n"
        return send_response(start, OK, "application/json", body)

    return serve
