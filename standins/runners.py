"""Stand-in for the runners of a service: each serves requests on a port of its own.

A request takes the time of its header ``Work-Ms`` (or of ``work_ms`` in a JSON
body), and its answer repeats the body and the header ``Request-Id``. A runner takes
whatever is sent, also beyond its slots, and counts it.
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
LATENCIES_KEPT = 200
# Threads beyond the slots make a request above the limit show in the counts.
SPARE_THREADS = 4


class RunnerFaults(NamedTuple):
    """What is wrong with a runner.

    Attributes
    ----------
    fail_share : float
        Share of requests that run and are answered with 500.
    refuse_share : float
        Share that is refused with 503 and ``Not-Run: true``.
    truncate_next, wrong_id_next, delay_next : int
        That many of the next answers are cut short, carry another request's id, or
        come `delay_ms` late.
    delay_ms : float
        See `delay_next`.
    slow : float
        Factor on each request's time.
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
    """One runner and the evidence of what it was sent.

    `left` is when it began to leave; `last_after_leaving_s` is how much later its
    last request came.
    """

    name: str
    slots: int
    connections: int
    faults: RunnerFaults = RunnerFaults()
    in_progress: int = 0
    max_in_progress: int = 0
    max_connections: int = 0
    cut_off: int = 0
    left: float | None = None
    last_after_leaving_s: float = 0.0
    runs: Counter[str] = field(default_factory=Counter)
    latencies_ms: deque[float] = field(
        default_factory=lambda: deque(maxlen=LATENCIES_KEPT)
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
    """Return the 99th percentile of the runner's last requests in milliseconds."""
    with state.lock:
        values = sorted(state.latencies_ms)
    return values[min(len(values) - 1, int(len(values) * 0.99))] if values else 0.0


@contextlib.contextmanager
def open_runner(
    state: RunnerState, read_slowdown: Callable[[], float], rng: random.Random
) -> Iterator[Service]:
    """Serve the runner for the length of the context.

    Parameters
    ----------
    state : RunnerState
        The runner; its faults may change while it serves.
    read_slowdown : callable
        Returns the factor by which its neighbours slow it down now.
    rng : random.Random
        Decides which requests the shares in the faults hit.
    """
    service: list[Service] = []

    def handle(request: Request) -> Reply:
        open_now = service[0].count_connections() if service else 0
        with state.lock:
            state.max_connections = max(state.max_connections, open_now)
            refused = rng.random() < state.faults.refuse_share
            failed = rng.random() < state.faults.fail_share
        if state.stopped.is_set():
            return Reply(200, b"", cut=True)
        echo = ("Request-Id", request.headers.get("request-id", ""))
        if refused:
            return Reply(503, b"", (echo, ("Not-Run", "true")))
        return _run(state, request, read_slowdown(), 500 if failed else 200)

    with serve(
        handle, threads=state.slots + SPARE_THREADS, connections=state.connections
    ) as running:
        service.append(running)
        try:
            yield running
        finally:
            state.stopped.set()


def _run(state: RunnerState, request: Request, slowdown: float, status: int) -> Reply:
    request_id = request.headers.get("request-id", "")
    begun = read_clock()
    with state.lock:
        state.runs[request_id] += 1
        state.in_progress += 1
        if state.left is not None:
            state.last_after_leaving_s = begun - state.left
        state.max_in_progress = max(state.max_in_progress, state.in_progress)
        faults = state.faults
        truncated, wrong, delayed = _take_next(state)
    work_ms = _read_work_ms(request) * faults.slow * slowdown
    extra_ms = faults.delay_ms if delayed else 0.0
    was_stopped = state.stopped.wait((work_ms + extra_ms) / 1000)
    with state.lock:
        state.in_progress -= 1
        state.latencies_ms.append((read_clock() - begun) * 1000)
        state.cut_off += was_stopped
    shown_id = f"not-{request_id}" if wrong else request_id
    cut = truncated or was_stopped
    body = request.body[: len(request.body) // 2] if cut else request.body
    return Reply(status, body, (("Request-Id", shown_id),), cut)


def _take_next(state: RunnerState) -> tuple[bool, bool, bool]:
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
