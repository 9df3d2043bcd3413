"""Authority of an instance over a rack, arbitrated by the rack's workers.

A worker rejects epochs lower than the highest that it has seen. An instance acts for a
rack only while more than half of the workers named in the claim have accepted its epoch
within the lease. Any two such majorities share a worker, which rejects one of the two
epochs.
"""

from collections.abc import Iterable
from typing import NamedTuple

__all__ = [
    "EPOCHS_PER_TERM",
    "Authority",
    "AuthorityTerms",
    "find_authority_end",
    "find_confirmation_time",
    "has_authority",
    "has_majority",
    "make_epoch",
    "record_acceptance",
    "record_read_epoch",
    "record_terminated",
]

EPOCHS_PER_TERM = 1000
"""Epochs reserved for each term: the owner's, and those of takeovers after it."""

_NEVER = float("-inf")


class AuthorityTerms(NamedTuple):
    """Parameters of the lease on which an authority rests.

    Attributes
    ----------
    lease_s : float
        Seconds for which a worker's acceptance is valid.
    drift : float
        Largest relative difference between the rates of two clocks.
    """

    lease_s: float
    drift: float


class Authority:
    """State of one instance's authority over a rack under one epoch.

    Parameters
    ----------
    terms : AuthorityTerms
        Parameters of the lease.
    workers : iterable of str
        Workers named in the claim; the authority requires a majority of them.
    previous : iterable of iterable of str
        Workers of earlier claims whose holders or caretakers may still act. Their
        authority rests on a majority of each set, so a majority of each set must be
        fenced before this authority begins. Empty for the first claim.
    clean_handover : bool
        Whether the last owner had authority when it stopped acting. Then only a
        caretaker can still act, and the workers' epochs show whether there is one.

    Attributes
    ----------
    read_at : dict
        For each worker that showed no caretaker's epoch, when it was asked.
    accepted_at : dict
        For each worker that accepted this epoch, when the latest call was sent.
    terminated : frozenset of str
        Workers that certainly run nothing any more.
    waits_for_lease : bool
        Whether the lease of a former holder has to expire first.
    established_at : float or None
        Time at which the authority begins, once a majority has accepted this epoch.
    """

    def __init__(
        self,
        terms: AuthorityTerms,
        workers: Iterable[str],
        previous: Iterable[Iterable[str]],
        clean_handover: bool = False,
    ) -> None:
        self.terms = terms
        self.workers = frozenset(workers)
        self.previous = [frozenset(members) for members in previous]
        self.clean_handover = clean_handover
        self.read_at: dict[str, float] = {}
        self.accepted_at: dict[str, float] = {}
        self.terminated: frozenset[str] = frozenset()
        self.waits_for_lease = False
        self.established_at: float | None = None


def make_epoch(term: int, takeovers: int = 0) -> int:
    """Return the epoch of a rack's term.

    Parameters
    ----------
    term : int
        Offset of the claim in the log.
    takeovers : int
        Number of takeovers by caretakers since the claim, while the log was
        unavailable.

    Notes
    -----
    The offset is increased by one because the first record of a stream has offset zero,
    and an epoch of zero means "none", both to workers that never received a command
    and to callers that ask for the authority.
    """
    return (term + 1) * EPOCHS_PER_TERM + takeovers


def record_read_epoch(
    authority: Authority, worker: str, epoch: int, sent_at: float
) -> None:
    """Record the epoch that `worker` reported before it accepted this one.

    Parameters
    ----------
    authority : Authority
        Changed in place.
    worker : str
        The worker.
    epoch : int
        The highest epoch that it had seen; less than one if none.
    sent_at : float
        This instance's clock before the request was sent.
    """
    if epoch <= 0 or epoch % EPOCHS_PER_TERM == 0:
        authority.read_at[worker] = sent_at


