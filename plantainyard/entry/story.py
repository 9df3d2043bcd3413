"""One job's story from the logs of several instances.

``python -m plantainyard.entry.story JOB FILE...`` prints the lines that name the job in
the order in which they happened, as far as the lines themselves tell it.
"""

import json
import re
import sys
from collections.abc import Iterable
from pathlib import Path
from typing import Any, NamedTuple

__all__ = ["main", "order_lines", "parse_lines"]

_OBJECT = re.compile(r"\{.*\}")


class _Place(NamedTuple):
    """Sort key of a line.

    Attributes
    ----------
    epoch : int
        Epoch under which its instance owned the unit; zero for what callers did.
    instance, at : str, float
        Lines of one instance follow its steady clock.
    """

    epoch: int
    instance: str
    at: float


def parse_lines(lines: Iterable[str]) -> list[dict[str, Any]]:
    """Return the events in `lines`; text before an object on a line is passed over."""
    events = []
    for line in lines:
        found = _OBJECT.search(line)
        if found is None:
            continue
        try:
            data = json.loads(found.group())
        except ValueError:
            continue
        if isinstance(data, dict) and "event" in data and "instance" in data:
            events.append(data)
    return events


def order_lines(events: list[dict[str, Any]], job_id: str) -> list[dict[str, Any]]:
    """Return the events about a job in their order.

    Notes
    -----
    Steady clocks of two instances have nothing in common and the time of day may jump,
    so neither orders lines of different instances. Epochs do: an owner's lines come
    after those of each owner with a lower epoch. What callers did comes first.
    """
    epochs: dict[str, int] = {}
    placed = []
    for event in events:
        instance = event["instance"]
        if event["event"] == "started":
            epochs.pop(instance, None)
        if event["event"] == "owner_gained":
            epochs[instance] = int(event["epoch"])
        owner = event["event"].startswith(("run_", "job_", "order_"))
        epoch = epochs.get(instance, 0) if owner else 0
        if event.get("job") == job_id or job_id in str(event.get("key", "")):
            placed.append((_Place(epoch, instance, float(event.get("t", 0))), event))
    return [event for _, event in sorted(placed, key=lambda pair: pair[0])]


def main(arguments: list[str]) -> int:
    """Print a job's story; return the exit code."""
    if len(arguments) < 2:
        print("usage: python -m plantainyard.entry.story JOB FILE...", file=sys.stderr)
        return 2
    job_id, *paths = arguments
    lines = (line for path in paths for line in Path(path).read_text().splitlines())
    story = order_lines(parse_lines(lines), job_id)
    for event in story:
        fields = {k: v for k, v in event.items() if k not in ("event", "instance", "t")}
        told = " ".join(f"{name}={value}" for name, value in fields.items())
        print(f"{event['instance']} {event.get('t')} {event['event']} {told}")
    return 0 if story else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
