"""Every place that reads values of others, with values that no reader expects.

Other writers leave entries that are nested very deep, that name a number too large or a
port out of range. docs/measured/untrusted.md lists the places.
"""

import contextlib
import io
import itertools
import json
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import pytest
from result import Err

from plantainyard.api import operators_pb2
from plantainyard.api.codec import JSON, decode_message
from plantainyard.api.errors import ApiError, ErrorCode, decode_error, encode_error
from plantainyard.batch import records, replica
from plantainyard.batch.tasks import TaskKey
from plantainyard.batch.values import (
    PieceResult,
    Step,
    StepProgress,
    Submission,
    TaskProgress,
)
from plantainyard.clients import instances, worker
from plantainyard.commands.access import find_access
from plantainyard.decoding import DecodeError, convert_errors, parse_json
from plantainyard.dispatch.run_time_records import decode_run_times
from plantainyard.dispatch.weights import decode_interference
from plantainyard.entry import forecasts, layout, story
from plantainyard.entry.directory import RunnerDirectory
from plantainyard.entry.eventlog import EventLog
from plantainyard.entry.policies import parse_policy
from plantainyard.entry.tests.test_untrusted_peers import FORECAST, LOAD, NEED
from plantainyard.entry.unit import ORDER_TIMEOUT_S, TICK_S
from plantainyard.placement.settings import load_weights
from plantainyard.platform import runner_messages, store_messages
from plantainyard.platform.configuration import Queue, decode_configuration
from plantainyard.platform.entries import decode_entry
from plantainyard.platform.evacuations import decode_evacuations
from plantainyard.platform.settings import parse_instance_settings
from plantainyard.platform.store_messages import Record
from plantainyard.platform.submissions import decode_body
from plantainyard.platform.tests.test_decoding import ENTRY, SETTINGS
from plantainyard.protocol import codec, messages
from plantainyard.settings.load import parse_settings
from plantainyard.transport import HttpResponse, build_peer, parse_response

Reader = Callable[[bytes], Any]

OWNER_LEASE_S = 3.0
"""Time after which an owner that has not renewed its ownership is replaced."""

ROOT = Path(__file__).parents[2]
POLICY = (ROOT / "deploy" / "scheduling.toml").read_text() + "max_open_jobs = 5\n"
DAEMON_SETTINGS = (ROOT / "examples" / "awash" / "addis-kality.toml").read_text()
WEIGHTS = "[weights]\nspread = 1.0\n"

QUEUE = Queue("q", "h", "/", "s")
ORDER = runner_messages.Order("r1", 0, "127.0.0.1:9", TaskKey("a", 0, 0, 0), 1, 1)
SUBMISSION = Submission("a", "q", "s", "", (Step(2), Step(1, after=(0,))))
PROGRESS = StepProgress(frozenset({1}), {0: TaskProgress(2, "r1@7", 1, "c", None, 1)})
BOUNDS = replica.LeaseBounds(3, {"r1@7": 0.5}, {"r1": 0.5}, 0.5)
ROUTE = {"name": "q", "host": "h", "pathPrefix": "/", "service": "s", "stretch": 2.0}
STEP = {"count": 2, "cpu": 500, "memMb": 256, "estimateMs": 900, "after": []}
REPORT = {
    "clockMs": 7,
    "born": 8,
    "running": [["a.0.0.0", 1, "", 40, 12]],
    "endedRuns": [[1, "a.0.0.1", 1, "done", ""]],
}
INSTANCE = instances.Instance("i", "entry", "r", "d", "10.0.0.1:80", "", "live", None)
WORKER = {
    "worker": "w",
    "incarnation": 1,
    "clock_s": 2.0,
    "epoch": 3,
    "holder": "h",
    "capacity": {"cores": 1.0, "memory_gb": 2.0},
    "running": [],
    "finished": [],
}
ITEM = {"key": "k", "value": "YQ==", "offset": 3}


def answer(body: bytes) -> HttpResponse:
    return HttpResponse(200, {}, body)


