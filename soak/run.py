"""One run of the soak."""

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
from soak.checks import InvariantMonitor, check_counts, check_jobs
from soak.faults import heal_all, inject_faults
from soak.plan import make_plan
from soak.site import Site, SiteSpec, open_site

__all__ = ["Outcome", "run_soak"]

CALLERS = 4
THREE = SiteSpec()
"""Three strong instances, four runners, one unit."""
READY_S = 60.0
"""Longest time until all instances say that they are ready."""


class Outcome(NamedTuple):
    """What a run came to.

    Attributes
    ----------
    broken : list of str
        Promises that were broken; empty where all were kept.
    accepted, rejected, unknown : int
        Jobs by what their callers were told.
    counted : int
        Questions for the number of waiting jobs that were answered while some had
        waited for so long that the answer must not leave them out.
    """

    broken: list[str]
    accepted: int
    rejected: int
    unknown: int
    counted: int


def run_soak(
    seed: int, seconds: float, folder: Path | None = None, shape: SiteSpec = THREE
) -> Outcome:
    """Run once and return the outcome.

    Parameters
    ----------
    seed : int
        Decides on faults, jobs and callers.
    seconds : float
        For how long callers submit and faults come.
    folder : Path, optional
        Where logs of instances stay; by default they go with the run.
    shape : SiteSpec
        What the site is made of.
    """
    with (
        tempfile.TemporaryDirectory() as spare,
        open_site(folder or Path(spare), shape) as site,
    ):
        _wait_until_ready(site)
        return _run(site, seed, seconds)


def _run(site: Site, seed: int, seconds: float) -> Outcome:
    callers = Callers(site, seed)
    watch = InvariantMonitor(site, callers)
    closing, done = threading.Event(), threading.Event()
    plan = make_plan(seed, seconds, len(site.members), len(site.runners))
    began = read_clock()
    work: list[tuple[Callable[..., None], tuple[object, ...]]] = [
        (callers.run, (number, closing)) for number in range(CALLERS)
    ]
    work.append((inject_faults, (site, plan, began, closing)))
    threads = [threading.Thread(target=run, args=rest) for run, rest in work]
    lookers = [
        threading.Thread(target=look, args=(done,))
        for look in (watch.run, callers.poll_counts)
    ]
    for thread in (*threads, *lookers):
        thread.start()
    closing.wait(seconds)
    closing.set()
    for thread in threads:
        thread.join()
    heal_all(site)
    broken = check_jobs(site, callers)
    done.set()
    for thread in lookers:
        thread.join()
    counted, miscounts = check_counts(site, callers)
    counts = [ticket.state for ticket in callers.jobs]
    return Outcome(
        watch.broken + broken + miscounts,
        counts.count(SubmissionState.ACCEPTED),
        counts.count(SubmissionState.REJECTED),
        counts.count(SubmissionState.UNKNOWN),
        counted,
    )


def _wait_until_ready(site: Site) -> None:
    """Wait for all instances, starting anew those that have ended.

    Notes
    -----
    Guards against a run that fails before it begins: ports are free when they are
    chosen, and another process may take one before its instance does. The instance
    ends, and like the platform the soak starts it again.
    """
    pool = urllib3.PoolManager(retries=False)
    until = read_clock() + READY_S
    waiting = [member.ready for member in site.members]
    while waiting:
        if read_clock() > until:
            raise TimeoutError(f"not ready: {waiting}")
        for member in site.members:
            member.revive()
        waiting = [address for address in waiting if not _is_ready(pool, address)]
        time.sleep(0.05)


def _is_ready(pool: urllib3.PoolManager, address: str) -> bool:
    try:
        return pool.request("GET", f"http://{address}/", timeout=1.0).status == 200
    except (HTTPError, OSError):
        return False
