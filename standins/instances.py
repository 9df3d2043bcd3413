"""Stand-in for the platform's lagging list of live and leaving instances.

Run it with ``python -m standins.instances``. ``POST /instances`` adds or replaces
entries; ``POST /faults`` accepts ``lag_s`` and ``states`` ({id: state}). Domains may
see different addresses for the same instance (those of their links): ``POST /views``
accepts {view: {id: {field: value}}}, and ``GET /views/<view>/instances`` returns the
list of one view.
"""

import contextlib
import json
import threading
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

from absl import app, flags

from plantainyard.clock import read_clock
from standins.service import Reply, Request, build_reply, run_service, serve

__all__ = ["ListState", "change_list", "read_list", "run_instances"]

Entries = dict[str, dict[str, Any]]


@dataclass
class ListState:
    """Versions of the list, oldest first, each with its start time."""

    lag_s: float = 0.0
    versions: list[tuple[float, Entries]] = field(default_factory=list)
    views: dict[str, Entries] = field(default_factory=dict)
    reads: int = 0


def change_list(state: ListState, changes: Entries, now: float) -> None:
    """Add a version of the list that starts at `now` and has `changes` merged in."""
    entries = state.versions[-1][1] if state.versions else {}
    merged = {
        name: {**entries.get(name, {}), **changes.get(name, {})}
        for name in entries | changes
    }
    state.versions.append((now, merged))


def read_list(state: ListState, view: str, now: float) -> list[dict[str, Any]]:
    """Return the entries of `lag_s` ago with the fields that `view` replaces."""
    visible = [e for start, e in state.versions if start <= now - state.lag_s]
    entries = visible[-1] if visible else {}
    fields = state.views.get(view, {})
    return [{**entry, **fields.get(name, {})} for name, entry in entries.items()]


@contextlib.contextmanager
def run_instances(port: int = 0, lag_s: float = 0.0) -> Iterator[dict[str, Any]]:
    """Serve an instance list on loopback and yield its address."""
    state = ListState(lag_s)
    lock = threading.Lock()

    def handle(request: Request) -> Reply:
        with lock:
            return _handle(state, request)

    with serve(handle, port) as service:
        yield {"address": service.address}


def _handle(state: ListState, request: Request) -> Reply:
    now = read_clock()
    if request.method == "GET":
        if request.path == "/counts":
            return build_reply({"reads": state.reads})
        view, _, rest = request.path.removeprefix("/views/").partition("/")
        if request.path != "/instances" and rest != "instances":
            return build_reply({}, 404)
        state.reads += 1
        return build_reply({"instances": read_list(state, view, now)})
    body = json.loads(request.body)
    if request.path == "/instances":
        change_list(state, {entry["id"]: entry for entry in body["instances"]}, now)
    elif request.path == "/views":
        for view, fields in body.items():
            state.views.setdefault(view, {}).update(fields)
    elif request.path == "/faults":
        state.lag_s = body.get("lag_s", state.lag_s)
        states = body.get("states", {})
        if states:
            changes = {name: {"state": value} for name, value in states.items()}
            change_list(state, changes, now)
    else:
        return build_reply({}, 404)
    return build_reply({"lag_s": state.lag_s})


def main(_: list[str]) -> None:
    """Serve the list until the process gets a signal to stop."""
    run_service(run_instances(flags.FLAGS.port, flags.FLAGS.lag_s))


if __name__ == "__main__":
    flags.DEFINE_integer("port", 0, "TCP port on loopback; 0 lets the system choose.")
    flags.DEFINE_float("lag_s", 0.0, "Age of what the list shows, in seconds.")
    app.run(main)
