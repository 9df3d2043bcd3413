import socket
import threading
import time
from pathlib import Path

from plantainyard import serving
from plantainyard.serving import LOOP_THREAD_NAME, serve_app

BODY = b"x" * 8_000_000


def test_a_stopping_server_finishes_the_answers_it_is_writing():
    """A slow caller's answer is whole although the server stops meanwhile.

    A caller on a phone reads slowly; the instance is replaced while half of the
    answer is still in the server's buffers, and the caller gets the other half never.
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


def test_a_server_that_nobody_calls_sleeps_until_it_is_stopped(monkeypatch):
    # Guards against instances that do nothing and are woken by their own servers, and
    # against a stop that waits for the end of such a sleep.
    monkeypatch.setattr(serving, "LOOP_S", 3600.0)
    with serve_app(lambda *_: [], "127.0.0.1:0", 1, 10, 100):
        loops = [
            thread
            for thread in threading.enumerate()
            if thread.name == LOOP_THREAD_NAME
        ]
        assert loops
        time.sleep(0.2)
        before = [count_wake_ups(thread) for thread in loops]
        time.sleep(2.2)
        assert [count_wake_ups(thread) for thread in loops] == before
    assert not any(thread.is_alive() for thread in loops)


def count_wake_ups(thread: threading.Thread) -> int:
    status = Path(f"/proc/self/task/{thread.native_id}/status").read_text()
    line = next(line for line in status.splitlines() if line.startswith("voluntary"))
    return int(line.split()[1])
