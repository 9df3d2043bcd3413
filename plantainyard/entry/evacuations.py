"""Following of the operators' evacuations by the instances that own units.

Each of them reads the evacuations from the store, whatever the source of its
configuration. The newest record of each key is read, so that neither dropped history
nor the order of records matters.
"""

import random
import threading
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from result import Err, Ok, Result

from plantainyard.clock import read_clock
from plantainyard.dispatch import EvacuationsRead
from plantainyard.entry.readers import READ_TIMEOUT_S, choose_retry_pause
from plantainyard.entry.topics import OPERATIONS
from plantainyard.errors import CallError
from plantainyard.platform.evacuations import (
    EVACUATION_PREFIX,
    UnreadableRecord,
    decode_evacuations,
)
from plantainyard.platform.store import StoreCalls
from plantainyard.platform.store_messages import Record

if TYPE_CHECKING:
    from plantainyard.entry.instance import Instance

__all__ = [
    "Evacuations",
    "apply_reading",
    "choose_max_age_s",
    "follow_evacuations",
    "read_evacuations",
    "send_evacuations",
]

READS_PER_DEADLINE = 5
"""Number of readings within the time after which an evacuation must be in force; the
store may leave several of them unanswered."""

ORDER_ALLOWANCE_S = 1.0
"""Part of that time in seconds that is left for a start to reach its runner."""

UNOWNED_WAIT_S = 1.0
"""Maximum time in seconds until an instance without units checks whether it has any; a
claim ends the wait."""


@dataclass(slots=True)
class Evacuations:
    """The evacuations as last read by an instance.

    Attributes
    ----------
    versions : dict
        Version of the newest request, by evacuated failure domain.
    read_at : float
        Start time of the last complete reading.
    reported : set of UnreadableRecord
        Records without effect that the log tells of already.
    due : Event
        Set when the next reading should begin at once.
    """

    versions: dict[str, int] = field(default_factory=dict)
    read_at: float = float("-inf")
    reported: set[UnreadableRecord] = field(default_factory=set)
    due: threading.Event = field(default_factory=threading.Event)


def choose_max_age_s(deadline_s: float | None) -> float:
    """Return the age of a reading above which nothing may be started.

    Parameters
    ----------
    deadline_s : float or None
        Time after which no task may start any more in an evacuated failure domain; None
        if there are no evacuations.

    Examples
    --------
    >>> choose_max_age_s(5.0), choose_max_age_s(1.5), choose_max_age_s(None)
    (4.0, 0.75, inf)
    """
    if deadline_s is None:
        return float("inf")
    return max(deadline_s - ORDER_ALLOWANCE_S, deadline_s / 2)


def follow_evacuations(instance: "Instance") -> None:
    """Read the evacuations periodically while this instance has units."""
    deadline_s = instance.settings.evacuation_deadline_s
    if deadline_s is None:
        return
    failures = 0
    due = instance.evacuations.due
    while not instance.stopping.is_set():
        due.clear()
        if not instance.claims:
            due.wait(UNOWNED_WAIT_S)
            continue
        read_at = read_clock()
        found = read_evacuations(instance.store)
        if isinstance(found, Err):
            failures += 1
            due.wait(choose_retry_pause(failures, random.random()))
            continue
        failures = 0
        apply_reading(instance, found.ok_value, read_at)
        due.wait(deadline_s / READS_PER_DEADLINE)


def read_evacuations(store: StoreCalls) -> Result[list[Record], CallError]:
    """Read the newest records of all evacuations; unlike the configuration, few bytes.

    Notes
    -----
    The cost is one call, and a further one for each 500 records.
    """
    records: list[Record] = []
    after = EVACUATION_PREFIX
    while True:
        found = store.read_newest(OPERATIONS, 0, after, READ_TIMEOUT_S)
        if isinstance(found, Err):
            return found
        page = found.ok_value
        records += page.records
        after = page.last_key
        if not page.more or not after.startswith(EVACUATION_PREFIX):
            return Ok(records)


def apply_reading(instance: "Instance", records: list[Record], read_at: float) -> None:
    """Put the evacuations of a complete reading in force, and log what changed."""
    known = instance.evacuations
    found, unreadable = decode_evacuations(records)
    kept = _list_kept(known.versions, unreadable)
    versions = kept | {record.domain: record.version for record in found}
    age_s = round(read_clock() - read_at, 3)
    for domain in versions.keys() - known.versions.keys():
        version = versions[domain]
        instance.log.write(
            "evacuation_begun", domain=domain, version=version, age_s=age_s
        )
    for domain in versions.keys() & known.versions.keys():
        if versions[domain] != known.versions[domain]:
            version = versions[domain]
            instance.log.write("evacuation_repeated", domain=domain, version=version)
    for domain in known.versions.keys() - versions.keys():
        version = known.versions[domain]
        instance.log.write(
            "evacuation_ended", domain=domain, version=version, age_s=age_s
        )
    _report_unusable(instance, unreadable + _list_unknown(instance, versions))
    known.versions, known.read_at = versions, read_at
    for unit in list(instance.owned):
        send_evacuations(instance, unit)


def _list_kept(
    versions: dict[str, int], unreadable: list[UnreadableRecord]
) -> dict[str, int]:
    """Return the evacuations in force whose newest record can't be read.

    Notes
    -----
    Guards against work in a domain that operators still want to be empty: an evacuation
    ends when its record is removed, not when another writer makes it unreadable.
    """
    domains = {record.key.removeprefix(EVACUATION_PREFIX) for record in unreadable}
    return {k: version for k, version in versions.items() if k in domains}


def _list_unknown(
    instance: "Instance", versions: dict[str, int]
) -> list[UnreadableRecord]:
    domains = instance.settings.domains
    return [
        UnreadableRecord(EVACUATION_PREFIX + domain, version, "unknown failure domain")
        for domain, version in versions.items()
        if domains and domain not in domains
    ]


def _report_unusable(instance: "Instance", records: list[UnreadableRecord]) -> None:
    """Log once for each record that has no effect."""
    known = instance.evacuations
    for record in records:
        if record not in known.reported:
            instance.log.write("unreadable_entry", key=record.key, why=record.why)
    known.reported = set(records)


def send_evacuations(instance: "Instance", unit: int) -> None:
    """Send the last reading to the actor of an owned unit."""
    known = instance.evacuations
    event = EvacuationsRead(frozenset(known.versions), known.read_at)
    instance.send_event(unit, event)
