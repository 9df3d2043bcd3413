"""A lasting task whose step comes after another one, and whose runner is lost."""

import asyncio
import os
import random
import sys
import zlib
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import small_site as lib  # noqa: E402

FOLDER = Path(__file__).resolve().parent
PREFIX = "/work/"
AFTER = os.environ.get("AFTER", "1") != "0"
RUNNERS = 140
LASTING = 2
WAIT_S = 40.0
LONGEST_AWAY_S = 6.0 + 4.0 + 3.0
"""A lasting task counts 6 s after its last run, once 4 s and 3 s more are calm."""


def find_half(name):
    """Return in which half of the fleet a runner or a job is counted."""
    return zlib.crc32(name.encode()) % 2


def make_id(half):
    """Return a new id of one half of the fleet."""
    while True:
        name = f"{random.getrandbits(64):016x}"
        if find_half(name) == half:
            return name


def make_job():
    """Return a job that prepares its data once and then lasts."""
    prepare = {"count": 1, "cpu": 500, "memMb": 256, "estimateMs": 300}
    lasting = {
        "count": LASTING,
        "cpu": 13_000,
        "memMb": 26_000,
        "estimateMs": 400,
        "requires": "b",
        "longRunning": True,
    }
    if AFTER:
        lasting["after"] = [0]
    spec = '{"0": {"seconds": 0.3}}'
    return {"spec": spec, "steps": [prepare, lasting]}


def find_place(site, task):
    """Return the runner at which a task runs, or None."""
    for runner in site.runners:
        if runner.up and any(name == task for name, _ in runner.runs):
            return runner
    return None


async def wait_for(condition, seconds):
    """Wait until a condition holds; return whether it does."""
    for _ in range(int(seconds / 0.1)):
        if condition():
            return True
        await asyncio.sleep(0.1)
    return condition()


async def case(site):
    """Run the case and return its exit code."""
    # Four runners of kind b: one in the half that the job belongs to, three in the
    # other one. All others are of kind a.
    kinds = [("b", 0), ("b", 1), ("b", 1), ("b", 1)]
    kinds += [("a", number % 2) for number in range(RUNNERS - len(kinds))]
    for number, (kind, half) in enumerate(kinds):
        name = f"i-{make_id(half)[:8]}"
        while find_half(name) != half:
            name = f"i-{make_id(half)[:8]}"
        labels = (kind, f"r1-{number // 11}")
        site.runners.append(lib.Runner(site, name, labels))
    if not await site.open(instances=4):
        return lib.NOT_RUN
    await asyncio.sleep(4.0)
    job_id = make_id(0)
    if not await site.hand_in(PREFIX, job_id, make_job()):
        return lib.NOT_RUN
    tasks = [f"{job_id}.0.1.{index}" for index in range(LASTING)]
    if not await wait_for(lambda: all(find_place(site, t) for t in tasks), 15.0):
        return lib.NOT_RUN
    await asyncio.sleep(4.0)
    if lib.TROUBLE:
        for runner in {find_place(site, task) for task in tasks}:
            runner.crash()
    lost_at = site.journal.now()
    worst = 0.0
    away_since = dict.fromkeys(tasks, lost_at)
    while site.journal.now() - lost_at < WAIT_S:
        await asyncio.sleep(0.1)
        now = site.journal.now()
        for task in tasks:
            if find_place(site, task):
                away_since[task] = now
            worst = max(worst, now - away_since[task])
    for instance in site.instances:
        answer = await site.get(instance, PREFIX, job_id)
        site.journal.write("state", at=instance.number, answer=answer)
    free = [
        r.name
        for r in site.runners
        if r.up and r.labels[0] == "b" and 13_000 * len(r.runs) + 26_000 <= r.cpu
    ]
    used = sum(run.info["cpu"] for r in site.runners for run in r.runs.values())
    total = sum(r.cpu for r in site.runners if r.up)
    for task in tasks:
        place = find_place(site, task)
        site.journal.write("at_the_end", task=task, at=place and place.name)
    site.journal.write(
        "result", worst_away_s=round(worst, 1), free_b=free, used=used / total
    )
    print(f"longest time away {worst:.1f} s; runners with twice the capacity {free}")
    # Fair only if a runner of the kind could take both tasks all the while.
    if not free:
        return lib.NOT_RUN
    return lib.BROKEN if worst > LONGEST_AWAY_S else lib.HELD


lib.run_case(FOLDER, [lib.make_queue("r-rounds", PREFIX)], case)
