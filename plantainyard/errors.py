"""The package's error values.

Errors are values, carried in `result.Err`; each names the step and the peer at
which it arose, so that one log line tells where to look.
"""

from typing import NamedTuple

__all__ = ["CallError", "ErrorKind", "describe_error"]


class ErrorKind:
    """Names of the kinds of `CallError`.

    Notes
    -----
    ``UNREACHABLE``
        The request provably never reached the peer (no connection).
    ``REFUSED``
        The peer answered that it did not act; `CallError.retry_after_s` may say
        when to come back.
    ``CONFLICT``
        The peer holds a newer version, epoch or fencing token than the one sent.
    ``OTHER_INCARNATION``
        The process that was meant is gone; another one answered at its address.
    ``MALFORMED``
        The peer answered, but the answer can't be read or is not for this call.
    ``LOST``
        The request may have reached the peer; whether it acted is not known.
    """

    UNREACHABLE = "unreachable"
    REFUSED = "refused"
    CONFLICT = "conflict"
    OTHER_INCARNATION = "other life"
    MALFORMED = "malformed"
    LOST = "lost"


class CallError(NamedTuple):
    """A failed step against a peer.

    Attributes
    ----------
    kind : str
        One of the names in `ErrorKind`.
    step : str
        What was being done, for example ``"log.append"``.
    peer : str
        Address or identifier of the other side.
    detail : str
        Free text for people.
    retry_after_s : float
        Seconds after which to come back; zero where the peer named no time.
    """

    kind: str
    step: str
    peer: str
    detail: str = ""
    retry_after_s: float = 0.0


def describe_error(error: CallError) -> str:
    """Return `error` as one line for people.

    Parameters
    ----------
    error : CallError
        The error to describe.

    Returns
    -------
    str
        The step, the peer, the kind and the detail.

    Examples
    --------
    >>> describe_error(CallError("lost", "log.append", "127.0.0.1:7", "no answer"))
    'log.append at 127.0.0.1:7: lost (no answer)'
    """
    detail = f" ({error.detail})" if error.detail else ""
    return f"{error.step} at {error.peer}: {error.kind}{detail}"
