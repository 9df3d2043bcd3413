"""Decoding of the entries that runners publish about themselves in the store."""

from typing import Any, NamedTuple

from plantainyard.batch import Resources
from plantainyard.batch.limits import MAX_NAME
from plantainyard.decoding import (
    MAX_INTEGER,
    DecodeError,
    convert_errors,
    parse_decimal,
    parse_json,
    read_list,
    read_number,
    read_object,
    read_text,
    read_truncated,
)
from plantainyard.platform.addresses import read_address

__all__ = ["RunnerEntry", "decode_entry", "split_incarnation"]

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


def split_incarnation(name: str) -> tuple[str, int]:
    """Return the id and the start time in the name of an incarnation.

    Examples
    --------
    >>> split_incarnation("r@1@1700000000000")
    ('r@1', 1700000000000)
    """
    runner, _, started_at_ms = name.rpartition("@")
    return runner, parse_decimal(started_at_ms) or 0


def decode_entry(runner: str, value: bytes) -> RunnerEntry | None:
    """Decode the entry of a runner.

    Returns
    -------
    RunnerEntry or None
        None if the record does not describe a usable runner. Other programs write
        records with missing fields, other types or invalid text to the same topic.
    """
    try:
        with convert_errors("entry"):
            return _decode(_read_id(runner), read_object(parse_json(value), "entry"))
    except DecodeError:
        return None


def _decode(runner: str, data: dict[str, Any]) -> RunnerEntry:
    capacity = read_object(data["capacity"], "capacity")
    remaining_ms = data.get("remainingMs")
    state = read_text(data["state"], "state")
    if state not in _STATES:
        raise DecodeError("state is not one of those that are known")
    return RunnerEntry(
        runner=runner,
        started_at_ms=read_truncated(data.get("born", 0), "born"),
        service=read_text(data["service"], "service", MAX_NAME),
        address=read_address(data["address"], "address"),
        domain=read_text(data["zone"], "zone", MAX_NAME),
        draining=state == "draining",
        leaves_in_ms=(
            None if remaining_ms is None else read_number(remaining_ms, "remainingMs")
        ),
        capacity=Resources(
            read_truncated(capacity.get("cpu", 0), "cpu"),
            read_truncated(capacity.get("memMb", 0), "memMb"),
            read_truncated(capacity.get("gpu", 0), "gpu"),
        ),
        labels=tuple(
            read_text(label, "label", MAX_NAME)
            for label in read_list(data.get("labels", []), "labels")
        ),
        machine=read_text(data.get("machine", ""), "machine", MAX_NAME),
        clock_ms=read_truncated(data.get("clockMs", 0), "clockMs"),
        slow_for_ms=read_truncated(
            data.get("coldLeftMs", 0), "coldLeftMs", -MAX_INTEGER
        ),
    )


def _read_id(runner: str) -> str:
    """Return the id of a runner, which is sent to it as the value of a header."""
    is_usable = runner.isascii() and runner.isprintable() and runner.strip() == runner
    if not runner or len(runner) > MAX_NAME or not is_usable:
        raise DecodeError("the runner's id can't be sent in a header")
    return runner
