"""Start of stand-ins and daemons as child processes that are always stopped on exit."""

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

READY_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 15.0
KILL_TIMEOUT_S = 5.0
TAIL_BYTES = 2000


class ChildProcess(NamedTuple):
    """A started child process.

    Attributes
    ----------
    process : subprocess.Popen
        The process itself.
    pid : int
        Process id.
    ready : dict
        JSON object by which the process reported its addresses.
    """

    process: "subprocess.Popen[bytes]"
    pid: int
    ready: dict[str, Any]


@contextlib.contextmanager
def start_module(
    module: str, arguments: Sequence[str] = (), log: Path | None = None
) -> Iterator[ChildProcess]:
    """Run ``python -m module``, wait until it is ready, and stop it on exit.

    Parameters
    ----------
    module : str
        Name of the module.
    arguments : sequence of str
        Its command-line arguments.
    log : Path, optional
        File to which standard error is appended; a temporary one by default.

    Raises
    ------
    RuntimeError
        If the process ends, or doesn't report in time, before it is ready.
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
        stack.callback(_stop_process, process)
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
    """Run the daemon with the settings file `settings`."""
    arguments = [f"--settings={settings}"]
    with start_module("plantainyard.daemon", arguments, log) as child:
        yield child


def _open_errors(log: Path | None) -> IO[bytes]:
    return open(log, "a+b") if log else TemporaryFile()


def _read_ready(process: "subprocess.Popen[bytes]") -> dict[str, Any] | None:
    deadline = read_clock() + READY_TIMEOUT_S
    stream: IO[bytes] | None = process.stdout
    text = b""
    while stream is not None and (remaining_s := deadline - read_clock()) > 0:
        readable, _, _ = select.select([stream], [], [], remaining_s)
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
    # A child that continues to write would block once the pipe is full.
    with contextlib.suppress(OSError, ValueError):
        while process.stdout is not None and process.stdout.read1(65536):  # type: ignore[attr-defined]
            pass


def _stop_process(process: "subprocess.Popen[bytes]") -> None:
    # A paused process doesn't handle SIGTERM until it is resumed.
    with contextlib.suppress(ProcessLookupError):
        process.send_signal(signal.SIGCONT)
        process.terminate()
    try:
        process.wait(STOP_TIMEOUT_S)
    except subprocess.TimeoutExpired:
        process.kill()
        process.wait(KILL_TIMEOUT_S)
