"""The command-line tool as an operator runs it against a site."""

import json
import subprocess
import sys
from typing import Any, NamedTuple

from standins.site import Site, list_control_addresses

__all__ = ["ToolResult", "read_tool", "run_tool"]

TOOL_S = 60.0


class ToolResult(NamedTuple):
    """What one call of the tool printed and its exit code."""

    code: int
    output: str
    errors: str


def run_tool(site: Site, *words: str, domain: str = "") -> ToolResult:
    """Run the tool with `words` against the site's instances, or one domain's.

    The tool tries the addresses in order; those of `domain` where one is given.
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
            *words,
            *addresses,
            f"--token_file={token}",
        ],
        capture_output=True,
        text=True,
        timeout=TOOL_S,
        check=False,
    )
    return ToolResult(result.returncode, result.stdout, result.stderr)


def read_tool(site: Site, *words: str, domain: str = "") -> dict[str, Any]:
    """Return the JSON answer of a call of the tool.

    Raises
    ------
    RuntimeError
        If the tool's exit code is not zero.
    """
    result = run_tool(site, *words, "--output=json", domain=domain)
    if result.code:
        raise RuntimeError(f"{' '.join(words)}: {result.code}: {result.errors.strip()}")
    return dict(json.loads(result.output))
