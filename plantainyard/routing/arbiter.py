"""Arbiter of request ids: decides whether a non-idempotent request may run.

For each id one instance decides: the one with authority over the rack that the id
hashes to, within the id's home domain.

Notes
-----
The history is bounded in number and in time. `Arbiter.history_since` is the issue time
from which the history is complete: an id that was issued before it and isn't in the
history may have run, so its answer is "unknown" and it never runs. Dropping an entry
moves that time forward, so dropping is always safe.
"""

import heapq
import uuid
from collections.abc import Iterable
from typing import NamedTuple

import xxhash

from plantainyard.routing.outcomes import FinalAnswer, Outcome
from plantainyard.routing.values import RoutingSettings

__all__ = [
    "Arbiter",
    "IdDecision",
    "IdResult",
    "decide_id",
    "find_arbiter_rack",
    "find_home_domain",
    "parse_issue_time",
    "rank_names",
    "record_id_answer",
    "restart_history",
]

_UUID_VERSION = 7
_TIMESTAMP_SHIFT = 80
_COMPACT_MARGIN = 1000
"""Surplus pairs of a heap of ids from which it may be compacted."""

_DROPPED_DETAIL = "the answer is no longer kept"


class IdDecision:
    """Names of the arbiter's decisions.

    Notes
    -----
    ``RUN``
        The id is new: it may run.
    ``JOIN``
        The id is in progress: the request waits for the first arrival's answer.
    ``REPEAT``
        The id has an answer, which is given again.
    ``UNKNOWN``
        The id is older than the history, so it may have run.
    ``REUSED``
        The id was used for another request.
    ``AHEAD``
        The id's issue time is ahead of this clock by more than the allowed skew.
    ``MALFORMED``
        The id contains no issue time.
    """

    RUN = "run"
    JOIN = "join"
    REPEAT = "repeat"
    UNKNOWN = "unknown"
    REUSED = "reused"
    AHEAD = "ahead"
    MALFORMED = "malformed"


class IdResult(NamedTuple):
    """A decision, with the key of the first arrival and its answer, where known."""

    decision: str
    key: str = ""
    answer: FinalAnswer | None = None


class _Entry:
    """History of one id: its first arrival, and its answer once there is one."""

    def __init__(self, key: str, digest: int, issued: float) -> None:
        self.key = key
        self.digest = digest
        self.issued = issued
        self.answer: FinalAnswer | None = None


class Arbiter:
    """History of the ids of one rack.

    Parameters
    ----------
    settings : RoutingSettings
        For the allowed clock skew.
    wall_s : float
        Wall-clock time at which the authority over the rack was gained.
    """

    def __init__(self, settings: RoutingSettings, wall_s: float) -> None:
        self.history_since = wall_s + 2 * settings.id_skew_s
        self.entries: dict[str, _Entry] = {}
        self.ids_by_issue: list[tuple[float, str]] = []
        self.answers_by_issue: list[tuple[float, str]] = []
        self.answer_bytes = 0


def find_home_domain(request_id: str, domains: Iterable[str]) -> str:
    """Return the home domain of an id: its prefix, or else a hash over all domains.

    Returns
    -------
    str
        The domain; empty where the prefix is not in `domains`.

    Examples
    --------
    >>> find_home_domain("tema-harbour.0190f", ["accra-central", "tema-harbour"])
    'tema-harbour'
    """
    names = list(domains)
    prefix = request_id.rpartition(".")[0]
    # An instance that doesn't know the domain yet must not fall back to the hash: it
    # would choose another arbiter than the other instances, and both would let the id
    # run.
    if prefix:
        return prefix if prefix in names else ""
    return rank_names(request_id, names)[0] if names else ""


def find_arbiter_rack(request_id: str, racks: Iterable[str]) -> str:
    """Return the rack whose owner is the arbiter of an id, by rendezvous hash."""
    return rank_names(request_id, racks)[0]


def rank_names(key: str, names: Iterable[str]) -> list[str]:
    """Return `names` in the order of their rendezvous hash with `key`.

    References
    ----------
    Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit Rates",
    IEEE/ACM Transactions on Networking 6(1), 1998.
    """

    def rank(name: str) -> int:
        return xxhash.xxh64_intdigest(f"{name}\0{key}".encode())

    return sorted(names, key=rank, reverse=True)


def parse_issue_time(request_id: str) -> float | None:
    """Return the wall-clock time in seconds at which an id was issued.

    Returns
    -------
    float or None
        The time in the UUIDv7 after the prefix; None if it isn't a UUIDv7.

    Examples
    --------
    >>> parse_issue_time("accra-central.01890a5d-ac96-774b-bcce-b302099a8057")
    1688149863.574
    """
    try:
        value = uuid.UUID(request_id.rpartition(".")[2])
    except ValueError:
        return None
    if value.version != _UUID_VERSION:
        return None
    return (value.int >> _TIMESTAMP_SHIFT) / 1000.0


