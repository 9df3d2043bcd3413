"""The event log: bounded, and never in the way."""

import io
import json
import threading

from plantainyard.batch.replica import Replica, apply_record
from plantainyard.entry import eventlog
from plantainyard.entry.eventlog import EventLog, open_event_log
from plantainyard.entry.tests.harness import WAIT_TIMEOUT_S, wait_until


class StoppedReader(io.StringIO):
    """A standard output that nobody reads."""

    def write(self, text: str) -> int:
        threading.Event().wait()
        return 0


class SlowReader(io.StringIO):
    """A standard output that takes a moment for each line."""

    def write(self, text: str) -> int:
        threading.Event().wait(0.02)
        return super().write(text)


def test_the_last_line_of_a_process_is_written():
    # An instance was stopped, and its log has a line `stopping` and none `stopped`: the
    # process had ended before the writer came to it. It looks like one that hung.
    stream = SlowReader()
    with open_event_log("edge-1", stream) as log:
        log.write("stopping")
        log.write("stopped")
    assert '"stopped"' in stream.getvalue()


def test_a_process_ends_although_nobody_reads_its_last_line():
    # The reader of standard output has stopped. Waited for, it would keep the process
    # until it is killed.
    def run() -> None:
        with open_event_log("edge-1", StoppedReader()) as log:
            log.write("stopped")

    process = threading.Thread(target=run, daemon=True)
    process.start()
    process.join(WAIT_TIMEOUT_S)
    assert not process.is_alive()


def test_a_log_that_nobody_reads_costs_lines_and_no_time(monkeypatch):
    # The reader of standard output has stopped. Each write would block, and with it
    # each decision that is logged.
    monkeypatch.setattr(eventlog, "LINES_PER_EVENT_S", 10_000)
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


def test_lines_that_come_together_are_written_together_and_in_order():
    # An owner writes seventy lines a second. The writer was woken for each of them,
    # and took the processor from decisions and from calls that were due.
    class Counting(io.StringIO):
        writes = 0

        def write(self, text: str) -> int:
            self.writes += 1
            return super().write(text)

    stream = Counting()
    with open_event_log("edge-1", stream) as log:
        for number in range(40):
            log.write("accepted", number=number)
        wait_until(lambda: stream.getvalue().count("\n") == 40)
        assert stream.writes <= 4
    lines = [json.loads(line) for line in stream.getvalue().splitlines()]
    assert [line["number"] for line in lines] == list(range(40))


def test_more_lines_than_are_written_at_once_all_come_out():
    stream = io.StringIO()
    with open_event_log("edge-1", stream) as log:
        for number in range(4 * eventlog.BATCH_LINES):
            log.write(f"event-{number}")
        wait_until(lambda: stream.getvalue().count("\n") == 4 * eventlog.BATCH_LINES)


def test_lines_of_one_event_are_bounded():
    log = EventLog("edge-1", io.StringIO())
    for _ in range(500):
        log.write("accepted")
    assert log.lines.qsize() <= 160


def test_a_record_that_cannot_be_read_leaves_a_line_on_standard_output():
    # An instance of another version has stored a job in another form. Its caller waits
    # for ever, and the line that tells why went to standard error, which nobody keeps.
    stream = io.StringIO()
    with open_event_log("edge-1", stream):
        apply_record(Replica(), "j/5c0e", b"{")
        wait_until(lambda: "j/5c0e" in stream.getvalue())


def test_a_line_at_the_turn_of_a_second_raises_nothing(monkeypatch):
    # A unit's actor fails with a KeyError and gives its unit up. Its line was counted
    # in the last moment of a second, and before its place was looked up another
    # thread's line began the next second, with no counts.
    log = EventLog("edge-1", io.StringIO())
    put = log._put

    def begin_next_second(event: str, fields: dict) -> None:
        log._counts = {}
        put(event, fields)

    monkeypatch.setattr(log, "_put", begin_next_second)
    log._counts = {"refused": eventlog.LINES_PER_EVENT_S + 1}
    log.write("accepted")
    assert log.lines.qsize() == 2
