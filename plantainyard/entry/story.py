"""Command that prints the history of one job from the logs of several instances.

``python -m plantainyard.entry.story JOB FILE...`` prints the events of the job in the
order in which they happened, as far as it can be determined from the lines.
"""

import json
import sys
from collections.abc import Iterable
from pathlib import Path
from typing import Any, NamedTuple

__all__ = ["main", "order_events", "parse_events"]


class _SortKey(NamedTuple):
    """The sort key of an event.

    Attributes
    ----------
    epoch : int
        Epoch with which the instance owned the unit; zero for requests of callers.
    instance, at : str, float
        Events of one instance are ordered by its monotonic clock.
    """

    epoch: int
    instance: str
    at: float


def parse_events(lines: Iterable[str]) -> list[dict[str, Any]]:
    """Return the events in `lines`, ignoring text before the JSON object of a line."""
    events = []
    for line in lines:
        begin, end = line.find("{"), line.rfind("}")
        if not 0 <= begin < end:
            continue
        try:
            data = json.loads(line[begin : end + 1])
        except (ValueError, RecursionError):
            continue
        if isinstance(data, dict) and "event" in data and "instance" in data:
            events.append(data)
    return events


def order_events(events: list[dict[str, Any]], job_id: str) -> list[dict[str, Any]]:
    """Return the events about a job in the order in which they happened.

    Notes
    -----
    The monotonic clocks of two instances are unrelated, and the wall clock may jump, so
    neither can order the events of different instances. Epochs can: the events of an
    owner follow those of all owners with a lower epoch. Requests of callers come first.
    """
    epochs: dict[str, int] = {}
    keyed = []
    for event in events:
        instance = event["instance"]
        if event["event"] == "started":
            epochs.pop(instance, None)
        if event["event"] == "owner_gained":
            epochs[instance] = int(event["epoch"])
        by_owner = event["event"].startswith(("run_", "job_", "order_"))
        epoch = epochs.get(instance, 0) if by_owner else 0
        if event.get("job") == job_id or job_id in str(event.get("key", "")):
            keyed.append((_SortKey(epoch, instance, float(event.get("t", 0))), event))
    return [event for _, event in sorted(keyed, key=lambda pair: pair[0])]


def main(arguments: list[str]) -> int:
    """Print the history of a job and return the exit code."""
    if len(arguments) < 2:
        print("usage: python -m plantainyard.entry.story JOB FILE...", file=sys.stderr)
        return 2
    job_id, *paths = arguments
    lines = (line for path in paths for line in Path(path).read_text().splitlines())
    history = order_events(parse_events(lines), job_id)
    for event in history:
        fields = {k: v for k, v in event.items() if k not in ("event", "instance", "t")}
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        print(f"{event['instance']} {event.get('t')} {event['event']} {text}")
    return 0 if history else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
