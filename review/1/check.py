"""A record of another writer among the runners' entries, and jobs after it."""

import json
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import harness  # noqa: E402

RUNNERS = 6
JOBS = 6
FINISH_S = 14.0
"""`finish_s`: after this time, accepted jobs are asked for."""

IDLE_S = 3.0
"""Time for which a job has nothing running, by the rule LOST."""


def make_body() -> dict:
    """Return a job of four tasks of a core each; all jobs together use a tenth."""
    step = {"count": 4, "cpu": 1000, "memMb": 256, "estimateMs": 500}
    return {"spec": "review", "steps": [step]}


def write_stray_entry(site: harness.Site) -> None:
    """Write an entry with a field of another type, as another writer does."""
    entry = {
        "service": harness.SERVICE,
        "address": f"127.0.0.1:{harness.find_ports(1)[0]}",
        "zone": "addis-kality",
        "version": "v1",
        "slotCount": 8,
        "state": ["ready"],
        "coldLeftMs": 0,
        "capacity": {"cpu": 64000, "memMb": 256000, "gpu": 0},
        "labels": ["a", "r1-1"],
        "clockMs": 1000,
        "sequence": 1,
    }
    value = json.dumps(entry).encode()
    site.do(lambda: site.store.state.put("keyed.servers", "i-stray", value))
    site.record.write(f"another writer stores servers/i-stray {entry}")


def run_jobs(site: harness.Site, first: int, wait_s: float) -> list[str] | None:
    """Submit jobs, wait, and return those not completed; None if some were refused."""
    names = [f"{number:016x}" for number in range(first, first + JOBS)]
    accepted = [n for k, n in enumerate(names) if site.submit(n, make_body(), k)]
    if len(accepted) < JOBS:
        site.record.write(f"accepted only {accepted}")
        return None
    deadline = time.monotonic() + wait_s
    open_jobs = accepted
    while open_jobs and time.monotonic() < deadline:
        time.sleep(0.5)
        open_jobs = [n for n in open_jobs if site.get_state(n) != "completed"]
    return open_jobs


def is_running(site: harness.Site, job: str) -> bool:
    """Return whether a runner has a run of a job."""
    runs = [run for r in site.runners for run in site.do(r.list_runs)]
    return any(run.startswith(job) for run in runs)


def check(site: harness.Site) -> int:
    """Return the exit status."""
    if not site.wait_until_ready():
        site.record.write("the instances aren't ready")
        return harness.CANT_RUN
    if run_jobs(site, 0x100, 15.0) != []:
        site.record.write("jobs without disruption weren't completed")
        return harness.CANT_RUN
    if harness.has_trouble():
        write_stray_entry(site)
    time.sleep(1.0)
    open_jobs = run_jobs(site, 0x200, FINISH_S)
    if open_jobs is None:
        return harness.CANT_RUN
    idle_since = time.monotonic()
    while open_jobs and time.monotonic() - idle_since < IDLE_S:
        time.sleep(0.1)
        if any(is_running(site, job) for job in open_jobs):
            idle_since = time.monotonic()
        open_jobs = [n for n in open_jobs if site.get_state(n) != "completed"]
    if open_jobs:
        site.record.write(f"LOST is broken: nothing runs of {open_jobs}")
        return 1
    site.record.write("all jobs are completed")
    return 0


if __name__ == "__main__":
    sys.exit(harness.run_case(check, Path(__file__).parent, RUNNERS))
