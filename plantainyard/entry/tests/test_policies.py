"""The scheduling policy's file: its values, and the errors that operators see."""

import io
from pathlib import Path
from unittest.mock import Mock

import pytest

from plantainyard.dispatch import PolicyChanged
from plantainyard.dispatch.policy import NO_POLICY, RoomPolicy, SchedulingPolicy
from plantainyard.entry.eventlog import EventLog
from plantainyard.entry.instance import Instance
from plantainyard.entry.policies import list_parts, load_policy, parse_policy
from plantainyard.entry.process import main, reload_settings
from plantainyard.entry.tests.harness import make_settings


def test_a_table_switches_its_part_on_and_leaves_defaults():
    policy = parse_policy("[room]\nmax_stops_per_s = 2\n").unwrap()
    assert policy == SchedulingPolicy(room=RoomPolicy(max_stops_per_s=2))
    assert list_parts(policy) == ["room"]


def test_without_a_file_all_parts_are_off():
    assert load_policy("").unwrap() == NO_POLICY


def test_the_deployments_own_policy_is_valid():
    path = Path(__file__).parents[3] / "deploy" / "scheduling.toml"
    assert load_policy(str(path)).is_ok()


@pytest.mark.parametrize(
    "text, line, key",
    [
        ("[rooms]", 1, "rooms"),
        ("room = 3", 0, "room"),
        ("\n[room]\nmax_wait = 1", 3, "room.max_wait"),
        ("[health]\nmax_suspended_share = 1.2", 2, "health.max_suspended_share"),
        ("[room]\nmax_wait_s = -1", 2, "room.max_wait_s"),
        ("[room]\nmax_wait_s = true", 2, "room.max_wait_s"),
        ("[room]\nmax_wait_s = nan", 2, "room.max_wait_s"),
        ("[admission]\nmax_open_jobs = 2.5", 2, "admission.max_open_jobs"),
        ("[admission]\nmax_open_jobs = 0", 2, "admission.max_open_jobs"),
        ("[room]\n= 3", 2, ""),
    ],
)
def test_a_wrong_policy_names_its_line_and_key(text: str, line: int, key: str):
    fault = parse_policy(text, "p.toml").unwrap_err()
    assert (fault.path, fault.line, fault.key) == ("p.toml", line, key)
    assert fault.detail


def test_a_missing_file_is_an_error(tmp_path: Path):
    assert load_policy(str(tmp_path / "none.toml")).is_err()


def test_a_wrong_policy_or_flag_ends_the_process_at_its_start(
    tmp_path: Path, monkeypatch, capsys
):
    """Guards against an instance that runs on without the policy it was given."""
    settings = tmp_path / "settings.toml"
    settings.write_text(_SETTINGS)
    policy = tmp_path / "policy.toml"
    policy.write_text("[rooms]")
    monkeypatch.setenv("PLANTAINYARD_CONFIG", str(settings))
    assert main(["entry", f"--scheduling={policy}"]) == 2
    assert "rooms: unknown table" in capsys.readouterr().err
    assert main(["entry", "--schedule=x"]) == 2


def test_a_reload_applies_a_policy_to_owned_units_and_keeps_it_if_the_next_is_wrong(
    tmp_path: Path, monkeypatch
):
    """Guards against a typing error that switches parts off on a running instance."""
    settings = tmp_path / "settings.toml"
    settings.write_text(_SETTINGS)
    policy = tmp_path / "policy.toml"
    monkeypatch.setenv("PLANTAINYARD_CONFIG", str(settings))
    log = EventLog("a", io.StringIO())
    instance = Instance(make_settings("127.0.0.1:5"), log)
    unit = Mock()
    instance.owned[3] = unit
    policy.write_text("[room]")
    reload_settings(instance, str(policy))
    expected = SchedulingPolicy(room=RoomPolicy())
    assert instance.policy == expected
    unit.actor.tell.assert_called_once_with(PolicyChanged(expected))
    policy.write_text("[room")
    reload_settings(instance, str(policy))
    assert instance.policy == expected


_SETTINGS = """
node = "a"
zone = "z"
region = "r"
ip = "127.0.0.1"
internalPorts = [1, 2]
[listen]
front = "127.0.0.1:3"
ready = "127.0.0.1:4"
[platform]
address = "127.0.0.1:5"
"""
