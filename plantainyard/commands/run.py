"""Parsing of a command line and dispatch to its subcommand."""

from collections.abc import Sequence

from absl import flags
from result import Err

from plantainyard.commands import configurations, instances, jobs, services, teams
from plantainyard.commands.access import find_access
from plantainyard.commands.command import (
    OUTPUT_JSON,
    OUTPUT_TABLE,
    Command,
    Invocation,
    UsageError,
)
from plantainyard.commands.context import Context
from plantainyard.commands.exit_codes import ExitCode
from plantainyard.commands.help_texts import describe_command, describe_commands

__all__ = ["COMMANDS", "run_command"]

HELP_WORDS = frozenset({"--help", "-help", "-h", "help"})
COMMANDS: tuple[Command, ...] = (
    *jobs.COMMANDS,
    *services.COMMANDS,
    *configurations.COMMANDS,
    *teams.COMMANDS,
    *instances.COMMANDS,
)


def run_command(arguments: Sequence[str], context: Context) -> ExitCode:
    """Run the subcommand that `arguments` name, and return its exit code.

    The arguments exclude the program's name.
    """
    if not arguments or arguments[0] in HELP_WORDS:
        print(describe_commands(COMMANDS, ()), file=context.out)
        return ExitCode.OK if arguments else ExitCode.USAGE
    command = _find_command(arguments)
    if command is None:
        return _report_unknown_command(arguments, context)
    own, shared = flags.FlagValues(), flags.FlagValues()
    command.define_flags(own)
    _define_shared_flags(shared)
    rest = list(arguments[len(command.path) :])
    if HELP_WORDS.intersection(rest):
        print(describe_command(command, own, shared), file=context.out)
        return ExitCode.OK
    try:
        return _run(command, rest, context)
    except (UsageError, flags.Error) as error:
        usage = " ".join(("plantainyard", *command.path))
        print(f"usage: {error}\nsee '{usage} --help'", file=context.err)
        return ExitCode.USAGE
    except KeyboardInterrupt:
        return ExitCode.INTERRUPTED


def _find_command(arguments: Sequence[str]) -> Command | None:
    return next(
        (c for c in COMMANDS if c.path == tuple(arguments[: len(c.path)])),
        None,
    )


def _report_unknown_command(arguments: Sequence[str], context: Context) -> ExitCode:
    group = [c for c in COMMANDS if c.path[0] == arguments[0]]
    if group and HELP_WORDS.intersection(arguments[1:2]):
        print(describe_commands(COMMANDS, arguments[:1]), file=context.out)
        return ExitCode.OK
    known = [" ".join(c.path) for c in group or COMMANDS]
    print(
        f"usage: no subcommand '{' '.join(arguments[:2])}'; "
        f"known are: {', '.join(known)}",
        file=context.err,
    )
    return ExitCode.USAGE


def _define_shared_flags(values: flags.FlagValues) -> None:
    flags.DEFINE_multi_string(
        "address",
        [],
        "IP:PORT of an instance's control address; repeat it to name several.",
        flag_values=values,
    )
    flags.DEFINE_string(
        "token_file", "", "File that holds the token.", flag_values=values
    )
    flags.DEFINE_string(
        "profile", "", "TOML file with addresses and token.", flag_values=values
    )
    flags.DEFINE_enum(
        "output",
        OUTPUT_TABLE,
        [OUTPUT_TABLE, OUTPUT_JSON],
        "Form of the result.",
        flag_values=values,
    )
    flags.DEFINE_float(
        "timeout_s",
        10.0,
        "Longest wait for one instance's answer.",
        lower_bound=0.1,
        flag_values=values,
    )


def _run(command: Command, rest: list[str], context: Context) -> ExitCode:
    values = flags.FlagValues()
    command.define_flags(values)
    _define_shared_flags(values)
    values.set_gnu_getopt(True)
    arguments = tuple(values(["plantainyard", *rest])[1:])
    if not command.min_arguments <= len(arguments) <= command.max_arguments:
        expected = command.arguments or "no arguments"
        raise UsageError(f"expected {expected}, got {' '.join(arguments) or 'none'}")
    access = find_access(
        values.address, values.token_file, values.profile, context.environ
    )
    if isinstance(access, Err):
        raise UsageError(access.err_value)
    return command.run(Invocation(context, access.ok_value, values, arguments))
