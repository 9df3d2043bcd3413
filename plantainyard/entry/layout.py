"""Division of the runners and jobs into units, and the owner of each unit.

The number of units is chosen once, from the number of runners that are present when the
system starts for the first time. It is stored with a conditional append, so that of all
instances that start together one decides and the others read its decision.
"""

import json
import threading
import zlib
from typing import NamedTuple

from result import Err

from plantainyard.clock import read_clock
from plantainyard.decoding import (
    DecodeError,
    convert_errors,
    parse_decimal,
    parse_json,
    read_integer,
    read_object,
    read_text,
)
from plantainyard.entry.eventlog import EventLog
from plantainyard.entry.readers import READ_TIMEOUT_S, PartitionReader, poll_reader
from plantainyard.entry.topics import LAYOUT, OWNER_PREFIX, RUNNERS, UNITS_KEY
from plantainyard.platform.entries import decode_entry
from plantainyard.platform.store import StoreCalls
from plantainyard.platform.store_messages import Append, Record

__all__ = [
    "RUNNERS_PER_UNIT",
    "Layout",
    "Owner",
    "announce_owner",
    "choose_unit_count",
    "decode_owner",
    "determine_layout",
    "encode_owner",
    "find_unit",
    "propose_units",
]

MAX_SINGLE_UNIT_RUNNERS = 40
"""Maximum number of runners of a fleet that forms a single unit. An owner of 33 runners
takes 0.4 of a core, and instances of small sites have 1.07."""

RUNNERS_PER_UNIT = 48
"""Number of runners per unit if there are several units and strong instances. An owner
of 44 runners takes at most 0.43 of a core. With 48 instead of 24, and with tasks that
fit nowhere handed over at once, each of two large sites earned a fifth more per day."""

RUNNERS_PER_WEAK_UNIT = 24
"""Number of runners per unit if there are no strong instances. Owners have half a core
then."""

MAX_UNITS = 1_000
"""Maximum number of units that is read back."""

SETTLE_S = 1.0
"""Time in seconds for which the number of runners must not have changed. All runners
start within half a second of each other."""

RESERVE_SETTLE_S = 2.0
"""Settling time in seconds for an instance that isn't strong. It decides only if no
strong instance has appeared within a second."""

MAX_WAIT_S = 8.0
"""Maximum wait in seconds for the first runner. Callers arrive twelve seconds after the
start."""

POLL_INTERVAL_S = 0.25
"""Time in seconds between reads of the runners' entries, and before retries."""


class Owner(NamedTuple):
    """Owner of a unit.

    Attributes
    ----------
    epoch : int
        Fencing token of the ownership.
    address : str
        ``ip:port`` for other instances.
    region : str
        Region of the instance; empty in announcements of versions that don't name it.
    """

    epoch: int
    address: str
    region: str = ""


def encode_owner(owner: Owner) -> bytes:
    """Return the stored form of an owner; see `decode_owner`."""
    return json.dumps(owner._asdict()).encode()


def decode_owner(value: bytes) -> Owner:
    """Return the owner from its stored form; see `encode_owner`.

    Raises
    ------
    DecodeError
        If the value is not an encoded owner.
    """
    with convert_errors("owner"):
        data = read_object(parse_json(value), "owner")
        return Owner(
            read_integer(data["epoch"], "epoch"),
            read_text(data["address"], "address"),
            read_text(data.get("region", ""), "region"),
        )


class Layout:
    """The stored division into units, as last read.

    Parameters
    ----------
    log : EventLog
        Log for unreadable records.

    Attributes
    ----------
    units : int
        Number of units; zero until it is known.
    owners : dict
        Announced owners, by unit.
    """

    def __init__(self, log: EventLog) -> None:
        self.log = log
        self.units = 0
        self.owners: dict[int, Owner] = {}

    def apply_record(self, record: Record) -> None:
        """Apply a record; log and skip a record that can't be decoded."""
        try:
            if record.key == UNITS_KEY and not self.units:
                self.units = _decode_units(record.value)
            elif record.key.startswith(OWNER_PREFIX):
                self._apply_owner(record)
        except DecodeError as error:
            self.log.write("unreadable_entry", key=record.key, why=str(error))

    def _apply_owner(self, record: Record) -> None:
        unit = parse_decimal(record.key.removeprefix(OWNER_PREFIX))
        if unit is None:
            raise DecodeError("the key names no unit")
        self.record_owner(unit, decode_owner(record.value))

    def record_owner(self, unit: int, owner: Owner) -> None:
        """Record a unit's owner unless a later owner is known."""
        known = self.owners.get(unit)
        # The late announcement of an owner must not replace that of its successor.
        if known is None or owner.epoch >= known.epoch:
            self.owners[unit] = owner


