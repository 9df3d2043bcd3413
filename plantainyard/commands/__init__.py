"""The command-line tool, whose subcommands call the operators' interface."""

from plantainyard.commands.context import Context, create_context
from plantainyard.commands.exit_codes import EXIT_MEANINGS, ExitCode
from plantainyard.commands.run import COMMANDS, run_command

__all__ = [
    "COMMANDS",
    "EXIT_MEANINGS",
    "ExitCode",
    "Context",
    "create_context",
    "run_command",
]
