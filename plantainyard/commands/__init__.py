"""The command-line tool: subcommands over the operators' schema."""

from plantainyard.commands.exits import EXIT_MEANINGS, ExitCode
from plantainyard.commands.run import COMMANDS, run_command
from plantainyard.commands.world import World, create_world

__all__ = [
    "COMMANDS",
    "EXIT_MEANINGS",
    "ExitCode",
    "World",
    "create_world",
    "run_command",
]
