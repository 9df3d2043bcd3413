"""What a new owner of a unit learns of the leases of its predecessor.

The predecessor's instance is asked. It has released the unit and reports what remains,
or its process has ended: then another one answers at its address, and tells that it
never claimed the unit in that epoch.
"""

import threading
from typing import Any, NamedTuple

from result import Err

from plantainyard.clock import read_clock
from plantainyard.decoding import (
    DecodeError,
    read_integer,
    read_list,
    read_number,
    read_object,
)
from plantainyard.dispatch import LeasesReported, PredecessorEnded
from plantainyard.entry.instance import Instance
from plantainyard.entry.layout import Owner
from plantainyard.entry.peer_calls import (
    ROUNDING_S,
    build_instance_peer,
    decode_answer,
)
from plantainyard.transport import call_json

__all__ = [
    "ReleaseAnswer",
    "describe_release",
    "fetch_release",
    "judge_release",
    "query_predecessor",
]

LEASES_TIMEOUT_S = 1.0
"""Timeout in seconds of a query for the leases of a predecessor. Nothing waits for the
answer, and the predecessor may be behind a busy link."""

RELEASE_RETRY_S = 0.3
"""Pause in seconds before a predecessor is queried again for the leases that remain; it
releases the unit within a second of reading that it has a successor."""


class ReleaseAnswer(NamedTuple):
    """Answer of an instance about its ownerships of a unit.

    Attributes
    ----------
    epoch : int
        Epoch of its last ownership that has ended; zero if there is none.
    remaining_s : dict
        The leases that remain of that ownership; see `LeasesReported`.
    claimed : frozenset of int or None
        All epochs in which this process has claimed the unit; None from a version that
        doesn't tell.
    age_s : float
        Time in seconds since the process started.
    """

    epoch: int
    remaining_s: dict[str, float]
    claimed: frozenset[int] | None = None
    age_s: float = 0.0


def query_predecessor(
    instance: Instance,
    unit: int,
    owner: Owner,
    predecessor: Owner,
    stopping: threading.Event,
) -> None:
    """Query a predecessor until it is known which of its leases remain.

    Notes
    -----
    Without that the bounds of the takeover stay in force, which end after the longest
    lease.
    """
    deadline = read_clock() + instance.settings.longest_lease_s
    while read_clock() < deadline and not stopping.is_set():
        answer = fetch_release(instance, unit, owner, predecessor)
        report = None if answer is None else judge_release(answer, predecessor.epoch)
        if report is not None:
            instance.send_event(unit, report)
            _log_report(instance, unit, report)
            return
        stopping.wait(RELEASE_RETRY_S)


def _log_report(
    instance: Instance, unit: int, report: LeasesReported | PredecessorEnded
) -> None:
    if isinstance(report, LeasesReported):
        runners = len(report.remaining_s)
        instance.log.write("leases_inherited", unit=unit, runners=runners)
    else:
        instance.log.write("predecessor_ended", unit=unit, ended_s=report.ended_s)


def judge_release(
    answer: ReleaseAnswer, epoch: int
) -> LeasesReported | PredecessorEnded | None:
    """Return what an answer tells of the owner in `epoch`, or None if it tells nothing.

    Notes
    -----
    Guards against two runs of one task: a process that has claimed the unit in that
    epoch may still be renewing leases. Epochs rise, so that one which has claimed only
    later ones began after that owner, at whose address it answers, had ended.
    """
    if answer.epoch == epoch:
        return LeasesReported(answer.remaining_s)
    if answer.claimed is None or any(known <= epoch for known in answer.claimed):
        return None
    return PredecessorEnded(answer.age_s)


def fetch_release(
    instance: Instance, unit: int, owner: Owner, predecessor: Owner
) -> ReleaseAnswer | None:
    """Return the answer of a predecessor's instance, or None without one.

    Parameters
    ----------
    instance : Instance
        The instance that has taken the unit over.
    unit : int
        Number of the unit.
    owner, predecessor : Owner
        The new owner, whose claim is stored, and the owner before it.
    """
    if predecessor.address == owner.address:
        body = describe_release(instance, unit, owner.epoch)
    else:
        peer = build_instance_peer(instance, predecessor.address, LEASES_TIMEOUT_S)
        path = f"/units/{unit}/leases/{owner.epoch}"
        answer = call_json(peer, "peer.leases", "GET", path)
        body = None if isinstance(answer, Err) else answer.ok_value.body
    if body is None:
        return None
    found = body
    return decode_answer(instance, unit, "peer.leases", lambda: _decode(found))


def _decode(body: dict[str, Any]) -> ReleaseAnswer:
    if "remaining_s" not in body and "claimed" not in body:
        raise DecodeError("tells nothing of leases")
    rows = read_object(body.get("remaining_s", {}), "remaining_s")
    claimed = body.get("claimed")
    return ReleaseAnswer(
        read_integer(body.get("epoch", 0), "epoch"),
        {k: read_number(v, k, low=0.0) for k, v in rows.items()},
        None if claimed is None else _read_epochs(claimed),
        read_number(body.get("age_s", 0.0), "age_s", low=0.0),
    )


def _read_epochs(value: Any) -> frozenset[int]:
    return frozenset(read_integer(epoch, "epoch") for epoch in read_list(value, "list"))


def describe_release(
    instance: Instance, unit: int, epoch: int
) -> dict[str, Any] | None:
    """Return what this process knows of its ownerships of a unit that have ended.

    Parameters
    ----------
    instance : Instance
        This instance.
    unit : int
        Number of the unit.
    epoch : int
        Epoch of the successor that asks.

    Notes
    -----
    The claim of the successor is stored, so that an owner that doesn't know of it yet
    learns of it here, and releases the unit. It has granted nothing more once it has
    recorded the release. Who owns the unit now is told by the store alone.
    """
    claim = instance.claims.get(unit)
    if claim is not None and claim.epoch < epoch:
        claim.superseded = True
        return None
    now = read_clock()
    body = {
        "claimed": sorted(instance.claimed_epochs.get(unit, ())),
        "age_s": round(now - instance.started_at, 3),
    }
    released = instance.released.get(unit)
    if released is None:
        return body
    remaining_s = {
        runner: max(0.0, round(end - now + ROUNDING_S, 3))
        for runner, end in released.lease_ends.items()
    }
    return {**body, "epoch": released.epoch, "remaining_s": remaining_s}
