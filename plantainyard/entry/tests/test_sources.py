"""Where instances get the operators' configuration from."""

import contextlib
import io
import json
import socket
import threading
from collections.abc import Callable, Iterator

from plantainyard.clock import read_clock
from plantainyard.entry.caller_api import MAX_CONFIGURATION_AGE_S
from plantainyard.entry.configuration_exchange import fetch_configuration
from plantainyard.entry.eventlog import EventLog
from plantainyard.entry.instance import Instance, run_reader
from plantainyard.entry.layout import Owner
from plantainyard.entry.peer_app import build_peer_app
from plantainyard.entry.process import start_threads
from plantainyard.entry.readers import poll_reader
from plantainyard.entry.sources import (
    MAX_COPIED_AGE_S,
    MAX_STAGGER_S,
    STORE,
    SourceState,
    ask_owner,
    choose_source,
    follow_configuration,
    list_readers,
)
from plantainyard.entry.tests.harness import (
    WAIT_TIMEOUT_S,
    make_settings,
    put_configuration,
    wait_until,
)
from plantainyard.entry.topics import LAYOUT, OPERATIONS, UNITS_KEY
from plantainyard.platform.store_messages import Record
from plantainyard.serving import serve_app
from standins.platform import StoreState, serve_platform

BIG_ROUTE = {"name": "q", "host": "h", "pathPrefix": "/" + "x" * 50_000, "service": "s"}
"""A queue that makes a configuration much larger than its other parts."""

UNITS = 2
INSTANCES = 4


@contextlib.contextmanager
def serve_instance(name: str, store: str) -> Iterator[Instance]:
    """Serve the peers' port of an instance that hasn't read anything."""
    with contextlib.ExitStack() as stack:
        instance = Instance(make_settings(store), EventLog(name, io.StringIO()))
        app = build_peer_app(instance)
        server = serve_app(app, "127.0.0.1:0", 4, 50, 10_000, 0.1)
        ip, _, port = stack.enter_context(server).rpartition(":")
        instance.settings = instance.settings._replace(
            instance=name, ip=ip, peer_port=int(port)
        )
        try:
            yield instance
        finally:
            instance.stopping.set()
            instance.runners.close()
            instance.store.close()


class Pair:
    """An owner that has read the store, and a follower that knows it as an owner.

    Attributes
    ----------
    store : StoreState
        The store that both use.
    owner, follower : Instance
        Two instances of one region, without threads of their own.
    """

    def __init__(self, store: StoreState, owner: Instance, follower: Instance) -> None:
        self.store = store
        self.owner = owner
        self.follower = follower

    def choose(self, state: SourceState, now: float) -> str:
        """Return the follower's source at a time."""
        return choose_source(self.follower, state, list_readers(self.follower), now)

    def make_asking(self) -> SourceState:
        """Return the state of a follower that asks the owner."""
        state = SourceState()
        assert self.choose(state, read_clock()) == self.owner.peer_address()
        return state


@contextlib.contextmanager
def serve_pair(version: int = 7) -> Iterator[Pair]:
    """Serve an owner of two units, and a follower that has read the same version."""
    store = StoreState()
    if version:
        put_configuration(store, version)
    with contextlib.ExitStack() as stack:
        address = stack.enter_context(serve_platform(store, ())).store
        owner = stack.enter_context(serve_instance("owner", address))
        follower = stack.enter_context(serve_instance("follower", address))
        for instance in (owner, follower):
            assert poll_reader(instance.operations_reader).is_ok()
            instance.layout.units = UNITS
            name_owner(instance, 0, owner)
        yield Pair(store, owner, follower)


def name_owner(instance: Instance, unit: int, owner: Instance, epoch: int = 1) -> None:
    """Let the layout that an instance knows name an owner of a unit."""
    region = owner.settings.region
    instance.layout.record_owner(unit, Owner(epoch, owner.peer_address(), region))


@contextlib.contextmanager
def follow(instance: Instance) -> Iterator[None]:
    """Follow the configuration, and call the store for something else meanwhile."""
    targets: tuple[tuple[Callable[..., None], tuple[object, ...]], ...] = (
        (follow_configuration, (instance,)),
        (run_reader, (instance.layout_reader, lambda: (0.2, 0.0), instance.stopping)),
    )
    for target, arguments in targets:
        threading.Thread(target=target, args=arguments, daemon=True).start()
    try:
        yield
    finally:
        instance.stopping.set()


