"""Calls to other instances: one request message and one response message each."""

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
"""HTTP statuses with which a peer says that it did not act on the request."""

_ResponseT = TypeVar("_ResponseT")


def call_peer(
    peer: HttpPeer,
    token: str,
    path: str,
    message: Message,
    expected: type[_ResponseT],
    timeout_s: float,
) -> Result[_ResponseT, CallError]:
    """Send `message` to a peer, without retries, and return its response.

    Parameters
    ----------
    peer : HttpPeer
        The other instance.
    token : str
        Bearer token of the instances.
    path : str
        One of the paths in `protocol.constants`.
    message : Message
        The message to send.
    expected : type
        Type of the response message.
    timeout_s : float
        Longest wait for the whole response, in seconds.

    Returns
    -------
    Result
        The response message, or the error. Its kind is ``REFUSED`` if the peer's status
        says that it did not act, and ``LOST`` for any other status than 200.
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
    response = result.ok_value
    if response.status != _OK:
        kind = (
            ErrorKind.REFUSED
            if response.status in _REFUSED_STATUSES
            else ErrorKind.LOST
        )
        detail = f"status {response.status}"
        return Err(CallError(kind, step, peer.address, detail))
    return decode_message(response.body, expected, peer.address)


def send_credit_request(
    peer: HttpPeer, token: str, request: CreditAsk, timeout_s: float
) -> Result[CreditAnswer, CallError]:
    """Send a credit request to the owner of its rack and return the response."""
    return call_peer(peer, token, CREDITS_PATH, request, CreditAnswer, timeout_s)
