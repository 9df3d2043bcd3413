"""Lasting tasks that work best on one rack, after a runner of that rack was lost."""

import asyncio
import os
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import small_site as lib  # noqa: E402

FOLDER = Path(__file__).resolve().parent
PREFIX = "/work/"
RACKS = 3
RUNNERS = 9
TASKS = 12
CORES = 13_000
SAME_RACK = os.environ.get("SAME_RACK", "1") != "0"
WAIT_S = 45.0
LONGEST_AWAY_S = 6.0 + 4.0 + 3.0
"""A lasting task counts 6 s after its last run, once 4 s and 3 s more are calm."""


def make_job():
    """Return a job whose lasting tasks fill the three runners of one rack."""
    step = {
        "count": TASKS,
        "cpu": CORES,
        "memMb": 26_000,
        "estimateMs": 400,
        "preferredRack": "r1-1",
        **({"sameRack": True} if SAME_RACK else {}),
        "longRunning": True,
    }
    return {"spec": "{}", "steps": [step]}


def list_running(site):
    """Return the tasks that run, with their runners."""
    return {task: r for r in site.runners if r.up for task, _ in r.runs}


async def case(site):
    """Run the case and return its exit code."""
    for number in range(RUNNERS):
        name = f"i-{random.getrandbits(32):08x}"
        labels = ("a", f"r1-{number * RACKS // RUNNERS}")
        site.runners.append(lib.Runner(site, name, labels))
    if not await site.open(instances=3):
        return lib.NOT_RUN
    await asyncio.sleep(4.0)
    job_id = f"{random.getrandbits(64):016x}"
    if not await site.hand_in(PREFIX, job_id, make_job()):
        return lib.NOT_RUN
    for _ in range(200):
        await asyncio.sleep(0.1)
        if len(list_running(site)) == TASKS:
            break
    running = list_running(site)
    if len(running) < TASKS:
        return lib.NOT_RUN
    await asyncio.sleep(5.0)
    if lib.TROUBLE:
        random.choice(list(running.values())).crash()
    lost_at = site.journal.now()
    seen = dict.fromkeys(running, lost_at)
    worst, has_room = 0.0, True
    while site.journal.now() - lost_at < WAIT_S:
        await asyncio.sleep(0.1)
        now = site.journal.now()
        seen |= dict.fromkeys(list_running(site), now)
        worst = max(worst, now - min(seen.values()))
        free = [
            r.cpu - sum(run.info["cpu"] for run in r.runs.values())
            for r in site.runners
            if r.up
        ]
        away = TASKS - len(list_running(site))
        places = sum(each // CORES for each in free)
        half_free = sum(free) > 64_000 * len(free) / 2
        has_room = has_room and places >= 2 * away and half_free
    for task, at in seen.items():
        site.journal.write("last_seen", task=task, at=f"{at:.1f}")
    site.journal.write("result", worst_away_s=f"{worst:.1f}", had_room=has_room)
    print(f"longest time away {worst:.1f} s; capacity for it all the while: {has_room}")
    if not has_room:
        return lib.NOT_RUN
    return lib.BROKEN if worst > LONGEST_AWAY_S else lib.HELD


lib.run_case(FOLDER, [lib.make_queue("r-rounds", PREFIX)], case)
