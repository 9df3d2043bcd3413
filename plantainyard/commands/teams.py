"""Subcommands that list teams and set their quotas."""

from absl import flags

from plantainyard.api import operators_pb2 as schema
from plantainyard.commands.command import (
    Command,
    Invocation,
    UsageError,
    define_no_flags,
    format_table,
    run_call,
)
from plantainyard.commands.configurations import (
    change_configuration,
    define_change_flags,
)
from plantainyard.commands.exit_codes import ExitCode
from plantainyard.commands.rendering import format_ages, format_size
from plantainyard.configuration import build_quota_key
from plantainyard.work import Size

__all__ = ["COMMANDS"]


def _list_teams(invocation: Invocation) -> ExitCode:
    return run_call(invocation, "ListTeams", schema.ListTeamsRequest(), _format_teams)


def _format_quota(team: schema.Team) -> str:
    if not team.has_quota:
        return "not limited"
    limited = ((name, getattr(team.quota, name)) for name in team.limited)
    return ", ".join(f"{name} {value:g}" for name, value in limited)


def _format_teams(response: schema.ListTeamsResponse) -> str:
    rows = (
        (
            team.name,
            _format_quota(team),
            format_size(team.used),
            team.tasks_assigned,
            team.tasks_waiting,
        )
        for team in response.teams
    )
    headers = ("team", "quota", "used", "tasks assigned", "tasks waiting")
    lines = [format_table(headers, rows), f"version {response.version}"]
    return "\n".join([*lines, *format_ages(response.ages)])


def _define_set_team(values: flags.FlagValues) -> None:
    define_change_flags(values)
    flags.DEFINE_float("cores", None, "Cores at one time.", flag_values=values)
    flags.DEFINE_float("memory_gb", None, "Memory at one time.", flag_values=values)
    flags.DEFINE_integer(
        "accelerators", None, "Accelerators at one time.", flag_values=values
    )
    flags.DEFINE_bool("unlimited", False, "Take the quota away.", flag_values=values)


def _set_team(invocation: Invocation) -> ExitCode:
    team, values = invocation.arguments[0], invocation.flags
    amounts = {name: values[name].value for name in Size._fields}
    given = {name: value for name, value in amounts.items() if value is not None}
    if values.unlimited == bool(given):
        expected = ", ".join(f"--{name}" for name in Size._fields)
        raise UsageError(f"expected some of {expected}, or --unlimited")
    selected = given or amounts
    changes = {build_quota_key(team, name): value for name, value in selected.items()}
    return change_configuration(invocation, changes)


COMMANDS = (
    Command(
        ("teams", "list"),
        "",
        "List teams with their quotas and what they use in one domain.",
        "Quotas hold over all failure domains and are configuration: keys "
        "teams.<name>.cores and so on. What is used is told for the failure domain of "
        "the answering instance; name one with --address.",
        ("plantainyard teams list",),
        define_no_flags,
        _list_teams,
    ),
    Command(
        ("teams", "set"),
        "NAME",
        "Set or take away a team's quota.",
        "What is not given stays as it is. A smaller quota stops no running task; "
        "nothing new starts above it.",
        (
            "plantainyard teams set billing --cores=400 --memory_gb=1600",
            "plantainyard teams set billing --unlimited",
        ),
        _define_set_team,
        _set_team,
        1,
        1,
    ),
)
