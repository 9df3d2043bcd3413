"""Tests of reading a stream whose oldest records the log has deleted."""

import random
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from plantainyard.state import (
    Apply,
    EndReported,
    Fetch,
    Fetched,
    FetchFailed,
    LogRecord,
    LogRegressed,
    ReaderSettings,
    ReaderState,
    ReadRestarted,
    ReadTick,
    Relayed,
    Restore,
    SnapshotSchedule,
    SnapshotSettings,
    get_staleness,
    is_current,
    is_snapshot_due,
    observe_record,
    observe_snapshot,
    step_reader,
)


class FakeLog:
    """A log that keeps only its newest records."""

    def __init__(self) -> None:
        self.first = 0
        self.records: list[LogRecord] = []

    def append(self, data: Any) -> None:
        self.records.append(LogRecord(len(self.records), 0.0, data))

    def read(self, offset: int, limit: int) -> Fetched:
        start = max(offset, self.first)
        return Fetched(
            self.first, len(self.records), self.records[start : start + limit]
        )


def make_reader(limit: int = 3) -> ReaderState:
    return ReaderState(ReaderSettings(limit=limit), random.Random(1))


class ReaderHarness:
    """A reader with a minimal folded state: the number of records that it covers."""

    def __init__(self, limit: int = 3) -> None:
        self.reader = make_reader(limit)
        self.folded = 0
        self.fetch: Fetch | None = None
        self.restarts = 0

    def step(self, event: Any, now: float) -> None:
        for action in step_reader(self.reader, event, now):
            match action:
                case Apply(record):
                    assert record.offset == self.folded, "a record was skipped"
                    self.folded += 1
                case Restore(record):
                    self.folded = record.data["covers"] + 1
                case ReadRestarted(wanted, first):
                    assert wanted == self.folded < first
                    self.restarts += 1
                case Fetch():
                    self.fetch = action


STEPS = st.lists(
    st.one_of(
        st.just("append"),
        st.tuples(st.just("snapshot"), st.integers(0, 3)),
        st.tuples(st.just("expire"), st.integers(1, 6)),
        st.just("read"),
        st.just("read"),
        st.just("fail"),
        st.just("relay"),
    ),
    max_size=60,
)


@settings(derandomize=True, deadline=None, max_examples=400)
@given(steps=STEPS, limit=st.integers(1, 5))
def test_no_record_is_skipped(steps, limit) -> None:
    """Guards against silently missing jobs after a long disconnection.

    The log deletes records that the instance has not read yet. When the connection
    returns, the instance must not simply continue at the earliest remaining record.
    """
    log, harness, peer = FakeLog(), ReaderHarness(limit), 0
    for now, step in enumerate(steps):
        match step:
            case "append":
                log.append({"type": "x"})
            case "snapshot", back if len(log.records) > back:
                covers = len(log.records) - 1 - back
                log.append({"type": "snapshot", "covers": covers, "state": {}})
            case "expire", count:
                log.first = min(log.first + count, len(log.records))
            case "fail" if harness.fetch:
                harness.step(FetchFailed(), now * 100.0)
            case "relay":
                newest = log.records[peer : peer + 4]
                peer += len(newest)
                harness.step(Relayed(peer, newest), now * 100.0)
            case "read":
                if harness.fetch is None:
                    harness.step(ReadTick(), now * 100.0)
                else:
                    fetch, harness.fetch = harness.fetch, None
                    answer = log.read(fetch.offset, fetch.limit)
                    harness.step(answer, now * 100.0)
        if is_current(harness.reader) and step == "read":
            assert harness.folded >= harness.reader.known_end
    covers = len(log.records) - 1
    if covers >= 0:
        log.append({"type": "snapshot", "covers": covers, "state": {}})
    while not is_current(harness.reader) or harness.folded < len(log.records):
        if harness.fetch is None:
            harness.step(ReadTick(), 1e9)
            continue
        fetch, harness.fetch = harness.fetch, None
        harness.step(log.read(fetch.offset, fetch.limit), 1e9)
    assert harness.folded == len(log.records)


def test_fresh_instance_is_not_current_before_it_knows_the_end() -> None:
    """Guards against a restarted instance that ignores a recent operator's change.

    It starts while the log is out, holds no configuration and must not take that for
    the newest one. A peer that holds newer records is reachable.
    """
    reader = make_reader()
    assert step_reader(reader, ReadTick(), 0.0) == [Fetch(0, 3, 1000)]
    step_reader(reader, FetchFailed(), 1.0)
    assert not is_current(reader) and get_staleness(reader, 1.0) == float("inf")
    step_reader(reader, EndReported(2), 2.0)
    assert not is_current(reader)
    records = [LogRecord(n, 0.0, {"type": "x"}) for n in range(2)]
    step_reader(reader, Relayed(2, records), 3.0)
    assert is_current(reader) and get_staleness(reader, 5.0) == 2.0
    step_reader(reader, EndReported(3), 6.0)
    assert not is_current(reader) and get_staleness(reader, 7.0) == 4.0


def test_log_restored_from_an_old_copy_reverts_nothing() -> None:
    """Guards against undoing accepted records when the log's end moves backwards."""
    reader = make_reader(9)
    step_reader(reader, ReadTick(), 0.0)
    records = [LogRecord(n, 0.0, {"type": "x"}) for n in range(4)]
    step_reader(reader, Fetched(0, 4, records), 1.0)
    assert is_current(reader)
    actions = step_reader(reader, Fetched(0, 2, []), 2.0)
    assert actions[0] == LogRegressed(4, 2) and not is_current(reader)


def test_retries_are_delayed_and_bounded() -> None:
    """Guards against fetching too often, or too rarely, from a failing log."""
    reader = make_reader()
    now, pauses = 0.0, []
    step_reader(reader, ReadTick(), now)
    for _ in range(12):
        assert step_reader(reader, FetchFailed(), now) == []
        pauses.append(reader.fetch_at - now)
        now = reader.fetch_at
        assert step_reader(reader, ReadTick(), now)
    assert pauses[0] < pauses[-1] <= 1.5 * ReaderSettings().retry_max_s


def test_snapshots_are_due_before_expiry_and_at_different_times() -> None:
    """Guards against a log without any snapshot after an idle week.

    If nothing is appended for longer than the retention, the number of records never
    makes a snapshot due and the only one expires. Then no instance can start.
    """
    schedules = [
        SnapshotSchedule(SnapshotSettings(1000.0), random.Random(seed))
        for seed in range(8)
    ]
    assert not is_snapshot_due(schedules[0], 0, 1e6)
    due = []
    for index, schedule in enumerate(schedules):
        observe_record(schedule, 0.0, -1e5 * index)
        observe_snapshot(schedule, 41, 10.0, 10.0 - 1e5 * index)
        times = (
            n for n in range(1000) if is_snapshot_due(schedule, 42, n - 1e5 * index)
        )
        due.append(next(times))
        assert is_snapshot_due(schedule, 42 + 20_000, 10.0 - 1e5 * index)
    assert 200 < min(due) < max(due) <= 411
    assert len(set(due)) == len(due)
