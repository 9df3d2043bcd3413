"""Where an instance gets the operators' configuration from: the store, or an owner.

A configuration of several hundred kilobytes, read from the store by each instance of a
region without the store, takes the link between the regions for seconds. Therefore two
owners of units in each region read the store, and the other instances of the region ask
one of them. The store stays the only authority: an owner tells how long ago it has read
the store, and that time counts at the instance that asked.
"""

import random
import zlib
from dataclasses import dataclass
from typing import NamedTuple

from result import Err

from plantainyard.clock import read_clock
from plantainyard.entry.configuration_exchange import fetch_configuration
from plantainyard.entry.instance import (
    LONG_POLL_S,
    MAX_READ_S,
    Instance,
)
from plantainyard.entry.readers import choose_retry_pause, poll_reader

__all__ = ["STORE", "SourceState", "follow_configuration", "list_readers"]

STORE = "store"
"""Name of the store as a source, in the log."""

READERS_PER_REGION = 2
"""Number of owners in each region that read the store. With a second one, the instances
of the region need not read the store when the first is lost."""

SERVED_POLL_S = 0.3
"""Wait in seconds of reads by an instance that others ask. Its last proof is then up to
0.7 s old, which leaves time for the others to ask before theirs is 2 s old."""

ASK_INTERVAL_S = 0.4
"""Time in seconds between queries to an owner, on average."""

RETRY_INTERVAL_S = 0.1
"""Time in seconds before another owner is asked."""

MAX_OWNER_AGE_S = 0.9
"""Age in seconds of an owner's last read of the store above which another owner is
asked."""

MAX_COPIED_AGE_S = 1.5
"""Age in seconds of the last proof above which the store is read. Submissions are
refused from 2 s on."""

MAX_STAGGER_S = 0.25
"""Maximum of an instance's own addition to that age, by which the instances of a region
don't all read the store at the same instant."""

STORE_PERIOD_S = (3.0, 5.0)
"""Minimum and maximum time in seconds for which the store is read before an owner is
asked again."""

JITTER = (0.85, 1.15)
"""Minimum and maximum factor of the time between queries."""


class Why:
    """Reasons for a change of source, for the log."""

    READER = "reads the store for its region"
    NO_OWNER = "no owner in the region to ask"
    OLD = "no recent reading from owners, or no other contact with the store"
    OWNER = "an owner in the region reads the store"
    NEXT_OWNER = "the owner asked before gave no recent reading"


@dataclass(slots=True)
class SourceState:
    """The source that an instance uses.

    Attributes
    ----------
    address : str
        Address of the owner that is asked, or `STORE`.
    store_until : float
        Time until which the store is read although there are owners to ask.
    max_age_s : float
        Age of the last proof above which the store is read.
    failures : int
        Number of consecutive failed reads of the store.
    unanswered : bool
        Whether the last query gave no recent reading of the store.
    """

    address: str = STORE
    store_until: float = 0.0
    max_age_s: float = MAX_COPIED_AGE_S
    failures: int = 0
    unanswered: bool = False


class Readers(NamedTuple):
    """The owners of a region that read the store for it.

    Attributes
    ----------
    included : bool
        Whether the instance itself is one of them.
    others : tuple of str
        Addresses of the others, in the order in which this instance asks them.
    """

    included: bool
    others: tuple[str, ...]


def list_readers(instance: Instance) -> Readers:
    """Return the owners that read the store for the region of an instance.

    Notes
    -----
    In a fleet with a single unit there are none: few instances read the store there,
    and one owner would have to answer all of them.
    """
    region, own = instance.settings.region, instance.peer_address()
    if instance.layout.units < 2 or not region:
        return Readers(False, ())
    owners = sorted(dict(instance.layout.owners).items())
    addresses = [owner.address for _, owner in owners if owner.region == region]
    readers = list(dict.fromkeys(addresses))[:READERS_PER_REGION]
    others = [address for address in readers if address != own]
    # Each instance has its own order, so that they don't all ask the same owner.
    others.sort(key=lambda address: zlib.crc32(f"{own}/{address}".encode()))
    return Readers(own in readers, tuple(others))


