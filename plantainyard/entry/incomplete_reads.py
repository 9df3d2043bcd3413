"""Log lines about reads of the store whose response was still incomplete."""

from plantainyard.clock import read_clock
from plantainyard.entry.eventlog import EventLog
from plantainyard.errors import ErrorKind
from plantainyard.transport import CallObservation, CallObserver

__all__ = ["build_read_observer"]

LINE_INTERVAL_S = 1.0
"""Least time in seconds between two lines about one partition."""

READ_STEPS = frozenset({"store.read", "store.newest"})


def build_read_observer(log: EventLog) -> CallObserver:
    """Return an observer that logs reads that ended with a part of their response.

    Notes
    -----
    Guards against a read that is repeated forever without a trace: a response that
    needs longer than the timeout takes the link's capacity each time and brings
    nothing.
    """
    logged_at: dict[tuple[str, int], float] = {}

    def observe(observation: CallObservation) -> None:
        if observation.result != ErrorKind.LOST or not observation.received_bytes:
            return
        if observation.step not in READ_STEPS:
            return
        partition = observation.topic, observation.partition
        now = read_clock()
        if now - logged_at.get(partition, -LINE_INTERVAL_S) < LINE_INTERVAL_S:
            return
        logged_at[partition] = now
        log.write(
            "read_incomplete",
            step=observation.step,
            topic=observation.topic,
            partition=observation.partition,
            received_bytes=observation.received_bytes,
            seconds=round(observation.seconds, 3),
        )

    return observe
