"""The stand-in store and runners behind HTTP on loopback."""

import contextlib
import json
import threading
from collections.abc import Callable, Iterable, Iterator
from typing import Any, NamedTuple
from urllib.parse import parse_qsl
from wsgiref.types import StartResponse, WSGIEnvironment

from plantainyard.clock import read_clock
from plantainyard.serving import serve_app
from standins.platform.runner import RunnerState
from standins.platform.store import StoreState

__all__ = ["PlatformServers", "serve_platform"]

THREADS = 16
CONNECTIONS = 200
BODY_BYTES = 4_000_000
POLL_S = 0.01
"""Time between looks while a call waits for a record or an end."""

Handler = Callable[[str, dict[str, str], bytes], tuple[int, bytes]]


class PlatformServers(NamedTuple):
    """Addresses of a running platform, ``ip:port``."""

    store: str
    runners: dict[str, str]


@contextlib.contextmanager
def serve_platform(
    store: StoreState, runners: Iterable[RunnerState]
) -> Iterator[PlatformServers]:
    """Serve a store and runners for the length of the context.

    Notes
    -----
    Each runner's entry is written to the store once its address is known.
    """
    with contextlib.ExitStack() as stack:
        lock = threading.RLock()
        address = stack.enter_context(_serve(_handle_store(store, lock)))
        addresses = {}
        for runner in runners:
            handler = _handle_runner(runner)
            runner.address = stack.enter_context(_serve(handler))
            addresses[runner.runner] = runner.address
            entry = json.dumps(runner.build_entry(read_clock())).encode()
            store.put("keyed.servers", runner.runner, entry)
        yield PlatformServers(address, addresses)


def _serve(handler: Handler) -> contextlib.AbstractContextManager[str]:
    def app(environ: WSGIEnvironment, start: StartResponse) -> Iterable[bytes]:
        length = int(environ.get("CONTENT_LENGTH") or 0)
        body = environ["wsgi.input"].read(length)
        query = dict(parse_qsl(environ.get("QUERY_STRING", "")))
        status, answer = handler(environ["PATH_INFO"], query, body)
        start(f"{status} -", [("Content-Length", str(len(answer)))])
        return [answer]

    return serve_app(app, "127.0.0.1:0", THREADS, CONNECTIONS, BODY_BYTES)


def _handle_store(store: StoreState, lock: threading.RLock) -> Handler:
    def handle(path: str, query: dict[str, str], body: bytes) -> tuple[int, bytes]:
        until = read_clock() + int(query.get("waitMs", 0)) / 1000
        while True:
            with lock:
                status, answer = _call_store(store, path, query, body)
            waits = path == "/v1/log-read" and status == 200 and len(answer) <= 16
            if not waits or read_clock() >= until:
                return status, answer
            threading.Event().wait(POLL_S)

    return handle


def _call_store(
    store: StoreState, path: str, query: dict[str, str], body: bytes
) -> tuple[int, bytes]:
    if store.faults.down:
        return 503, b"{}"
    if path == "/v1/log-read":
        return store.read(query)
    if path == "/v1/log-append":
        status, found = store.append(query, body)
        if store.faults.lose_answers > 0:
            store.faults.lose_answers -= 1
            # Any status that says nothing about what was done.
            return 500, b""
        return status, _dump(found)
    if path == "/v1/log-newest":
        status, found = store.read_newest(query)
    elif path == "/v1/log-owners":
        status, found = store.read_owners(query)
    elif path == "/v1/log-join":
        status, found = store.join(json.loads(body), read_clock())
    else:
        status, found = store.leave(json.loads(body), read_clock())
    return status, _dump(found)


def _handle_runner(runner: RunnerState) -> Handler:
    def handle(path: str, query: dict[str, str], body: bytes) -> tuple[int, bytes]:
        data = json.loads(body)
        until = read_clock() + data.get("waitMs", 0) / 1000
        while True:
            with runner.lock:
                status, answer = runner.call(path[4:], data, read_clock())
            if answer.get("endedRuns") or status != 200 or read_clock() >= until:
                return status, _dump(answer)
            threading.Event().wait(POLL_S)

    return handle


def _dump(data: Any) -> bytes:
    return json.dumps(data).encode()
