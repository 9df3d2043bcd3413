"""Demo of an evacuation: jobs go to the other failure domain, and come back afterwards.

Run it with ``python -m soak.demo``. The exit code is 0 only if nothing was started in
the evacuated domain after the bound, and something was before and afterwards.
"""

import random
import sys
import tempfile
import threading
from collections import Counter
from pathlib import Path

from plantainyard.clock import read_clock
from soak.callers import Callers
from soak.run import wait_until_ready
from soak.site import DOMAINS, EVACUATION_DEADLINE_S, Site, SiteSpec, open_site
from standins.platform.samples import make_body, make_step_body

__all__ = ["run_demo"]

SITE = SiteSpec(instances=2, runners=4)
PHASE_S = 3.0
"""Time of each phase in seconds, in which jobs are submitted."""

JOB_INTERVAL_S = 0.1


def run_demo() -> int:
    """Run the demo and return its exit code."""
    with (
        tempfile.TemporaryDirectory() as folder,
        open_site(Path(folder), SITE) as site,
    ):
        wait_until_ready(site)
        _say(f"{SITE.instances} instances and {SITE.runners} runners in {DOMAINS}.")
        before = _submit_jobs(site, "Before the evacuation")
        site.evacuate(0)
        _say(f"Operators evacuate {DOMAINS[0]}; it is in force within 5 s.")
        threading.Event().wait(EVACUATION_DEADLINE_S)
        meanwhile = _submit_jobs(site, "While it is evacuated")
        site.end_evacuation(0)
        _say("Operators take the domain back.")
        threading.Event().wait(EVACUATION_DEADLINE_S)
        after = _submit_jobs(site, "Afterwards")
    domain = DOMAINS[0]
    return 0 if before[domain] and after[domain] and not meanwhile[domain] else 1


def _submit_jobs(site: Site, phase: str) -> Counter[str]:
    """Submit jobs for a while, and return the number of starts by domain."""
    began_at = read_clock()
    source = random.Random(phase)
    callers = Callers(site, 1)
    while read_clock() < began_at + PHASE_S:
        job_id = f"{source.getrandbits(64):016x}"
        callers.call("POST", job_id, source, make_body(make_step_body(4, cpu=30_000)))
        threading.Event().wait(JOB_INTERVAL_S)
    starts = Counter(dict.fromkeys(DOMAINS, 0))
    for runner in site.runners:
        starts[runner.domain] += sum(at > began_at for at, _, _ in runner.started)
    _say(f"{phase}: {dict(starts)} tasks started, by failure domain.")
    return starts


def _say(text: str) -> None:
    print(text, flush=True)


if __name__ == "__main__":
    sys.exit(run_demo())