def is_copied(instance: Instance) -> bool:
    """Return whether an owner has answered an instance."""
    return instance.copied_at > instance.operations_reader.synced_at


def has_version(instance: Instance, version: int) -> bool:
    """Return whether a version is in force at an instance."""
    return (
        instance.configuration is not None and instance.configuration.version == version
    )


def publish(store: StoreState, version: int, instances: list[Instance]) -> float:
    """Publish a version to all instances; return how often the store has sent it."""
    before = store.sent_bytes[OPERATIONS]
    put_configuration(store, version, routes=[BIG_ROUTE])

    def is_in_force(instance: Instance) -> bool:
        current = instance.configuration
        return current is not None and current.version >= version

    wait_until(lambda: all(map(is_in_force, instances)))
    size = len(store.newest(OPERATIONS)["config"])
    return (store.sent_bytes[OPERATIONS] - before) / size


def test_the_store_sends_a_configuration_to_the_owners_of_units_only():
    # Guards against a link between regions that carries the same configuration once for
    # each instance, so that leases and starts wait behind it.
    store = StoreState(parts=UNITS)
    put_configuration(store, 1)
    store.put(LAYOUT, UNITS_KEY, json.dumps({"units": UNITS}).encode())
    with contextlib.ExitStack() as stack:
        address = stack.enter_context(serve_platform(store, ())).store
        instances = [
            stack.enter_context(serve_instance(f"edge-{number}", address))
            for number in range(INSTANCES)
        ]
        draining = threading.Event()
        stack.callback(draining.set)
        for instance in instances:
            start_threads(instance, draining)
        wait_until(lambda: all(len(i.layout.owners) == UNITS for i in instances))
        sent: list[float] = []

        def is_sent_to_owners_only() -> bool:
            sent.append(publish(store, 2 + len(sent), instances))
            return sent[-1] < UNITS + 0.5

        wait_until(is_sent_to_owners_only)


def test_a_configuration_is_copied_whole_from_an_owner():
    # Guards against an instance that doesn't see a version that its owner has.
    with serve_pair() as pair:
        state = pair.make_asking()
        sent_bytes = pair.store.sent_bytes[OPERATIONS]
        put_configuration(pair.store, 8, routes=[BIG_ROUTE])
        assert poll_reader(pair.owner.operations_reader).is_ok()
        ask_owner(pair.follower, state)
        assert has_version(pair.follower, 8)
        assert pair.follower.configuration == pair.owner.configuration
        assert pair.follower.configuration_value == pair.owner.configuration_value
        address = pair.owner.peer_address()
        assert fetch_configuration(pair.follower, address, 1.0).unwrap().value == b""
        # The follower's next read of the store doesn't repeat what it has copied.
        size = len(pair.store.newest(OPERATIONS)["config"])
        assert poll_reader(pair.follower.operations_reader).is_ok()
        assert pair.store.sent_bytes[OPERATIONS] - sent_bytes < 1.5 * size


def test_a_copy_is_as_old_as_the_reading_of_its_owner():
    # Guards against a follower that counts as fresh by an owner that is cut off from
    # the store, and rejects requests by a configuration that is no longer in force.
    with serve_pair() as pair:
        state = pair.make_asking()
        pair.owner.operations_reader.synced_at -= 30.0
        asked_at = read_clock()
        ask_owner(pair.follower, state)
        assert pair.follower.copied_at <= asked_at - 30.0
        assert state.unanswered


def test_the_store_is_read_before_a_copy_counts_as_stale():
    # Guards against refused submissions while the only owner is cut off or gone.
    assert MAX_COPIED_AGE_S + MAX_STAGGER_S < MAX_CONFIGURATION_AGE_S - 0.2
    with serve_pair() as pair:
        state = pair.make_asking()
        synced_at = pair.follower.configuration_synced_at()
        assert pair.choose(state, synced_at + MAX_COPIED_AGE_S) != STORE
        late = synced_at + MAX_COPIED_AGE_S + MAX_STAGGER_S + 0.01
        assert pair.choose(state, late) == STORE
        # It isn't asked again at once, and not before the store could be read.
        pair.follower.operations_reader.synced_at = late
        assert pair.choose(state, late + 0.1) == STORE
        assert pair.choose(state, late + 60.0) == STORE
        pair.follower.operations_reader.synced_at = late + 59.0
        assert pair.choose(state, late + 60.0) != STORE


