"""HTTP servers on loopback for the stand-in store and runners."""

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
MAX_CONNECTIONS = 200
MAX_BODY_BYTES = 4_000_000
POLL_INTERVAL_S = 0.01
"""Time between checks while a call waits for a record or for the end of a run."""

Handler = Callable[[str, dict[str, str], bytes], tuple[int, bytes]]


class PlatformServers(NamedTuple):
    """Addresses of a running platform, ``ip:port``."""

    store: str
    runners: dict[str, str]


@contextlib.contextmanager
def serve_platform(
    store: StoreState, runners: Iterable[RunnerState]
) -> Iterator[PlatformServers]:
    """Serve a store and runners for the duration of the context.

    Notes
    -----
    Each runner's entry is written to the store as soon as its address is known.
    """
    with contextlib.ExitStack() as stack:
        lock = threading.RLock()
        address = stack.enter_context(_serve(_build_store_handler(store, lock)))
        addresses = {}
        for runner in runners:
            handler = _build_runner_handler(runner)
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
        status, response = handler(environ["PATH_INFO"], query, body)
        start(f"{status} -", [("Content-Length", str(len(response)))])
        return [response]

    return serve_app(app, "127.0.0.1:0", THREADS, MAX_CONNECTIONS, MAX_BODY_BYTES)


def _build_store_handler(store: StoreState, lock: threading.RLock) -> Handler:
    def handle(path: str, query: dict[str, str], body: bytes) -> tuple[int, bytes]:
        deadline = read_clock() + int(query.get("waitMs", 0)) / 1000
        while True:
            with lock:
                status, response = _call_store(store, path, query, body)
            is_empty_read = (
                path == "/v1/log-read" and status == 200 and len(response) <= 16
            )
            if not is_empty_read or read_clock() >= deadline:
                return status, response
            threading.Event().wait(POLL_INTERVAL_S)

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
            # A status from which the caller can't tell whether the append was done.
            return 500, b""
        return status, _encode(found)
    if path == "/v1/log-newest":
        status, found = store.read_newest(query)
    elif path == "/v1/log-owners":
        status, found = store.read_owners(query)
    elif path == "/v1/log-join":
        status, found = store.join(json.loads(body), read_clock())
    else:
        status, found = store.leave(json.loads(body), read_clock())
    return status, _encode(found)


def _build_runner_handler(runner: RunnerState) -> Handler:
    def handle(path: str, query: dict[str, str], body: bytes) -> tuple[int, bytes]:
        data = json.loads(body)
        deadline = read_clock() + data.get("waitMs", 0) / 1000
        while True:
            with runner.lock:
                status, response = runner.call(path[4:], data, read_clock())
            if response.get("endedRuns") or status != 200 or read_clock() >= deadline:
                return status, _encode(response)
            threading.Event().wait(POLL_INTERVAL_S)

    return handle


def _encode(data: Any) -> bytes:
    return json.dumps(data).encode()
