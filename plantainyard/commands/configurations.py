"""Subcommands that show and change the configuration."""

import json
from typing import Any

from absl import flags
from result import Err, Ok, Result

from plantainyard.api import operators_pb2 as schema
from plantainyard.api import write_value
from plantainyard.commands.calls import Failure
from plantainyard.commands.command import (
    Command,
    Invocation,
    UsageError,
    call_method,
    define_no_flags,
    define_request_id_flag,
    format_table,
    pick_request_id,
    report_failure,
    run_call,
)
from plantainyard.commands.exit_codes import ExitCode
from plantainyard.commands.rendering import format_age, format_json, format_value
from plantainyard.commands.work_flags import read_text
from plantainyard.configuration import flatten_changes
from plantainyard.decoding import parse_toml

__all__ = ["COMMANDS", "change_configuration", "define_change_flags"]

READ_NEWEST = -2
"""Base version that stands for the newest one, read just before the change."""
JSON_SUFFIX = ".json"


def define_change_flags(values: flags.FlagValues) -> None:
    """Define the flags of a configuration change."""
    define_request_id_flag(values)
    flags.DEFINE_integer(
        "base_version",
        READ_NEWEST,
        "Version that the change builds on; by default the newest, read just before.",
        flag_values=values,
    )
    flags.DEFINE_bool(
        "dry_run", False, "Show what would change; change nothing.", flag_values=values
    )


def _define_apply(values: flags.FlagValues) -> None:
    define_change_flags(values)
    flags.DEFINE_multi_string(
        "set", [], "KEY=VALUE, the value in JSON; may be repeated.", flag_values=values
    )
    flags.DEFINE_multi_string(
        "unset", [], "Key to take away; may be repeated.", flag_values=values
    )


def _apply(invocation: Invocation) -> ExitCode:
    changes: dict[str, Any] = {}
    for path in invocation.arguments:
        changes |= flatten_changes(_read_tables(path))
    changes |= dict(map(_parse_assignment, invocation.flags.set))
    changes |= dict.fromkeys(invocation.flags.unset)
    if not changes:
        raise UsageError("expected a file, --set or --unset")
    return change_configuration(invocation, changes)


def _read_tables(path: str) -> dict[str, Any]:
    text = read_text(path)
    try:
        data = json.loads(text) if path.endswith(JSON_SUFFIX) else parse_toml(text)
    except (ValueError, RecursionError) as error:
        raise UsageError(
            f"{path}: expected TOML, or JSON in *.json: {error}"
        ) from error
    if not isinstance(data, dict):
        raise UsageError(f"{path}: expected an object")
    return data


def _parse_assignment(text: str) -> tuple[str, Any]:
    key, sign, value = text.partition("=")
    if not sign:
        raise UsageError(f"--set: expected KEY=VALUE, got {text!r}")
    try:
        return key, json.loads(value)
    except (ValueError, RecursionError) as error:
        raise UsageError(f"--set: {key}: expected a value in JSON: {error}") from error


def change_configuration(invocation: Invocation, changes: dict[str, Any]) -> ExitCode:
    """Apply changes on top of the base version selected by the flags."""
    base = _find_base_version(invocation)
    if isinstance(base, Err):
        return report_failure(invocation, base.err_value)
    try:
        values = {key: write_value(value) for key, value in changes.items()}
    except (ValueError, TypeError) as error:
        raise UsageError(f"expected values that JSON knows: {error}") from error
    request = schema.ApplyConfigurationRequest(
        request_id=pick_request_id(invocation),
        base_version=base.ok_value,
        changes=values,
        dry_run=invocation.flags.dry_run,
    )
    return run_call(invocation, "ApplyConfiguration", request, _format_applied)


def _find_base_version(invocation: Invocation) -> Result[int, Failure]:
    given = invocation.flags.base_version
    if given != READ_NEWEST:
        return Ok(given)
    # A manual retry after a lost response must build on the base version of the first
    # request, because the newest version may now be that change itself.
    if invocation.flags.request_id:
        raise UsageError("--request_id: expected --base_version of the first try too")
    response = call_method(
        invocation, "GetConfiguration", schema.GetConfigurationRequest()
    )
    if isinstance(response, Err):
        return response
    version: int = response.ok_value.version
    print(
        f"building on version {version} (--base_version)", file=invocation.context.err
    )
    return Ok(version)


