"""Loading and validation of settings in TOML.

Validation reports as many errors as possible at once, so that an operator does not
have to correct a file one error at a time.
"""

import re
from collections.abc import Iterator, Mapping
from pathlib import Path
from typing import Any, NamedTuple, get_type_hints

from result import Err, Ok, Result

from plantainyard.decoding import DecodeError, parse_toml
from plantainyard.settings.model import Settings
from plantainyard.settings.rules import RULES, find_conflicts
from plantainyard.settings.secret import Secret

__all__ = ["SettingError", "describe_setting_error", "load_settings", "parse_settings"]

FIRST_LINE = 1
SECTION_LINE = re.compile(r"\s*\[\s*([^\[\]]+?)\s*\]\s*(?:#.*)?$")
KEY_LINE = re.compile(r"\s*(?:\"([^\"]+)\"|'([^']+)'|([A-Za-z0-9_-]+))\s*=")
SYNTAX_POSITION = re.compile(r"\(at line (\d+), column \d+\)")

Lines = dict[tuple[str, str], int]
"""Line number by ``(section, key)``; the key is empty for the section's header."""


class SettingError(NamedTuple):
    """One error in a settings file.

    Attributes
    ----------
    file : str
        Path of the file.
    key : str
        ``section.key`` or a section; empty if the file can't be read or parsed.
    line : int
        Line of the key; line of its section if the key is missing; else the first line.
    expected : str
        Description of the valid values.
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
    """Return the settings in the file at `path`, or the errors in it."""
    try:
        text = Path(path).read_text(encoding="utf-8")
    except OSError as error:
        reason = error.strerror or "an error"
        return Err(
            [_build_error(path, "", FIRST_LINE, f"a readable file, got: {reason}")]
        )
    except UnicodeDecodeError:
        return Err([_build_error(path, "", FIRST_LINE, "a text in UTF-8")])
    return parse_settings(text, path)


def parse_settings(text: str, path: str | Path) -> Result[Settings, list[SettingError]]:
    """Return the settings in `text`, or the errors in it.

    Parameters
    ----------
    text : str
        Settings in TOML.
    path : str or Path
        Path of the file, for the errors. A relative `security.token_file` is resolved
        against its directory.

    Returns
    -------
    Ok or Err
        The settings, or a list of `SettingError`. Conflicts between keys are reported
        only if every key is valid by itself.
    """
    try:
        data = parse_toml(text)
    except DecodeError as error:
        return Err([_build_syntax_error(path, str(error), text)])
    lines = _find_lines(text)
    errors = [
        _build_error(path, key, _find_line(lines, key), expected)
        for key, expected in _check_sections(data)
    ]
    if errors:
        return Err(sorted(errors, key=lambda error: error.line))
    token = _read_token(data["security"], Path(path))
    if isinstance(token, Err):
        key = "security.token_file"
        return Err([_build_error(path, key, _find_line(lines, key), token.err_value)])
    settings = _build_settings(data, token.ok_value)
    conflicts = [
        _build_error(path, key, _find_line(lines, key), expected)
        for section, name, expected in find_conflicts(settings)
        for key in [f"{section}.{name}"]
    ]
    return Err(conflicts) if conflicts else Ok(settings)


def _build_error(path: str | Path, key: str, line: int, expected: str) -> SettingError:
    return SettingError(str(path), key, line, expected)


def _build_syntax_error(path: str | Path, message: str, text: str) -> SettingError:
    position = SYNTAX_POSITION.search(message)
    last_line = len(text.splitlines()) or FIRST_LINE
    line = int(position[1]) if position else last_line
    reason = message.partition(" (at ")[0]
    return _build_error(path, "", line, f"well-formed TOML, got: {reason}")


def _find_lines(text: str) -> Lines:
    """Return the line numbers of the headers of sections and of the keys in `text`."""
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


def _find_line(lines: Lines, key: str) -> int:
    section, _, name = key.partition(".")
    candidates = ((section, name), (section, ""), ("", section))
    return next(
        (lines[candidate] for candidate in candidates if candidate in lines), FIRST_LINE
    )


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
    for name in _list_required_keys(section) - values.keys():
        yield f"{section}.{name}", f"{rules[name].expected} (missing)"


def _list_required_keys(section: str) -> set[str]:
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
    """Return `values` with a float for each field of `model` that is a float."""
    hints = get_type_hints(model)
    return {
        name: float(value) if hints[name] is float else value
        for name, value in values.items()
    }