def test_a_follower_sees_a_new_version_that_its_owner_does_not():
    # Guards against followers that stay on an old version with an owner that answers,
    # and no longer reads the store.
    with serve_pair() as pair, follow(pair.follower):
        put_configuration(pair.store, 8)
        wait_until(lambda: has_version(pair.follower, 8))
        assert has_version(pair.owner, 7)


def test_a_follower_of_a_lost_owner_reads_the_store():
    # Guards against followers that wait for an owner whose port is closed.
    with serve_pair() as pair:
        state = pair.make_asking()
        lost = Owner(2, "127.0.0.1:9", pair.owner.settings.region)
        pair.follower.layout.record_owner(0, lost)
        asked_at = read_clock()
        assert pair.choose(state, asked_at) == lost.address
        ask_owner(pair.follower, state)
        assert state.unanswered and not pair.follower.copied_at
        with follow(pair.follower):
            put_configuration(pair.store, 8)
            wait_until(lambda: has_version(pair.follower, 8))


def test_another_owner_is_asked_if_one_does_not_answer():
    # Guards against reads of the store by all followers of one lost owner.
    with serve_pair() as pair:
        region = pair.owner.settings.region
        pair.follower.layout.record_owner(1, Owner(1, "127.0.0.1:9", region))
        state = SourceState()
        pair.choose(state, read_clock())
        first = state.address
        state.unanswered = True
        second = pair.choose(state, read_clock())
        assert {first, second} == {"127.0.0.1:9", pair.owner.peer_address()}


def test_followers_change_to_the_next_owner():
    # Guards against followers that go on asking an instance that has lost its unit.
    with serve_pair() as pair:
        state = pair.make_asking()
        region = pair.owner.settings.region
        pair.follower.layout.record_owner(0, Owner(2, "127.0.0.1:9", region))
        assert pair.choose(state, read_clock()) == "127.0.0.1:9"
        pair.follower.layout.record_owner(0, Owner(3, "127.0.0.1:9", "elsewhere"))
        assert pair.choose(state, read_clock()) == STORE


def test_an_instance_that_reads_for_its_region_asks_nobody():
    # Guards against owners that ask each other, so that nobody reads the store, and
    # against an instance that doesn't follow again once it owns nothing.
    with serve_pair() as pair:
        state = pair.make_asking()
        name_owner(pair.follower, 1, pair.follower)
        assert list_readers(pair.follower).included
        assert pair.choose(state, read_clock()) == STORE
        name_owner(pair.follower, 1, pair.owner, epoch=2)
        assert pair.choose(state, read_clock()) == pair.owner.peer_address()


def test_an_owner_of_an_unknown_region_is_not_asked():
    # Guards against announcements of older versions, which don't name the region.
    with serve_pair() as pair:
        layout = pair.follower.layout
        layout.owners.clear()
        layout.apply_record(
            Record("owner/0", b'{"epoch": 4, "address": "127.0.0.1:9"}')
        )
        assert layout.owners == {0: Owner(4, "127.0.0.1:9", "")}
        assert list_readers(pair.follower).others == ()
        assert pair.choose(SourceState(), read_clock()) == STORE


def test_a_single_unit_has_no_owner_to_ask():
    # Guards against small sites whose only owner answers all other instances.
    with serve_pair() as pair:
        pair.follower.layout.units = 1
        assert list_readers(pair.follower).others == ()


def test_two_owners_of_a_region_read_the_store():
    # Guards against a link between regions that carries a configuration once for each
    # of many owners.
    with serve_pair() as pair:
        region = pair.owner.settings.region
        for unit in range(1, 6):
            address = f"127.0.0.1:{unit}"
            pair.follower.layout.record_owner(unit, Owner(1, address, region))
        readers = list_readers(pair.follower)
        assert set(readers.others) == {pair.owner.peer_address(), "127.0.0.1:1"}