def read_answer(value: bytes) -> Any:
    peer = build_peer("127.0.0.1:9", None, 1.0)
    return parse_response(peer, "peer.load", answer(value))


def read_parsed(decode: Callable[[Any], Any]) -> Reader:
    """Return a reader of an answer that is parsed first; its callers convert errors."""

    def read(value: bytes) -> Any:
        parsed = parse_json(value)
        with convert_errors("answer"):
            return decode(parsed)

    return read


def encode(data: Any) -> bytes:
    return json.dumps(data).encode()


READERS: dict[str, tuple[Reader, bytes]] = {
    "entry of a runner": (lambda v: decode_entry("r1", v), encode(ENTRY)),
    "evacuation": (lambda v: decode_evacuations([Record("evacuate/d", v)]), b"{}"),
    "configuration": (
        decode_configuration,
        encode({"version": 2, "routes": [ROUTE], "limits": {"maxBodyBytes": 99}}),
    ),
    "submission of a caller": (
        lambda v: decode_body(v, "a" * 16, QUEUE, 0),
        encode({"spec": "s", "steps": [STEP], "times": 2, "startAtMs": 5}),
    ),
    "answer of a runner to an order": (
        lambda v: runner_messages.decode_result(answer(v)),
        encode({"clockMs": 7}),
    ),
    "refusal of a runner": (
        lambda v: runner_messages.decode_result(HttpResponse(409, {}, v)),
        encode({"clockMs": 7, "reason": "room"}),
    ),
    "report of a runner": (
        lambda v: runner_messages.decode_report(answer(v), ORDER),
        encode(REPORT),
    ),
    "answer of the store to an append": (
        lambda v: store_messages.decode_append_result(answer(v)),
        encode({"offset": 2, "end": 3}),
    ),
    "records of the store": (
        lambda v: store_messages.decode_slice(answer(v), 0),
        b"\0" * 16,
    ),
    "page of the store": (
        lambda v: store_messages.decode_page(answer(v)),
        encode({"items": [ITEM], "hasMore": False, "end": 4}),
    ),
    "membership in a group": (
        lambda v: store_messages.decode_membership(answer(v)),
        encode({"generation": 2, "parts": [["t", 1, 0]]}),
    ),
    "owners of a group": (
        lambda v: store_messages.decode_partition_owners(answer(v)),
        encode({"parts": [["t", 1, "m", 0]]}),
    ),
    "departure from a group": (
        lambda v: store_messages.decode_departure(answer(v)),
        b"{}",
    ),
    "stored submission": (
        records.decode_submission,
        records.encode_submission(SUBMISSION),
    ),
    "stored progress": (records.decode_progress, records.encode_progress(PROGRESS)),
    "stored result": (
        records.decode_result,
        records.encode_result(PieceResult("completed", 2, 1)),
    ),
    "stored fences": (
        replica.decode_fences,
        replica.encode_fences(replica.Fences(3, frozenset({"r1@7"}))),
    ),
    "stored bounds": (replica.decode_bounds, replica.encode_bounds(BOUNDS)),
    "stored run times": (lambda v: decode_run_times(v, 0.0, 1.0), b"[]"),
    "stored interference": (decode_interference, b"{}"),
    "stored owner": (
        layout.decode_owner,
        layout.encode_owner(layout.Owner(3, "127.0.0.1:9")),
    ),
    "answer of another process": (read_answer, b'{"a":[1]}'),
    "load of a unit": (
        read_parsed(forecasts.decode_load),
        encode(forecasts.encode_load(LOAD)),
    ),
    "forecast of a unit": (
        read_parsed(forecasts.decode_forecast),
        encode(forecasts.encode_forecast(FORECAST)),
    ),
    "needs of another unit": (
        lambda v: forecasts.decode_needs(v.decode()),
        forecasts.encode_needs((NEED,)).encode(),
    ),
    "message between instances": (
        lambda v: codec.decode_message(v, messages.RecordsAsk, "p"),
        codec.encode_message(messages.RecordsAsk("s", 0)),
    ),
    "request of an operator": (
        lambda v: decode_message(operators_pb2.CreateJobRequest, JSON, v),
        b'{"name":"j","size":{"cores":1},"task_count":2}',
    ),
    "error of an instance": (
        decode_error,
        encode_error(ApiError(ErrorCode.MALFORMED, "d")),
    ),
    "state of a worker": (read_parsed(worker.parse_state), encode(WORKER)),
    "instance in the list": (
        read_parsed(instances.decode_instance),
        encode(instances.encode_instance(INSTANCE)),
    ),
    "line of a log": (lambda v: story.parse_events([v.decode()]), b"{}"),
}
"""By place: what reads a value there, and a complete value."""


