"""Calls of callers and operators, used by tests and the demo."""

import json
import random
import threading
import time
from collections import Counter
from collections.abc import Callable, Iterator, Mapping, Sequence
from contextlib import contextmanager
from dataclasses import dataclass, field
from itertools import count
from typing import Any, NamedTuple

from result import Err, Ok, Result

from plantainyard.clock import read_clock
from plantainyard.errors import CallError, ErrorKind
from plantainyard.protocol import (
    DEADLINE_HEADER,
    IDEMPOTENT_HEADER,
    OUTCOME_HEADER,
    REASON_HEADER,
    REQUEST_ID_HEADER,
    TEAM_HEADER,
)
from plantainyard.transport import (
    HttpPeer,
    build_peer,
    build_pool,
    call_json,
    send_request,
)

__all__ = [
    "CallerResult",
    "Load",
    "build_request_id",
    "call_operator",
    "count_outcomes",
    "run_load",
    "send_caller_request",
    "wait_done",
    "wait_until",
]

POLL_INTERVAL_S = 0.1
RESPONSE_MARGIN_S = 2.0
UUID_VERSION = 7 << 76
UUID_VARIANT = 2 << 62


class CallerResult(NamedTuple):
    """Result of a caller's request; `error` is set if no response was received."""

    request_id: str
    outcome: str
    reason: str = ""
    status: int = 0
    body: bytes = b""
    latency_ms: float = 0.0
    error: CallError | None = None


def build_request_id(rng: random.Random, domain: str = "") -> str:
    """Return a UUIDv7 of the current time, prefixed with `domain` if one is given."""
    value = int(time.time() * 1000) << 80 | rng.getrandbits(74)
    value = value & ~(0xF << 76) & ~(3 << 62) | UUID_VERSION | UUID_VARIANT
    text = f"{value:032x}"
    parts = (text[:8], text[8:12], text[12:16], text[16:20], text[20:])
    return f"{domain}.{'-'.join(parts)}" if domain else "-".join(parts)


def send_caller_request(
    peer: HttpPeer,
    service: str,
    body: bytes,
    request_id: str,
    deadline_ms: int = 2000,
    idempotent: bool = False,
    team: str = "",
) -> CallerResult:
    """Send one request to an entry instance as a caller and return its result."""
    headers = {
        REQUEST_ID_HEADER: request_id,
        DEADLINE_HEADER: str(deadline_ms),
        IDEMPOTENT_HEADER: "true" if idempotent else "false",
        **({TEAM_HEADER: team} if team else {}),
    }
    sent_at = read_clock()
    result = send_request(
        peer,
        "caller.request",
        "POST",
        f"/v1/services/{service}/requests",
        body,
        headers,
        timeout_s=deadline_ms / 1000 + RESPONSE_MARGIN_S,
    )
    latency_ms = (read_clock() - sent_at) * 1000
    if isinstance(result, Err):
        error = result.err_value
        was_not_sent = error.kind == ErrorKind.UNREACHABLE
        outcome = "refused" if was_not_sent else "unknown"
        return CallerResult(request_id, outcome, latency_ms=latency_ms, error=error)
    response = result.ok_value
    return CallerResult(
        request_id,
        response.headers.get(OUTCOME_HEADER, ""),
        response.headers.get(REASON_HEADER, ""),
        response.status,
        response.body,
        latency_ms,
    )


def call_operator(
    addresses: Sequence[str], token: str, method: str, body: Mapping[str, Any]
) -> Result[dict[str, Any], CallError]:
    """Call the operators' `method` at the first of `addresses` that responds.

    A call whose response was lost may have been carried out; it is repeated with the
    same request id at the next address, as the schema allows.
    """
    path = f"/plantainyard.v1.Operators/{method}"
    headers = {"Authorization": f"Bearer {token}"}
    error = CallError(ErrorKind.UNREACHABLE, method, "", "no address")
    for address in addresses:
        peer = build_peer(address, timeout_s=20.0)
        result = call_json(peer, method, "POST", path, body, headers)
        if isinstance(result, Ok):
            return Ok(result.ok_value.body)
        error = result.err_value
        if error.kind not in (ErrorKind.UNREACHABLE, ErrorKind.LOST):
            break
    return Err(error)


def wait_until(
    condition: Callable[[], Any], description: str, limit_s: float = 30.0
) -> Any:
    """Poll `condition` and return its first true value.

    Raises
    ------
    TimeoutError
        If `condition` doesn't become true within `limit_s`.
    """
    deadline = read_clock() + limit_s
    while not (value := condition()):
        if read_clock() > deadline:
            raise TimeoutError(f"waited {limit_s:g} s for: {description}")
        time.sleep(POLL_INTERVAL_S)
    return value


@dataclass
class Load:
    """Results of the callers' requests so far."""

    results: list[CallerResult] = field(default_factory=list)


def count_outcomes(load: Load) -> Counter[str]:
    """Return the number of results by outcome."""
    return Counter(result.outcome for result in list(load.results))


def wait_done(load: Load, additional: int, limit_s: float = 30.0) -> None:
    """Wait until `additional` further requests have the outcome done.

    Raises
    ------
    TimeoutError
        If they aren't within `limit_s`; the message contains the counts of all
        outcomes.
    """
    expected = count_outcomes(load)["done"] + additional
    try:
        wait_until(
            lambda: count_outcomes(load)["done"] >= expected,
            "completed requests",
            limit_s,
        )
    except TimeoutError as error:
        raise TimeoutError(f"{error}; {dict(count_outcomes(load))}") from None


@contextmanager
def run_load(
    list_addresses: Callable[[], Sequence[str]],
    service: str,
    callers: int = 4,
    pause_s: float = 0.05,
    work_ms: float = 20.0,
    home: str = "",
    seed: int = 0,
) -> Iterator[Load]:
    """Send non-idempotent requests from several callers for the length of the context.

    Parameters
    ----------
    list_addresses : callable
        Returns the addresses from which the load balancer would choose at present.
    service : str
        Name of the service.
    callers : int
        Number of callers, each with one request in progress at a time.
    pause_s : float
        Pause of a caller between two requests.
    work_ms : float
        Time that a runner takes for one request.
    home : str
        Home domain in the request ids; empty for ids without one.
    seed : int
        Seeds the request ids and the choice of instances.
    """
    load = Load()
    stopping = threading.Event()
    pool = build_pool(connections_per_peer=callers)

    def call(number: int) -> None:
        rng = random.Random(f"{seed}/{number}")
        for turn in count():
            if stopping.wait(pause_s):
                return
            addresses = list_addresses()
            if not addresses:
                continue
            peer = build_peer(rng.choice(addresses), pool)
            body = {"caller": number, "turn": turn, "work_ms": work_ms}
            sent = json.dumps(body).encode()
            request_id = build_request_id(rng, home)
            result = send_caller_request(peer, service, sent, request_id)
            if result.outcome == "done" and result.body != sent:
                result = result._replace(outcome="wrong")
            load.results.append(result)

    threads = [threading.Thread(target=call, args=(n,)) for n in range(callers)]
    for thread in threads:
        thread.start()
    try:
        yield load
    finally:
        stopping.set()
        for thread in threads:
            thread.join()
