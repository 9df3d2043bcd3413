"""A wrapper for the shared token that keeps it out of logs and dumps."""

import hmac

__all__ = ["Secret"]


class Secret:
    """A token with which processes authenticate to each other.

    Notes
    -----
    If the token reaches a log line or a dump, everyone who reads it can command
    workers. The value is therefore absent from ``repr``, ``str`` and every encoder that
    walks public attributes; only `reveal` returns it.

    Examples
    --------
    >>> Secret("0123456789abcdef")
    Secret(***)
    """

    __slots__ = ("_value",)

    def __init__(self, value: str) -> None:
        self._value = value

    def __repr__(self) -> str:
        """Return a representation without the value."""
        return "Secret(***)"

    def __eq__(self, other: object) -> bool:
        """Return whether `other` holds the same token."""
        return isinstance(other, Secret) and self.matches(other._value)

    def __hash__(self) -> int:
        """Return a hash that is consistent with equality."""
        return hash(self._value)

    def matches(self, offered: str) -> bool:
        """Return whether `offered` equals the token, compared in constant time."""
        return hmac.compare_digest(self._value.encode(), offered.encode())

    def reveal(self) -> str:
        """Return the token, for the header of an outgoing request."""
        return self._value
