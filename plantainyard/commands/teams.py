"""Subcommands for teams and their quotas."""

from absl import flags

from plantainyard.api import operators_pb2 as schema
from plantainyard.commands.command import (
    Command,
    Invocation,
    UsageError,
    define_nothing,
    format_table,
    run_call,
)
from plantainyard.commands.configurations import change_configuration, define_change
from plantainyard.commands.exits import ExitCode
from plantainyard.commands.render import format_ages, format_size
from plantainyard.configuration import name_quota

__all__ = ["COMMANDS"]


def _list_teams(invocation: Invocation) -> ExitCode:
    return run_call(invocation, "ListTeams", schema.ListTeamsRequest(), _format_teams)


def _format_teams(answer: schema.ListTeamsResponse) -> str:
    rows = (
        (
            team.name,
            format_size(team.quota) if team.has_quota else "not limited",
            format_size(team.used),
            team.tasks_assigned,
            team.tasks_waiting,
        )
        for team in answer.teams
    )
    headers = ("team", "quota", "used", "tasks assigned", "tasks waiting")
    lines = [format_table(headers, rows), f"version {answer.version}"]
    return "\n".join([*lines, *format_ages(answer.ages)])


def _define_set_team(values: flags.FlagValues) -> None:
    define_change(values)
    flags.DEFINE_float("cores", None, "Cores at one time.", flag_values=values)
    flags.DEFINE_float("memory_gb", None, "Memory at one time.", flag_values=values)
    flags.DEFINE_integer("accelerators", 0, "Accelerators.", flag_values=values)
    flags.DEFINE_bool("unlimited", False, "Take the quota away.", flag_values=values)


def _set_team(invocation: Invocation) -> ExitCode:
    values = invocation.flags
    key = name_quota(invocation.arguments[0])
    has_size = values.cores is not None and values.memory_gb is not None
    if values.unlimited == has_size:
        raise UsageError("expected --cores and --memory_gb, or --unlimited")
    quota = {
        "cores": values.cores,
        "memory_gb": values.memory_gb,
        "accelerators": values.accelerators,
    }
    return change_configuration(invocation, {key: None if values.unlimited else quota})


COMMANDS = (
    Command(
        ("teams", "list"),
        "",
        "List teams with their quotas and what they use.",
        "Quotas are configuration: keys teams.<name>.quota.",
        ("plantainyard teams list",),
        define_nothing,
        _list_teams,
    ),
    Command(
        ("teams", "set"),
        "NAME",
        "Set or take away a team's quota.",
        "A smaller quota stops no running task; nothing new starts above it.",
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
