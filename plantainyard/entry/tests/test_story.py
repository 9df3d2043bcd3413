"""Events, meters and the story of a job."""

import json
import re
from pathlib import Path

from plantainyard.entry.eventlog import EVENTS
from plantainyard.entry.meters import METERS
from plantainyard.entry.story import main, order_lines, parse_lines

ROOT = Path(__file__).parents[3]


def test_the_page_of_events_has_each_event():
    page = (ROOT / "docs/operators/events.md").read_text()
    assert set(re.findall(r"^\| `(\w+)` \|", page, re.M)) == EVENTS


def test_only_documented_events_are_written():
    sources = (ROOT / "plantainyard/entry").glob("*.py")
    text = "".join(path.read_text() for path in sources)
    written = set(re.findall(r"log\.write\(\s*\"(\w+)\"", text))
    assert written <= EVENTS
    assert EVENTS - written <= {"accepted", "left_out", "refused"}


def test_the_page_of_operations_has_each_meter():
    page = (ROOT / "docs/OPERATIONS.md").read_text()
    assert {name for name in METERS if f"`{name}`" in page} == METERS.keys()


def test_a_story_is_ordered_without_trusting_clocks(tmp_path, capsys):
    # Two owners, whose steady clocks have nothing in common, and the instance that
    # accepted the job; the older owner has the higher clock.
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
    told = [
        (e["instance"], e.get("run")) for e in order_lines(parse_lines(lines), "j1")
    ]
    assert told == [("c", None), ("a", 1), ("b", 2)]
    path = tmp_path / "log"
    path.write_text("\n".join(lines))
    assert main(["j1", str(path)]) == 0
    assert "run_started" in capsys.readouterr().out
    assert main(["j2", str(path)]) == 1
