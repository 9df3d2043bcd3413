"""HTTP servers of stand-ins: many small waitress servers in one process."""

import contextlib
import json
import logging
import signal
import threading
from collections.abc import Callable, Iterable, Iterator, Mapping
from typing import Any, NamedTuple
from urllib.parse import parse_qsl

import waitress
from waitress import wasyncore

__all__ = [
    "Handler",
    "Reply",
    "Request",
    "Service",
    "build_reply",
    "run_service",
    "serve",
]

LOOP_TIMEOUT_S = 0.5
MAX_BODY_BYTES = 64 * 1024 * 1024
# Number of bytes by which the Content-Length of a cut reply exceeds its body, so that
# the caller sees a truncated response.
MISSING_BYTES = 64


class Request(NamedTuple):
    """Request to a stand-in; header names are in lower case."""

    method: str
    path: str
    query: Mapping[str, str]
    headers: Mapping[str, str]
    body: bytes


class Reply(NamedTuple):
    """Response of a stand-in.

    Attributes
    ----------
    cut : bool
        Announce more bytes than are sent, then close the connection, so that the
        response is lost to the caller.
    """

    status: int = 200
    body: bytes = b"{}"
    headers: tuple[tuple[str, str], ...] = ()
    cut: bool = False


Handler = Callable[[Request], Reply]


class Service(NamedTuple):
    """A running server.

    Attributes
    ----------
    address : str
        Base URL.
    count_connections : callable
        Returns the number of open connections.
    """

    address: str
    count_connections: Callable[[], int]


def build_reply(
    body: Mapping[str, Any], status: int = 200, retry_after_s: float = 0.0
) -> Reply:
    """Return a JSON reply, with a Retry-After header if a time is given."""
    headers = [("Content-Type", "application/json")]
    if retry_after_s:
        headers.append(("Retry-After", str(retry_after_s)))
    data = json.dumps(body, separators=(",", ":")).encode()
    return Reply(status, data, tuple(headers))


@contextlib.contextmanager
def serve(
    handler: Handler, port: int = 0, threads: int = 8, connections: int = 1000
) -> Iterator[Service]:
    """Serve `handler` on loopback for the duration of the context.

    Parameters
    ----------
    handler : callable
        Returns the reply to a request; called in one of `threads` threads.
    port : int
        TCP port; zero lets the system choose.
    threads : int
        Number of requests handled concurrently.
    connections : int
        Maximum of open connections; further ones wait in the backlog.
    """
    _silence_waitress()
    channels: dict[int, Any] = {}
    server = waitress.create_server(
        _build_application(handler),
        map=channels,
        host="127.0.0.1",
        port=port,
        threads=threads,
        connection_limit=connections + len(channels) + 2,
        max_request_body_size=MAX_BODY_BYTES,
        ident=None,
    )
    stopping = threading.Event()
    thread = threading.Thread(
        target=_run_loop, args=(server, channels, stopping), daemon=True
    )
    thread.start()
    try:
        yield Service(
            f"http://127.0.0.1:{server.effective_port}",
            lambda: len(server.active_channels),
        )
    finally:
        stopping.set()
        server.pull_trigger()
        thread.join()


def run_service(enter: contextlib.AbstractContextManager[Mapping[str, Any]]) -> None:
    """Keep a stand-in's context open until the process gets SIGTERM or SIGINT.

    The mapping that the context yields is printed as one JSON line, which reports that
    the stand-in is ready, and its addresses.
    """
    # A signal handler that sets an event can interrupt the event's own wait while that
    # holds the event's lock, and the process hangs. The signals are therefore blocked
    # in all threads, which inherit the mask, and awaited here.
    signals = {signal.SIGTERM, signal.SIGINT}
    signal.pthread_sigmask(signal.SIG_BLOCK, signals)
    with enter as ready:
        print(json.dumps(ready), flush=True)
        signal.sigwait(signals)


def _silence_waitress() -> None:
    # Replies are cut on purpose, but waitress would log each of them as an error.
    logging.getLogger("waitress").setLevel(logging.CRITICAL)
    logging.getLogger("waitress.queue").setLevel(logging.CRITICAL)


def _run_loop(server: Any, channels: dict[int, Any], stopping: threading.Event) -> None:
    while not stopping.is_set():
        wasyncore.loop(timeout=LOOP_TIMEOUT_S, use_poll=True, map=channels, count=1)
    server.task_dispatcher.shutdown(timeout=1)
    wasyncore.close_all(channels, ignore_all=True)


def _build_application(handler: Handler) -> Callable[..., Iterable[bytes]]:
    def application(
        environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> list[bytes]:
        reply = handler(_read_request(environ))
        length = len(reply.body) + (MISSING_BYTES if reply.cut else 0)
        headers = [*reply.headers, ("Content-Length", str(length))]
        start_response(f"{reply.status} Status", headers)
        return [reply.body]

    return application


def _read_request(environ: dict[str, Any]) -> Request:
    headers = {
        name[5:].replace("_", "-").lower(): value
        for name, value in environ.items()
        if name.startswith("HTTP_")
    }
    return Request(
        environ["REQUEST_METHOD"],
        environ["PATH_INFO"],
        dict(parse_qsl(environ.get("QUERY_STRING", ""))),
        headers,
        environ["wsgi.input"].read(),
    )
