import json

from hypothesis import given

from plantainyard.placement import PlacementSettings, Weights
from plantainyard.placement.recording import (
    create_recorded_state,
    decode_event,
    encode_value,
    replay_recording,
)
from plantainyard.placement.tests import test_policy
from plantainyard.placement.tests.test_policy import PROPERTY, Yard, moves


def record(sequence):
    lines: list[str] = []
    state, step = create_recorded_state(PlacementSettings(), Weights(), lines.append)
    yard = Yard(state, step)
    for kind, value in sequence:
        yard.move(kind, value)
    return lines


@PROPERTY
@given(moves)
def test_recording_replays_to_the_same_decisions(sequence):
    lines = record(sequence)
    assert replay_recording(lines) == []
    events = [json.loads(line)["event"] for line in lines[1:]]
    assert [encode_value(decode_event(event)) for event in events] == events


def test_a_changed_recording_is_noticed():
    # A user changes one event of a recording by hand, to ask what would have been
    # decided. The replay must say at which line the decisions part.
    job = test_policy.Job("", "", "t", False, 2, test_policy.Size(2, 4), run_s=9)
    lines = record([("job", job), ("tick", 1.0)])
    changed = lines[:3] + [lines[3].replace('"stop": 2', '"stop": 1')] + lines[4:]
    assert [difference.line for difference in replay_recording(changed)] == [5]
