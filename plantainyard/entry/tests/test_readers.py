"""Reading of topics whose history is dropped or whose pages arrive slowly."""

from unittest.mock import Mock

from result import Err

from plantainyard.entry.readers import PartitionReader, poll_reader
from plantainyard.entry.topics import INTAKE
from plantainyard.errors import CallError, ErrorKind
from plantainyard.platform.store import Record, build_store_calls
from standins.platform import StoreState, serve_platform


def test_dropped_history_is_replaced_by_the_newest_records():
    # Guards against records that a reader misses because the store dropped its history.
    store = StoreState()
    with serve_platform(store, ()) as servers:
        records: list[Record] = []
        calls = build_store_calls(servers.store)
        reader = PartitionReader(calls, "keyed.x", 0, records.append)
        store.put("keyed.x", "a", b"1")
        assert poll_reader(reader).is_ok()
        store.put("keyed.x", "a", b"2")
        store.put("keyed.x", "b", b"3")
        store.drop_history()
        assert poll_reader(reader).is_ok()
        assert records[-2:] == [Record("a", b"2"), Record("b", b"3")]


def test_the_timeout_of_a_slow_page_doubles_with_each_attempt():
    # Guards against a takeover over a narrow link that never finishes: a page takes two
    # seconds, and with a fixed timeout of one second each attempt is aborted.
    timeouts: list[float] = []

    def read_newest(topic, partition, after, timeout_s):
        timeouts.append(timeout_s)
        return Err(CallError(ErrorKind.LOST, "store.newest", "store"))

    reader = PartitionReader(Mock(read_newest=read_newest), INTAKE, 0, Mock())
    for _ in range(6):
        assert poll_reader(reader).is_err()
    assert timeouts == [1.0, 2.0, 4.0, 8.0, 8.0, 8.0]