def follow_configuration(instance: Instance) -> None:
    """Keep an instance's configuration up to date until the instance stops."""
    state = SourceState()
    while not instance.stopping.is_set():
        readers = list_readers(instance)
        if choose_source(instance, state, readers, read_clock()) == STORE:
            pause_s = read_store(instance, state, readers)
        else:
            pause_s = ask_owner(instance, state)
        instance.stopping.wait(pause_s)


def choose_source(
    instance: Instance, state: SourceState, readers: Readers, now: float
) -> str:
    """Return the address of the owner to ask next, or `STORE`; log a change.

    Notes
    -----
    Guards against an owner that answers although it is cut off from the store, and
    against one that doesn't answer: both show as an age that grows.
    """
    age_s = now - instance.configuration_synced_at()
    others = readers.others
    if readers.included:
        _change_source(instance, state, STORE, Why.READER)
    elif not others:
        _change_source(instance, state, STORE, Why.NO_OWNER)
    elif state.address == STORE:
        # An instance without any reading has none to keep, and one that can't read the
        # store must not be taken for one that can.
        recent = instance.configuration is not None and age_s <= MAX_COPIED_AGE_S
        if recent and now >= state.store_until:
            state.max_age_s = MAX_COPIED_AGE_S + random.uniform(0.0, MAX_STAGGER_S)
            state.unanswered = False
            _change_source(instance, state, others[0], Why.OWNER)
    elif age_s > state.max_age_s:
        state.store_until = now + random.uniform(*STORE_PERIOD_S)
        _change_source(instance, state, STORE, Why.OLD)
    elif state.address not in others or state.unanswered:
        _change_source(instance, state, _find_next(state, others), Why.NEXT_OWNER)
    return state.address


def _find_next(state: SourceState, others: tuple[str, ...]) -> str:
    if state.address not in others:
        return others[0]
    return others[(others.index(state.address) + 1) % len(others)]


def _change_source(
    instance: Instance, state: SourceState, address: str, why: str
) -> None:
    if address == state.address:
        return
    state.address = address
    instance.meters.configuration_copied.set(address != STORE)
    instance.log.write("configuration_source", address=address, why=why)


def read_store(instance: Instance, state: SourceState, readers: Readers) -> float:
    """Read the store once; return the pause in seconds before the next read."""
    wait_s = SERVED_POLL_S if readers.included else LONG_POLL_S
    reader = instance.operations_reader
    # A read that doesn't wait gives a proof at once.
    overdue = read_clock() - reader.synced_at > wait_s + MAX_READ_S
    found = poll_reader(reader, 0.0 if state.failures or overdue else wait_s)
    if not isinstance(found, Err):
        state.failures = 0
        return 0.0
    state.failures += 1
    return choose_retry_pause(state.failures, random.random())


def ask_owner(instance: Instance, state: SourceState) -> float:
    """Ask an owner once; return the pause in seconds before the next query."""
    asked_at = read_clock()
    left_s = state.max_age_s - (asked_at - instance.configuration_synced_at())
    found = fetch_configuration(instance, state.address, left_s)
    state.unanswered = True
    if isinstance(found, Err):
        return RETRY_INTERVAL_S
    reply = found.ok_value
    before = instance.configuration
    if reply.value:
        instance.apply_configuration(reply.value)
    current = instance.configuration
    if current is None or current.version < reply.version:
        return RETRY_INTERVAL_S
    instance.confirm_configuration(asked_at - reply.age_s, reply.offset)
    state.unanswered = reply.age_s > MAX_OWNER_AGE_S
    if state.unanswered:
        return RETRY_INTERVAL_S
    if current is not before:
        # The reading has grown old while the value was received.
        return ask_owner(instance, state)
    return ASK_INTERVAL_S * random.uniform(*JITTER)
