"""Exit codes of the command-line tool."""

from enum import IntEnum

from plantainyard.api import ErrorCode

__all__ = ["EXIT_MEANINGS", "EXIT_CODE_BY_ERROR", "ExitCode", "describe_exit_codes"]


class ExitCode(IntEnum):
    """Exit codes that scripts may rely on."""

    OK = 0
    INTERNAL = 1
    USAGE = 2
    REFUSED = 3
    CONFLICT = 4
    UNKNOWN = 5
    UNREACHABLE = 6
    NOT_FOUND = 7
    INFEASIBLE = 8
    UNAUTHORIZED = 9
    ENDED_OTHERWISE = 10
    STILL_RUNNING = 11
    INTERRUPTED = 130
    NO_READER = 141


EXIT_MEANINGS = {
    ExitCode.OK: "done",
    ExitCode.INTERNAL: "a fault of the daemon or of this tool; nothing was changed",
    ExitCode.USAGE: "a flag, an argument or a field is wrong; nothing was done",
    ExitCode.REFUSED: "not done; come back after the time that is printed",
    ExitCode.CONFLICT: "not done; somebody else's change won, its version is printed",
    ExitCode.UNKNOWN: "may have been done; repeat with the request id that is printed",
    ExitCode.UNREACHABLE: "no instance answered; nothing was changed",
    ExitCode.NOT_FOUND: "what was named does not exist",
    ExitCode.INFEASIBLE: "not accepted: the work could never run as it is declared",
    ExitCode.UNAUTHORIZED: "the token is missing or wrong; nothing was done",
    ExitCode.ENDED_OTHERWISE: "jobs wait: the job was cancelled or can never run",
    ExitCode.STILL_RUNNING: "jobs wait: the time was over first; the job goes on",
    ExitCode.INTERRUPTED: "interrupted with Ctrl-C; what goes on is printed",
    ExitCode.NO_READER: "standard output was closed before all was printed",
}

EXIT_CODE_BY_ERROR = {
    ErrorCode.MALFORMED: ExitCode.USAGE,
    ErrorCode.TOO_LARGE: ExitCode.USAGE,
    ErrorCode.UNAUTHORIZED: ExitCode.UNAUTHORIZED,
    ErrorCode.NOT_FOUND: ExitCode.NOT_FOUND,
    ErrorCode.CONFLICT: ExitCode.CONFLICT,
    ErrorCode.INFEASIBLE: ExitCode.INFEASIBLE,
    ErrorCode.REFUSED: ExitCode.REFUSED,
    ErrorCode.UNKNOWN: ExitCode.UNKNOWN,
    ErrorCode.INTERNAL: ExitCode.INTERNAL,
}


def describe_exit_codes() -> str:
    """Return the exit codes and their meanings, one a line."""
    return "\n".join(
        f"  {code.value:>3}  {meaning}" for code, meaning in EXIT_MEANINGS.items()
    )
