"""How the runners and jobs are divided into units, and who owns each unit.

The number of units is chosen once, from the number of runners that are there when the
system starts for the first time, and stored by a conditional append: of all instances
that start together one decides, and the others read what it decided.
"""

import json
import threading
import zlib
from typing import NamedTuple

from result import Err

from plantainyard.clock import read_clock
from plantainyard.entry.eventlog import EventLog
from plantainyard.entry.readers import READ_TIMEOUT_S, PartitionReader, poll_reader
from plantainyard.entry.topics import LAYOUT, OWNER_PREFIX, RUNNERS, UNITS_KEY
from plantainyard.platform.entries import decode_entry
from plantainyard.platform.store import Append, Record, StoreCalls

__all__ = [
    "Layout",
    "Owner",
    "announce_owner",
    "choose_unit_count",
    "determine_layout",
    "find_unit",
    "propose_units",
]

UNDIVIDED_RUNNERS = 40
"""Runners that one unit has at most where there is only one: an owner of 33 takes 0.4
of a core, of 1.07 that instances of small sites have."""

RUNNERS_PER_UNIT = 48
"""Runners of a unit where there are several and strong instances: an owner of 44 takes
0.43 of a core at the most. With 48 instead of 24, and tasks that fit nowhere sent away
at once, a day of each of two large sites earned a fifth more."""

RUNNERS_PER_WEAK_UNIT = 24
"""The same where there are none: their owners have half a core."""

SETTLED_S = 1.0
"""Time for which the number of runners must have stood still: they all start within
half a second of each other."""

RESERVE_SETTLED_S = 2.0
"""The same for an instance that isn't strong: it decides only where none that is came
within a second."""

WAIT_S = 8.0
"""Longest wait for the first runner; callers come twelve seconds after the start."""

POLL_S = 0.25
"""Time between looks at the runners' entries."""


class Owner(NamedTuple):
    """Who owns a unit: its fencing token, and ``ip:port`` for other instances."""

    epoch: int
    address: str


class Layout:
    """What is stored of the division into units.

    Parameters
    ----------
    log : EventLog
        For records that can't be read.

    Attributes
    ----------
    units : int
        Number of units; zero until it is known.
    owners : dict
        Owners by unit, as they announced themselves.
    """

    def __init__(self, log: EventLog) -> None:
        self.log = log
        self.units = 0
        self.owners: dict[int, Owner] = {}

    def take(self, record: Record) -> None:
        """Take in a record; what can't be read is passed over."""
        try:
            if record.key == UNITS_KEY and not self.units:
                self.units = int(json.loads(record.value)["units"])
            elif record.key.startswith(OWNER_PREFIX):
                self._take_owner(record)
        except (ValueError, TypeError, KeyError) as error:
            self.log.write("unreadable_entry", key=record.key, why=repr(error))

    def _take_owner(self, record: Record) -> None:
        unit = int(record.key.removeprefix(OWNER_PREFIX))
        data = json.loads(record.value)
        self.record_owner(unit, Owner(int(data["epoch"]), str(data["address"])))

    def record_owner(self, unit: int, owner: Owner) -> None:
        """Take note of who owns a unit."""
        held = self.owners.get(unit)
        # An owner that was slow to announce itself must not hide its successor.
        if held is None or owner.epoch >= held.epoch:
            self.owners[unit] = owner


def choose_unit_count(runners: int, most: int, strong: bool) -> int:
    """Return the number of units for a number of runners.

    Parameters
    ----------
    runners : int
        How many there are.
    most : int
        Partitions that a topic has.
    strong : bool
        Whether there are strong instances.

    Examples
    --------
    >>> [choose_unit_count(runners, 12, True) for runners in (33, 246, 999)]
    [1, 6, 12]
    """
    if runners <= UNDIVIDED_RUNNERS:
        return 1
    size = RUNNERS_PER_UNIT if strong else RUNNERS_PER_WEAK_UNIT
    return min(most, -(-runners // size))


def find_unit(name: str, units: int) -> int:
    """Return the unit of a job or a machine by its name.

    Notes
    -----
    All instances and all versions must agree on it: it decides where a job is stored.
    """
    return zlib.crc32(name.encode()) % units


def determine_layout(
    store: StoreCalls,
    reader: PartitionReader,
    layout: Layout,
    most: int,
    strong: bool,
    log: EventLog,
    stopping: threading.Event,
) -> None:
    """Return once the number of units is known, deciding on it where nobody has.

    Parameters
    ----------
    store : StoreCalls
        The platform's store.
    tail : Tail
        Of the layout; its records reach `layout`.
    layout : Layout
        Filled.
    most : int
        Partitions that a topic has.
    strong : bool
        Whether this instance is strong: others leave the decision to those that are.
    log : EventLog
        For the decision.
    stopping : Event
        Ends the wait.
    """
    settled_s = SETTLED_S if strong else RESERVE_SETTLED_S
    counted, since, began = 0, read_clock(), read_clock()
    while not stopping.is_set():
        if isinstance(poll_reader(reader), Err):
            stopping.wait(POLL_S)
            continue
        if layout.units:
            return
        now = read_clock()
        runners = _count_runners(store)
        if runners != counted:
            counted, since = runners or 0, now
        settled = counted and now - since >= settled_s
        if settled or (runners is not None and now - began >= WAIT_S):
            propose_units(store, choose_unit_count(counted, most, strong), log)
        else:
            stopping.wait(POLL_S)


def _count_runners(store: StoreCalls) -> int | None:
    """Return how many usable runners are listed; None if the store doesn't tell."""
    after, found = "", 0
    while True:
        page = store.read_newest(RUNNERS, 0, after, READ_TIMEOUT_S)
        if isinstance(page, Err):
            return None
        records = page.ok_value.records
        found += sum(decode_entry(r.key, r.value) is not None for r in records)
        after = page.ok_value.last_key
        if not page.ok_value.more:
            return found


def propose_units(store: StoreCalls, units: int, log: EventLog) -> None:
    """Store the number of units if nobody has; whoever was first is read next."""
    value = json.dumps({"units": units}).encode()
    append = Append(LAYOUT, 0, [Record(UNITS_KEY, value)], expected_end=0)
    answer = store.append(append, READ_TIMEOUT_S)
    if not isinstance(answer, Err) and answer.ok_value.accepted:
        log.write("layout_chosen", units=units)


def announce_owner(
    store: StoreCalls, unit: int, owner: Owner, stopping: threading.Event
) -> bool:
    """Tell all instances who owns a unit; return whether that is stored.

    Notes
    -----
    A repeat does no harm.
    """
    value = json.dumps(owner._asdict()).encode()
    append = Append(LAYOUT, 0, [Record(f"{OWNER_PREFIX}{unit}", value)])
    while not stopping.is_set():
        answer = store.append(append, READ_TIMEOUT_S)
        if not isinstance(answer, Err):
            return True
        stopping.wait(POLL_S)
    return False
