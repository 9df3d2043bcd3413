"""The daemon ``plantainyardd``, which runs one entry instance.

Its exit codes are 0 after a graceful shutdown, 1 if requests were cut off, 2 for
invalid settings or flags, and 3 if a component of the process has failed.
"""

import contextlib
import json
import logging
import select
import signal
import socket
import sys
from collections.abc import Iterator
from pathlib import Path

from absl import flags
from result import Err

from plantainyard.logs import configure_logging
from plantainyard.operators import find_faults
from plantainyard.process import drain_process, run_process
from plantainyard.settings import Settings, describe_setting_error, load_settings

__all__ = ["main", "run"]

EXIT_OK = 0
EXIT_CUT_OFF = 1
EXIT_USAGE = 2
EXIT_FAULT = 3

_FAULT_CHECK_INTERVAL_S = 1.0
_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
_HELP = frozenset({"--help", "-h"})
_USAGE = """\
usage: plantainyardd --settings=FILE [--check]

Runs one entry instance until SIGTERM, which is a graceful shutdown.

  --settings=FILE  TOML file with the settings; examples are in examples/
  --check          check the settings, open no socket, and exit

Exit codes:
  0  stopped as planned, no request was cut off; or the settings are sound
  1  stopped with requests in progress after intervals.stop_s
  2  the settings or the flags are wrong; no socket was opened
  3  a part of the process has died"""

_logger = logging.getLogger(__name__)

_SETTINGS = flags.DEFINE_string("settings", None, "TOML file with the settings.")
_CHECK = flags.DEFINE_bool("check", False, "Check the settings, open no socket.")


def run(settings: Settings) -> int:
    """Run until a stop signal arrives, then stop gracefully.

    Returns
    -------
    int
        The exit code.

    Notes
    -----
    Once both servers listen, their addresses are printed as one JSON line.

    """
    with _catch_stop_signals() as stop_socket, run_process(settings) as process:
        ready = {
            "address": process.address,
            "control_address": process.control_address,
            "instance": settings.instance.id,
        }
        print(json.dumps(ready), flush=True)
        while not select.select([stop_socket], [], [], _FAULT_CHECK_INTERVAL_S)[0]:
            faults = find_faults(process.node)
            if faults:
                # A process with a dead actor looks alive but does no work. If it exits,
                # other instances take over its duties as for any dead instance.
                _logger.critical("%s", "; ".join(faults), extra={"step": "watch"})
                return EXIT_FAULT
        drained = drain_process(process)
    return EXIT_OK if drained else EXIT_CUT_OFF


@contextlib.contextmanager
def _catch_stop_signals() -> Iterator[socket.socket]:
    """Yield a socket that becomes readable once a stop signal has arrived.

    Notes
    -----
    Guards against a process that ignores SIGTERM and against one that is killed by it.
    A signal handler that sets an event can run while the main thread holds the event's
    lock, just before it waits; the process then never stops. Signals that are blocked
    and awaited with ``sigwait`` are delivered to threads that libraries started at
    import and that don't block them; the process then dies with its requests in
    progress. The interpreter writes to a wakeup socket in whichever thread the signal
    arrives, without taking a lock.
    """
    receiver, sender = socket.socketpair()
    with receiver, sender:
        sender.setblocking(False)
        signal.set_wakeup_fd(sender.fileno())
        for number in _STOP_SIGNALS:
            signal.signal(number, lambda *_: None)
        try:
            yield receiver
        finally:
            signal.set_wakeup_fd(-1)


def _run_with_flags(arguments: list[str]) -> int:
    if len(arguments) > 1 or _SETTINGS.value is None:
        print(_USAGE, file=sys.stderr)
        return EXIT_USAGE
    loaded = load_settings(Path(_SETTINGS.value))
    if isinstance(loaded, Err):
        for error in loaded.err_value:
            print(describe_setting_error(error), file=sys.stderr)
        return EXIT_USAGE
    if _CHECK.value:
        print(f"{_SETTINGS.value}: the settings are sound")
        return EXIT_OK
    with configure_logging(loaded.ok_value):
        return run(loaded.ok_value)


def main() -> None:
    """Run the daemon with the flags of the command line."""
    if _HELP.intersection(sys.argv[1:]):
        print(_USAGE)
        sys.exit(EXIT_OK)
    # `app.run` would exit with 1 for an invalid flag, which is `EXIT_CUT_OFF` here.
    try:
        arguments = flags.FLAGS(sys.argv)
    except flags.Error as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_USAGE)
    sys.exit(_run_with_flags(arguments))


if __name__ == "__main__":
    main()
