"""Entry point of the command-line tool ``plantainyard``."""

import os
import sys

from plantainyard.commands import ExitCode, create_context, run_command

__all__ = ["main"]


def main() -> None:
    """Run the command line of this process and exit with its code."""
    try:
        code = run_command(sys.argv[1:], create_context())
        sys.stdout.flush()
    except BrokenPipeError:
        # The reader of the output, such as `head`, has exited. Standard output is
        # replaced so that flushing it at interpreter exit doesn't fail as well.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        code = ExitCode.NO_READER
    sys.exit(code)


if __name__ == "__main__":
    main()
