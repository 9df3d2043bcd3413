"""Calls to many peers from one thread, and what peers can do to them."""

import contextlib
import queue
import socket
import threading
import time
from collections.abc import Callable, Iterator
from typing import Any

import pytest
from result import Result

from plantainyard.connections import Call, Connection, build_request
from plantainyard.errors import CallError, ErrorKind
from plantainyard.multiplexer import Multiplexer
from plantainyard.transport import HttpResponse

PATIENCE_S = 10.0
CALLS = 40
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

Handler = Callable[[socket.socket], None]


@contextlib.contextmanager
def serve(handle: Handler) -> Iterator[str]:
    """Accept connections, each handled on a thread; yield the address."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        accepted: list[socket.socket] = []

        def accept() -> None:
            with contextlib.suppress(OSError):
                while True:
                    connection, _ = server.accept()
                    accepted.append(connection)
                    threading.Thread(
                        target=run, args=(connection,), daemon=True
                    ).start()

        def run(connection: socket.socket) -> None:
            with contextlib.suppress(OSError):
                handle(connection)

        threading.Thread(target=accept, daemon=True).start()
        host, port = server.getsockname()
        yield f"{host}:{port}"
        server.shutdown(socket.SHUT_RDWR)
        for connection in accepted:
            connection.close()


@contextlib.contextmanager
def open_multiplexer() -> Iterator[Multiplexer]:
    multiplexer = Multiplexer()
    yield multiplexer
    multiplexer.close()


class Caller:
    """Calls through a multiplexer, and what came of them in order."""

    def __init__(self, multiplexer: Multiplexer, address: str) -> None:
        self.multiplexer = multiplexer
        self.address = address
        self.answers: queue.Queue[Result[HttpResponse, CallError]] = queue.Queue()
        self.take: Callable[[Any], Any] = self.answers.put

    def send(self, timeout_s: float = PATIENCE_S) -> None:
        data = build_request("POST", "/reports", self.address, {}, b"{}")
        self.multiplexer.send(
            Call("hold", "r0", self.address, data, timeout_s, self.take)
        )

    def call(self, timeout_s: float = PATIENCE_S) -> Result[HttpResponse, CallError]:
        self.send(timeout_s)
        return self.answers.get(timeout=2 * PATIENCE_S)


def answer_all(connection: socket.socket) -> None:
    while connection.recv(65536):
        connection.sendall(ANSWER)


def test_answers_come_over_a_kept_connection():
    accepted = []

    def handle(connection: socket.socket) -> None:
        accepted.append(connection)
        answer_all(connection)

    with serve(handle) as address, open_multiplexer() as multiplexer:
        caller = Caller(multiplexer, address)
        answers = [caller.call().unwrap() for _ in range(3)]
    assert {(a.status, a.body) for a in answers} == {(200, b"ok")}
    assert len(accepted) == 1


def test_calls_that_wait_hold_nobody_up():
    # Guards against reports that queue behind others that wait for an end.
    release = threading.Event()

    def handle(connection: socket.socket) -> None:
        connection.recv(65536)
        release.wait(PATIENCE_S)
        connection.sendall(ANSWER)

    with (
        serve(handle) as slow,
        serve(answer_all) as fast,
        open_multiplexer() as multiplexer,
    ):
        waiting = Caller(multiplexer, slow)
        for _ in range(CALLS):
            waiting.send()
        assert Caller(multiplexer, fast).call().is_ok()
        assert waiting.answers.empty()
        release.set()
        for _ in range(CALLS):
            assert waiting.answers.get(timeout=PATIENCE_S).is_ok()


def test_an_answer_in_pieces_is_put_together():
    def handle(connection: socket.socket) -> None:
        connection.recv(65536)
        for number in range(len(ANSWER)):
            connection.sendall(ANSWER[number : number + 1])
            time.sleep(0.001)

    with serve(handle) as address, open_multiplexer() as multiplexer:
        assert Caller(multiplexer, address).call().unwrap().body == b"ok"


def be_silent(connection: socket.socket) -> None:
    connection.recv(65536)
    threading.Event().wait(PATIENCE_S)


def hang_up(connection: socket.socket) -> None:
    connection.recv(65536)
    connection.sendall(ANSWER[:-1])
    connection.close()


def talk_nonsense(connection: socket.socket) -> None:
    connection.recv(65536)
    connection.sendall(b"nonsense\r\n\r\n")


@pytest.mark.parametrize(
    ("handle", "kind"),
    [
        (be_silent, ErrorKind.LOST),
        (hang_up, ErrorKind.LOST),
        (talk_nonsense, ErrorKind.MALFORMED),
    ],
)
def test_a_call_that_was_sent_and_not_answered_may_have_been_executed(handle, kind):
    with serve(handle) as address, open_multiplexer() as multiplexer:
        error = Caller(multiplexer, address).call(timeout_s=0.3).unwrap_err()
    assert (error.kind, error.step, error.peer) == (kind, "hold", "r0")


@pytest.mark.parametrize(
    "address",
    ["127.0.0.1:1", "nowhere", "127.0.0.1:99999", "127.0.0.1:x", "a.host:80", ""],
)
def test_a_call_without_a_connection_was_not_sent(address):
    # Guards against a runner's entry with a wrong address that ends all calls.
    with serve(answer_all) as fine, open_multiplexer() as multiplexer:
        error = Caller(multiplexer, address).call().unwrap_err()
        assert error.kind == ErrorKind.UNREACHABLE
        assert Caller(multiplexer, fine).call().is_ok()


def test_a_fault_of_the_program_ends_one_call_only(monkeypatch, caplog):
    # Guards against an instance all of whose calls stop.
    faults = [ValueError("a fault")]
    push = Multiplexer._send_request

    def fail_once(multiplexer: Multiplexer, connection: Connection) -> None:
        if faults:
            raise faults.pop()
        push(multiplexer, connection)

    monkeypatch.setattr(Multiplexer, "_send_request", fail_once)
    with serve(answer_all) as address, open_multiplexer() as multiplexer:
        caller = Caller(multiplexer, address)
        assert caller.call().unwrap_err().kind == ErrorKind.LOST
        assert caller.call().is_ok()
    assert "failed" in caplog.text


def test_a_connection_that_its_peer_has_closed_is_not_used_again():
    # Guards against calls that fail because a peer closes idle connections.
    closed = threading.Event()

    def handle(connection: socket.socket) -> None:
        connection.recv(65536)
        connection.sendall(ANSWER)
        connection.close()
        closed.set()

    with serve(handle) as address, open_multiplexer() as multiplexer:
        caller = Caller(multiplexer, address)
        for _ in range(3):
            assert caller.call().is_ok()
            assert closed.wait(PATIENCE_S)
            closed.clear()
            time.sleep(0.05)


def test_what_has_arrived_is_taken_in_before_a_call_counts_as_timed_out():
    # Guards against a busy owner that takes its own lateness for a runner's silence.
    with serve(answer_all) as address, open_multiplexer() as multiplexer:
        caller = Caller(multiplexer, address)
        assert caller.call().is_ok()
        blocker = Caller(multiplexer, address)
        blocker.take = lambda _: time.sleep(0.5)
        blocker.send()
        caller.send(timeout_s=0.2)
        caller.send(timeout_s=0.2)
        assert caller.answers.get(timeout=PATIENCE_S).is_ok()
        assert caller.answers.get(timeout=PATIENCE_S).is_ok()


def test_an_answer_that_came_while_the_caller_was_held_up_counts():
    # Guards against runners that are called silent by an owner without processor time.
    def answer_soon(connection: socket.socket) -> None:
        connection.recv(65536)
        time.sleep(0.1)
        connection.sendall(ANSWER)

    with (
        serve(answer_soon) as soon,
        serve(answer_all) as at_once,
        open_multiplexer() as multiplexer,
    ):
        blocker = Caller(multiplexer, at_once)
        assert blocker.call().is_ok()
        caller = Caller(multiplexer, soon)
        caller.send(timeout_s=0.3)
        blocker.take = lambda _: time.sleep(0.6)
        blocker.send()
        assert caller.answers.get(timeout=PATIENCE_S).is_ok()


def test_a_function_that_fails_ends_no_other_call(caplog):
    # Guards against an owner whose calls all stop after one faulty answer.
    def fail(_: object) -> None:
        raise ValueError("a fault of the program")

    with serve(answer_all) as address, open_multiplexer() as multiplexer:
        caller = Caller(multiplexer, address)
        faulty = Caller(multiplexer, address)
        faulty.take = fail
        faulty.send()
        assert caller.call().is_ok()
        assert caller.call().is_ok()
    assert "result callback of step hold failed" in caplog.text


def test_calls_fail_once_all_is_closed():
    # Guards against a stop that waits for answers which nobody takes in any more.
    with serve(be_silent) as address:
        multiplexer = Multiplexer()
        caller = Caller(multiplexer, address)
        caller.send()
        time.sleep(0.1)
        multiplexer.close()
        assert caller.answers.get(timeout=PATIENCE_S).unwrap_err().detail == "closed"
        late = multiplexer.call("hold", "r0", address, b"", PATIENCE_S)
        assert late.unwrap_err().kind == ErrorKind.UNREACHABLE


def test_connections_that_carry_nothing_are_closed(monkeypatch):
    # Guards against descriptors that run out as runners are lost without a word.
    monkeypatch.setattr("plantainyard.multiplexer.IDLE_TIMEOUT_S", 0.05)
    monkeypatch.setattr("plantainyard.multiplexer.SWEEP_INTERVAL_S", 0.0)
    ended = threading.Event()

    def handle(connection: socket.socket) -> None:
        answer_all(connection)
        ended.set()

    with (
        serve(handle) as lost,
        serve(answer_all) as busy,
        open_multiplexer() as multiplexer,
    ):
        assert Caller(multiplexer, lost).call().is_ok()
        until = time.monotonic() + PATIENCE_S
        while not ended.wait(0.02):
            assert time.monotonic() < until, "still open"
            assert Caller(multiplexer, busy).call().is_ok()