def list_odd_json() -> list[bytes]:
    deep = [
        opening * depth + b"1" + closing * depth
        for depth in (20, 200, 900, 950, 985, 1_000, 1_100, 5_000, 100_000)
        for opening, closing in ((b"[", b"]"), (b'{"a":', b"}"))
    ]
    numbers = [b"1e999", b"-1e999", b"NaN", b"-Infinity", b"1" * 400, b"-" + b"1" * 400]
    long_numbers = [b"1" * 4_300, b"1" * 4_301, b"1" * 100_000, b"1e" + b"9" * 4_000]
    ports = [b"70000", b"-1", b"0", b'"10.0.0.1:70000"', b'"10.0.0.1:-1"']
    texts = [
        b'"\\ud800"',
        b'""',
        b'"' + b"9" * 5_000 + b'"',
        b'"10.0.0.1:' + b"7" * 5_000 + b'"',
    ]
    others = [b"null", b"true", b"[]", b"{}", b"[[]]", b"\xff", b"", b"{", b'"']
    return [*deep, *numbers, *long_numbers, *ports, *texts, *others]


def list_large_json() -> list[bytes]:
    """Return values that just fit into a record of the platform's store."""
    size = 262_000
    return [
        b"[" * size,
        b'{"a":' * (size // 5),
        b"[" + b"0," * (size // 2 - 1) + b"0]",
        b"[" + b"[]," * (size // 3 - 1) + b"[]]",
        b"[" + b"1e9," * (size // 4 - 1) + b"1e9]",
        b'"' + b"x" * size + b'"',
        b'"' + b"\\u00e9" * (size // 6) + b'"',
        b"9" * size,
        b"[" + b",".join([b"1" * 4_000] * (size // 4_001)) + b"]",
        b"{" + b",".join(b'"k%d":%d' % (n, n) for n in range(size // 15)) + b"}",
        b" " * size,
    ]


def replace_leaves(value: bytes, replacement: bytes) -> Iterator[bytes]:
    """Yield a JSON text with each of its values in turn replaced by other text."""
    try:
        data = json.loads(value)
    except ValueError:
        return
    for path in list_paths(data):
        yield encode(set_value(data, path, "REPLACED")).replace(
            b'"REPLACED"', replacement
        )


def list_paths(value: Any) -> list[tuple[Any, ...]]:
    if isinstance(value, dict):
        items = list(value.items())
    elif isinstance(value, list):
        items = list(enumerate(value))
    else:
        return [()]
    return [(), *((key, *rest) for key, part in items for rest in list_paths(part))]


def set_value(value: Any, path: tuple[Any, ...], part: Any) -> Any:
    if not path:
        return part
    copy = value.copy()
    copy[path[0]] = set_value(value[path[0]], path[1:], part)
    return copy


def read_any(reader: Reader, value: bytes) -> float:
    """Read a value, which may be an error; return the processor time in seconds."""
    began = time.thread_time()
    with contextlib.suppress(DecodeError, UnicodeDecodeError):
        reader(value)
    return time.thread_time() - began


@pytest.mark.parametrize("place", READERS)
def test_a_complete_value_is_read(place):
    reader, complete = READERS[place]
    found = reader(complete)
    assert not isinstance(found, Err)


@pytest.mark.parametrize("place", READERS)
def test_an_odd_value_is_an_error_or_is_read(place):
    # Guards against processes that end, or stop to follow a list, because of a value
    # that another writer has left.
    reader, complete = READERS[place]
    for odd in list_odd_json():
        read_any(reader, odd)
        for value in replace_leaves(complete, odd):
            read_any(reader, value)


def read_profile(text: str, path: Path) -> Any:
    path.write_text(text)
    return find_access([], "", str(path), {})


def read_weights(text: str, path: Path) -> Any:
    path.write_text(text)
    with contextlib.suppress(ValueError, TypeError, LookupError):
        load_weights(path)


SETTINGS_READERS: dict[str, tuple[Callable[[str, Path], Any], str]] = {
    "settings of an instance": (lambda t, _: parse_instance_settings(t), SETTINGS),
    "scheduling policy": (lambda t, _: parse_policy(t), POLICY),
    "settings of the daemon": (parse_settings, DAEMON_SETTINGS),
    "profile of an operator": (read_profile, 'addresses = ["10.0.0.1:80"]\n'),
    "weights": (read_weights, WEIGHTS),
}
"""By place: what reads the settings there, and a complete file."""


def list_odd_toml() -> list[str]:
    deep = ["[" * n + "]" * n for n in (20, 400, 900, 990, 5_000, 100_000)]
    tables = ["{a=" * n + "1" + "}" * n for n in (20, 400, 900, 5_000, 30_000)]
    numbers = ["1" * 400, "1" * 4_301, "1" * 100_000, "1e999", "nan", "-inf", "0", "-1"]
    ports = ["70000", '"10.0.0.1:70000"', '"10.0.0.1:-1"', '"10.0.0.1"', '":80"', "7"]
    others = ['""', "true", "[]", "{}", "", "1979-05-27", '"' + "x" * 100_000 + '"']
    return [*deep, *tables, *numbers, *ports, *others]


@pytest.mark.parametrize("place", SETTINGS_READERS)
def test_an_odd_setting_is_an_error_or_is_read(place, tmp_path):
    # Guards against a process that ends with a traceback, or at a reload, because of a
    # value in its settings.
    read, complete = SETTINGS_READERS[place]
    lines = complete.splitlines()
    for odd in list_odd_toml():
        read("a" + ".a" * 2_000 + " = " + odd, tmp_path / "file")
        for number, line in enumerate(lines):
            key, sign, _ = line.partition("=")
            if sign:
                changed = [*lines[:number], f"{key}= {odd}", *lines[number + 1 :]]
                read("\n".join(changed), tmp_path / "file")


@pytest.mark.parametrize("place", READERS)
def test_the_largest_odd_value_is_read_before_an_order_times_out(place):
    # Guards against an instance whose threads all wait while one reads what another
    # writer has left, so that its orders count as unanswered.
    reader, _ = READERS[place]
    for odd in list_large_json():
        assert min(read_any(reader, odd) for _ in range(3)) < ORDER_TIMEOUT_S, odd[:20]


def test_ten_thousand_odd_entries_leave_the_others_in_place():
    # Guards against instances that stop to follow the list of runners.
    changes: list[Any] = []
    directory = RunnerDirectory(changes.append, EventLog("i", io.StringIO()))
    odd = itertools.cycle([v for v in list_odd_json() if len(v) < 10_000 and v])
    began = time.thread_time()
    directory.begin_reload()
    for number, value in zip(range(10_000), odd, strict=False):
        directory.apply_record(Record(f"odd{number}", value))
    directory.apply_record(Record("r1", encode(ENTRY)))
    directory.finish_reload()
    assert time.thread_time() - began < OWNER_LEASE_S
    assert list(directory.entries) == ["r1"]
    assert len(changes) == 1


def test_an_entry_that_changes_all_the_time_costs_little():
    # Guards against a writer that keeps all instances busy by changing one entry.
    directory = RunnerDirectory(lambda _: None, EventLog("i", io.StringIO()))
    odd = b"[" * 100_000
    began = time.thread_time()
    for _ in range(100):
        directory.apply_record(Record("odd", odd))
    assert time.thread_time() - began < TICK_S
