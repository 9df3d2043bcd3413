"""Command line for experiments that compare variants of the policy on the same days.

Each variant is simulated with the same customers, patterns and seeds, so that
differences are paired. The table shows the mean of each figure, and the difference in
`worth` from the first variant with its 95 % bootstrap confidence interval.
"""

import random
import sys
from collections.abc import Iterable
from concurrent.futures import ProcessPoolExecutor
from itertools import product
from pathlib import Path
from typing import Any, NamedTuple

import matplotlib
import numpy as np
from absl import flags
from tabulate import tabulate
from tqdm import tqdm

from bench.dispatch.accounts import Account, measure_day
from bench.dispatch.customers import CUSTOMERS, Customer, draw_customer
from bench.dispatch.patterns import FAULTS, Fault, Pattern, PatternError, load_pattern
from bench.dispatch.play import simulate_day
from bench.dispatch.switches import (
    VARIANTS,
    SwitchError,
    apply_switches,
    parse_variant,
)

__all__ = ["RECORDED_DIR", "draw_pattern", "run_dispatch"]

RECORDED_DIR = Path(__file__).parent / "recorded"
"""Directory of the recorded patterns."""

BOOTSTRAP_SAMPLES = 2_000
"""Number of bootstrap samples."""

CONFIDENCE = (2.5, 97.5)
"""Percentiles that bound a confidence interval of 95 %."""

WORST_PERCENTILE = 10
"""Percentile of `worth` over all days that is shown as the worst tenth."""

SHOWN_SCORES = ("worth", "mean", "windows", "short", "batch", "lasting")
"""Scores in the table; the worst decile precedes them, and costs follow."""

SHOWN_COSTS = ("waited_s", "over_others", "wasted", "paces")
"""Costs in the table: lower values are better."""

FLAGS = flags.FlagValues()
flags.DEFINE_string(
    "variants",
    "as it is",
    f"names or NAME=VALUE,NAME=VALUE, separated by ;: {list(VARIANTS)}",
    flag_values=FLAGS,
)
flags.DEFINE_string("customers", "lanterns", "names, or drawn:N", flag_values=FLAGS)
flags.DEFINE_string(
    "patterns", "calm", "recorded names, files, or drawn", flag_values=FLAGS
)
flags.DEFINE_integer("seeds", 4, "days of each", lower_bound=1, flag_values=FLAGS)
flags.DEFINE_integer("first", 0, "first seed", flag_values=FLAGS)
flags.DEFINE_integer("jobs", 4, "processes at once", lower_bound=1, flag_values=FLAGS)
flags.DEFINE_string("plot", "", "file of a plot of the differences", flag_values=FLAGS)


class DayTask(NamedTuple):
    """One day to be simulated under one variant."""

    variant: str
    customer: Customer
    pattern: Pattern
    seed: int


def draw_pattern(seed: int) -> Pattern:
    """Return a pattern with one to three faults drawn at random."""
    source = random.Random(f"pattern {seed}")
    kinds = sorted(FAULTS)
    faults = [
        Fault(
            source.choice(kinds),
            at=source.uniform(1, 25),
            for_s=source.uniform(1.5, 6.0),
            share=source.uniform(0.05, 0.3),
            factor=source.uniform(1.3, 6.0),
        )
        for _ in range(source.randint(1, 3))
    ]
    return Pattern(f"drawn-{seed}", faults=tuple(map(_limit_fault, faults)))


def _limit_fault(fault: Fault) -> Fault:
    """Return a fault that a day can sustain: bursts up to 2.6 times, no owner 2 s."""
    if fault.kind == "burst":
        return fault._replace(factor=min(fault.factor, 2.6))
    if fault.kind == "store_slow":
        return fault._replace(factor=10 * fault.factor)
    return fault._replace(for_s=2.0) if fault.kind == "owner_changes" else fault


def run_task(task: DayTask) -> Account:
    """Simulate a day under a variant and return its scores and costs."""
    restore = apply_switches(parse_variant(task.variant)[1])
    try:
        return measure_day(simulate_day(task.customer, task.pattern, task.seed))
    finally:
        restore()


