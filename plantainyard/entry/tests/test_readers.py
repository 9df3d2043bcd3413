"""Following topics whose history is dropped, or that come slowly."""

from unittest.mock import Mock

from result import Err

from plantainyard.entry.readers import PartitionReader, poll_reader
from plantainyard.entry.topics import INTAKE
from plantainyard.errors import CallError, ErrorKind
from plantainyard.platform.store import Record, build_store_calls
from standins.platform import StoreState, serve_platform


def test_dropped_history_is_read_again_from_the_newest_records():
    store = StoreState()
    with serve_platform(store, ()) as servers:
        taken: list[Record] = []
        calls = build_store_calls(servers.store)
        reader = PartitionReader(calls, "keyed.x", 0, taken.append)
        store.put("keyed.x", "a", b"1")
        assert poll_reader(reader).is_ok()
        store.put("keyed.x", "a", b"2")
        store.put("keyed.x", "b", b"3")
        store.drop_history()
        assert poll_reader(reader).is_ok()
        assert taken[-2:] == [Record("a", b"2"), Record("b", b"3")]


def test_a_page_that_takes_long_gets_more_time_with_each_attempt():
    # A new owner reads its unit over a narrow link. A page takes two seconds; given up
    # after one, and begun anew, it never comes.
    waits: list[float] = []

    def read_newest(topic, partition, after, timeout_s):
        waits.append(timeout_s)
        return Err(CallError(ErrorKind.LOST, "store.newest", "store"))

    reader = PartitionReader(Mock(read_newest=read_newest), INTAKE, 0, Mock())
    for _ in range(6):
        assert poll_reader(reader).is_err()
    assert waits == [1.0, 2.0, 4.0, 8.0, 8.0, 8.0]
