"""A shared token that can be compared but not printed."""

import hmac

__all__ = ["Secret"]


class Secret:
    """A token between processes.

    Notes
    -----
    A token that reaches a log line or a dump lets every reader command workers. The
    value is therefore absent from ``repr``, ``str`` and every encoder that walks
    public attributes; `reveal` is the only way to it.

    Examples
    --------
    >>> Secret("0123456789abcdef")
    Secret(***)
    """

    __slots__ = ("_value",)

    def __init__(self, value: str) -> None:
        self._value = value

    def __repr__(self) -> str:
        """Return a text without the value."""
        return "Secret(***)"

    def __eq__(self, other: object) -> bool:
        """Return whether `other` holds the same token."""
        return isinstance(other, Secret) and self.matches(other._value)

    def __hash__(self) -> int:
        """Return a hash that agrees with equality."""
        return hash(self._value)

    def matches(self, offered: str) -> bool:
        """Return whether `offered` is the token, in time that tells nothing of it."""
        return hmac.compare_digest(self._value.encode(), offered.encode())

    def reveal(self) -> str:
        """Return the token, for the header of an outgoing request."""
        return self._value
