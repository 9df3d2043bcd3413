"""Calls to other instances: one message there, one message back."""

from typing import TypeVar

from result import Err, Result

from plantainyard.errors import CallError, ErrorKind
from plantainyard.protocol import (
    CREDITS_PATH,
    PROTOCOL_VERSION,
    VERSION_HEADER,
    CreditAnswer,
    CreditAsk,
    Message,
    build_authorization,
    decode_message,
    encode_message,
)
from plantainyard.transport import HttpPeer, send_request

__all__ = ["send_credit_request", "call_peer"]

_OK = 200
_REFUSED_STATUSES = frozenset({400, 401, 403, 404, 405, 413, 429, 503})
_M = TypeVar("_M")


def call_peer(
    peer: HttpPeer,
    token: str,
    path: str,
    message: Message,
    expected: type[_M],
    timeout_s: float,
) -> Result[_M, CallError]:
    """Send `message` to a peer, once, and return its answer.

    Parameters
    ----------
    peer : HttpPeer
        The other instance.
    token : str
        The bearer token.
    path : str
        One of the paths in `protocol.constants`.
    message : Message
        What to send.
    expected : type
        Type of the answer.
    timeout_s : float
        Longest wait for the whole answer.

    Returns
    -------
    Result
        The answer; ``REFUSED`` where the peer answered that it did not act.
    """
    headers = {
        "Authorization": build_authorization(token),
        "Content-Type": "application/json",
        VERSION_HEADER: str(PROTOCOL_VERSION),
    }
    step = f"peer{path.replace('/peer/', '.')}"
    body = encode_message(message)
    result = send_request(peer, step, "POST", path, body, headers, timeout_s)
    if isinstance(result, Err):
        return result
    answer = result.ok_value
    if answer.status != _OK:
        kind = (
            ErrorKind.REFUSED if answer.status in _REFUSED_STATUSES else ErrorKind.LOST
        )
        detail = f"status {answer.status}"
        return Err(CallError(kind, step, peer.address, detail))
    return decode_message(answer.body, expected, peer.address)


def send_credit_request(
    peer: HttpPeer, token: str, ask: CreditAsk, timeout_s: float
) -> Result[CreditAnswer, CallError]:
    """Send a credit ask to the owner of its rack."""
    return call_peer(peer, token, CREDITS_PATH, ask, CreditAnswer, timeout_s)
