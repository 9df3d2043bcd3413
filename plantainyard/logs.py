"""Structured logs: one JSON object a line, with instance, step, peer and request id."""

import contextlib
import json
import logging
import sys
from collections.abc import Callable, Iterator
from typing import Any, TextIO

from pythonjsonlogger.json import JsonFormatter

from plantainyard.errors import CallError, describe_error
from plantainyard.settings import Secret, Settings

__all__ = ["get_logger", "configure_logging", "log_call_error", "log_step"]

ROOT = "plantainyard"
FORMAT = "%(asctime)s %(levelname)s %(name)s %(message)s"
RENAMED = {"asctime": "time", "levelname": "level", "name": "logger"}
HIDDEN = "***"


@contextlib.contextmanager
def configure_logging(
    settings: Settings, stream: TextIO | None = None
) -> Iterator[None]:
    """Send the package's logs to `stream` as JSON for the length of the context.

    Parameters
    ----------
    settings : Settings
        Gives the level, the instance named in each line, and the token to hide.
    stream : file, optional
        Where lines go; standard error by default.

    Notes
    -----
    A token can reach a log inside somebody else's text, such as an exception about a
    header. Each finished line is therefore searched for it and the token replaced;
    the cost is one substring search a line.
    """
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(
        JsonFormatter(
            FORMAT,
            rename_fields=RENAMED,
            static_fields={"instance": settings.instance.id},
            json_serializer=_make_serializer(settings.security.token),
        )
    )
    root = logging.getLogger(ROOT)
    before = root.handlers, root.level, root.propagate
    root.handlers = [handler]
    root.setLevel(settings.logs.level.upper())
    root.propagate = False
    try:
        yield
    finally:
        root.handlers, root.level, root.propagate = before


def get_logger(name: str) -> logging.Logger:
    """Return the logger of a part of the package, such as ``"routing"``."""
    return logging.getLogger(f"{ROOT}.{name}")


def log_step(
    logger: logging.Logger,
    level: int,
    message: str,
    step: str,
    peer: str = "",
    request_id: str = "",
    **more: Any,
) -> None:
    """Log `message` with the step, the peer and the request id it is about.

    Parameters
    ----------
    logger : Logger
        From `get_logger`.
    level : int
        ``logging.INFO`` and the like.
    message : str
        What happened; the same text each time, so that lines can be counted.
    step : str
        What was being done, for example ``"log.append"``.
    peer, request_id : str
        Left out of the line where empty.
    **more
        Further fields, encodable as JSON or turned to text.
    """
    if not logger.isEnabledFor(level):
        return
    named = {"step": step, "peer": peer, "request_id": request_id}
    fields = {name: value for name, value in named.items() if value}
    logger.log(level, message, extra={**more, **fields})


def log_call_error(
    logger: logging.Logger,
    error: CallError,
    request_id: str = "",
    level: int = logging.WARNING,
) -> None:
    """Log a failed call with the step and the peer at which it failed."""
    log_step(
        logger,
        level,
        describe_error(error),
        error.step,
        error.peer,
        request_id,
        kind=error.kind,
    )


def _make_serializer(token: Secret) -> Callable[..., str]:
    hidden = json.dumps(token.reveal())[1:-1]

    def serialize(data: Any, **options: Any) -> str:
        return json.dumps(data, **options).replace(hidden, HIDDEN)

    return serialize
