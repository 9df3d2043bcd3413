"""Jobs that need a kind of runner, after a runner of that kind was lost for good."""

import asyncio
import random
import sys
import zlib
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import small_site as lib  # noqa: E402

FOLDER = Path(__file__).resolve().parent
PREFIX = "/work/"
RUNNERS = 140
JOBS = 24
CALM_S = 12.0
"""Time from the loss of the runner until the first job is handed in."""
WAIT_S = 40.0


def find_half(name):
    """Return in which half of the fleet a runner is counted."""
    return zlib.crc32(name.encode()) % 2


def make_job():
    """Return a job of one short task that needs a runner of kind b."""
    step = {
        "count": 1,
        "cpu": 4_000,
        "memMb": 1_000,
        "estimateMs": 500,
        "requires": "b",
    }
    return {"spec": '{"0": {"seconds": 0.5}}', "steps": [step]}


def make_name(half):
    """Return the id of a runner in one half of the fleet."""
    while True:
        name = f"i-{random.getrandbits(32):08x}"
        if find_half(name) == half:
            return name


async def case(site):
    """Run the case and return its exit code."""
    # Two runners of kind b, one in each half; all others are of kind a.
    kinds = [("b", 0), ("b", 1)] + [("a", n % 2) for n in range(RUNNERS - 2)]
    for number, (kind, half) in enumerate(kinds):
        labels = (kind, f"r1-{number // 11}")
        site.runners.append(lib.Runner(site, make_name(half), labels))
    if not await site.open(instances=4):
        return lib.NOT_RUN
    await asyncio.sleep(4.0)
    if lib.TROUBLE:
        site.runners[0].crash()
    await asyncio.sleep(CALM_S)
    accepted = []
    for number in range(JOBS):
        job_id = f"{random.getrandbits(64):016x}"
        if await site.hand_in(PREFIX, job_id, make_job(), number):
            accepted.append(job_id)
        await asyncio.sleep(0.25)
    await asyncio.sleep(WAIT_S)
    started = {task.split(".")[0] for _, _, task, _, _ in site.starts}
    idle = []
    for number, job_id in enumerate(accepted):
        instance = site.instances[number % len(site.instances)]
        status, state = await site.get(instance, PREFIX, job_id)
        site.journal.write("state", job=job_id, status=status, state=state)
        if job_id not in started:
            idle.append(job_id)
    free = [r.name for r in site.runners if r.up and r.labels[0] == "b" and not r.runs]
    print(f"{len(accepted)} jobs accepted, {len(idle)} of them never started")
    print(f"idle runners of kind b: {free}")
    site.journal.write("result", accepted=len(accepted), never_started=idle, free=free)
    if len(accepted) < JOBS // 2 or not free:
        return lib.NOT_RUN
    return lib.BROKEN if idle else lib.HELD


lib.run_case(FOLDER, [lib.make_queue("r-daily", PREFIX)], case)
