"""A peer of raw sockets that answers each connection with prepared bytes."""

import contextlib
import itertools
import socket
import threading
from collections.abc import Iterator, Sequence


@contextlib.contextmanager
def serve_raw(answers: Sequence[bytes]) -> Iterator[tuple[str, list[int]]]:
    """Yield an address and the list of the connection number of each request.

    Request k, counted over all connections, gets ``answers[k]``; an empty answer
    closes the connection, and any other leaves it open for more.
    """
    seen: list[int] = []
    counter = itertools.count()
    left = iter(answers)
    listener = socket.create_server(("127.0.0.1", 0))
    open_sockets: list[socket.socket] = []

    def talk(connection: socket.socket, number: int) -> None:
        with contextlib.suppress(OSError):
            while connection.recv(65536):
                seen.append(number)
                answer = next(left, b"")
                if not answer:
                    connection.shutdown(socket.SHUT_RDWR)
                    return
                connection.sendall(answer)

    def accept() -> None:
        with contextlib.suppress(OSError):
            while True:
                connection, _ = listener.accept()
                open_sockets.append(connection)
                threading.Thread(
                    target=talk, args=(connection, next(counter)), daemon=True
                ).start()

    threading.Thread(target=accept, daemon=True).start()
    try:
        yield f"http://127.0.0.1:{listener.getsockname()[1]}", seen
    finally:
        with contextlib.suppress(OSError):
            listener.shutdown(socket.SHUT_RDWR)
        listener.close()
        for connection in open_sockets:
            connection.close()


def format_response(body: bytes, status: str = "200 OK", *headers: str) -> bytes:
    """Return the bytes of a whole HTTP answer."""
    lines = [f"HTTP/1.1 {status}", f"Content-Length: {len(body)}", *headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body
