"""Decoding of the entries that runners publish about themselves in the store."""

import json
from typing import NamedTuple

from plantainyard.batch import Resources

__all__ = ["RunnerEntry", "decode_entry"]

_STATES = frozenset({"ready", "draining"})


class RunnerEntry(NamedTuple):
    """The newest entry of a runner.

    Attributes
    ----------
    runner : str
        Id of the runner, which a later incarnation may use again.
    started_at_ms : int
        Start of this incarnation in Unix milliseconds by the runner's clock;
        distinguishes incarnations with the same id.
    service, address, domain : str
        Service whose tasks it runs, address as ``ip:port``, and failure domain.
    draining : bool
        The runner is about to leave.
    leaves_in_ms : float or None
        Minimum time in milliseconds for which a draining runner remains, if known.
    capacity : Resources
        Total amount of resources that its tasks can use.
    labels : tuple of str
        Kind and rack of the runner, in this order if it has both.
    machine : str
        Name of its machine; empty if unknown.
    clock_ms : int
        The runner's clock when it wrote the entry; 0 if unknown.
    slow_for_ms : int
        Time in milliseconds for which its tasks are still slow after its start.
    """

    runner: str
    started_at_ms: int
    service: str
    address: str
    domain: str
    draining: bool
    leaves_in_ms: float | None
    capacity: Resources
    labels: tuple[str, ...]
    machine: str = ""
    clock_ms: int = 0
    slow_for_ms: int = 0

    @property
    def incarnation(self) -> str:
        """Return the name of this incarnation, which consists of id and start time."""
        return f"{self.runner}@{self.started_at_ms}"

    @property
    def rack(self) -> str:
        """Return the rack, which is the last label; empty if there are no labels."""
        return self.labels[-1] if self.labels else ""


def decode_entry(runner: str, value: bytes) -> RunnerEntry | None:
    """Decode the entry of a runner.

    Returns
    -------
    RunnerEntry or None
        None if the record does not describe a usable runner. Other programs write
        records with missing fields, other types or invalid text to the same topic.
    """
    try:
        data = json.loads(value)
        capacity = data["capacity"]
        remaining_ms = data.get("remainingMs")
        entry = RunnerEntry(
            runner=runner,
            started_at_ms=_read_int(data.get("born", 0)),
            service=_read_str(data["service"]),
            address=_read_str(data["address"]),
            domain=_read_str(data["zone"]),
            draining=data["state"] == "draining",
            leaves_in_ms=None if remaining_ms is None else float(remaining_ms),
            capacity=Resources(
                _read_int(capacity.get("cpu", 0)),
                _read_int(capacity.get("memMb", 0)),
                _read_int(capacity.get("gpu", 0)),
            ),
            labels=tuple(_read_str(label) for label in data.get("labels", ())),
            machine=_read_str(data.get("machine", "")),
            clock_ms=_read_int(data.get("clockMs", 0)),
            slow_for_ms=_read_int(data.get("coldLeftMs", 0)),
        )
    except (ValueError, TypeError, KeyError, AttributeError):
        return None
    host, _, port = entry.address.rpartition(":")
    usable = data["state"] in _STATES and host and port.isdigit()
    return entry if usable else None


def _read_int(value: object) -> int:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TypeError(f"expected a number, found {value!r}")
    return int(value)


def _read_str(value: object) -> str:
    if not isinstance(value, str):
        raise TypeError(f"expected a string, found {value!r}")
    return value
