"""Flags that declare work, and the request messages built from them."""

from typing import Any

from absl import flags
from google.protobuf.message import Message
from result import Err

from plantainyard.api import operators_pb2 as schema
from plantainyard.api.codec import JSON, decode_message
from plantainyard.commands.command import (
    Invocation,
    UsageError,
    define_request_id_flag,
    pick_request_id,
)

__all__ = [
    "define_work_flags",
    "parse_pairs",
    "read_request_file",
    "read_text",
    "read_work_flags",
]


def define_work_flags(values: flags.FlagValues) -> None:
    """Define the flags that the creation of batch jobs and services shares."""
    define_request_id_flag(values)
    text, number = flags.DEFINE_string, flags.DEFINE_float
    text("file", "", "JSON file with the whole request.", flag_values=values)
    text("name", "", "Name of the work.", flag_values=values)
    text("team", "", "Team whose quota is charged.", flag_values=values)
    number("cores", 0.0, "Declared cores of one task.", flag_values=values)
    number("memory_gb", 0.0, "Declared memory of one task.", flag_values=values)
    flags.DEFINE_integer(
        "accelerators", 0, "Accelerators of one task.", flag_values=values
    )
    flags.DEFINE_list(
        "regions", [], "Regions where it may run; all by default.", flag_values=values
    )
    flags.DEFINE_list(
        "domains",
        [],
        "Failure domains where it may run; all by default.",
        flag_values=values,
    )
    text("accelerator", "", "Kind of accelerator that it needs.", flag_values=values)
    text("workload", "", "Kind of work, to learn interference.", flag_values=values)
    text("payload", "", "Text handed to the worker.", flag_values=values)
    text(
        "payload_file",
        "",
        "File whose text is handed over instead.",
        flag_values=values,
    )
    flags.DEFINE_bool(
        "dry_run", False, "Check only; accept nothing.", flag_values=values
    )


def read_work_flags(invocation: Invocation) -> dict[str, Any]:
    """Return the request fields that batch jobs and services share, from the flags."""
    values = invocation.flags
    payload = read_text(values.payload_file) if values.payload_file else values.payload
    return {
        "request_id": pick_request_id(invocation),
        "name": values.name,
        "team": values.team,
        "size": schema.Size(
            cores=values.cores,
            memory_gb=values.memory_gb,
            accelerators=values.accelerators,
        ),
        "constraints": schema.Constraints(
            regions=values.regions,
            domains=values.domains,
            accelerator=values.accelerator,
        ),
        "workload": values.workload,
        "payload": payload,
        "dry_run": values.dry_run,
    }


def read_request_file(invocation: Invocation, message_class: type[Message]) -> Any:
    """Return the request in the file of ``--file``, with a request id filled in."""
    values = invocation.flags
    body = read_text(values.file).encode()
    decoded = decode_message(message_class, JSON, body)
    if isinstance(decoded, Err):
        error = decoded.err_value
        place = f"{error.field}: " if error.field else ""
        raise UsageError(f"{values.file}: {place}{error.detail}")
    request: Any = decoded.ok_value
    if values.request_id or not request.request_id:
        request.request_id = pick_request_id(invocation)
    request.dry_run |= values.dry_run
    return request


def read_text(path: str) -> str:
    """Return a file's text.

    Raises
    ------
    UsageError
        If the file can't be read.
    """
    try:
        with open(path, encoding="utf-8") as file:
            return file.read()
    except (OSError, UnicodeDecodeError) as error:
        raise UsageError(f"{path}: expected a readable text file: {error}") from error


def parse_pairs(flag: str, parts: list[str]) -> dict[str, int]:
    """Return the mapping given by parts of the form ``name=number``.

    Raises
    ------
    UsageError
        If a part has another form or a name occurs twice.
    """
    pairs = {}
    for part in parts:
        name, sign, number = part.partition("=")
        if not sign or not number.isdecimal() or name in pairs:
            raise UsageError(f"--{flag}: expected NAME=NUMBER,... each name once")
        pairs[name] = int(number)
    return pairs
