"""A TCP server for tests that responds to each request with prepared bytes."""

import contextlib
import itertools
import socket
import threading
from collections.abc import Iterator, Sequence


@contextlib.contextmanager
def serve_raw(responses: Sequence[bytes]) -> Iterator[tuple[str, list[int]]]:
    """Yield the server's address and the list of each request's connection number.

    Request k, counted over all connections, gets ``responses[k]``. An empty response
    closes the connection; any other leaves it open for further requests.
    """
    request_connections: list[int] = []
    connection_numbers = itertools.count()
    remaining = iter(responses)
    listener = socket.create_server(("127.0.0.1", 0))
    open_sockets: list[socket.socket] = []

    def serve_connection(connection: socket.socket, number: int) -> None:
        with contextlib.suppress(OSError):
            while connection.recv(65536):
                request_connections.append(number)
                response = next(remaining, b"")
                if not response:
                    connection.shutdown(socket.SHUT_RDWR)
                    return
                connection.sendall(response)

    def accept() -> None:
        with contextlib.suppress(OSError):
            while True:
                connection, _ = listener.accept()
                open_sockets.append(connection)
                threading.Thread(
                    target=serve_connection,
                    args=(connection, next(connection_numbers)),
                    daemon=True,
                ).start()

    threading.Thread(target=accept, daemon=True).start()
    try:
        yield f"http://127.0.0.1:{listener.getsockname()[1]}", request_connections
    finally:
        with contextlib.suppress(OSError):
            listener.shutdown(socket.SHUT_RDWR)
        listener.close()
        for connection in open_sockets:
            connection.close()


def format_response(body: bytes, status: str = "200 OK", *headers: str) -> bytes:
    """Return the bytes of a complete HTTP response."""
    lines = [f"HTTP/1.1 {status}", f"Content-Length: {len(body)}", *headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body