def run_dispatch(argv: list[str]) -> int:
    """Run the command and return its exit status: 2 for an invalid flag or file."""
    try:
        FLAGS(argv)
        variants = FLAGS.variants.split(";")
        for variant in variants:
            apply_switches(parse_variant(variant)[1])()
        days = list(_list_days())
    except (flags.Error, SwitchError, PatternError, OSError) as error:
        print(f"bench dispatch: {error}", file=sys.stderr)
        return 2
    tasks = [DayTask(v, *day) for v, day in product(variants, days)]
    accounts = _run_all(tasks)
    figures = {
        variant: np.array(accounts[n * len(days) : (n + 1) * len(days)])
        for n, variant in enumerate(variants)
    }
    print(_make_table(figures, len(days)))
    if FLAGS.plot:
        _plot(figures, FLAGS.plot)
    return 0


def _list_days() -> Iterable[tuple[Customer, Pattern, int]]:
    seeds = range(FLAGS.first, FLAGS.first + FLAGS.seeds)
    for name, seed in product(FLAGS.customers.split(","), seeds):
        for customer in _find_customers(name):
            for pattern in _find_patterns(seed):
                yield customer, pattern, seed


def _find_customers(name: str) -> list[Customer]:
    if name.startswith("drawn:"):
        number = name.partition(":")[2]
        if not number.isdecimal():
            raise SwitchError(f"customers: N is not a number in {name!r}")
        return [draw_customer(n) for n in range(int(number))]
    if name not in CUSTOMERS:
        raise SwitchError(f"unknown customer {name!r}")
    return [CUSTOMERS[name]]


def _find_patterns(seed: int) -> Iterable[Pattern]:
    for name in FLAGS.patterns.split(","):
        if name == "drawn":
            yield draw_pattern(seed)
        else:
            path = Path(name)
            recorded = RECORDED_DIR / f"{name}.jsonl"
            yield load_pattern(path if path.suffix else recorded)


def _run_all(tasks: list[DayTask]) -> list[Account]:
    if FLAGS.jobs == 1:
        return [run_task(task) for task in tqdm(tasks)]
    with ProcessPoolExecutor(FLAGS.jobs) as pool:
        return list(tqdm(pool.map(run_task, tasks), total=len(tasks)))


def _make_table(figures: dict[str, Any], days: int) -> str:
    columns = {name: n for n, name in enumerate(Account._fields)}
    base = next(iter(figures.values()))
    rows = []
    for variant, values in figures.items():
        worth = values[:, columns["worth"]]
        low, high = _find_interval(worth - base[:, columns["worth"]])
        shown = [
            values[:, columns[name]].mean() for name in (*SHOWN_SCORES, *SHOWN_COSTS)
        ]
        worst = np.percentile(worth, WORST_PERCENTILE)
        difference = (worth - base[:, columns["worth"]]).mean()
        interval = f"{difference:+.3f} [{low:+.3f}, {high:+.3f}]"
        rows.append([variant, interval, worst, *shown])
    head = [
        "variant",
        "worth against the first",
        "worst tenth",
        *SHOWN_SCORES,
        *SHOWN_COSTS,
    ]
    table = tabulate(rows, head, floatfmt=".3f")
    return f"{days} days a variant\n{table}"


def _find_interval(differences: Any) -> tuple[float, float]:
    """Return the bootstrap confidence interval of the mean of paired differences."""
    source = np.random.default_rng(0)
    size = len(differences)
    means = differences[source.integers(0, size, (BOOTSTRAP_SAMPLES, size))].mean(
        axis=1
    )
    low, high = np.percentile(means, CONFIDENCE)
    return float(low), float(high)


def _plot(figures: dict[str, Any], path: str) -> None:
    matplotlib.use("Agg")
    from matplotlib import pyplot

    column = Account._fields.index("worth")
    base = next(iter(figures.values()))[:, column]
    names = list(figures)
    means = [float((v[:, column] - base).mean()) for v in figures.values()]
    bounds = [_find_interval(v[:, column] - base) for v in figures.values()]
    errors = [
        [m - low for m, (low, _) in zip(means, bounds, strict=True)],
        [high - m for m, (_, high) in zip(means, bounds, strict=True)],
    ]
    figure, axes = pyplot.subplots(figsize=(9, 0.4 * len(names) + 1.5))
    axes.errorbar(means, names, xerr=errors, fmt="o")
    axes.axvline(0.0, linewidth=0.5)
    axes.set_xlabel("worth, difference from the first variant (95 % interval)")
    axes.invert_yaxis()
    figure.tight_layout()
    figure.savefig(path)
