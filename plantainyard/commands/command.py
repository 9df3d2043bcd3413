"""Definition of a subcommand, and functions that subcommands share."""

import json
from collections.abc import Callable, Iterable, Sequence
from typing import Any, NamedTuple

from absl import flags
from google.protobuf.message import Message
from result import Err, Result
from tabulate import tabulate

from plantainyard.api.codec import JSON, encode_message
from plantainyard.api.errors import encode_error
from plantainyard.commands.access import Access
from plantainyard.commands.calls import Failure, call_instances
from plantainyard.commands.context import Context
from plantainyard.commands.exit_codes import ExitCode

__all__ = [
    "OUTPUT_JSON",
    "Command",
    "Invocation",
    "UsageError",
    "call_method",
    "define_no_flags",
    "define_request_id_flag",
    "format_table",
    "pick_request_id",
    "report_failure",
    "run_call",
    "print_message",
    "print_json",
]

OUTPUT_JSON = "json"
OUTPUT_TABLE = "table"
NO_VERSION = -1


class UsageError(Exception):
    """The flags or arguments are invalid; the message says what is expected."""


class Invocation(NamedTuple):
    """One run of a subcommand.

    Attributes
    ----------
    context : Context
        Environment, streams, network and clock.
    access : Access
        The instances and the token.
    flags : FlagValues
        Flags of this subcommand.
    arguments : tuple of str
        Positional arguments.
    """

    context: Context
    access: Access
    flags: flags.FlagValues
    arguments: tuple[str, ...]


class Command(NamedTuple):
    """A subcommand.

    Attributes
    ----------
    path : tuple of str
        Words of its name, such as ``("jobs", "create")``.
    arguments : str
        Its positional arguments, as shown in the usage line.
    summary : str
        One line of help.
    description : str
        Paragraph of help for a new user.
    examples : tuple of str
        Complete command lines.
    define_flags : callable
        Defines its flags.
    run : callable
        Runs it and returns the exit code.
    min_arguments, max_arguments : int
        Bounds of the number of positional arguments.
    """

    path: tuple[str, ...]
    arguments: str
    summary: str
    description: str
    examples: tuple[str, ...]
    define_flags: Callable[[flags.FlagValues], None]
    run: Callable[[Invocation], ExitCode]
    min_arguments: int = 0
    max_arguments: int = 0


def define_no_flags(values: flags.FlagValues) -> None:
    """Define no flags."""


def define_request_id_flag(values: flags.FlagValues) -> None:
    """Define the flag for the request id of a call that changes something."""
    flags.DEFINE_string(
        "request_id",
        "",
        "Id of the call; give the printed one to repeat a call safely.",
        flag_values=values,
    )


def pick_request_id(invocation: Invocation) -> str:
    """Return the request id given by flag, or a new one."""
    return invocation.flags.request_id or invocation.context.create_id()


def call_method(
    invocation: Invocation, method: str, request: Message
) -> Result[Any, Failure]:
    """Call a method with the invocation's access and timeout."""
    timeout_s = invocation.flags.timeout_s
    return call_instances(
        invocation.context, invocation.access, method, request, timeout_s
    )


def run_call(
    invocation: Invocation,
    method: str,
    request: Message,
    render: Callable[[Any], str],
) -> ExitCode:
    """Call a method, print its response or failure, and return the exit code.

    The response is printed as JSON or as formatted by `render`.
    """
    response = call_method(invocation, method, request)
    if isinstance(response, Err):
        return report_failure(invocation, response.err_value)
    print_message(invocation, response.ok_value, render)
    return ExitCode.OK


def print_message(
    invocation: Invocation, message: Message, render: Callable[[Any], str]
) -> None:
    """Print `message` in the form that the flag ``--output`` selects."""
    if invocation.flags.output == OUTPUT_JSON:
        print_json(invocation, json.loads(encode_message(message, JSON)))
    else:
        print(render(message), file=invocation.context.out)


def print_json(invocation: Invocation, data: Any) -> None:
    """Print `data` as indented JSON."""
    print(json.dumps(data, indent=2, sort_keys=True), file=invocation.context.out)


def report_failure(invocation: Invocation, failure: Failure) -> ExitCode:
    """Print why a call failed and what to do next, and return its exit code."""
    err, error = invocation.context.err, failure.error
    if invocation.flags.output == OUTPUT_JSON:
        fields = json.loads(encode_error(error))
        print(json.dumps({**fields, "request_id": failure.request_id}), file=err)
        return failure.exit_code
    print(_describe_failure(failure), file=err)
    if failure.exit_code == ExitCode.UNKNOWN:
        hint = f"Repeat with --request_id={failure.request_id}"
        print(f"It may have been done. {hint}", file=err)
    elif _has_given_request_id(invocation) and failure.exit_code != ExitCode.CONFLICT:
        print(
            "This call did nothing. If an earlier one with this id ended unknown, it "
            "still is: repeat.",
            file=err,
        )
    return failure.exit_code


def _has_given_request_id(invocation: Invocation) -> bool:
    values = invocation.flags
    return "request_id" in values and bool(values.request_id)


def _describe_failure(failure: Failure) -> str:
    error = failure.error
    parts = [failure.exit_code.name.lower().replace("_", " ")]
    parts += [part for part in (error.field, error.detail) if part]
    if error.winning_version != NO_VERSION:
        parts.append(f"version {error.winning_version} won")
    if error.retry_after_s:
        parts.append(f"come back in {error.retry_after_s:g} s")
    return ": ".join(parts)


def format_table(headers: Sequence[str], rows: Iterable[Sequence[Any]]) -> str:
    """Return rows as a table, or ``none`` if there are no rows."""
    row_list = list(rows)
    return tabulate(row_list, headers, disable_numparse=True) if row_list else "none"
