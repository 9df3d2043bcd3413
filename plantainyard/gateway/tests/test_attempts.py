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
    ("result", "told"),
    [
        (SendResult.ANSWERED, [LateAttemptEnded("a", "r1", 2.0)]),
        (SendResult.LOST, []),
    ],
)
def test_only_a_known_end_gives_a_slot_back(monkeypatch, result, told):
    """A runner is overfilled after a connection broke.

    The caller's time is up, and the listening goes on; then the connection breaks
    while the runner still works on the request.
    """
    may_end = threading.Event()

    def send(*_):
        may_end.wait(30)
        return AttemptEnded("a", result, 2.0)

    monkeypatch.setattr(attempts, "send_to_runner", send)
    heard: list[object] = []
    with ThreadPoolExecutor(1) as threads:
        sender = attempts.Sender(None, None, "", "i1", threads, 30.0)  # type: ignore[arg-type]
        first = attempts.start_attempt(sender, ACTION, b"", "", heard.append)
        second = attempts.start_attempt(sender, ACTION, b"", "", heard.append)
        not_begun = attempts.abandon_attempt(second)
        while not first.begun > 0:
            assert not first.is_ended
        lost = attempts.abandon_attempt(first)
        may_end.set()
    assert not_begun == AttemptEnded("a", SendResult.NOT_SENT)
    assert lost is not None and lost.result == SendResult.LOST
    assert heard == told
