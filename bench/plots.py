"""Plots of the report: each list of rows is plotted against its first column."""

from collections.abc import Iterator
from pathlib import Path
from typing import Any

import matplotlib

matplotlib.use("Agg")

import matplotlib.pyplot as plt

__all__ = ["plot_rows"]

_WIDTH = 9.0
_HEIGHT = 3.2


def plot_rows(section: str, numbers: dict[str, Any], out: Path) -> list[Path]:
    """Plot each list of rows in `numbers` to a file and return the files' paths.

    Parameters
    ----------
    section : str
        Prefix of the file names.
    numbers : dict
        Numbers by measurement; only lists of two or more dicts are plotted.
    out : Path
        Output directory.

    Returns
    -------
    list of Path
        Paths of the plots.
    """
    return [_plot(f"{section}-{name}", rows, out) for name, rows in _find_rows(numbers)]


def _find_rows(numbers: dict[str, Any]) -> Iterator[tuple[str, list[dict[str, Any]]]]:
    for name, value in numbers.items():
        if not isinstance(value, list) or len(value) < 2:
            continue
        if isinstance(value[0], dict):
            yield name, value


def _plot(name: str, rows: list[dict[str, Any]], out: Path) -> Path:
    x, *columns = [k for k, v in rows[0].items() if isinstance(v, int | float)]
    figure, axes = plt.subplots(
        1, len(columns), figsize=(_WIDTH, _HEIGHT), squeeze=False
    )
    for axis, column in zip(axes[0], columns, strict=True):
        axis.plot([row[x] for row in rows], [row[column] for row in rows], marker="o")
        axis.set_xlabel(x)
        axis.set_title(column, fontsize=8)
        axis.set_ylim(bottom=0)
    figure.tight_layout()
    path = out / f"{name}.png"
    figure.savefig(path)
    plt.close(figure)
    return path
