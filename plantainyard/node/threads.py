"""Threads of a process that live as long as a context.

Each function is a context manager that starts a thread and, on leaving, asks it to
stop and waits for it. A failure in a round is logged and the next round is run: a
thread that died silently would leave its duty half alive.
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
    """Call `action` every `interval_s` seconds in a thread of its own."""

    def act(stop: threading.Event) -> None:
        action()
        stop.wait(interval_s)

    with run_forever(name, act):
        yield


@contextlib.contextmanager
def run_forever(
    name: str, action: Callable[[threading.Event], object]
) -> Iterator[None]:
    """Call `action` again and again in a thread of its own.

    Parameters
    ----------
    name : str
        Name of the thread, for dumps.
    action : callable
        Gets an event that is set when it should return soon.
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
