"""Experiments on the command line: variants of the policy on the same days.

Each variant plays the same customers, patterns and seeds, so that differences are
paired: a table gives each figure's mean, and for the differences from the first variant
a 95 % bootstrap interval.
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
from bench.dispatch.play import play_day
from bench.dispatch.switches import (
    VARIANTS,
    SwitchError,
    apply_switches,
    parse_variant,
)

__all__ = ["RECORDED", "draw_pattern", "run_dispatch"]

RECORDED = Path(__file__).parent / "recorded"
"""Where recorded patterns are."""

DRAWS = 2_000
"""Draws of the bootstrap."""

CONFIDENCE = (2.5, 97.5)
"""Percentiles that bound an interval of 95 %."""

WORST_PART = 10
"""Percentile of days that is shown beside the mean."""

SHOWN = ("worth", "mean", "windows", "short", "batch", "lasting")
"""Figures of the table, beside the worst decile and what follows them."""

COSTS = ("waited_s", "over_others", "wasted", "paces")
"""Figures of which less is better."""

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


class Task(NamedTuple):
    """One day of one variant."""

    variant: str
    customer: Customer
    pattern: Pattern
    seed: int


def draw_pattern(seed: int) -> Pattern:
    """Return a day with one to three faults drawn at random."""
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
    return Pattern(f"drawn-{seed}", faults=tuple(map(_bound, faults)))


def _bound(fault: Fault) -> Fault:
    """Return a fault that a day can bear: bursts up to 2.6 times, owners away 2 s."""
    if fault.kind == "burst":
        return fault._replace(factor=min(fault.factor, 2.6))
    if fault.kind == "store_slow":
        return fault._replace(factor=10 * fault.factor)
    return fault._replace(for_s=2.0) if fault.kind == "owner_changes" else fault


def play_task(task: Task) -> Account:
    """Play a day under a variant."""
    restore = apply_switches(parse_variant(task.variant)[1])
    try:
        return measure_day(play_day(task.customer, task.pattern, task.seed))
    finally:
        restore()


def run_dispatch(argv: list[str]) -> int:
    """Run the command; exit status 2 for a flag, variant or file that is wrong."""
    try:
        FLAGS(argv)
        variants = FLAGS.variants.split(";")
        for variant in variants:
            apply_switches(parse_variant(variant)[1])()
        days = list(_list_days())
    except (flags.Error, SwitchError, PatternError, OSError) as error:
        print(f"bench dispatch: {error}", file=sys.stderr)
        return 2
    tasks = [Task(v, *day) for v, day in product(variants, days)]
    accounts = _play_all(tasks)
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
            raise SwitchError(f"customers: not a number: {name!r}")
        return [draw_customer(n) for n in range(int(number))]
    if name not in CUSTOMERS:
        raise SwitchError(f"no customer {name!r}")
    return [CUSTOMERS[name]]


def _find_patterns(seed: int) -> Iterable[Pattern]:
    for name in FLAGS.patterns.split(","):
        if name == "drawn":
            yield draw_pattern(seed)
        else:
            path = Path(name)
            recorded = RECORDED / f"{name}.jsonl"
            yield load_pattern(path if path.suffix else recorded)


def _play_all(tasks: list[Task]) -> list[Account]:
    if FLAGS.jobs == 1:
        return [play_task(task) for task in tqdm(tasks)]
    with ProcessPoolExecutor(FLAGS.jobs) as pool:
        return list(tqdm(pool.map(play_task, tasks), total=len(tasks)))


def _make_table(figures: dict[str, Any], days: int) -> str:
    columns = {name: n for n, name in enumerate(Account._fields)}
    base = next(iter(figures.values()))
    rows = []
    for variant, values in figures.items():
        worth = values[:, columns["worth"]]
        low, high = _find_interval(worth - base[:, columns["worth"]])
        shown = [values[:, columns[name]].mean() for name in (*SHOWN, *COSTS)]
        worst = np.percentile(worth, WORST_PART)
        difference = (worth - base[:, columns["worth"]]).mean()
        interval = f"{difference:+.3f} [{low:+.3f}, {high:+.3f}]"
        rows.append([variant, interval, worst, *shown])
    head = ["variant", "worth against the first", "worst tenth", *SHOWN, *COSTS]
    table = tabulate(rows, head, floatfmt=".3f")
    return f"{days} days a variant\n{table}"


def _find_interval(differences: Any) -> tuple[float, float]:
    """Return the bootstrap interval of a mean of paired differences."""
    source = np.random.default_rng(0)
    size = len(differences)
    means = differences[source.integers(0, size, (DRAWS, size))].mean(axis=1)
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