def record_acceptance(
    authority: Authority, worker: str, sent_at: float, now: float
) -> None:
    """Record that `worker` accepted the epoch in a call sent at `sent_at`.

    Parameters
    ----------
    authority : Authority
        Changed in place.
    worker : str
        The worker.
    sent_at : float
        This instance's clock before the call was sent. The worker may have accepted at
        any later time, so the lease is counted from the earliest possible one.
    now : float
        This instance's clock when the response arrived. The worker has rejected the
        former owner since then at the latest.
    """
    earlier = authority.accepted_at.get(worker, _NEVER)
    authority.accepted_at[worker] = max(earlier, sent_at)
    _update_established(authority, now)


def record_terminated(authority: Authority, workers: Iterable[str], now: float) -> None:
    """Set the workers that certainly run nothing and respond to nobody."""
    authority.terminated = frozenset(workers)
    _update_established(authority, now)


def _update_established(authority: Authority, now: float) -> None:
    if authority.established_at is not None:
        return
    fenced = authority.accepted_at.keys() | authority.terminated
    sets = [authority.workers, *authority.previous]
    if not all(_is_majority(fenced & members, members) for members in sets if members):
        return
    authority.waits_for_lease = bool(authority.previous) and not _can_act_at_once(
        authority, now
    )
    lease_s = authority.terms.lease_s * (1.0 + 2.0 * authority.terms.drift)
    authority.established_at = now + (lease_s if authority.waits_for_lease else 0.0)


def _can_act_at_once(authority: Authority, now: float) -> bool:
    """Return whether no former holder has, or can still gain, authority.

    Guards against two instances that act at once after a hand-over by an owner that
    didn't know of a caretaker. A majority of the former workers had seen no caretaker's
    epoch when they were read, so a caretaker can only have fenced a majority later. It
    may act only after a lease has passed and a majority has confirmed its epoch again.
    By then a majority rejects it, because this epoch was accepted less than a lease
    after the reading.
    """
    oldest = now - authority.terms.lease_s * (1.0 - 2.0 * authority.terms.drift)
    recent = {worker for worker, at in authority.read_at.items() if at > oldest}
    former_sets = [members for members in authority.previous if members]
    return authority.clean_handover and all(
        _is_majority(recent & members, members) for members in former_sets
    )


def has_majority(authority: Authority) -> bool:
    """Return whether a majority of every worker set has accepted this epoch."""
    return authority.established_at is not None


def find_confirmation_time(authority: Authority) -> float:
    """Return the latest time after which a majority has accepted this epoch.

    Returns
    -------
    float
        Time on this instance's clock; no newer epoch had a majority before it. Minus
        infinity if there is no majority.
    """
    named = authority.workers
    live = named - authority.terminated
    times = sorted((authority.accepted_at.get(w, _NEVER) for w in live), reverse=True)
    half = len(named) // 2
    return times[half] if len(times) > half else _NEVER


def _is_majority(part: Iterable[str], whole: frozenset[str]) -> bool:
    return 2 * len(frozenset(part)) > len(whole)


def find_authority_end(authority: Authority) -> float:
    """Return the time at which the authority ends unless it is renewed.

    Returns
    -------
    float
        Minus infinity if there is no authority.
    """
    lease_s = authority.terms.lease_s * (1.0 - authority.terms.drift)
    return find_confirmation_time(authority) + lease_s


def has_authority(authority: Authority, now: float) -> bool:
    """Return whether this instance may act for the rack at `now`.

    Notes
    -----
    Guards against two instances that both lend a runner's slots or both let a request
    id run, because an owner is paused past the end of its lease and resumes while its
    successor acts. Both sides take precautions. The former owner counts the lease from
    before its calls were sent and checks it again after every wait. The new owner,
    once a majority rejects the old epoch, waits for the lease that the former owner
    could have renewed just before. After the wait a majority must confirm its epoch
    again, because a still newer epoch may have gained the majority meanwhile.
    """
    begins_at = authority.established_at
    if begins_at is None or not begins_at <= now < find_authority_end(authority):
        return False
    return (
        not authority.waits_for_lease or find_confirmation_time(authority) >= begins_at
    )
