"""How long this instance may act for a rack, from its workers' acceptances."""

from .terms import Term

__all__ = ["EPOCHS_PER_TERM", "find_authority_end", "make_epoch"]

EPOCHS_PER_TERM = 1000


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


def find_authority_end(term: Term, now: float) -> float:
    """Return the end of the authority over the term's rack, minus infinity for none.

    Notes
    -----
    More than half of the rack's workers must have accepted the epoch, each counted
    from before the sending: two majorities share a worker, and that worker refuses
    the older epoch.
    """
    lease_s = term.rack.terms.lease_s * (1.0 - term.rack.terms.drift)
    views = [v for v in term.rack.views.values() if not v.gone]
    ends = sorted((v.accepted_at + lease_s for v in views if v.fenced), reverse=True)
    majority = len(views) // 2
    return ends[majority] if len(ends) > majority else float("-inf")
