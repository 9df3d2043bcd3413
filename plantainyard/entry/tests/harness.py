"""Test harness that runs one instance on the stand-in platform."""

import contextlib
import io
import json
import time
from collections.abc import Callable, Iterable, Iterator

from plantainyard.clock import read_clock
from plantainyard.entry.caller_api import serve_request
from plantainyard.entry.eventlog import EventLog
from plantainyard.entry.group import GroupAssignment
from plantainyard.entry.instance import Instance
from plantainyard.entry.ownership_manager import OwnershipManager
from plantainyard.entry.readers import poll_reader
from plantainyard.entry.topics import LAYOUT, UNITS_KEY
from standins.platform import RunnerState, StoreState, serve_platform
from standins.platform.samples import (
    HOST,
    make_body,
    make_configuration,
    make_settings,
    make_step_body,
)

WAIT_TIMEOUT_S = 20.0
JOB = "5c0e7a21d94b36f8"
BODY = make_body(make_step_body(2))


def wait_until(check: Callable[[], object]) -> None:
    """Wait until a check holds; fail after `WAIT_TIMEOUT_S`."""
    deadline = read_clock() + WAIT_TIMEOUT_S
    while not check():
        assert read_clock() < deadline, f"check did not hold within {WAIT_TIMEOUT_S} s"
        time.sleep(0.02)


@contextlib.contextmanager
def run_instance(
    store: StoreState, *runners: RunnerState, units: int = 1
) -> Iterator[Instance]:
    """Run an instance that has read its configuration and the layout."""
    put_configuration(store, 7)
    store.put(LAYOUT, UNITS_KEY, json.dumps({"units": units}).encode())
    with serve_platform(store, runners) as servers:
        log = EventLog("edge-1", io.StringIO())
        instance = Instance(make_settings(servers.store), log)
        assert poll_reader(instance.operations_reader).is_ok()
        assert poll_reader(instance.layout_reader).is_ok()
        instance.create_copies()
        try:
            yield instance
        finally:
            instance.stopping.set()
            instance.runners.close()
            instance.store.close()


def put_configuration(store: StoreState, version: int, **changes: object) -> None:
    store.put("keyed.op", "config", make_configuration(version, **changes))


def call(
    instance: Instance, method: str, path: str, body: object = None
) -> tuple[int, dict]:
    """Serve a caller's request; return the status code and the body."""
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    environ = {
        "REQUEST_METHOD": method,
        "HTTP_HOST": f"{HOST}:80",
        "PATH_INFO": path,
        "CONTENT_LENGTH": str(len(data)),
        "wsgi.input": io.BytesIO(data),
    }
    answer = serve_request(instance, environ)
    return int(answer.status[:3]), answer.body


def own_units(instance: Instance, epoch: int, *units: int) -> OwnershipManager:
    """Make an instance own units by assigning them; return its ownership manager."""
    manager = OwnershipManager(instance)
    assign_until(
        manager, epoch, units, lambda: bool(instance.owned.keys() >= set(units))
    )
    return manager


def poll_layout(manager: OwnershipManager) -> None:
    """Read the layout once and apply it, as the instance's thread does."""
    assert poll_reader(manager.instance.layout_reader).is_ok()
    manager.apply_layout()


def assign_until(
    manager: OwnershipManager,
    epoch: int,
    units: Iterable[int],
    check: Callable[[], bool],
) -> None:
    """Apply an assignment of units repeatedly until a check holds.

    The configuration is read meanwhile, as the instance's thread does: a takeover may
    last longer than a reading counts as recent.
    """

    def apply_and_check() -> bool:
        assert poll_reader(manager.instance.operations_reader).is_ok()
        manager.apply_assignment(GroupAssignment(epoch, frozenset(units)))
        return check()

    wait_until(apply_and_check)
