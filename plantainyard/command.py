"""Entry point of the command-line tool ``plantainyard``."""

import sys

from plantainyard.commands import create_world, run_command

__all__ = ["main"]


def main() -> None:
    """Run the command line of this process and exit with its code."""
    sys.exit(run_command(sys.argv[1:], create_world()))


if __name__ == "__main__":
    main()
