"""Logs and metrics say what they must, and not what they must not."""

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

RECEIVE_LIMIT_S = 30


def test_line_has_the_named_fields_and_no_token():
    """An operator sends logs to a colleague; the token must not be among them.

    A library's exception quotes the request's headers, the text is logged, and the
    token would stand in it.
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


def test_logs_go_their_old_way_again_once_the_context_ends():
    # Whoever runs in the same process afterwards listens at the root logger, and a
    # warning doesn't reach it: the package's lines still went to the old stream.
    heard: list[logging.LogRecord] = []
    handler = logging.Handler()
    handler.emit = heard.append  # type: ignore[assignment]
    with configure_logging(parse_settings(MINIMAL, "x.toml").unwrap(), io.StringIO()):
        pass
    logging.getLogger().addHandler(handler)
    try:
        get_logger("test").warning("heard")
    finally:
        logging.getLogger().removeHandler(handler)
    assert [record.getMessage() for record in heard] == ["heard"]


def test_meter_keeps_for_the_dump_and_sends():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as server:
        server.bind(("127.0.0.1", 0))
        server.settimeout(RECEIVE_LIMIT_S)
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


def test_status_and_process_become_gauges():
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


def test_meter_without_server_only_keeps():
    meter = create_meter(Metrics())
    add_count(meter, "jobs.accepted")
    flush_meter(meter)
    assert describe_meter(meter)["counters"] == {"jobs.accepted": 1}
    with pytest.raises(KeyError):
        add_count(meter, "no.such")
    with pytest.raises(ValueError):
        set_gauge(meter, "jobs.accepted", 1)
