"""Tests of how failures of HTTP calls are classified."""

import socket

import pytest

from plantainyard.clients.runner import RunnerOutcome, build_runner_client, run_request
from plantainyard.clients.tests.peers import format_response, serve_raw
from plantainyard.errors import ErrorKind
from plantainyard.transport import CallObservation, build_peer, call_json

TRUNCATED = b"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n{}"
VALID_JSON = format_response(b"{}")
OWN_RESPONSE = format_response(b"mine", "200 OK", "Request-Id: r2")


@pytest.mark.parametrize(
    ("raw", "kind", "retry_after_s"),
    [
        (format_response(b"{}", "409 Conflict"), ErrorKind.CONFLICT, 0),
        (format_response(b"{}", "410 Gone"), ErrorKind.CONFLICT, 0),
        (format_response(b"{}", "404 Not Found"), ErrorKind.REFUSED, 0),
        (format_response(b"", "429 Slow", "Retry-After: 2"), ErrorKind.REFUSED, 2),
        (format_response(b"", "503 Out", "Retry-After: 0.5"), ErrorKind.REFUSED, 0.5),
        (format_response(b"", "500 Oops"), ErrorKind.LOST, 0),
        (format_response(b"{not json"), ErrorKind.MALFORMED, 0),
        (format_response(b"[1]"), ErrorKind.MALFORMED, 0),
        (TRUNCATED, ErrorKind.LOST, 0),
        (b"", ErrorKind.LOST, 0),
    ],
)
def test_each_failure_has_the_expected_kind(raw, kind, retry_after_s):
    # Only a response that is never complete has to wait for the timeout.
    timeout_s = 0.5 if kind == ErrorKind.LOST else 20.0
    with serve_raw([raw]) as (address, _):
        peer = build_peer(address, timeout_s=timeout_s)
        error = call_json(peer, "step", "GET", "/").err()
    assert error is not None
    assert (error.kind, error.step, error.peer) == (kind, "step", address)
    assert error.retry_after_s == retry_after_s


def test_only_a_failed_connection_is_unreachable():
    with socket.create_server(("127.0.0.1", 0)) as listener:
        address = f"http://127.0.0.1:{listener.getsockname()[1]}"
    error = call_json(build_peer(address), "step", "POST", "/", {}).err()
    assert error is not None
    assert error.kind == ErrorKind.UNREACHABLE


def test_response_over_the_body_limit_is_rejected():
    body = b'{"x": "' + b"x" * 100_000 + b'"}'
    with serve_raw([format_response(body)]) as (address, _):
        peer = build_peer(address)._replace(body_limit=1000)
        error = call_json(peer, "step", "GET", "/").err()
    assert error is not None
    assert error.kind == ErrorKind.MALFORMED


@pytest.mark.parametrize(
    "first",
    [
        TRUNCATED,
        format_response(b"yours", "200 OK", "Request-Id: r1"),
        format_response(b"", "200 OK"),
    ],
)
def test_desynchronized_connection_is_not_reused(first):
    """Guards against a caller that receives another caller's response.

    The runner responds to request r2 late or with the response to r1. If the connection
    is returned to the pool, the next request on it reads the rest of that response.
    """
    with serve_raw([first, OWN_RESPONSE, OWN_RESPONSE]) as (address, seen):
        client = build_runner_client(address)
        lost = run_request(client, b"", "r2", 0.5)
        answered = [run_request(client, b"", "r2", 5.0) for _ in range(2)]
    assert lost.outcome == RunnerOutcome.LOST
    assert [a.outcome for a in answered] == [RunnerOutcome.ANSWERED] * 2
    assert [a.response.body for a in answered if a.response] == [b"mine"] * 2
    assert seen == [0, 1, 1]


def test_request_without_response_is_not_retried():
    """Guards against a charge that is executed twice.

    The runner accepts the charge and dies before it responds; an automatic retry would
    send the charge to the restarted runner.
    """
    with serve_raw([b"", OWN_RESPONSE]) as (address, seen):
        answer = run_request(build_runner_client(address), b"", "r2", 2.0)
    assert answer.outcome == RunnerOutcome.LOST
    assert len(seen) == 1


@pytest.mark.parametrize(
    ("status", "header", "outcome"),
    [
        ("503 Full", "Not-Run: true", RunnerOutcome.NOT_RUN),
        ("503 Full", "X: y", RunnerOutcome.ANSWERED),
        ("500 Oops", "Not-Run: true", RunnerOutcome.ANSWERED),
    ],
)
def test_not_run_only_if_the_runner_declares_it(status, header, outcome):
    raw = format_response(b"", status, "Request-Id: r", header)
    with serve_raw([raw]) as (address, _):
        answer = run_request(build_runner_client(address), b"", "r", 2.0)
    assert answer.outcome == outcome


@pytest.mark.parametrize(
    ("raw", "result", "received_bytes"),
    [(VALID_JSON, "2xx", 2), (TRUNCATED, "lost", 2), (b"", "lost", 0)],
)
def test_an_observer_receives_the_bytes_of_each_response(raw, result, received_bytes):
    # Guards against bytes that no meter counts because the response was given up.
    observed: list[CallObservation] = []
    with serve_raw([raw]) as (address, _):
        peer = build_peer(address, timeout_s=0.5)._replace(observe=observed.append)
        call_json(peer, "peer.load", "GET", "/")
    (observation,) = observed
    assert observation[:2] == ("peer.load", result)
    assert observation.received_bytes == received_bytes
