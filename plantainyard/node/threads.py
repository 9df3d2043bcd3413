"""Threads of a process that run as long as a context is open.

Each function is a context manager that starts a thread and, on exit, requests it to
stop and waits for it. An exception in an iteration is logged and the next iteration
is run: if the thread ended silently, the process would go on without its work.
"""

import contextlib
import logging
import threading
from collections.abc import Callable, Iterator

__all__ = ["run_every", "run_forever"]

_JOIN_S = 5.0
_FAILURE_PAUSE_S = 0.5

_logger = logging.getLogger(__name__)


@contextlib.contextmanager
def run_every(
    name: str, interval_s: float, action: Callable[[], object]
) -> Iterator[None]:
    """Call `action` in a separate thread, with a pause of `interval_s` seconds."""

    def act(stop: threading.Event) -> None:
        action()
        stop.wait(interval_s)

    with run_forever(name, act):
        yield


@contextlib.contextmanager
def run_forever(
    name: str, action: Callable[[threading.Event], object]
) -> Iterator[None]:
    """Call `action` repeatedly in a separate thread.

    Parameters
    ----------
    name : str
        Name of the thread, for dumps.
    action : callable
        Takes an event that is set when `action` should return soon.
    """
    stop = threading.Event()
    thread = threading.Thread(target=_loop, args=(stop, action), name=name, daemon=True)
    thread.start()
    try:
        yield
    finally:
        stop.set()
        thread.join(_JOIN_S)


def _loop(stop: threading.Event, action: Callable[[threading.Event], object]) -> None:
    while not stop.is_set():
        try:
            action(stop)
        except Exception:
            _logger.exception("thread failed", extra={"step": "thread"})
            stop.wait(_FAILURE_PAUSE_S)