def test_a_version_from_an_owner_never_reverts():
    # Guards against an owner that is behind its follower.
    with serve_pair() as pair:
        state = pair.make_asking()
        put_configuration(pair.store, 9)
        assert poll_reader(pair.follower.operations_reader).is_ok()
        ask_owner(pair.follower, state)
        assert has_version(pair.follower, 9) and has_version(pair.owner, 7)
        pair.follower.apply_configuration(pair.owner.configuration_value)
        assert has_version(pair.follower, 9)


def test_an_unreadable_copy_proves_nothing():
    # Guards against a follower that counts as fresh by a version that it can't decode.
    with serve_pair() as pair:
        state = pair.make_asking()
        put_configuration(pair.store, 8)
        assert poll_reader(pair.owner.operations_reader).is_ok()
        pair.owner.configuration_value = b"{"
        ask_owner(pair.follower, state)
        assert not pair.follower.copied_at and state.unanswered
        assert has_version(pair.follower, 7)


def test_an_instance_cut_off_from_the_store_is_not_fresh():
    # Guards against callers that are sent to an instance that can't store anything,
    # because an owner tells it the configuration.
    with serve_pair() as pair:
        state = pair.make_asking()
        ask_owner(pair.follower, state)
        now = read_clock()
        pair.follower.operations_reader.synced_at = now - 60.0
        assert pair.follower.is_configuration_fresh(now, 2.0)
        pair.follower.store_answered_at = now - 60.0
        assert not pair.follower.is_configuration_fresh(now, 2.0)
        assert pair.choose(state, now) == STORE


def answer_in_parts(
    listener: socket.socket, parts: list[bytes | float], finished: threading.Event
) -> None:
    """Answer a request in parts, with pauses in seconds between them."""
    connection, _ = listener.accept()
    with connection, contextlib.suppress(OSError):
        connection.recv(4096)
        for part in parts:
            if isinstance(part, float):
                finished.wait(part)
            else:
                connection.sendall(part)
        finished.wait(WAIT_TIMEOUT_S)


def fetch_in_parts(pair: Pair, parts: list[bytes | float], within_s: float) -> bool:
    """Return whether an answer that arrives in parts is accepted."""
    finished = threading.Event()
    with socket.create_server(("127.0.0.1", 0)) as listener:
        arguments = (listener, parts, finished)
        thread = threading.Thread(target=answer_in_parts, args=arguments, daemon=True)
        thread.start()
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        answer = fetch_configuration(pair.follower, address, within_s)
        finished.set()
        thread.join()
        return answer.is_ok()


def test_a_slow_body_is_received_and_a_silent_connection_is_not_waited_for():
    # Guards against a large configuration over a narrow link that is sent again for
    # good because it takes longer than a query, and against followers that wait for a
    # connection that has fallen silent until their reading is stale.
    header = (
        b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\nConfiguration-Version: 8\r\n"
        b"Configuration-Age-S: 0.2\r\nConfiguration-Offset: 3\r\n\r\n"
    )
    with serve_pair() as pair:
        slow: list[bytes | float] = [header]
        for _ in range(10):
            slow += (0.06, b"x")
        assert fetch_in_parts(pair, slow, within_s=0.3)
        assert not fetch_in_parts(pair, [header, b"x" * 9, 2.0, b"x"], within_s=9.0)
        assert not fetch_in_parts(pair, [2.0, header, b"x" * 10], within_s=-1.0)


def test_an_instance_without_a_reading_answers_nobody():
    # Guards against followers that take an instance for informed that has just started.
    with (
        serve_pair() as pair,
        serve_instance("new", pair.owner.settings.store_address) as new,
    ):
        assert fetch_configuration(pair.follower, new.peer_address(), 1.0).is_err()


def test_instances_of_an_empty_store_wait_for_the_first_version():
    # Guards against instances that start before the operators' first configuration.
    with serve_pair(version=0) as pair, follow(pair.owner), follow(pair.follower):
        wait_until(lambda: pair.follower.operations_reader.synced_at)
        assert pair.follower.configuration is None
        put_configuration(pair.store, 1)
        wait_until(lambda: has_version(pair.follower, 1) and has_version(pair.owner, 1))
        wait_until(lambda: is_copied(pair.follower))
