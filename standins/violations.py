"""Check of the evidence that stand-ins recorded against the scheduler's invariants."""

from collections import Counter
from collections.abc import Iterable, Mapping
from itertools import chain, combinations
from typing import Any, NamedTuple

__all__ = ["Violations", "find_violations"]

# Tolerance in seconds for overlaps: the end of a lease or task is computed, while the
# start of the next attempt is measured.
CLOCK_TOLERANCE_S = 1e-6


class Violations(NamedTuple):
    """Violations found; all fields are empty if all invariants held.

    Attributes
    ----------
    two_places : tuple of str
        Tasks that ran in two places at once, with the attempts and workers.
    started_twice : tuple of str
        Attempts that were started more than once.
    resumed_twice : tuple of str
        Checkpoints that were resumed more than once.
    done_twice : tuple of str
        Tasks that ran to completion more than once.
    overcommitted : tuple of str
        Workers that held more than their capacity, with the excess.
    above_slots : tuple of str
        Runners with more requests in progress than slots.
    repeated : tuple of str
        Request ids that ran more than once.
    cut_off : tuple of str
        Runners that were stopped with requests in progress.
    """

    two_places: tuple[str, ...]
    started_twice: tuple[str, ...]
    resumed_twice: tuple[str, ...]
    done_twice: tuple[str, ...]
    overcommitted: tuple[str, ...]
    above_slots: tuple[str, ...]
    repeated: tuple[str, ...]
    cut_off: tuple[str, ...]


def find_violations(counts: Iterable[Mapping[str, Any]]) -> Violations:
    """Return the violations in the evidence of several stand-ins for workers.

    Notes
    -----
    All times are on the machine-wide clock, so that attempts at workers of different
    processes can be compared.
    """
    parts = list(counts)
    runs = list(chain.from_iterable(part["runs"] for part in parts))
    runners = list(chain.from_iterable(part["runners"] for part in parts))
    resumes = Counter(run["checkpoint"] for run in runs if run["checkpoint"])
    starts = Counter((run["task"], run["attempt"]) for run in runs)
    done = Counter(run["task"] for run in runs if run["outcome"] == "done")
    requests: Counter[str] = Counter()
    for runner in runners:
        requests.update(runner["runs"])
    return Violations(
        two_places=tuple(_find_overlaps(runs)),
        started_twice=tuple(f"{t}#{a}" for (t, a), n in starts.items() if n > 1),
        resumed_twice=tuple(name for name, n in resumes.items() if n > 1),
        done_twice=tuple(task for task, n in done.items() if n > 1),
        overcommitted=tuple(
            f"{worker} {excess}"
            for part in parts
            for worker, excess in part["overcommitted"].items()
        ),
        above_slots=tuple(
            f"{r['name']} {r['max_in_progress']}>{r['slots']}"
            for r in runners
            if r["max_in_progress"] > r["slots"]
        ),
        repeated=tuple(name for name, n in requests.items() if n > 1),
        cut_off=tuple(f"{r['name']} {r['cut_off']}" for r in runners if r["cut_off"]),
    )


def _find_overlaps(runs: Iterable[Mapping[str, Any]]) -> Iterable[str]:
    by_task: dict[str, list[Mapping[str, Any]]] = {}
    for run in runs:
        by_task.setdefault(run["task"], []).append(run)
    for task, attempts in by_task.items():
        for a, b in combinations(sorted(attempts, key=lambda run: run["begun"]), 2):
            if a["ended"] is None or b["begun"] < a["ended"] - CLOCK_TOLERANCE_S:
                yield f"{task}: {_format_attempt(a)} and {_format_attempt(b)}"


def _format_attempt(run: Mapping[str, Any]) -> str:
    return f"attempt {run['attempt']} at {run['worker']}"
