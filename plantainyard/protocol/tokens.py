"""The ``Authorization`` header with the bearer token that instances share."""

import hmac

__all__ = ["build_authorization", "check_authorization"]

_SCHEME = "Bearer "


def build_authorization(token: str) -> str:
    """Return the value of the ``Authorization`` header for `token`."""
    return _SCHEME + token


def check_authorization(header: str, token: str) -> bool:
    """Return whether `header` contains `token`.

    Notes
    -----
    The comparison takes constant time, regardless of the position of the first
    difference, so that the token can't be guessed byte by byte. An empty token matches
    no header.

    Examples
    --------
    >>> check_authorization("Bearer abc", "abc")
    True
    >>> check_authorization("Bearer ", "")
    False
    """
    expected = build_authorization(token).encode()
    return bool(token) and hmac.compare_digest(header.encode(), expected)
