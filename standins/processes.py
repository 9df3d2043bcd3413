"""Start stand-ins and daemons as processes of their own and leave none behind."""

import contextlib
import json
import os
import select
import signal
import subprocess
import sys
import threading
from collections.abc import Iterator, Sequence
from pathlib import Path
from tempfile import TemporaryFile
from typing import IO, Any, NamedTuple

from plantainyard.clock import read_clock

__all__ = ["ChildProcess", "start_daemon", "start_module", "start_standin"]

READY_S = 30.0
STOP_S = 15.0
KILL_S = 5.0
TAIL_BYTES = 2000


class ChildProcess(NamedTuple):
    """A started process.

    Attributes
    ----------
    process : subprocess.Popen
        The process itself.
    pid : int
        Process id.
    ready : dict
        The JSON line by which it said where it listens.
    """

    process: "subprocess.Popen[bytes]"
    pid: int
    ready: dict[str, Any]


@contextlib.contextmanager
def start_module(
    module: str, arguments: Sequence[str] = (), log: Path | None = None
) -> Iterator[ChildProcess]:
    """Run ``python -m module``, wait for its ready line, and end it on exit.

    Parameters
    ----------
    module : str
        Name of the module.
    arguments : sequence of str
        Its command line.
    log : Path, optional
        File that standard error goes to; a temporary one by default.

    Raises
    ------
    RuntimeError
        If the process ends, or says nothing, before it is ready.
    """
    with contextlib.ExitStack() as stack:
        errors = stack.enter_context(_open_errors(log))
        process = subprocess.Popen(
            [sys.executable, "-m", module, *arguments],
            stdin=subprocess.DEVNULL,
            stdout=subprocess.PIPE,
            stderr=errors,
            env={**os.environ, "PYTHONUNBUFFERED": "1"},
        )
        stack.callback(_end_process, process)
        ready = _read_ready(process)
        if ready is None:
            raise RuntimeError(f"{module} was not ready: {_read_tail(errors.fileno())}")
        threading.Thread(target=_drain, args=(process,), daemon=True).start()
        yield ChildProcess(process, process.pid, ready)


@contextlib.contextmanager
def start_standin(
    name: str, arguments: Sequence[str] = (), log: Path | None = None
) -> Iterator[ChildProcess]:
    """Run the stand-in `name`, for example ``"log"``, on a port of its own."""
    with start_module(f"standins.{name}", ["--port=0", *arguments], log) as child:
        yield child


@contextlib.contextmanager
def start_daemon(settings: Path, log: Path | None = None) -> Iterator[ChildProcess]:
    """Run the daemon with the settings in the file `settings`."""
    arguments = [f"--settings={settings}"]
    with start_module("plantainyard.daemon", arguments, log) as child:
        yield child


def _open_errors(log: Path | None) -> IO[bytes]:
    return open(log, "a+b") if log else TemporaryFile()


def _read_ready(process: "subprocess.Popen[bytes]") -> dict[str, Any] | None:
    deadline = read_clock() + READY_S
    stream: IO[bytes] | None = process.stdout
    text = b""
    while stream is not None and (left := deadline - read_clock()) > 0:
        readable, _, _ = select.select([stream], [], [], left)
        data = os.read(stream.fileno(), 65536) if readable else b""
        if not data:
            return None
        *lines, text = (text + data).split(b"\n")
        for line in lines:
            with contextlib.suppress(ValueError):
                ready = json.loads(line)
                if isinstance(ready, dict):
                    return ready
    return None


def _read_tail(descriptor: int) -> str:
    size = os.fstat(descriptor).st_size
    data = os.pread(descriptor, TAIL_BYTES, max(0, size - TAIL_BYTES))
    return data.decode(errors="replace")


def _drain(process: "subprocess.Popen[bytes]") -> None:
    # A child that goes on writing would block once the pipe is full.
    with contextlib.suppress(OSError, ValueError):
        while process.stdout is not None and process.stdout.read1(65536):  # type: ignore[attr-defined]
            pass


def _end_process(process: "subprocess.Popen[bytes]") -> None:
    # A process that was paused ignores the request to end until it is woken.
    with contextlib.suppress(ProcessLookupError):
        process.send_signal(signal.SIGCONT)
        process.terminate()
    try:
        process.wait(STOP_S)
    except subprocess.TimeoutExpired:
        process.kill()
        process.wait(KILL_S)