def _format_applied(response: schema.ApplyConfigurationResponse) -> str:
    rows = (
        (c.key, format_value(c, "before"), format_value(c, "after"))
        for c in response.changes
    )
    table = format_table(("key", "before", "after"), rows)
    if not response.instances:
        return f"{table}\nnothing is changed; version {response.version} is in force"
    force = (
        f"in force on {response.in_force_on} of {response.instances} instances by now"
    )
    return f"{table}\nversion {response.version}, {force}"


def _define_show(values: flags.FlagValues) -> None:
    flags.DEFINE_string("prefix", "", "Only keys that begin so.", flag_values=values)


def _show(invocation: Invocation) -> ExitCode:
    request = schema.GetConfigurationRequest(prefix=invocation.flags.prefix)
    return run_call(invocation, "GetConfiguration", request, _format_configuration)


def _format_configuration(response: schema.GetConfigurationResponse) -> str:
    rows = ((key, format_json(response.values[key])) for key in sorted(response.values))
    table = format_table(("key", "value"), rows)
    age = format_age(response.age_s)
    return f"{table}\nversion {response.version}, known current {age}"


def _define_history(values: flags.FlagValues) -> None:
    flags.DEFINE_integer("limit", 20, "Most that are listed.", flag_values=values)
    flags.DEFINE_integer(
        "before_version", None, "Only older versions.", flag_values=values
    )


def _list_history(invocation: Invocation) -> ExitCode:
    request = schema.GetConfigurationHistoryRequest(
        limit=invocation.flags.limit,
        before_version=invocation.flags.before_version,
    )
    return run_call(invocation, "GetConfigurationHistory", request, _format_history)


def _format_history(response: schema.GetConfigurationHistoryResponse) -> str:
    rows = (
        (
            change.version,
            change.base_version if change.HasField("base_version") else "-",
            key,
            format_json(change.changes[key]),
        )
        for change in response.changes
        for key in sorted(change.changes)
    )
    table = format_table(("version", "built on", "key", "new value"), rows)
    return f"{table}\nolder ones: --before_version" if response.more else table


def _show_status(invocation: Invocation) -> ExitCode:
    request = schema.GetConfigurationStatusRequest()
    return run_call(invocation, "GetConfigurationStatus", request, _format_status)


def _format_status(response: schema.GetConfigurationStatusResponse) -> str:
    newest = response.newest_version
    rows = [
        (
            i.instance,
            i.domain,
            i.version,
            "yes" if i.version >= newest else "no",
            format_age(i.age_s),
            format_age(i.report_age_s),
        )
        for i in response.instances
    ]
    headers = (
        "instance",
        "domain",
        "version",
        "in force",
        "known current",
        "heard from",
    )
    count = sum(i.version >= newest for i in response.instances)
    summary = f"version {newest} in force on {count} of {len(rows)} instances"
    return f"{format_table(headers, rows)}\n{summary}"


COMMANDS = (
    Command(
        ("config", "apply"),
        "[FILE]",
        "Change the configuration, on top of a version that was read.",
        "A change wins if none of its keys was changed after the base version; else "
        "nothing is changed, and the winning version is printed (exit code 4). FILE is "
        "TOML, or JSON where its name ends in .json. The answer tells on how many "
        "instances the version is known to be in force; 'config status' tells which.",
        (
            "plantainyard config apply weights.toml --dry_run",
            "plantainyard config apply --set=workers.w17.fenced=true",
            "plantainyard config apply --unset=teams.billing.cores --base_version=412",
        ),
        _define_apply,
        _apply,
        0,
        1,
    ),
    Command(
        ("config", "show"),
        "",
        "Show the configuration in force at the answering instance.",
        "The version is the base for the next change.",
        ("plantainyard config show --prefix=teams.",),
        _define_show,
        _show,
    ),
    Command(
        ("config", "history"),
        "",
        "List accepted changes, newest first.",
        "Changes that lost a race are not listed.",
        ("plantainyard config history --limit=50",),
        _define_history,
        _list_history,
    ),
    Command(
        ("config", "status"),
        "",
        "Tell on which instances the newest version is in force.",
        "An instance that is cut off may hold an older one; the table says since when.",
        ("plantainyard config status",),
        define_no_flags,
        _show_status,
    ),
)
