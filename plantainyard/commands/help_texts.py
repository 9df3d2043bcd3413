"""Help texts, generated from the definitions of the subcommands."""

import textwrap
from collections.abc import Iterable, Sequence

from absl import flags

from plantainyard.commands.command import Command
from plantainyard.commands.exit_codes import describe_exit_codes

__all__ = ["describe_command", "describe_commands"]

LINE_WIDTH = 79
INTRODUCTION = """\
plantainyard drives a deployment of the plantainyard scheduler.

Give it the control address of one or more instances and the token:
  --address=10.10.1.1:7401 --token_file=token        as flags, or
  PLANTAINYARD_ADDRESSES=10.10.1.1:7401,10.10.2.1:7401 and
  PLANTAINYARD_TOKEN or PLANTAINYARD_TOKEN_FILE      in the environment, or
  addresses = ["10.10.1.1:7401"] and token_file = "token"
                                                     in ~/.config/plantainyard.toml

The first five minutes:
  plantainyard status
  plantainyard jobs create --name=first --team=ops --tasks=4 --cores=1 \\
      --memory_gb=1 --run_s=10
  plantainyard jobs wait JOB_ID
"""


def describe_commands(commands: Sequence[Command], prefix: Sequence[str]) -> str:
    """Return an overview of all subcommands whose path begins with `prefix`."""
    selected = [c for c in commands if c.path[: len(prefix)] == tuple(prefix)]
    usages = [(" ".join(c.path + (c.arguments,)).strip(), c.summary) for c in selected]
    width = max(len(usage) for usage, _ in usages)
    lines = [f"  {usage:<{width}}  {summary}" for usage, summary in usages]
    return "\n".join(
        [
            INTRODUCTION,
            "Subcommands (--help after each tells more):",
            *lines,
            "",
            "Exit codes:",
            describe_exit_codes(),
        ]
    )


def describe_command(
    command: Command, own: flags.FlagValues, shared: flags.FlagValues
) -> str:
    """Return the help of one subcommand.

    Parameters
    ----------
    command : Command
        The subcommand.
    own, shared : FlagValues
        Its own flags, and those that all subcommands share.
    """
    usage = " ".join(("plantainyard", *command.path, command.arguments)).strip()
    examples = [f"  {example}" for example in command.examples]
    return "\n".join(
        [
            f"usage: {usage} [flags]",
            "",
            command.summary,
            textwrap.fill(command.description, LINE_WIDTH),
            "",
            "Examples:",
            *examples,
            "",
            *_describe_flags("Flags:", own),
            *_describe_flags("Flags of all subcommands:", shared),
            "Exit codes:",
            describe_exit_codes(),
        ]
    )


def _describe_flags(title: str, values: flags.FlagValues) -> Iterable[str]:
    names = sorted(values)
    if not names:
        return []
    return [title, *(_describe_flag(values[name]) for name in names), ""]


def _describe_flag(flag: flags.Flag) -> str:
    default = "" if flag.default in (None, "", []) else f" (default {flag.value})"
    name = f"--[no]{flag.name}" if flag.boolean else f"--{flag.name}=..."
    return f"  {name:<24} {flag.help}{default}"
