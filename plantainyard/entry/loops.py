"""Loops on threads of their own, which an unexpected exception must not end."""

import threading
import traceback
from collections.abc import Callable
from typing import Any

from plantainyard.entry.eventlog import EventLog

__all__ = ["supervise_loop", "start_loop"]

RESTART_S = 0.5
"""Pause in seconds before a loop that has failed begins again."""


def supervise_loop(
    log: EventLog, stopping: threading.Event, run: Callable[..., None], *arguments: Any
) -> None:
    """Run a loop, and begin it again after an unexpected exception.

    Parameters
    ----------
    log : EventLog
        Log for the exceptions.
    stopping : Event
        Ends the attempts.
    run : callable
        The loop; it returns when it is to end.
    *arguments
        Passed to `run`.

    Notes
    -----
    Guards against an instance that goes on without one of its loops: nothing shows it
    but what isn't read or answered any more.
    """
    while True:
        try:
            run(*arguments)
            return
        except Exception as error:
            why = traceback.format_exception(error)[-3:]
            log.write("loop_failed", loop=run.__name__.strip("_"), why=why)
        if stopping.wait(RESTART_S):
            return


def start_loop(
    log: EventLog, stopping: threading.Event, run: Callable[..., None], *arguments: Any
) -> None:
    """Start a thread on which `supervise_loop` runs a loop."""
    everything = (log, stopping, run, *arguments)
    threading.Thread(target=supervise_loop, args=everything, daemon=True).start()
