"""Command line of the benchmarks: ``python -m bench COMMAND [flags]``."""

import sys
from collections.abc import Callable

from bench.dispatch.experiment import run_dispatch
from bench.idle import run_idle
from bench.owner import run_owner
from bench.placement import run_command as run_placement
from bench.proofs import run_proofs
from bench.replay import run_replay
from bench.report import run_report
from bench.requests import main as run_requests

__all__ = ["COMMANDS", "main"]

COMMANDS: dict[str, Callable[[list[str]], int]] = {
    "dispatch": run_dispatch,
    "idle": run_idle,
    "owner": run_owner,
    "proofs": run_proofs,
    "placement": run_placement,
    "replay": run_replay,
    "requests": run_requests,
    "report": run_report,
}


def main(argv: list[str]) -> int:
    """Run the command that `argv` names and return its exit status."""
    if len(argv) < 2 or argv[1] not in COMMANDS:
        print(f"usage: python -m bench {{{','.join(sorted(COMMANDS))}}} [flags]")
        return 2
    return COMMANDS[argv[1]](argv[1:])


if __name__ == "__main__":
    sys.exit(main(sys.argv))
