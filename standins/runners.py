"""Stand-in for the runners of a service: each serves requests on a port of its own.

A request takes the time given in its header ``Work-Ms`` (or by ``work_ms`` in a JSON
body). The response repeats the body and the header ``Request-Id``. A runner accepts all
requests, even beyond its slots, and counts them.
"""

import contextlib
import json
import random
import threading
from collections import Counter, deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from plantainyard.clock import read_clock
from standins.service import Reply, Request, Service, serve

__all__ = ["RunnerFaults", "RunnerState", "describe_runner", "open_runner"]

DEFAULT_WORK_MS = 2.0
MAX_LATENCIES = 200
# Number of threads beyond the slots, so that requests above the limit run and are
# counted.
EXTRA_THREADS = 4


class RunnerFaults(NamedTuple):
    """Injected faults of a runner.

    Attributes
    ----------
    fail_share : float
        Share of requests that run and get a response with status 500.
    refuse_share : float
        Share of requests that are refused with 503 and ``Not-Run: true``.
    truncate_next, wrong_id_next, delay_next : int
        Number of further responses that are truncated, have the id of another request,
        or are delayed by `delay_ms`.
    delay_ms : float
        Delay of the responses counted by `delay_next`.
    slow : float
        Factor by which the time of each request is multiplied.
    """

    fail_share: float = 0.0
    refuse_share: float = 0.0
    truncate_next: int = 0
    wrong_id_next: int = 0
    delay_next: int = 0
    delay_ms: float = 0.0
    slow: float = 1.0


@dataclass
class RunnerState:
    """One runner and the recorded evidence of its requests.

    `leaving_since` is the time at which it began to leave, and `last_after_leaving_s`
    the time from then to its last request.
    """

    name: str
    slots: int
    connections: int
    faults: RunnerFaults = RunnerFaults()
    in_progress: int = 0
    max_in_progress: int = 0
    max_connections: int = 0
    cut_off: int = 0
    leaving_since: float | None = None
    last_after_leaving_s: float = 0.0
    runs: Counter[str] = field(default_factory=Counter)
    latencies_ms: deque[float] = field(
        default_factory=lambda: deque(maxlen=MAX_LATENCIES)
    )
    stopped: threading.Event = field(default_factory=threading.Event)
    lock: threading.Lock = field(default_factory=threading.Lock)


def describe_runner(state: RunnerState) -> dict[str, Any]:
    """Return the runner's evidence as a JSON object."""
    with state.lock:
        return {
            "name": state.name,
            "slots": state.slots,
            "connections": state.connections,
            "max_in_progress": state.max_in_progress,
            "max_connections": state.max_connections,
            "cut_off": state.cut_off,
            "last_after_leaving_s": state.last_after_leaving_s,
            "runs": dict(state.runs),
        }


def measure_latency(state: RunnerState) -> float:
    """Return the 99th percentile of the runner's recent latencies in milliseconds."""
    with state.lock:
        values = sorted(state.latencies_ms)
    return values[min(len(values) - 1, int(len(values) * 0.99))] if values else 0.0


@contextlib.contextmanager
def open_runner(
    state: RunnerState, read_slowdown: Callable[[], float], rng: random.Random
) -> Iterator[Service]:
    """Serve the runner for the duration of the context.

    Parameters
    ----------
    state : RunnerState
        Runner whose faults may change while it is served.
    read_slowdown : callable
        Returns the factor by which interference slows the runner down at present.
    rng : random.Random
        Chooses the requests that fail or are refused.
    """
    service: list[Service] = []

    def handle(request: Request) -> Reply:
        open_connections = service[0].count_connections() if service else 0
        with state.lock:
            state.max_connections = max(state.max_connections, open_connections)
            refused = rng.random() < state.faults.refuse_share
            failed = rng.random() < state.faults.fail_share
        if state.stopped.is_set():
            return Reply(200, b"", cut=True)
        id_header = ("Request-Id", request.headers.get("request-id", ""))
        if refused:
            return Reply(503, b"", (id_header, ("Not-Run", "true")))
        return _run_request(state, request, read_slowdown(), 500 if failed else 200)

    with serve(
        handle, threads=state.slots + EXTRA_THREADS, connections=state.connections
    ) as started:
        service.append(started)
        try:
            yield started
        finally:
            state.stopped.set()


def _run_request(
    state: RunnerState, request: Request, slowdown: float, status: int
) -> Reply:
    request_id = request.headers.get("request-id", "")
    started_at = read_clock()
    with state.lock:
        state.runs[request_id] += 1
        state.in_progress += 1
        if state.leaving_since is not None:
            state.last_after_leaving_s = started_at - state.leaving_since
        state.max_in_progress = max(state.max_in_progress, state.in_progress)
        faults = state.faults
        truncated, has_wrong_id, delayed = _consume_faults(state)
    work_ms = _read_work_ms(request) * faults.slow * slowdown
    extra_ms = faults.delay_ms if delayed else 0.0
    was_stopped = state.stopped.wait((work_ms + extra_ms) / 1000)
    with state.lock:
        state.in_progress -= 1
        state.latencies_ms.append((read_clock() - started_at) * 1000)
        state.cut_off += was_stopped
    response_id = f"not-{request_id}" if has_wrong_id else request_id
    cut = truncated or was_stopped
    body = request.body[: len(request.body) // 2] if cut else request.body
    return Reply(status, body, (("Request-Id", response_id),), cut)


def _consume_faults(state: RunnerState) -> tuple[bool, bool, bool]:
    faults = state.faults
    state.faults = faults._replace(
        truncate_next=max(0, faults.truncate_next - 1),
        wrong_id_next=max(0, faults.wrong_id_next - 1),
        delay_next=max(0, faults.delay_next - 1),
    )
    return faults.truncate_next > 0, faults.wrong_id_next > 0, faults.delay_next > 0


def _read_work_ms(request: Request) -> float:
    header = request.headers.get("work-ms")
    if header is not None:
        return float(header)
    if request.body.startswith(b"{"):
        with contextlib.suppress(ValueError):
            return float(json.loads(request.body).get("work_ms", DEFAULT_WORK_MS))
    return DEFAULT_WORK_MS
