import socket
import threading

from plantainyard.serving import serve_app

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
