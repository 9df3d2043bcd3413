"""Tests that the operators' pages agree with the code.

They compare tables, commands, calls and links.
"""

import io
import itertools
import os
import re
import shlex
from collections.abc import Iterator
from pathlib import Path
from typing import get_type_hints

import pytest
from result import Ok

from plantainyard.api import METHODS, serve_call
from plantainyard.api import operators_pb2 as schema
from plantainyard.api.codec import JSON
from plantainyard.api.errors import STATUS_OF_CODE
from plantainyard.commands import EXIT_MEANINGS, Context, run_command
from plantainyard.configuration import KEYS
from plantainyard.metrics import METRICS
from plantainyard.settings import RULES, Settings
from plantainyard.transport import HttpResponse

ROOT = Path(__file__).parents[2]
PAGES = sorted([*ROOT.glob("*.md"), *ROOT.glob("docs/**/*.md")])
OPERATORS = ROOT / "docs" / "operators"
SCHEMA = ROOT / "plantainyard" / "api" / "operators.proto"


def read_page(name: str) -> str:
    return (OPERATORS / f"{name}.md").read_text()


def format_default(section: str, key: str) -> str:
    if section == "security":
        return "one of the two"
    defaults = get_type_hints(Settings)[section]._field_defaults
    if key not in defaults:
        return "required"
    value = defaults[key]
    if isinstance(value, bool):
        return f"`{str(value).lower()}`"
    if isinstance(value, str):
        return f'`"{value}"`'
    return f"`{value:g}`" if isinstance(value, float) else f"`{value}`"


def test_settings_page_lists_each_key():
    sections = dict(
        re.findall(r"## \[(\w+)\]\n(.*?)(?=\n## |\Z)", read_page("settings"), re.S)
    )
    assert sections.keys() == RULES.keys()
    for section, rules in RULES.items():
        rows = re.findall(r"^\| (`\w+` \| .*? \| .*?) \|", sections[section], re.M)
        assert rows == [
            f"`{key}` | {format_default(section, key)} | {rule.expected}"
            for key, rule in rules.items()
        ]


def test_tables_agree_with_the_code():
    configuration = [f"| `{k.pattern}` | {k.expected} | {k.meaning} |" for k in KEYS]
    metrics = [
        f"| `{name}` | {m.kind} | {m.unit} | {m.meaning} |"
        for name, m in METRICS.items()
    ]
    for name, rows in (("configuration", configuration), ("metrics", metrics)):
        found = re.findall(r"^\| `.*\|$", read_page(name), re.M)
        assert found == rows
    errors = re.findall(r"^\| `(\w+)` \| (\d+) \|", read_page("curl"), re.M)
    assert {code: int(status) for code, status in errors} == STATUS_OF_CODE
    schema = re.findall(r"^//   (\w+) +(\d{3})  ", SCHEMA.read_text(), re.M)
    assert {code: int(status) for code, status in schema} == STATUS_OF_CODE
    exits = re.findall(r"^\| (\d+) \| (.*) \|$", read_page("daily"), re.M)
    assert {int(code): meaning for code, meaning in exits} == {
        code.value: meaning for code, meaning in EXIT_MEANINGS.items()
    }


def iter_calls() -> Iterator[tuple[str, str]]:
    pattern = r"Operators/(\w+)[^\n]*?-d '(.*?)'"
    for page in PAGES:
        yield from re.findall(pattern, page.read_text(), re.S)


@pytest.mark.parametrize(("method", "body"), list(iter_calls()))
def test_calls_on_the_pages_are_accepted(method, body):
    handlers = {method: lambda request: Ok(METHODS[method].response())}
    answer = serve_call(handlers, method, JSON, body.encode())
    assert answer.status == 200, answer.body


def iter_command_lines() -> Iterator[str]:
    for page in PAGES:
        for block in re.findall(r"```sh\n(.*?)```", page.read_text(), re.S):
            joined = block.replace("\\\n", " ")
            yield from re.findall(r"^plantainyard (.*)$", joined, re.M)


@pytest.mark.parametrize("line", sorted(set(iter_command_lines())))
def test_command_lines_on_the_pages_run(line, monkeypatch):
    monkeypatch.chdir(ROOT)
    words = shlex.split(line.partition(" > ")[0].partition(" | ")[0], comments=True)
    words = [word for word in words if not word.startswith("--token_file=")]

    def send(address, path, body, headers, timeout_s):
        method = path.rpartition("/")[2]
        response = METHODS[method].response()
        if method == "DescribeJob":
            response.job.state = 3  # type: ignore[attr-defined]
        return Ok(HttpResponse(200, {}, response.SerializeToString()))

    world = Context(
        {"PLANTAINYARD_ADDRESSES": "127.0.0.1:1", "PLANTAINYARD_TOKEN": "t" * 16},
        io.StringIO(),
        io.StringIO(),
        send,
        lambda seconds: None,
        lambda: 0.0,
        lambda: "request-1",
    )
    code = run_command(words, world)
    assert code in (0, 7), world.err.getvalue()  # type: ignore[attr-defined]


def test_links_point_to_existing_files():
    for page in PAGES:
        for target in re.findall(r"\]\(([^)#:]+)(?:#[^)]*)?\)", page.read_text()):
            assert os.path.exists(page.parent / target), f"{page}: {target}"


def test_generated_code_matches_the_schema():
    """Guards against generated code that was not updated with the schema.

    Tools built from the published schema would send a field that the daemon rejects.
    """
    blocks = re.findall(r"^message (\w+) \{\n(.*?)^\}", SCHEMA.read_text(), re.M | re.S)
    field = r"^[^/\n]*?(\w+) = (\d+);"
    written = {name: dict(re.findall(field, block, re.M)) for name, block in blocks}
    generated = {
        name: {field.name: str(field.number) for field in message.fields}
        for name, message in schema.DESCRIPTOR.message_types_by_name.items()
        if message.fields
    }
    assert written == generated


def test_each_field_of_the_schema_has_a_comment():
    """Guards against a tool that confuses units because no comment names them."""
    lines = SCHEMA.read_text().splitlines()
    for above, line in itertools.pairwise(lines):
        is_field = re.search(r"^ +[\w.<>, ]+ = \d+;", line)
        if is_field and not line.strip().startswith("JOB_"):
            assert "//" in line or above.strip().startswith("//"), line
