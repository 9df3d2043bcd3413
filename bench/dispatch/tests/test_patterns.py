"""Tests of pattern files and flags: an invalid one must end the tool with a message."""

import pytest

from bench.dispatch.experiment import RECORDED_DIR, draw_pattern, run_dispatch
from bench.dispatch.patterns import FAULTS, PatternError, load_pattern

HEAD = '{"name": "x", "seconds": 5}'

BAD = [
    ("", "empty"),
    ("{", ":1: not JSON"),
    ("[]", ":1: not an object"),
    ('{"customer": "nobody"}', ":1: customer"),
    ('{"seconds": "long"}', ":1: seconds"),
    ('{"seconds": true}', ":1: seconds"),
    ('{"outcome": 3}', ":1: outcome"),
    (f'{HEAD}\n{{"kind": "rain", "at": 1}}', ":2: kind"),
    (f'{HEAD}\n{{"kind": "burst"}}', ":2: at: missing"),
    (f'{HEAD}\n{{"kind": "burst", "at": -1}}', ":2: at"),
    (f'{HEAD}\n{{"kind": "burst", "at": 1, "size": 2}}', ":2: size"),
]


@pytest.mark.parametrize(("text", "message"), BAD)
def test_invalid_pattern_is_reported_with_file_line_and_field(tmp_path, text, message):
    path = tmp_path / "bad.jsonl"
    path.write_text(text, encoding="utf-8")
    with pytest.raises(PatternError) as raised:
        load_pattern(path)
    assert message in str(raised.value)
    assert str(path) in str(raised.value)


@pytest.mark.parametrize(
    "flag",
    [
        "--variants=nothing like it",
        "--variants=NO_SUCH_NAME=1",
        "--customers=nobody",
        "--customers=drawn:many",
        "--patterns=none",
        "--seeds=0",
    ],
)
def test_invalid_flag_ends_with_status_two(flag, capsys):
    assert run_dispatch(["dispatch", flag]) == 2
    assert "bench dispatch:" in capsys.readouterr().err


def test_recorded_patterns_cover_every_kind_of_fault():
    recorded = [load_pattern(path) for path in RECORDED_DIR.glob("*.jsonl")]
    kinds = {fault.kind for pattern in recorded for fault in pattern.faults}
    assert kinds == FAULTS


def test_drawn_pattern_is_determined_by_its_seed():
    assert draw_pattern(3) == draw_pattern(3)
    assert draw_pattern(3) != draw_pattern(4)
