"""Authority over a rack, arbitrated by the rack's workers.

A worker refuses an epoch older than the greatest it has seen. An instance acts for a
rack only while more than half of the workers named in the claim accepted its epoch
within the lease; two such majorities share a worker, which refused one of the two.
"""

from collections.abc import Iterable
from typing import NamedTuple

__all__ = [
    "EPOCHS_PER_TERM",
    "Authority",
    "AuthorityTerms",
    "find_end",
    "has_authority",
    "is_established",
    "make_epoch",
    "note_accepted",
    "note_gone",
]

EPOCHS_PER_TERM = 1000
_NEVER = float("-inf")


class AuthorityTerms(NamedTuple):
    """Lengths that bound an authority.

    Attributes
    ----------
    lease_s : float
        Seconds for which an acceptance counts.
    drift : float
        Largest relative difference of two clocks' speeds.
    """

    lease_s: float
    drift: float


class Authority:
    """What one instance knows of its authority under one epoch.

    Parameters
    ----------
    terms : AuthorityTerms
        Lengths.
    workers : iterable of str
        Workers named in the claim; a majority of them makes the authority.
    previous : iterable of iterable of str
        Workers of earlier claims whose holders may still act; a majority of each set
        must be fenced before the first authority, since theirs rests on it. Empty for
        the first claim, and where the last owner said that it stopped: then there is
        nobody to wait for.
    """

    def __init__(
        self,
        terms: AuthorityTerms,
        workers: Iterable[str],
        previous: Iterable[Iterable[str]],
    ) -> None:
        self.terms = terms
        self.workers = frozenset(workers)
        self.previous = [frozenset(members) for members in previous]
        self.accepted: dict[str, float] = {}
        self.gone: frozenset[str] = frozenset()
        self.fenced_at: float | None = None


def make_epoch(term: int, takeover: int = 0) -> int:
    """Return the epoch of a rack's term.

    Parameters
    ----------
    term : int
        Offset of the claim.
    takeover : int
        Number of takings over since, while the log was out.

    Notes
    -----
    The first record of a stream stands at offset zero; an epoch of zero would look
    like none to a worker that was never commanded, and to whoever asks for authority.
    """
    return (term + 1) * EPOCHS_PER_TERM + takeover


def note_accepted(
    authority: Authority, worker: str, sent_at: float, now: float
) -> None:
    """Note that `worker` accepted the epoch in a call sent at `sent_at`.

    Parameters
    ----------
    authority : Authority
        Changed in place.
    worker : str
        The worker.
    sent_at : float
        This instance's clock before the sending: the worker may have accepted at any
        time after it, and the authority must end by the earliest.
    now : float
        This instance's clock on receiving the answer: the former owner was refused
        from that time at the latest.
    """
    earlier = authority.accepted.get(worker, _NEVER)
    authority.accepted[worker] = max(earlier, sent_at)
    _note_fenced(authority, now)


def note_gone(authority: Authority, gone: Iterable[str], now: float) -> None:
    """Note workers that are vouched to run nothing and to answer nobody."""
    authority.gone = frozenset(gone)
    _note_fenced(authority, now)


def _note_fenced(authority: Authority, now: float) -> None:
    if authority.fenced_at is not None:
        return
    fenced = authority.accepted.keys() | authority.gone
    sets = [authority.workers, *authority.previous]
    if all(_is_majority(fenced & members, members) for members in sets if members):
        authority.fenced_at = now


def _is_majority(part: Iterable[str], whole: frozenset[str]) -> bool:
    return 2 * len(frozenset(part)) > len(whole)


def find_end(authority: Authority) -> float:
    """Return the time at which the authority ends if nothing more is accepted.

    Returns
    -------
    float
        Minus infinity where there is none.
    """
    lease_s = authority.terms.lease_s * (1.0 - authority.terms.drift)
    counted = authority.workers
    ends = sorted(
        (authority.accepted.get(w, _NEVER) + lease_s for w in counted - authority.gone),
        reverse=True,
    )
    majority = len(counted) // 2
    return ends[majority] if len(ends) > majority else _NEVER


def is_established(authority: Authority, now: float) -> bool:
    """Tell whether nobody before can have authority any more.

    Notes
    -----
    It stays true once it is: the former owners' epochs are refused by a majority of
    each of their worker sets for good, and their last leases are over.
    """
    if authority.fenced_at is None:
        return False
    lease_s = authority.terms.lease_s * (1.0 + 2.0 * authority.terms.drift)
    return not authority.previous or now >= authority.fenced_at + lease_s


def has_authority(authority: Authority, now: float) -> bool:
    """Tell whether this instance may act for the rack at `now`.

    Notes
    -----
    Guards against two instances that both lend a runner's slots or both let a
    request id run. The failure: an owner pauses past its lease and wakes while its
    successor acts. The guard holds on both sides: the former owner counts its
    acceptances from before their sending and checks again after every wait; the new
    one, once a majority refuses the old epoch, still waits the lease that the former
    owner could have gained just before.
    """
    return is_established(authority, now) and now < find_end(authority)
