"""Run of the tests that verify the promises, with a summary of each promise.

``python -m bench proofs`` runs them as CI does. ``--factor=N`` multiplies the number of
generated cases, and ``--seed=N`` generates other cases than the fixed seeds of CI.
"""

import re
from collections.abc import Iterable, Sequence
from typing import Any, NamedTuple

import pytest
from absl import flags
from hypothesis import settings as hypothesis_settings

from bench.promises import PROMISES, Promise

__all__ = ["run_proofs"]

_PASSING = re.compile(r"(\d+) passing")
_FAILED = 1

_FLAGS = flags.FlagValues()
flags.DEFINE_integer(
    "factor", 1, "Times as many drawn cases.", flag_values=_FLAGS, lower_bound=1
)
flags.DEFINE_integer(
    "seed",
    None,
    "Seed of the drawn cases; the fixed ones by default.",
    flag_values=_FLAGS,
)


class _Count(NamedTuple):
    """Numbers of tests and generated cases that ran, and of tests that failed."""

    tests: int
    cases: int
    failed: int


class _Recorder:
    """Pytest plugin that scales the number of generated cases and records results.

    Parameters
    ----------
    factor : int
        Factor on each test's number of cases.
    reseeded : bool
        Whether cases are generated from another seed than the fixed ones.
    """

    def __init__(self, factor: int, reseeded: bool) -> None:
        self.factor = factor
        self.reseeded = reseeded
        self.results: dict[str, bool] = {}
        self.cases: dict[str, int] = {}

    def pytest_collection_modifyitems(self, items: list[Any]) -> None:
        """Scale the settings of each property test once."""
        if self.factor == 1 and not self.reseeded:
            return
        holders = {id(h): h for item in items if (h := _find_settings_holder(item))}
        for holder, name in holders.values():
            scaled = self._scale_settings(getattr(holder, name))
            setattr(holder, name, scaled)

    def _scale_settings(self, current: hypothesis_settings) -> hypothesis_settings:
        return hypothesis_settings(
            current,
            max_examples=current.max_examples * self.factor,
            derandomize=current.derandomize and not self.reseeded,
        )

    def pytest_runtest_logreport(self, report: Any) -> None:
        """Record the result of a test; a test with a failing set-up has failed."""
        if report.when == "call" or report.failed:
            self.results[report.nodeid] = not report.failed

    @pytest.hookimpl(trylast=True)
    def pytest_runtest_teardown(self, item: Any) -> None:
        """Record the number of cases that a property test ran."""
        shown = getattr(item, "hypothesis_statistics", "")
        passing = sum(int(number) for number in _PASSING.findall(shown))
        self.cases[item.nodeid] = passing or 1


def _find_settings_holder(item: Any) -> tuple[Any, str] | None:
    """Return the object and attribute that hold a property test's settings."""
    machine = getattr(item, "cls", None)
    if machine is not None and isinstance(
        getattr(machine, "settings", None), hypothesis_settings
    ):
        return machine, "settings"
    test = getattr(item, "obj", None)
    name = "_hypothesis_internal_use_settings"
    function = getattr(test, "__func__", test)
    return (function, name) if hasattr(function, name) else None


def run_proofs(argv: Sequence[str]) -> int:
    """Run the tests of all promises and return the exit status.

    Parameters
    ----------
    argv : sequence of str
        The command's name and its flags.
    """
    _FLAGS(argv)
    recorder = _Recorder(_FLAGS.factor, _FLAGS.seed is not None)
    paths = sorted({path for promise in PROMISES for path in promise.tests})
    arguments = [*paths, "-q", "--no-header", "-p", "no:cacheprovider"]
    if _FLAGS.seed is not None:
        arguments.append(f"--hypothesis-seed={_FLAGS.seed}")
    status = pytest.main(arguments, plugins=[recorder])
    print()
    for promise in PROMISES:
        print(_format_line(promise, _count_results(recorder, promise.tests)))
    return _FAILED if status else 0


def _count_results(recorder: _Recorder, tests: Iterable[str]) -> _Count:
    prefixes = tuple(tests)
    names = [name for name in recorder.results if name.startswith(prefixes)]
    return _Count(
        len(names),
        sum(recorder.cases.get(name, 1) for name in names),
        sum(not recorder.results[name] for name in names),
    )


def _format_line(promise: Promise, count: _Count) -> str:
    outcome = "NOT RUN" if not count.tests else f"{count.failed} violated"
    return (
        f"{promise.name}\n    faults: {promise.faults}\n"
        f"    {count.tests} tests, {count.cases} cases, {outcome}"
    )
