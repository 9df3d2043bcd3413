"""Attempts at runners that outlast their caller's deadline."""

import threading
from concurrent.futures import ThreadPoolExecutor

import pytest

from plantainyard.gateway import attempts
from plantainyard.protocol import RunnerInfo
from plantainyard.routing import (
    AttemptEnded,
    LateAttemptEnded,
    Request,
    Send,
    SendResult,
)

RUNNER = RunnerInfo("r1", "billing", "", "k1", "d1", "reg", 1, 60)
ACTION = Send("a", Request("a", "a", "billing", "t", 1.0), RUNNER, 1.0, 1.0)


@pytest.mark.parametrize(
    ("result", "expected"),
    [
        (SendResult.ANSWERED, [LateAttemptEnded("a", "r1", 2.0)]),
        (SendResult.LOST, []),
    ],
)
def test_abandoned_attempt_frees_its_slot_only_on_a_response(
    monkeypatch, result, expected
):
    """Guards against overloading a runner after its connection broke.

    The caller's deadline has passed while the thread still waits for the response.
    Then the connection breaks while the runner is still processing the request.
    """
    may_respond = threading.Event()

    def send(*_):
        may_respond.wait(30)
        return AttemptEnded("a", result, 2.0)

    monkeypatch.setattr(attempts, "send_to_runner", send)
    events: list[object] = []
    with ThreadPoolExecutor(1) as threads:
        sender = attempts.Sender(None, None, "", "i1", threads, 30.0)  # type: ignore[arg-type]
        first = attempts.start_attempt(sender, ACTION, b"", "", events.append)
        second = attempts.start_attempt(sender, ACTION, b"", "", events.append)
        not_started = attempts.abandon_attempt(second)
        while not first.started_at > 0:
            assert not first.is_ended
        abandoned = attempts.abandon_attempt(first)
        may_respond.set()
    assert not_started == AttemptEnded("a", SendResult.NOT_SENT)
    assert abandoned is not None and abandoned.result == SendResult.LOST
    assert events == expected
