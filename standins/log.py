"""Stand-in for the platform's append-only log.

Run it with ``python -m standins.log``. ``POST /faults`` accepts any of the fields of
`LogFaults`; ``{"drop_before": {stream: offset}}`` drops records before their retention
ends. ``GET /counts`` returns the numbers of appends, reads and their bytes.
"""

import contextlib
import itertools
import json
import threading
import time
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from absl import app, flags

from standins.service import Reply, Request, build_reply, run_service, serve

__all__ = ["LogFaults", "LogState", "append_record", "read_records", "run_log"]

MAX_WAIT_S = 30.0
RATE_WINDOW_S = 1.0
THREADS = 160


class LogFaults(NamedTuple):
    """Injected faults and limits of the log.

    Attributes
    ----------
    outage : bool
        All calls are refused with status 503.
    lose_next_answers : int
        Number of further appends that are carried out without a response.
    delay_ms : float
        Delay before each call is served.
    rate : int
        Maximum of appends per second over all streams, 0 for no limit; further ones
        are refused with status 429.
    retention_count : int
        Number of records kept in each stream, 0 for all.
    retention_s : float
        Age up to which records are kept, 0 for no limit.
    """

    outage: bool = False
    lose_next_answers: int = 0
    delay_ms: float = 0.0
    rate: int = 0
    retention_count: int = 0
    retention_s: float = 0.0


@dataclass
class Stream:
    """Records of one stream; `first` is the offset of the earliest kept record."""

    first: int = 0
    records: list[tuple[float, dict[str, Any]]] = field(default_factory=list)


@dataclass
class LogState:
    """All streams, the injected faults, and counts of the calls."""

    faults: LogFaults = LogFaults()
    streams: dict[str, Stream] = field(default_factory=dict)
    recent_appends: list[float] = field(default_factory=list)
    counts: dict[str, int] = field(
        default_factory=lambda: {
            "appends": 0,
            "append_bytes": 0,
            "reads": 0,
            "read_bytes": 0,
            "refused": 0,
            "lost_answers": 0,
        }
    )


def append_record(
    state: LogState, name: str, record: dict[str, Any], now_s: float
) -> int:
    """Append `record` to the stream `name` and return its offset."""
    stream = state.streams.setdefault(name, Stream())
    stream.records.append((now_s, record))
    offset = stream.first + len(stream.records) - 1
    expire_records(state, stream, now_s)
    return offset


def expire_records(state: LogState, stream: Stream, now_s: float) -> None:
    """Drop the records of `stream` that the retention no longer covers."""
    count, age_s = state.faults.retention_count, state.faults.retention_s
    excess = max(0, len(stream.records) - count) if count else 0
    if age_s:
        expired = itertools.takewhile(lambda r: r[0] < now_s - age_s, stream.records)
        excess = max(excess, sum(1 for _ in expired))
    drop_records(stream, stream.first + excess)


def drop_records(stream: Stream, offset: int) -> None:
    """Drop the records of `stream` before `offset`."""
    count = min(max(0, offset - stream.first), len(stream.records))
    del stream.records[:count]
    stream.first += count


def read_records(
    state: LogState, name: str, start: int, limit: int, now_s: float
) -> dict[str, Any]:
    """Return up to `limit` records of the stream `name` from offset `start`."""
    stream = state.streams.get(name, Stream())
    expire_records(state, stream, now_s)
    begin = max(0, start - stream.first)
    rows = stream.records[begin : begin + limit]
    return {
        "first": stream.first,
        "next": stream.first + len(stream.records),
        "records": [
            {"offset": stream.first + begin + i, "time_s": time_s, "data": data}
            for i, (time_s, data) in enumerate(rows)
        ],
    }


def admit_append(state: LogState, now_s: float) -> bool:
    """Return whether the rate limit admits an append now, and count it if so."""
    if not state.faults.rate:
        return True
    state.recent_appends = [
        t for t in state.recent_appends if t > now_s - RATE_WINDOW_S
    ]
    if len(state.recent_appends) >= state.faults.rate:
        return False
    state.recent_appends.append(now_s)
    return True


@contextlib.contextmanager
def run_log(port: int = 0) -> Iterator[dict[str, Any]]:
    """Serve a log on loopback and yield its address."""
    state = LogState()
    changed = threading.Condition()

    def handle(request: Request) -> Reply:
        parts = request.path.strip("/").split("/")
        if request.path == "/faults":
            return _set_faults(state, changed, json.loads(request.body))
        if request.path == "/counts":
            with changed:
                return build_reply(state.counts)
        if len(parts) != 3 or (parts[0], parts[2]) != ("streams", "records"):
            return build_reply({}, 404)
        if state.faults.delay_ms:
            time.sleep(state.faults.delay_ms / 1000)
        if state.faults.outage:
            return build_reply({}, 503, 0.2)
        if request.method == "POST":
            return _append(state, changed, parts[1], request.body)
        return _read(state, changed, parts[1], request.query)

    with serve(handle, port, threads=THREADS) as service:
        yield {"address": service.address}


def _append(
    state: LogState, changed: threading.Condition, name: str, body: bytes
) -> Reply:
    try:
        record = json.loads(body)
    except ValueError:
        record = None
    if not isinstance(record, dict):
        return build_reply({}, 400)
    with changed:
        now_s = time.time()
        if not admit_append(state, now_s):
            state.counts["refused"] += 1
            return build_reply({}, 429, RATE_WINDOW_S)
        offset = append_record(state, name, record, now_s)
        state.counts["appends"] += 1
        state.counts["append_bytes"] += len(body)
        changed.notify_all()
        losses = state.faults.lose_next_answers
        if losses:
            state.faults = state.faults._replace(lose_next_answers=losses - 1)
            state.counts["lost_answers"] += 1
            return Reply(200, b"", cut=True)
    return build_reply({"offset": offset})


def _read(
    state: LogState,
    changed: threading.Condition,
    name: str,
    query: Mapping[str, str],
) -> Reply:
    start, limit = int(query.get("from", 0)), int(query.get("limit", 500))
    wait_s = min(MAX_WAIT_S, float(query.get("wait_ms", 0)) / 1000)

    def can_respond() -> bool:
        stream = state.streams.get(name, Stream())
        return state.faults.outage or stream.first + len(stream.records) > start

    with changed:
        changed.wait_for(can_respond, wait_s)
        if state.faults.outage:
            return build_reply({}, 503, 0.2)
        page = read_records(state, name, start, limit, time.time())
        reply = build_reply(page)
        state.counts["reads"] += 1
        state.counts["read_bytes"] += len(reply.body)
    return reply


def _set_faults(
    state: LogState, changed: threading.Condition, body: dict[str, Any]
) -> Reply:
    with changed:
        for name, offset in body.pop("drop_before", {}).items():
            drop_records(state.streams.setdefault(name, Stream()), offset)
        state.faults = state.faults._replace(**body)
        changed.notify_all()
        return build_reply(state.faults._asdict())


def main(_: list[str]) -> None:
    """Serve the log until the process gets a signal to stop."""
    run_service(run_log(flags.FLAGS.port))


if __name__ == "__main__":
    flags.DEFINE_integer("port", 0, "TCP port on loopback; 0 lets the system choose.")
    app.run(main)
