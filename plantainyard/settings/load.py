"""Read settings from TOML and check them as a whole.

Every fault is found in one pass, so that an operator mends a file once.
"""

import re
import tomllib
from collections.abc import Iterator, Mapping
from pathlib import Path
from typing import Any, NamedTuple, get_type_hints

from result import Err, Ok, Result

from plantainyard.settings.model import Settings
from plantainyard.settings.rules import RULES, find_conflicts
from plantainyard.settings.secret import Secret

__all__ = ["SettingError", "describe_setting_error", "load_settings", "parse_settings"]

FIRST_LINE = 1
SECTION_LINE = re.compile(r"\s*\[\s*([^\[\]]+?)\s*\]\s*(?:#.*)?$")
KEY_LINE = re.compile(r"\s*(?:\"([^\"]+)\"|'([^']+)'|([A-Za-z0-9_-]+))\s*=")
SYNTAX_PLACE = re.compile(r"\(at line (\d+), column \d+\)")

Lines = dict[tuple[str, str], int]


class SettingError(NamedTuple):
    """One fault of a settings file.

    Attributes
    ----------
    file : str
        The file's path.
    key : str
        ``section.key``, a section, or empty where the file can't be read.
    line : int
        Line of the key, of its section where the key is missing, else the first.
    expected : str
        What should stand there.
    """

    file: str
    key: str
    line: int
    expected: str


def describe_setting_error(error: SettingError) -> str:
    """Return `error` as one line.

    Examples
    --------
    >>> describe_setting_error(SettingError("a.toml", "logs.level", 3, "a string"))
    'a.toml:3: logs.level: expected a string'
    """
    key = f"{error.key}: " if error.key else ""
    return f"{error.file}:{error.line}: {key}expected {error.expected}"


def load_settings(path: str | Path) -> Result[Settings, list[SettingError]]:
    """Return the settings in the file at `path`, or every fault in it."""
    try:
        text = Path(path).read_text(encoding="utf-8")
    except OSError as error:
        reason = error.strerror or "an error"
        return Err([_fault(path, "", FIRST_LINE, f"a readable file, got: {reason}")])
    except UnicodeDecodeError:
        return Err([_fault(path, "", FIRST_LINE, "a text in UTF-8")])
    return parse_settings(text, path)


def parse_settings(text: str, path: str | Path) -> Result[Settings, list[SettingError]]:
    """Return the settings in `text`, or every fault in it.

    Parameters
    ----------
    text : str
        TOML.
    path : str or Path
        Named in the faults; a relative `security.token_file` is sought beside it.

    Returns
    -------
    Ok or Err
        Conflicts between keys are sought once all keys are right alone.
    """
    try:
        data = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        return Err([_syntax_fault(path, str(error), text)])
    lines = _find_lines(text)
    faults = [
        _fault(path, key, _line_of(lines, key), expected)
        for key, expected in _check_sections(data)
    ]
    if faults:
        return Err(sorted(faults, key=lambda fault: fault.line))
    token = _read_token(data["security"], Path(path))
    if isinstance(token, Err):
        key = "security.token_file"
        return Err([_fault(path, key, _line_of(lines, key), token.err_value)])
    settings = _build_settings(data, token.ok_value)
    conflicts = [
        _fault(path, key, _line_of(lines, key), expected)
        for section, name, expected in find_conflicts(settings)
        for key in [f"{section}.{name}"]
    ]
    return Err(conflicts) if conflicts else Ok(settings)


def _fault(path: str | Path, key: str, line: int, expected: str) -> SettingError:
    return SettingError(str(path), key, line, expected)


def _syntax_fault(path: str | Path, message: str, text: str) -> SettingError:
    place = SYNTAX_PLACE.search(message)
    last_line = len(text.splitlines()) or FIRST_LINE
    line = int(place[1]) if place else last_line
    reason = message.partition(" (at ")[0]
    return _fault(path, "", line, f"well-formed TOML, got: {reason}")


def _find_lines(text: str) -> Lines:
    """Return the line of each section, as ``(section, "")``, and of each key."""
    lines: Lines = {}
    section = ""
    for number, line in enumerate(text.splitlines(), start=FIRST_LINE):
        if header := SECTION_LINE.match(line):
            section = header[1].strip("\"'")
            lines.setdefault((section, ""), number)
        elif key := KEY_LINE.match(line):
            name = key[1] or key[2] or key[3]
            lines.setdefault((section, name), number)
    return lines


def _line_of(lines: Lines, key: str) -> int:
    section, _, name = key.partition(".")
    places = ((section, name), (section, ""), ("", section))
    return next((lines[place] for place in places if place in lines), FIRST_LINE)


def _check_sections(data: Mapping[str, Any]) -> Iterator[tuple[str, str]]:
    for section in data.keys() - RULES.keys():
        yield section, f"one of the sections {', '.join(RULES)}"
    for section in RULES:
        values = data.get(section, {})
        if not isinstance(values, dict):
            yield section, f"a section [{section}]"
            continue
        yield from _check_keys(section, values)


def _check_keys(section: str, values: Mapping[str, Any]) -> Iterator[tuple[str, str]]:
    rules = RULES[section]
    for name in values.keys() - rules.keys():
        yield f"{section}.{name}", f"one of the keys {', '.join(rules)}"
    for name in rules.keys() & values.keys():
        if not rules[name].accepts(values[name]):
            yield f"{section}.{name}", rules[name].expected
    if section == "security":
        if len(values.keys() & rules.keys()) != 1:
            yield "security.token", "exactly one of token and token_file"
        return
    for name in _required_names(section) - values.keys():
        yield f"{section}.{name}", f"{rules[name].expected} (missing)"


def _required_names(section: str) -> set[str]:
    model = get_type_hints(Settings)[section]
    return set(model._fields) - set(model._field_defaults)


def _read_token(security: Mapping[str, str], path: Path) -> Result[Secret, str]:
    rule = RULES["security"]["token"]
    if "token" in security:
        return Ok(Secret(security["token"]))
    try:
        token = (path.parent / security["token_file"]).read_text("utf-8").strip()
    except (OSError, ValueError):
        return Err("a readable file that holds the token")
    if not rule.accepts(token):
        return Err(f"a file that holds {rule.expected}")
    return Ok(Secret(token))


def _build_settings(data: Mapping[str, Any], token: Secret) -> Settings:
    models = get_type_hints(Settings)
    sections = {
        section: models[section](**_convert_numbers(models[section], values))
        for section, values in data.items()
        if section != "security"
    }
    token_file = data["security"].get("token_file", "")
    security = models["security"](token, token_file)
    return Settings(**sections, security=security)


def _convert_numbers(model: Any, values: Mapping[str, Any]) -> dict[str, Any]:
    """Return `values` with a float wherever `model` has one."""
    hints = get_type_hints(model)
    return {
        name: float(value) if hints[name] is float else value
        for name, value in values.items()
    }
