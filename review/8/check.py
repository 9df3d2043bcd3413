"""Lasting tasks that found no room for some seconds after their runner was lost."""

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
CORES = 13_000
TASKS = 2
FULL_S = 12.0
"""Time from the loss of the runner until there is room again."""
WAIT_S = 35.0
LONGEST_AWAY_S = 6.0 + 4.0 + 3.0
"""A lasting task counts 6 s after its last run, once 4 s and 3 s more are calm."""


def find_half(name):
    """Return in which half of the fleet a runner or a job is counted."""
    return zlib.crc32(name.encode()) % 2


def make_id(half, bits=64):
    """Return a new id of one half of the fleet."""
    while True:
        name = f"{random.getrandbits(bits):0{bits // 4}x}"
        name = name if bits == 64 else f"i-{name}"
        if find_half(name) == half:
            return name


def make_job(count):
    """Return a job of lasting tasks that need a runner of kind b."""
    step = {
        "count": count,
        "cpu": CORES,
        "memMb": 26_000,
        "estimateMs": 400,
        "requires": "b",
        "longRunning": True,
    }
    return {"spec": "{}", "steps": [step]}


def list_running(site, job_id):
    """Return the tasks of a job that run."""
    return {
        task
        for runner in site.runners
        if runner.up
        for task, _ in runner.runs
        if task.startswith(job_id)
    }


async def wait_for(condition, seconds):
    """Wait until a condition holds; return whether it does."""
    for _ in range(int(seconds / 0.1)):
        if condition():
            return True
        await asyncio.sleep(0.1)
    return condition()


async def case(site):
    """Run the case and return its exit code."""
    # Two runners of kind b, one in each half; all others are of kind a.
    kinds = [("b", 0), ("b", 1)] + [("a", n % 2) for n in range(RUNNERS - 2)]
    for number, (kind, half) in enumerate(kinds):
        labels = (kind, f"r1-{number // 11}")
        site.runners.append(lib.Runner(site, make_id(half, 32), labels))
    if not await site.open(instances=4):
        return lib.NOT_RUN
    await asyncio.sleep(4.0)
    # The first job shares the first runner with nobody; the other one fills the second.
    job_id, other_id = make_id(0), make_id(1)
    for number, (name, count) in enumerate(((job_id, TASKS), (other_id, 4))):
        if not await site.hand_in(PREFIX, name, make_job(count), number):
            return lib.NOT_RUN
    both = {job_id: TASKS, other_id: 4}

    def all_run():
        return all(len(list_running(site, j)) == n for j, n in both.items())

    if not await wait_for(all_run, 15.0):
        return lib.NOT_RUN
    await asyncio.sleep(4.0)
    if lib.TROUBLE:
        site.runners[0].crash()
    await asyncio.sleep(FULL_S)
    for instance in site.instances:
        if await site.cancel(instance, PREFIX, other_id) == 200:
            break
    if not await wait_for(lambda: not list_running(site, other_id), 6.0):
        return lib.NOT_RUN
    room_at = site.journal.now()
    site.journal.write("room_again", runner=site.runners[1].name)
    seen = {f"{job_id}.0.0.{index}": room_at for index in range(TASKS)}
    worst = 0.0
    while site.journal.now() - room_at < WAIT_S:
        await asyncio.sleep(0.1)
        now = site.journal.now()
        seen |= dict.fromkeys(list_running(site, job_id), now)
        worst = max(worst, now - min(seen.values()))
    site.journal.write("result", away_with_room_s=f"{worst:.1f}", last_seen=seen)
    print(f"away for {worst:.1f} s while a runner had room for all of it")
    return lib.BROKEN if worst > LONGEST_AWAY_S else lib.HELD


lib.run_case(FOLDER, [lib.make_queue("r-rounds", PREFIX)], case)
