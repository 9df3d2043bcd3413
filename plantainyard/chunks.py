"""Decoding of chunked request bodies."""

from typing import Any

import httptools
from waitress.utilities import BadRequest

__all__ = ["ChunkReceiver"]

PREFACE = b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
"""Makes a new parser expect the first chunk."""

OVERHEAD_FACTOR = 16
"""Accepted ratio of bytes on the wire to bytes of the body. One-byte chunks take six
bytes for each byte, and up to eleven with leading zeros."""

OVERHEAD_BYTES = 16_384
"""Accepted length of chunk extensions and trailers beyond that."""


class ChunkReceiver:
    """The chunked body of one request; has the interface of waitress' receivers.

    Attributes
    ----------
    completed : bool
        Whether the end of the body and its trailers has arrived.
    overrun : bool
        Whether bytes after the end have arrived. They are dropped, because the parser
        doesn't tell where the body ended.
    error : BadRequest or None
        Why the body is invalid.

    Notes
    -----
    The time is proportional to the bytes received, whatever the size of the chunks.
    Extensions and trailers are dropped as they arrive.
    """

    def __init__(self, buffer: Any) -> None:
        self.completed = False
        self.overrun = False
        self.error: BadRequest | None = None
        self._buffer = buffer
        self._received = 0
        self._pieces: list[bytes] = []
        self._parser = httptools.HttpRequestParser(self)
        self._parser.feed_data(PREFACE)

    def __len__(self) -> int:
        """Return the number of bytes of the body that have arrived."""
        return len(self._buffer)

    def on_message_begin(self) -> None:
        """Record that another message follows; called by the parser."""
        self.overrun = self.completed

    def on_body(self, piece: bytes) -> None:
        """Keep a piece of the body; called by the parser."""
        if not self.completed:
            self._pieces.append(piece)

    def on_message_complete(self) -> None:
        """Record the end of the body; called by the parser."""
        self.completed = True

    def received(self, data: bytes) -> int:
        """Decode the next bytes; returns how many were consumed, which is all."""
        self._received += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.overrun = True
        except httptools.HttpParserError as error:
            if self.completed:
                self.overrun = True
            else:
                self.error = BadRequest(f"invalid chunked body: {error}")
        if self._pieces:
            self._buffer.append(b"".join(self._pieces))
            self._pieces.clear()
        if self._received > OVERHEAD_FACTOR * len(self) + OVERHEAD_BYTES:
            self.error = BadRequest("chunk extensions or trailers are too long")
        return len(data)

    def getfile(self) -> Any:
        """Return the body as a file."""
        return self._buffer.getfile()

    def getbuf(self) -> Any:
        """Return the buffer of the body."""
        return self._buffer
