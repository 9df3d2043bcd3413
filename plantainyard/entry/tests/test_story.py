"""Tests of the documented events and metrics, and of the history of a job."""

import json
import re
from pathlib import Path

from plantainyard.entry.eventlog import EVENTS
from plantainyard.entry.meters import METRICS
from plantainyard.entry.story import main, order_events, parse_events

ROOT = Path(__file__).parents[3]


def test_all_events_are_documented():
    page = (ROOT / "docs/operators/events.md").read_text()
    assert set(re.findall(r"^\| `(\w+)` \|", page, re.M)) == EVENTS


def test_only_documented_events_are_written():
    sources = (ROOT / "plantainyard/entry").glob("*.py")
    text = "".join(path.read_text() for path in sources)
    written = set(re.findall(r"log\.write\(\s*\"(\w+)\"", text))
    assert written <= EVENTS
    assert EVENTS - written <= {"accepted", "left_out", "refused"}


def test_all_metrics_are_documented():
    page = (ROOT / "docs/OPERATIONS.md").read_text()
    assert {name for name in METRICS if f"`{name}`" in page} == METRICS.keys()


def test_the_history_of_a_job_does_not_depend_on_clocks(tmp_path, capsys):
    # The monotonic clocks of two owners and of the accepting instance are unrelated.
    # The earlier owner has the higher clock, so sorting by time would swap the owners.
    def line(instance: str, at: float, event: str, **more: object) -> str:
        data = {"t": at, "event": event, "instance": instance, **more}
        return f"12.5 {instance} {json.dumps(data)}"

    lines = [
        line("b", 5.0, "owner_gained", unit=0, epoch=9),
        line("b", 6.0, "run_started", job="j1", run=2),
        line("a", 900.0, "owner_gained", unit=0, epoch=4),
        line("a", 901.0, "run_started", job="j1", run=1),
        line("c", 7000.0, "accepted", job="j1"),
        line("c", 7001.0, "accepted", job="other"),
        "no event",
        "{broken}",
    ]
    ordered = [
        (e["instance"], e.get("run")) for e in order_events(parse_events(lines), "j1")
    ]
    assert ordered == [("c", None), ("a", 1), ("b", 2)]
    path = tmp_path / "log"
    path.write_text("\n".join(lines))
    assert main(["j1", str(path)]) == 0
    assert "run_started" in capsys.readouterr().out
    assert main(["j2", str(path)]) == 1
