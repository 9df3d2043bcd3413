"""Recording of placement events as JSON Lines, and replay of a recording.

A recording begins with the settings and weights with which a state was created. Each
further line holds one event, its time and the resulting actions. Since `step` is
deterministic, replaying the events produces the same actions.
"""

import json
from collections.abc import Callable, Iterable
from types import UnionType
from typing import Any, NamedTuple, get_args, get_origin, get_type_hints

from plantainyard.placement import actions as action_types
from plantainyard.placement import events as event_types
from plantainyard.placement.actions import Action
from plantainyard.placement.events import Event
from plantainyard.placement.policy import create_state, step
from plantainyard.placement.settings import PlacementSettings, Weights
from plantainyard.placement.state import PlacementState

__all__ = [
    "Difference",
    "create_recorded_state",
    "decode_event",
    "encode_value",
    "replay_recording",
]

_EVENTS = {kind.__name__: kind for kind in get_args(event_types.Event)}
_ACTIONS = {kind.__name__: kind for kind in get_args(action_types.Action)}

Step = Callable[[PlacementState, Event, float], list[Action]]


class Difference(NamedTuple):
    """A line of a recording for which the replay produced different actions.

    Attributes
    ----------
    line : int
        Number of the line, from 1.
    recorded, replayed : list of dict
        Encoded actions of the recording and of the replay.
    """

    line: int
    recorded: list[dict[str, Any]]
    replayed: list[dict[str, Any]]


def encode_value(value: Any) -> Any:
    """Return an event, an action or a part of either as a JSON value."""
    if isinstance(value, tuple) and hasattr(value, "_fields"):
        names = value._fields
        fields = {name: encode_value(getattr(value, name)) for name in names}
        name = type(value).__name__
        typed = name in _EVENTS or name in _ACTIONS
        return {"type": name, **fields} if typed else fields
    if isinstance(value, tuple | list):
        return [encode_value(item) for item in value]
    if isinstance(value, dict):
        return {key: encode_value(item) for key, item in value.items()}
    return value


def _decode(kind: Any, data: Any) -> Any:
    if get_origin(kind) is tuple:
        return tuple(_decode(get_args(kind)[0], item) for item in data)
    if get_origin(kind) is dict:
        return {key: _decode(get_args(kind)[1], item) for key, item in data.items()}
    if get_origin(kind) is UnionType or not hasattr(kind, "_fields"):
        return data
    hints = get_type_hints(kind)
    return kind(**{key: _decode(hints[key], item) for key, item in data.items()})


def decode_event(data: dict[str, Any]) -> Event:
    """Return the event that `encode_value` encoded.

    Raises
    ------
    KeyError
        If the type of the event or one of its fields is unknown.
    TypeError
        If a field is missing.
    """
    fields = {key: value for key, value in data.items() if key != "type"}
    event: Event = _decode(_EVENTS[data["type"]], fields)
    return event


def create_recorded_state(
    settings: PlacementSettings, weights: Weights, write: Callable[[str], object]
) -> tuple[PlacementState, Step]:
    """Return a new state and a `step` function that also records its calls.

    Parameters
    ----------
    settings, weights
        As for `create_state`.
    write : callable
        Called with each line of the recording, without a line terminator.

    Notes
    -----
    A recording must begin when the state is created, since later events can't reproduce
    the estimates made from earlier ones.
    """
    header = {"settings": settings._asdict(), "weights": weights._asdict()}
    write(json.dumps(header))

    def record_step(state: PlacementState, event: Event, now: float) -> list[Action]:
        actions = step(state, event, now)
        line = {
            "now": now,
            "event": encode_value(event),
            "actions": encode_value(actions),
        }
        write(json.dumps(line))
        return actions

    return create_state(settings, weights), record_step


def replay_recording(lines: Iterable[str]) -> list[Difference]:
    """Replay a recording and return the lines for which the actions differ.

    Raises
    ------
    ValueError
        If a line is not JSON.
    KeyError
        If the recording has no header or an unknown event.
    """
    numbered = enumerate(lines, 1)
    header = json.loads(next(numbered)[1])
    state = create_state(
        PlacementSettings(**header["settings"]), Weights(**header["weights"])
    )
    differences = []
    for number, line in numbered:
        data = json.loads(line)
        replayed = encode_value(step(state, decode_event(data["event"]), data["now"]))
        if replayed != data["actions"]:
            differences.append(Difference(number, data["actions"], replayed))
    return differences
