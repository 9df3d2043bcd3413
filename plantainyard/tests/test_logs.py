"""Tests of log lines, of the redaction of the token, and of metrics."""

import io
import json
import logging
import socket

import pytest

from plantainyard.api import operators_pb2 as schema
from plantainyard.api import record_process, record_status
from plantainyard.errors import CallError, ErrorKind
from plantainyard.logs import configure_logging, get_logger, log_call_error, log_step
from plantainyard.metrics import (
    add_count,
    add_timing,
    create_meter,
    describe_meter,
    flush_meter,
    set_gauge,
)
from plantainyard.settings import Metrics, parse_settings
from plantainyard.settings.tests.test_load import MINIMAL

RECEIVE_TIMEOUT_S = 30


def test_line_has_the_given_fields_and_not_the_token():
    """Guards against a token that is disclosed in logs.

    The text of a library's exception quotes the request's headers and is then logged.
    """
    stream = io.StringIO()
    with configure_logging(parse_settings(MINIMAL, "x.toml").unwrap(), stream):
        logger = get_logger("test")
        log_step(logger, logging.INFO, "Bearer 0123456789abcdef", "log.read", rack="r1")
        log_call_error(logger, CallError(ErrorKind.LOST, "log.append", "p1"), "id-1")
        log_step(logger, logging.DEBUG, "hidden", "log.read")
    first, second = map(json.loads, stream.getvalue().splitlines())
    assert (first["instance"], first["step"], first["rack"]) == (
        "a-1",
        "log.read",
        "r1",
    )
    assert first["message"] == "Bearer ***"
    assert (second["peer"], second["request_id"], second["level"]) == (
        "p1",
        "id-1",
        "WARNING",
    )


def test_previous_logging_is_restored_after_the_context():
    # Guards against lines that still go to the context's stream after its end, so that
    # a handler of the root logger in the same process doesn't receive them.
    records: list[logging.LogRecord] = []
    handler = logging.Handler()
    handler.emit = records.append  # type: ignore[assignment]
    with configure_logging(parse_settings(MINIMAL, "x.toml").unwrap(), io.StringIO()):
        pass
    logging.getLogger().addHandler(handler)
    try:
        get_logger("test").warning("received")
    finally:
        logging.getLogger().removeHandler(handler)
    assert [record.getMessage() for record in records] == ["received"]


def test_meter_keeps_values_for_the_dump_and_sends_them():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as server:
        server.bind(("127.0.0.1", 0))
        server.settimeout(RECEIVE_TIMEOUT_S)
        meter = create_meter(Metrics("127.0.0.1", server.getsockname()[1], "p"))
        add_count(meter, "jobs.accepted", 2)
        set_gauge(meter, "racks.owned", 3)
        add_timing(meter, "requests.latency", 20.0)
        flush_meter(meter)
        sent = set(server.recv(2048).decode().split("\n"))
    assert sent == {
        "p.jobs.accepted:2|c",
        "p.racks.owned:3|g",
        "p.requests.latency:20.000000|ms",
    }
    described = describe_meter(meter)
    assert described["counters"] == {"jobs.accepted": 2}
    assert described["timers"]["requests.latency"]["count"] == 1


def test_status_and_process_usage_are_recorded_as_gauges():
    meter = create_meter(Metrics())
    rack = schema.RackStatus(authority=True, tasks_waiting=3, workers_silent=1)
    peers = [schema.PeerStatus(state="live"), schema.PeerStatus(state="silent")]
    status = schema.StatusResponse(
        racks=[rack, schema.RackStatus(tasks_waiting=4)],
        peers=peers,
        streams=[schema.DomainAge(age_s=7)],
    )
    record_status(meter, status)
    record_process(meter)
    record_process(meter)
    gauges = describe_meter(meter)["gauges"]
    assert (gauges["racks.owned"], gauges["racks.pending"]) == (1, 1)
    assert (gauges["tasks.waiting"], gauges["workers.silent"]) == (7, 1)
    assert (gauges["peers.live"], gauges["log.age"]) == (1, 7)
    assert str(gauges["process.ready"]) == "0"
    assert gauges["process.memory"] > 1_000_000


def test_meter_without_server_keeps_values_and_rejects_unknown_names():
    meter = create_meter(Metrics())
    add_count(meter, "jobs.accepted")
    flush_meter(meter)
    assert describe_meter(meter)["counters"] == {"jobs.accepted": 1}
    with pytest.raises(KeyError):
        add_count(meter, "no.such")
    with pytest.raises(ValueError):
        set_gauge(meter, "jobs.accepted", 1)
