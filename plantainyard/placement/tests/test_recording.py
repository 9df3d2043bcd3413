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
from plantainyard.placement.tests.test_policy import PROPERTY, Simulation, operations


def record(sequence):
    lines: list[str] = []
    state, step = create_recorded_state(PlacementSettings(), Weights(), lines.append)
    simulation = Simulation(state, step)
    for kind, value in sequence:
        simulation.apply(kind, value)
    return lines


@PROPERTY
@given(operations)
def test_recording_replays_to_the_same_decisions(sequence):
    lines = record(sequence)
    assert replay_recording(lines) == []
    events = [json.loads(line)["event"] for line in lines[1:]]
    assert [encode_value(decode_event(event)) for event in events] == events


def test_replay_returns_the_line_at_which_a_changed_recording_differs():
    # A user edits one event of a recording to find out what would have been decided.
    # The replay must return the line at which the actions differ.
    job = test_policy.Job("", "", "t", False, 2, test_policy.Size(2, 4), run_s=9)
    lines = record([("job", job), ("tick", 1.0)])
    changed = lines[:3] + [lines[3].replace('"stop": 2', '"stop": 1')] + lines[4:]
    assert [difference.line for difference in replay_recording(changed)] == [5]
