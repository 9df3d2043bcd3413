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
        Workers of earlier claims whose holders, or their caretakers, may still act; a
        majority of each set must be fenced before the first authority, since theirs
        rests on it. Empty for the first claim.
    stopped : bool
        Whether the last owner had authority when it stopped. Then only a caretaker can
        be left to wait for, and none where the workers say so.
    """

    def __init__(
        self,
        terms: AuthorityTerms,
        workers: Iterable[str],
        previous: Iterable[Iterable[str]],
        stopped: bool = False,
    ) -> None:
        self.terms = terms
        self.workers = frozenset(workers)
        self.previous = [frozenset(members) for members in previous]
        self.stopped = stopped
        self.read: dict[str, float] = {}
        self.accepted: dict[str, float] = {}
        self.gone: frozenset[str] = frozenset()
        self.waited = False
        self.established_at: float | None = None


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


def record_read_epoch(
    authority: Authority, worker: str, epoch: int, sent_at: float
) -> None:
    """Note the epoch that `worker` showed, before it accepted this one.

    Parameters
    ----------
    authority : Authority
        Changed in place.
    worker : str
        The worker.
    epoch : int
        The greatest epoch that it had seen; below one where it saw none.
    sent_at : float
        This instance's clock before the asking.
    """
    if epoch <= 0 or epoch % EPOCHS_PER_TERM == 0:
        authority.read[worker] = sent_at


def record_acceptance(
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


def record_terminated(authority: Authority, gone: Iterable[str], now: float) -> None:
    """Note workers that are vouched to run nothing and to answer nobody."""
    authority.gone = frozenset(gone)
    _note_fenced(authority, now)


def _note_fenced(authority: Authority, now: float) -> None:
    if authority.established_at is not None:
        return
    fenced = authority.accepted.keys() | authority.gone
    sets = [authority.workers, *authority.previous]
    if not all(_is_majority(fenced & members, members) for members in sets if members):
        return
    authority.waited = bool(authority.previous) and not _is_free(authority, now)
    lease_s = authority.terms.lease_s * (1.0 + 2.0 * authority.terms.drift)
    authority.established_at = now + (lease_s if authority.waited else 0.0)


def _is_free(authority: Authority, now: float) -> bool:
    """Tell whether nobody can have, or still gain, authority before this epoch.

    Guards a hand-over by an owner that didn't know of a caretaker: two instances would
    act at once. A majority of the former workers had seen no caretaker's epoch when
    they were read, so a caretaker can only have fenced a majority since; it may not act
    before a lease has passed and a majority has confirmed it after that. By then a
    majority refuses it, for this epoch took less than a lease from the reading.
    """
    newest = now - authority.terms.lease_s * (1.0 - 2.0 * authority.terms.drift)
    recent = {worker for worker, at in authority.read.items() if at > newest}
    former = [members for members in authority.previous if members]
    return authority.stopped and all(
        _is_majority(recent & members, members) for members in former
    )


def has_majority(authority: Authority) -> bool:
    """Tell whether a majority of every worker set has accepted this epoch."""
    return authority.established_at is not None


def find_confirmation_time(authority: Authority) -> float:
    """Return the latest time since which a majority accepted this epoch.

    Returns
    -------
    float
        This instance's clock; no newer epoch had a majority before it. Minus infinity
        where there is no majority.
    """
    counted = authority.workers
    live = counted - authority.gone
    times = sorted((authority.accepted.get(w, _NEVER) for w in live), reverse=True)
    majority = len(counted) // 2
    return times[majority] if len(times) > majority else _NEVER


def _is_majority(part: Iterable[str], whole: frozenset[str]) -> bool:
    return 2 * len(frozenset(part)) > len(whole)


def find_authority_end(authority: Authority) -> float:
    """Return the time at which the authority ends if nothing more is accepted.

    Returns
    -------
    float
        Minus infinity where there is none.
    """
    lease_s = authority.terms.lease_s * (1.0 - authority.terms.drift)
    return find_confirmation_time(authority) + lease_s


def has_authority(authority: Authority, now: float) -> bool:
    """Tell whether this instance may act for the rack at `now`.

    Notes
    -----
    Guards against two instances that both lend a runner's slots or both let a
    request id run. The failure: an owner pauses past its lease and wakes while its
    successor acts. The guard holds on both sides: the former owner counts its
    acceptances from before their sending and checks again after every wait; the new
    one, once a majority refuses the old epoch, still waits the lease that the former
    owner could have gained just before. Having waited, it must be confirmed once more:
    a still newer epoch may have taken the majority meanwhile.
    """
    begins = authority.established_at
    if begins is None or not begins <= now < find_authority_end(authority):
        return False
    return not authority.waited or find_confirmation_time(authority) >= begins
