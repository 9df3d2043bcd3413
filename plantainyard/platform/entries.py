"""What runners write about themselves into the platform's store."""

import json
from typing import NamedTuple

from plantainyard.batch import Resources

__all__ = ["RunnerEntry", "decode_entry"]

_STATES = frozenset({"ready", "draining"})


class RunnerEntry(NamedTuple):
    """A runner's newest report about itself.

    Attributes
    ----------
    runner : str
        Its id, which a later life of it may have again.
    started_at_ms : int
        Start of this life in Unix milliseconds by the runner's clock; tells lives of
        one id apart.
    service, address, domain : str
        What it serves, ``ip:port``, and its failure domain.
    draining : bool
        It is about to leave.
    leaves_in_ms : float or None
        Shortest time that it stays while draining, where it says so.
    capacity : Resources
        What it can hold.
    labels : tuple of str
        Its kind and its rack, in this order where it has both.
    machine : str
        The machine that it runs on, where it says so.
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

    @property
    def incarnation(self) -> str:
        """Return the name of this life of the runner."""
        return f"{self.runner}@{self.started_at_ms}"

    @property
    def rack(self) -> str:
        """Return the rack, the last of the labels; empty where there is none."""
        return self.labels[-1] if self.labels else ""


def decode_entry(runner: str, value: bytes) -> RunnerEntry | None:
    """Decode a runner's entry.

    Returns
    -------
    RunnerEntry or None
        None where the record doesn't describe a usable runner: other writers leave
        records with missing fields, other types, or bytes that aren't text.
    """
    try:
        data = json.loads(value)
        room = data["capacity"]
        leaves = data.get("remainingMs")
        entry = RunnerEntry(
            runner=runner,
            started_at_ms=_whole(data.get("born", 0)),
            service=_text(data["service"]),
            address=_text(data["address"]),
            domain=_text(data["zone"]),
            draining=data["state"] == "draining",
            leaves_in_ms=None if leaves is None else float(leaves),
            capacity=Resources(
                _whole(room.get("cpu", 0)),
                _whole(room.get("memMb", 0)),
                _whole(room.get("gpu", 0)),
            ),
            labels=tuple(_text(label) for label in data.get("labels", ())),
            machine=_text(data.get("machine", "")),
        )
    except (ValueError, TypeError, KeyError, AttributeError):
        return None
    host, _, port = entry.address.rpartition(":")
    usable = data["state"] in _STATES and host and port.isdigit()
    return entry if usable else None


def _whole(value: object) -> int:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TypeError(f"expected a number, found {value!r}")
    return int(value)


def _text(value: object) -> str:
    if not isinstance(value, str):
        raise TypeError(f"expected text, found {value!r}")
    return value