def decide_id(
    arbiter: Arbiter,
    request_id: str,
    key: str,
    digest: int,
    settings: RoutingSettings,
    wall_s: float,
) -> IdResult:
    """Decide whether an id may run, and add it to the history if so.

    Parameters
    ----------
    arbiter : Arbiter
        Updated. The calling instance must hold authority over its rack.
    request_id, key, digest
        The id, the key of this arrival, and the hash of its content.
    settings : RoutingSettings
        Bounds of the history, and the allowed skew of callers' clocks.
    wall_s : float
        Current wall-clock time.

    Returns
    -------
    IdResult
        The decision; ``RUN`` is returned once for each id.
    """
    issued = parse_issue_time(request_id)
    if issued is None:
        return IdResult(IdDecision.MALFORMED)
    # If this id ran, it would look new to a later arbiter, whose history begins at its
    # own clock. An arbiter with a faster clock may also have let it run already.
    if issued > wall_s + settings.id_skew_s:
        return IdResult(IdDecision.AHEAD)
    _drop_old_entries(arbiter, settings, wall_s)
    entry = arbiter.entries.get(request_id)
    if entry is not None:
        return _decide_known(entry, digest)
    # A former arbiter may have let the id run, or this one has dropped it from its
    # history: a second run would charge the customer twice.
    if issued <= arbiter.history_since:
        return IdResult(IdDecision.UNKNOWN)
    arbiter.entries[request_id] = _Entry(key, digest, issued)
    heapq.heappush(arbiter.ids_by_issue, (issued, request_id))
    _compact(arbiter)
    return IdResult(IdDecision.RUN, key)


def record_id_answer(
    arbiter: Arbiter, request_id: str, answer: FinalAnswer, settings: RoutingSettings
) -> None:
    """Store the answer of an id for its repeats.

    Notes
    -----
    A refused id did not run and is removed, so that the same id can be sent again.
    When the stored answers exceed their limit in bytes, the oldest lose their bodies
    first: a repeat then gets the outcome alone.
    """
    entry = arbiter.entries.get(request_id)
    if entry is None:
        return
    if answer.outcome == Outcome.REFUSED:
        del arbiter.entries[request_id]
        return
    entry.answer = answer
    arbiter.answer_bytes += _count_bytes(answer)
    heapq.heappush(arbiter.answers_by_issue, (entry.issued, request_id))
    while arbiter.answer_bytes > settings.id_answer_bytes and arbiter.answers_by_issue:
        _drop_body(arbiter, heapq.heappop(arbiter.answers_by_issue)[1])


def restart_history(arbiter: Arbiter, settings: RoutingSettings, wall_s: float) -> None:
    """Restart the history, because another instance may have admitted ids meanwhile.

    Notes
    -----
    The former arbiter accepted ids with an issue time up to one skew ahead of its
    clock, which may itself be one skew ahead of this one. Without the margin of twice
    the skew, such an id would look new here and run a second time.
    """
    since = wall_s + 2 * settings.id_skew_s
    arbiter.history_since = max(arbiter.history_since, since)


def _decide_known(entry: _Entry, digest: int) -> IdResult:
    if entry.digest != digest:
        return IdResult(IdDecision.REUSED)
    if entry.answer is None:
        return IdResult(IdDecision.JOIN, entry.key)
    return IdResult(IdDecision.REPEAT, entry.key, entry.answer)


def _drop_old_entries(
    arbiter: Arbiter, settings: RoutingSettings, wall_s: float
) -> None:
    earliest = wall_s - settings.id_memory_s
    while arbiter.ids_by_issue and (
        arbiter.ids_by_issue[0][0] < earliest
        or len(arbiter.entries) >= settings.id_count
    ):
        issued, request_id = heapq.heappop(arbiter.ids_by_issue)
        entry = arbiter.entries.get(request_id)
        if entry is None or entry.issued != issued:
            continue
        _drop_body(arbiter, request_id)
        del arbiter.entries[request_id]
        arbiter.history_since = max(arbiter.history_since, issued)


def _compact(arbiter: Arbiter) -> None:
    """Remove ids without an entry from each heap once they outnumber the entries.

    Notes
    -----
    Refused ids leave `ids_by_issue`, and dropped ones `answers_by_issue`, only here: a
    heap gives up its oldest pair alone, and only when its own limit is reached.
    """
    surplus = 2 * len(arbiter.entries) + _COMPACT_MARGIN
    if len(arbiter.ids_by_issue) > surplus:
        pairs = [(entry.issued, key) for key, entry in arbiter.entries.items()]
        arbiter.ids_by_issue = pairs
        heapq.heapify(arbiter.ids_by_issue)
    if len(arbiter.answers_by_issue) > surplus:
        arbiter.answers_by_issue = [
            (entry.issued, key)
            for key, entry in arbiter.entries.items()
            if entry.answer is not None
        ]
        heapq.heapify(arbiter.answers_by_issue)


def _drop_body(arbiter: Arbiter, request_id: str) -> None:
    entry = arbiter.entries.get(request_id)
    if entry is None or entry.answer is None:
        return
    arbiter.answer_bytes -= _count_bytes(entry.answer)
    entry.answer = entry.answer._replace(response=None, detail=_DROPPED_DETAIL)


def _count_bytes(answer: FinalAnswer) -> int:
    return len(answer.response.body) if answer.response else 0
