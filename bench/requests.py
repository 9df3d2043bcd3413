"""Measurements of routing: methods of sharing slots, and goodput under overload.

The daemon's decision functions run in a discrete-event simulation: delays and service
times are drawn at random, and no real time passes. The processor time of decisions is
therefore not part of any figure. Runners count their requests in progress; a run fails
if a runner exceeds its slots.
"""

import time
from typing import Any

from tabulate import tabulate

from bench.gateways import (
    CAPACITY,
    EVEN,
    FAILING,
    LOADS,
    UNEVEN,
    Scenario,
    SharingMethods,
    run_scenario,
)

__all__ = ["main", "run_requests"]


def run_requests(seed: int, length_s: float = 6.0) -> dict[str, Any]:
    """Return the figures of all scenarios.

    Parameters
    ----------
    seed : int
        The same seed gives the same figures.
    length_s : float
        Length of each run after its warm-up.

    Returns
    -------
    dict
        ``ways`` compares the methods of sharing slots, ``ramps`` their utilization of
        slots at the first wait and at the first refusal, and ``overload`` has the
        goodput by load.
    """
    ways = (SharingMethods.FIXED, SharingMethods.LEASED, SharingMethods.SINGLE)
    return {
        "seed": seed,
        "capacity_per_s": CAPACITY,
        "ways": [
            {**run_scenario(Scenario(method, load, length_s=length_s), seed)}
            for method in ways
            for load in (0.5, 0.8, 0.95)
        ],
        "ramps": [
            {
                "spread": label,
                **run_scenario(
                    Scenario(method, 1.3, 0.0, length_s, True, weights), seed
                ),
            }
            for label, weights in (("even", EVEN), ("uneven", UNEVEN))
            for method in ways
        ],
        "overload": [
            run_scenario(Scenario(SharingMethods.LEASED, load, failing, length_s), seed)
            for failing in FAILING
            for load in LOADS
        ],
    }


def main(argv: list[str]) -> int:
    """Print the tables and return 0; ``argv[1]``, if given, is the seed."""
    seed = int(argv[1]) if len(argv) > 1 else 1
    started_s = time.perf_counter()
    figures = run_requests(seed)
    print(f"seed {seed}, capacity {figures['capacity_per_s']:.0f} requests/s")
    columns = {
        "ramps": ("spread", "way", "first_wait", "first_refusal"),
        "ways": ("way", "load", "p50_ms", "p99_ms", "refused", "unknown"),
        "overload": (
            "failing",
            "load",
            "goodput",
            "refused",
            "failed",
            "unknown",
            "p50_ms",
            "p99_ms",
            "sendings_per_request",
            "link_mbit_s",
            "credits_kb_s",
        ),
    }
    for table, names in columns.items():
        rows = [[row[name] for name in names] for row in figures[table]]
        print(f"\n{tabulate(rows, names, tablefmt='github', floatfmt='.3g')}")
    print(f"\n{time.perf_counter() - started_s:.0f} s")
    return 0
