"""Calls of the operators' command-line tool against a site."""

import json
import subprocess
import sys
from typing import Any, NamedTuple

from standins.site import Site, list_control_addresses

__all__ = ["ToolResult", "read_tool", "run_tool"]

TIMEOUT_S = 60.0


class ToolResult(NamedTuple):
    """Exit code and output of one call of the tool."""

    code: int
    output: str
    errors: str


def run_tool(site: Site, *arguments: str, domain: str = "") -> ToolResult:
    """Run the tool with `arguments` against a site and return its result.

    The tool tries the control addresses of the site's instances in order, or only
    those of `domain` if one is given.
    """
    token = site.directory / "token"
    token.write_text(site.token)
    token.chmod(0o600)
    addresses = [
        f"--address={address.removeprefix('http://')}"
        for address in list_control_addresses(site, domain)
    ]
    result = subprocess.run(
        [
            sys.executable,
            "-m",
            "plantainyard.command",
            *arguments,
            *addresses,
            f"--token_file={token}",
        ],
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
        check=False,
    )
    return ToolResult(result.returncode, result.stdout, result.stderr)


def read_tool(site: Site, *arguments: str, domain: str = "") -> dict[str, Any]:
    """Run the tool and return its JSON output.

    Raises
    ------
    RuntimeError
        If the tool's exit code isn't zero.
    """
    result = run_tool(site, *arguments, "--output=json", domain=domain)
    if result.code:
        raise RuntimeError(
            f"{' '.join(arguments)}: {result.code}: {result.errors.strip()}"
        )
    return dict(json.loads(result.output))
