"""Tests of the event log, which is bounded and must not block its callers."""

import io
import json
import threading

from plantainyard.batch.replica import Replica, apply_record
from plantainyard.entry import eventlog
from plantainyard.entry.eventlog import EventLog, open_event_log
from plantainyard.entry.tests.harness import WAIT_TIMEOUT_S, wait_until


class StoppedReader(io.StringIO):
    """A standard output whose reader has stopped."""

    def write(self, text: str) -> int:
        threading.Event().wait()
        return 0


class SlowReader(io.StringIO):
    """A standard output that takes 0.02 s for each write."""

    def write(self, text: str) -> int:
        threading.Event().wait(0.02)
        return super().write(text)


def test_the_last_lines_of_a_process_are_written():
    # The process exits before the writer reaches its last line, `stopped`. In its log,
    # an orderly stop then looks like a process that hung.
    stream = SlowReader()
    with open_event_log("edge-1", stream) as log:
        log.write("stopping")
        log.write("stopped")
    assert '"stopped"' in stream.getvalue()


def test_a_process_exits_even_if_nobody_reads_its_last_line():
    # The reader of standard output has stopped. Waiting for it would delay the exit of
    # the process until it is killed.
    def run() -> None:
        with open_event_log("edge-1", StoppedReader()) as log:
            log.write("stopped")

    process = threading.Thread(target=run, daemon=True)
    process.start()
    process.join(WAIT_TIMEOUT_S)
    assert not process.is_alive()


def test_a_stopped_reader_loses_lines_and_blocks_no_decision(monkeypatch):
    # The reader of standard output has stopped. Each write blocks, and without the
    # queue each decision that is logged would block as well.
    monkeypatch.setattr(eventlog, "MAX_EVENT_LINES_PER_S", 10_000)
    log = EventLog("edge-1", StoppedReader())
    threading.Thread(target=log.run, daemon=True).start()

    def decide() -> None:
        for number in range(2 * eventlog.QUEUE_LINES):
            log.write("accepted", number=number)

    deciding = threading.Thread(target=decide, daemon=True)
    deciding.start()
    deciding.join(WAIT_TIMEOUT_S)
    assert not deciding.is_alive()
    assert log.lost_lines >= eventlog.QUEUE_LINES - 1


def test_lines_are_written_in_batches_and_in_order():
    # An owner writes seventy lines a second. A writer that wakes up for each of them
    # takes the processor away from decisions and calls that are due.
    class CountingStream(io.StringIO):
        writes = 0

        def write(self, text: str) -> int:
            self.writes += 1
            return super().write(text)

    stream = CountingStream()
    with open_event_log("edge-1", stream) as log:
        for number in range(40):
            log.write("accepted", number=number)
        wait_until(lambda: stream.getvalue().count("\n") == 40)
        assert stream.writes <= 4
    lines = [json.loads(line) for line in stream.getvalue().splitlines()]
    assert [line["number"] for line in lines] == list(range(40))


def test_all_lines_of_several_batches_are_written():
    stream = io.StringIO()
    with open_event_log("edge-1", stream) as log:
        for number in range(4 * eventlog.BATCH_LINES):
            log.write(f"event-{number}")
        wait_until(lambda: stream.getvalue().count("\n") == 4 * eventlog.BATCH_LINES)


def test_the_rate_of_lines_of_one_event_is_limited():
    log = EventLog("edge-1", io.StringIO())
    for _ in range(500):
        log.write("accepted")
    assert log.lines.qsize() <= 160


def test_an_unreadable_record_is_logged_on_standard_output():
    # An instance of another version has stored a job in another format, so the caller
    # waits forever. A warning on standard error is not collected and is never seen.
    stream = io.StringIO()
    with open_event_log("edge-1", stream):
        apply_record(Replica(), "j/5c0e", b"{")
        wait_until(lambda: "j/5c0e" in stream.getvalue())


def test_a_line_at_the_start_of_a_new_second_does_not_fail(monkeypatch):
    # A line is counted at the end of a second, and another thread resets the counts for
    # the next second before the first thread looks its count up. The KeyError would
    # stop the unit's actor, which then gives up its unit.
    log = EventLog("edge-1", io.StringIO())
    enqueue = log._enqueue

    def begin_next_second(event: str, fields: dict) -> None:
        log._counts = {}
        enqueue(event, fields)

    monkeypatch.setattr(log, "_enqueue", begin_next_second)
    log._counts = {"refused": eventlog.MAX_EVENT_LINES_PER_S + 1}
    log.write("accepted")
    assert log.lines.qsize() == 2
