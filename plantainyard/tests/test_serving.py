"""Tests of the HTTP server: its stop and its idle loop."""

import socket
import threading
import time
from pathlib import Path

from waitress.server import BaseWSGIServer

from plantainyard import serving
from plantainyard.serving import LOOP_THREAD_NAME, serve_app

BODY = b"x" * 8_000_000


def test_a_stopping_server_finishes_the_responses_in_progress():
    """Guards against a truncated response when the server stops.

    A caller on a slow link is still reading while the instance is replaced; half of
    the response is then in the server's buffers.
    """
    called = threading.Event()

    def app(environ, start):
        start("200 OK", [("Content-Length", str(len(BODY)))])
        called.set()
        return [BODY]

    with socket.socket() as caller:
        with serve_app(app, "127.0.0.1:0", 2, 10, len(BODY)) as address:
            host, _, port = address.rpartition(":")
            caller.connect((host, int(port)))
            caller.sendall(b"GET / HTTP/1.0\r\n\r\n")
            assert called.wait(30)
            received = bytearray()
            reader = threading.Thread(target=read_all, args=(caller, received))
            reader.start()
        reader.join(30)
    assert received.endswith(BODY)


def read_all(caller, received):
    while chunk := caller.recv(65_536):
        received += chunk


def test_a_loop_that_notices_the_stop_at_once_is_still_woken(monkeypatch):
    # Guards against a stop that fails, and leaves the rest of the process's clean-up
    # undone, because the loop has closed its wake-up socket before it is woken.
    wake = BaseWSGIServer.pull_trigger

    def wake_late(server):
        time.sleep(0.5)
        wake(server)

    monkeypatch.setattr(serving, "POLL_TIMEOUT_S", 0.01)
    monkeypatch.setattr(BaseWSGIServer, "pull_trigger", wake_late)
    with serve_app(lambda *_: [], "127.0.0.1:0", 1, 10, 100):
        pass


def test_an_idle_server_sleeps_until_it_is_stopped(monkeypatch):
    # Guards against idle instances that are woken periodically by their own servers,
    # and against a stop that waits until the loop's sleep times out.
    monkeypatch.setattr(serving, "POLL_TIMEOUT_S", 3600.0)
    with serve_app(lambda *_: [], "127.0.0.1:0", 1, 10, 100):
        io_threads = [
            thread
            for thread in threading.enumerate()
            if thread.name == LOOP_THREAD_NAME
        ]
        assert io_threads
        time.sleep(0.2)
        before = [count_wake_ups(thread) for thread in io_threads]
        time.sleep(2.2)
        assert [count_wake_ups(thread) for thread in io_threads] == before
    assert not any(thread.is_alive() for thread in io_threads)


def count_wake_ups(thread: threading.Thread) -> int:
    status = Path(f"/proc/self/task/{thread.native_id}/status").read_text()
    line = next(line for line in status.splitlines() if line.startswith("voluntary"))
    return int(line.split()[1])