def _decode_units(value: bytes) -> int:
    with convert_errors("units"):
        data = read_object(parse_json(value), "units")
        return read_integer(data["units"], "units", 1, MAX_UNITS)


def choose_unit_count(
    runners: int, max_units: int, strong: bool, strong_size: int = RUNNERS_PER_UNIT
) -> int:
    """Return the number of units for a number of runners.

    Parameters
    ----------
    runners : int
        Number of runners.
    max_units : int
        Number of partitions of a topic, which limits the number of units.
    strong : bool
        Whether there are strong instances.
    strong_size : int
        Maximum number of runners per unit if there are.

    Notes
    -----
    Guards against wide jobs and large tasks that find no capacity in any unit although
    the fleet has it: work can't be divided over units, so the free capacity of a small
    unit is of less use than the same share of a large one.

    Examples
    --------
    >>> [choose_unit_count(runners, 12, True) for runners in (33, 246, 999)]
    [1, 6, 12]
    """
    if runners <= MAX_SINGLE_UNIT_RUNNERS:
        return 1
    size = strong_size if strong else RUNNERS_PER_WEAK_UNIT
    return min(max_units, -(-runners // size))


def find_unit(name: str, units: int) -> int:
    """Return the unit to which a job or a machine belongs by its name.

    Notes
    -----
    All instances and all versions must agree on the result, because it determines where
    a job is stored.
    """
    return zlib.crc32(name.encode()) % units


def determine_layout(
    store: StoreCalls,
    reader: PartitionReader,
    layout: Layout,
    max_units: int,
    strong: bool,
    log: EventLog,
    stopping: threading.Event,
    strong_size: int = RUNNERS_PER_UNIT,
) -> None:
    """Wait until the number of units is known, and propose it if it hasn't been chosen.

    Parameters
    ----------
    store : StoreCalls
        The platform's store.
    reader : PartitionReader
        Reader of the layout topic; passes its records to `layout`.
    layout : Layout
        Updated in place.
    max_units : int
        Number of partitions of a topic, which limits the number of units.
    strong : bool
        Whether this instance is strong; other instances leave the decision to strong
        ones.
    log : EventLog
        Log for the decision.
    stopping : Event
        Ends the wait.
    strong_size : int
        Maximum number of runners per unit if there are strong instances.
    """
    settle_s = SETTLE_S if strong else RESERVE_SETTLE_S
    counted, changed_at, began_at = 0, read_clock(), read_clock()
    while not stopping.is_set():
        if isinstance(poll_reader(reader), Err):
            stopping.wait(POLL_INTERVAL_S)
            continue
        if layout.units:
            return
        now = read_clock()
        runners = _count_runners(store)
        if runners != counted:
            counted, changed_at = runners or 0, now
        settled = counted and now - changed_at >= settle_s
        if settled or (runners is not None and now - began_at >= MAX_WAIT_S):
            units = choose_unit_count(counted, max_units, strong, strong_size)
            propose_units(store, units, log, reader.offset or 0)
        else:
            stopping.wait(POLL_INTERVAL_S)


def _count_runners(store: StoreCalls) -> int | None:
    """Return the number of valid runner entries, or None if the store can't be read."""
    after, count = "", 0
    while True:
        page = store.read_newest(RUNNERS, 0, after, READ_TIMEOUT_S)
        if isinstance(page, Err):
            return None
        records = page.ok_value.records
        count += sum(decode_entry(r.key, r.value) is not None for r in records)
        after = page.ok_value.last_key
        if not page.ok_value.more:
            return count


def propose_units(store: StoreCalls, units: int, log: EventLog, end: int = 0) -> None:
    """Store the number of units unless another instance has already stored one.

    Parameters
    ----------
    store : StoreCalls
        The platform's store.
    units : int
        Number of units.
    log : EventLog
        Log for the decision.
    end : int
        Offset up to which the layout was read without finding the number of units.

    Notes
    -----
    Guards against instances that never become ready: a record of another writer may
    precede the first decision.
    """
    value = json.dumps({"units": units}).encode()
    append = Append(LAYOUT, 0, [Record(UNITS_KEY, value)], expected_end=end)
    answer = store.append(append, READ_TIMEOUT_S)
    if not isinstance(answer, Err) and answer.ok_value.accepted:
        log.write("layout_chosen", units=units)


def announce_owner(
    store: StoreCalls, unit: int, owner: Owner, stopping: threading.Event
) -> bool:
    """Store the owner of a unit for all instances; return whether it was stored.

    Notes
    -----
    The append is idempotent, so it is repeated until it succeeds.
    """
    record = Record(f"{OWNER_PREFIX}{unit}", encode_owner(owner))
    append = Append(LAYOUT, 0, [record])
    while not stopping.is_set():
        answer = store.append(append, READ_TIMEOUT_S)
        if not isinstance(answer, Err):
            return True
        stopping.wait(POLL_INTERVAL_S)
    return False
