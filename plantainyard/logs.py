"""Structured logs: JSON lines with the instance, step, peer and request id."""

import contextlib
import json
import logging
import sys
from collections.abc import Callable, Iterator
from typing import Any, TextIO

from pythonjsonlogger.json import JsonFormatter

from plantainyard.errors import CallError, describe_error
from plantainyard.settings import Secret, Settings

__all__ = ["configure_logging", "get_logger", "log_call_error", "log_step"]

ROOT = "plantainyard"
FORMAT = "%(asctime)s %(levelname)s %(name)s %(message)s"
FIELD_NAMES = {"asctime": "time", "levelname": "level", "name": "logger"}
REDACTED = "***"


@contextlib.contextmanager
def configure_logging(
    settings: Settings, stream: TextIO | None = None
) -> Iterator[None]:
    """Write the package's logs to `stream` as JSON lines within the context.

    Parameters
    ----------
    settings : Settings
        Provides the level, the instance named in each line, and the token to redact.
    stream : file, optional
        Destination of the lines; standard error by default.

    Notes
    -----
    The token can reach a log line inside the text of a library, such as an exception
    about a header. It is therefore searched for and replaced in each finished line, at
    the cost of one substring search per line.
    """
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(
        JsonFormatter(
            FORMAT,
            rename_fields=FIELD_NAMES,
            static_fields={"instance": settings.instance.id},
            json_serializer=_make_serializer(settings.security.token),
        )
    )
    root = logging.getLogger(ROOT)
    previous = root.handlers, root.level, root.propagate
    root.handlers = [handler]
    root.setLevel(settings.logs.level.upper())
    root.propagate = False
    try:
        yield
    finally:
        root.handlers, root.level, root.propagate = previous


def get_logger(name: str) -> logging.Logger:
    """Return the logger of a subsystem, such as ``"routing"``."""
    return logging.getLogger(f"{ROOT}.{name}")


def log_step(
    logger: logging.Logger,
    level: int,
    message: str,
    step: str,
    peer: str = "",
    request_id: str = "",
    **fields: Any,
) -> None:
    """Log `message` with the step, the peer and the request id that it concerns.

    Parameters
    ----------
    logger : Logger
        From `get_logger`.
    level : int
        ``logging.INFO`` and the like.
    message : str
        What happened, as a constant text so that lines can be grouped and counted.
    step : str
        What was being done, for example ``"log.append"``.
    peer, request_id : str
        Omitted from the line if empty.
    **fields
        Further fields, JSON-encodable or else converted to text.
    """
    if not logger.isEnabledFor(level):
        return
    standard = {"step": step, "peer": peer, "request_id": request_id}
    present = {name: value for name, value in standard.items() if value}
    logger.log(level, message, extra={**fields, **present})


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
    escaped_token = json.dumps(token.reveal())[1:-1]

    def serialize(data: Any, **options: Any) -> str:
        return json.dumps(data, **options).replace(escaped_token, REDACTED)

    return serialize
