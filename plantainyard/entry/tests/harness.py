"""One instance over the stand-in platform, for tests."""

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
    until = read_clock() + WAIT_TIMEOUT_S
    while not check():
        assert read_clock() < until, "not within the test's patience"
        time.sleep(0.02)


@contextlib.contextmanager
def run_instance(
    store: StoreState, *runners: RunnerState, units: int = 1
) -> Iterator[Instance]:
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
    """Let an instance own units that the group has dealt to it."""
    owners = OwnershipManager(instance)
    deal_until(owners, epoch, units, lambda: bool(instance.owned.keys() >= set(units)))
    return owners


def poll_layout(owners: OwnershipManager) -> None:
    """Let an instance read the layout once, as its follower does."""
    assert poll_reader(owners.instance.layout_reader).is_ok()
    owners.apply_layout()


def deal_until(
    owners: OwnershipManager,
    epoch: int,
    units: Iterable[int],
    check: Callable[[], bool],
) -> None:
    """Tell owners again and again what the group has dealt, until a check holds."""

    def is_true() -> bool:
        owners.apply_assignment(GroupAssignment(epoch, frozenset(units)))
        return check()

    wait_until(is_true)
