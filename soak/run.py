"""One run of the soak: start a site, inject faults and check the invariants."""

import tempfile
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

import urllib3
from urllib3.exceptions import HTTPError

from plantainyard.clock import read_clock
from soak.callers import Callers, SubmissionState
from soak.checks import (
    InvariantMonitor,
    check_counts,
    check_evacuations,
    check_jobs,
)
from soak.faults import heal_all, inject_faults
from soak.plan import make_plan
from soak.site import DOMAINS, Site, SiteSpec, open_site

__all__ = ["Outcome", "run_soak", "wait_until_ready"]

CALLERS = 4
DEFAULT_SPEC = SiteSpec()
"""Three instances that own units at all times, four runners, and one unit."""
READY_TIMEOUT_S = 60.0
"""Longest time until all instances report that they are ready."""


class Outcome(NamedTuple):
    """Result of a run.

    Attributes
    ----------
    broken : list of str
        Violations of invariants; empty if there were none.
    accepted, rejected, unknown : int
        Number of jobs by the result of their submission as their callers know it.
    counted : int
        Number of responses with a count of waiting jobs that had to include at least
        one job, because it had been waiting for long enough.
    """

    broken: list[str]
    accepted: int
    rejected: int
    unknown: int
    counted: int


def run_soak(
    seed: int,
    seconds: float,
    folder: Path | None = None,
    spec: SiteSpec = DEFAULT_SPEC,
    silent_restarts: bool = False,
) -> Outcome:
    """Run once and return the outcome.

    Parameters
    ----------
    seed : int
        Seeds the faults, the jobs and the callers' choices.
    seconds : float
        Duration of the phase with submissions and faults.
    folder : Path, optional
        Folder that keeps the logs of instances; by default they are deleted after the
        run.
    spec : SiteSpec
        Size of the site.
    silent_restarts : bool
        Whether runners restart and then fall silent, and some tasks run for long.
    """
    with (
        tempfile.TemporaryDirectory() as temporary,
        open_site(folder or Path(temporary), spec) as site,
    ):
        wait_until_ready(site)
        return _run(site, seed, seconds, silent_restarts)


def _run(site: Site, seed: int, seconds: float, silent_restarts: bool) -> Outcome:
    callers = Callers(site, seed, silent_restarts)
    monitor = InvariantMonitor(site, callers)
    stopping, checked = threading.Event(), threading.Event()
    plan = make_plan(
        seed,
        seconds,
        len(site.instances),
        len(site.runners),
        len(DOMAINS),
        silent_restarts,
    )
    started_at = read_clock()
    targets: list[tuple[Callable[..., None], tuple[object, ...]]] = [
        (callers.run, (number, stopping)) for number in range(CALLERS)
    ]
    targets.append((inject_faults, (site, plan, started_at, stopping)))
    threads = [
        threading.Thread(target=run, args=arguments) for run, arguments in targets
    ]
    observers = [
        threading.Thread(target=observe, args=(checked,))
        for observe in (monitor.run, callers.poll_counts)
    ]
    for thread in (*threads, *observers):
        thread.start()
    stopping.wait(seconds)
    stopping.set()
    for thread in threads:
        thread.join()
    heal_all(site)
    broken = check_jobs(site, callers)
    checked.set()
    for thread in observers:
        thread.join()
    counted, miscounts = check_counts(site, callers)
    late_starts = check_evacuations(site, plan, started_at)
    states = [job.state for job in callers.jobs]
    return Outcome(
        monitor.broken + broken + miscounts + late_starts,
        states.count(SubmissionState.ACCEPTED),
        states.count(SubmissionState.REJECTED),
        states.count(SubmissionState.UNKNOWN),
        counted,
    )


def wait_until_ready(site: Site) -> None:
    """Wait until all instances are ready, and restart those that have ended.

    Notes
    -----
    Guards against runs that fail before they begin: ports are free when they are
    chosen, but another process may bind one before its instance does. The instance then
    exits, and the soak restarts it as the platform would.
    """
    pool = urllib3.PoolManager(retries=False)
    deadline = read_clock() + READY_TIMEOUT_S
    waiting = [instance.ready_address for instance in site.instances]
    while waiting:
        if read_clock() > deadline:
            late = [i for i in site.instances if i.ready_address in waiting]
            found = "\n".join(instance.describe() for instance in late)
            raise TimeoutError(f"not ready: {found}")
        for instance in site.instances:
            instance.resume_or_restart()
        waiting = [address for address in waiting if not _is_ready(pool, address)]
        time.sleep(0.05)


def _is_ready(pool: urllib3.PoolManager, address: str) -> bool:
    try:
        return pool.request("GET", f"http://{address}/", timeout=1.0).status == 200
    except (HTTPError, OSError):
        return False
