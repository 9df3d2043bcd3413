"""Metrics of the process, sent to a statsd server and kept for the state dump.

`METRICS` lists every metric; other names are rejected.
"""

import threading
from typing import Any, NamedTuple

from hdrh.histogram import HdrHistogram
from statsd import StatsClient

from plantainyard.settings import Metrics

__all__ = [
    "METRICS",
    "Meter",
    "Metric",
    "MetricKind",
    "add_count",
    "add_timing",
    "create_meter",
    "describe_meter",
    "flush_meter",
    "set_gauge",
]

MAX_BUFFERED = 10_000
LOWEST_US = 1
HIGHEST_US = 3_600_000_000
SIGNIFICANT_DIGITS = 2
US_IN_MS = 1_000.0
PERCENTILES = (50.0, 99.0, 100.0)


class MetricKind:
    """Names of the kinds of metric, as in statsd."""

    COUNTER = "counter"
    GAUGE = "gauge"
    TIMER = "timer"


class Metric(NamedTuple):
    """Definition of a metric."""

    kind: str
    unit: str
    meaning: str


def _counter(unit: str, meaning: str) -> Metric:
    return Metric(MetricKind.COUNTER, unit, meaning)


def _gauge(unit: str, meaning: str) -> Metric:
    return Metric(MetricKind.GAUGE, unit, meaning)


def _timer(meaning: str) -> Metric:
    return Metric(MetricKind.TIMER, "milliseconds", meaning)


METRICS: dict[str, Metric] = {
    "requests.done": _counter("requests", "Callers' requests answered by a runner."),
    "requests.refused": _counter("requests", "Not run; the caller may come back."),
    "requests.failed": _counter("requests", "Ran, and the runner answered a failure."),
    "requests.unknown": _counter("requests", "May have run; no answer can be given."),
    "requests.latency": _timer("From a request's arrival to its answer."),
    "requests.queued": _gauge("requests", "Waiting for a slot now."),
    "requests.in_progress": _gauge("requests", "At a runner now."),
    "tasks.assigned": _gauge("tasks", "Assigned to workers now, on racks owned here."),
    "tasks.waiting": _gauge(
        "tasks", "Accepted, not yet assigned, on racks owned here."
    ),
    "jobs.accepted": _counter("jobs", "Accepted here, as records in the log."),
    "racks.owned": _gauge("racks", "Owned by this instance, with authority."),
    "racks.pending": _gauge("racks", "Claimed, but still without authority."),
    "workers.silent": _gauge("workers", "Of owned racks, not heard from in time."),
    "log.age": _gauge("seconds", "Since a read of the home stream last succeeded."),
    "config.version": _gauge("offset", "Newest configuration in force here."),
    "config.age": _gauge("seconds", "Since the configuration was known to be current."),
    "peers.live": _gauge("instances", "Peers heard from in time."),
    "calls.unauthorized": _counter("calls", "Without the right token."),
    "calls.malformed": _counter("calls", "Refused for their form or their size."),
    "process.cpu": _counter("milliseconds", "Processor time used."),
    "process.memory": _gauge("bytes", "Resident memory."),
    "process.ready": _gauge("0 or 1", "Whether the balancer may send callers."),
}


class Meter:
    """Metric values since the start of the process, and the values not yet sent.

    Attributes
    ----------
    client : StatsClient or None
        None if metrics are not sent.
    counts, gauges : dict
        Total of each counter since the start; latest value of each gauge.
    histograms : dict
        Distribution of each timer since the start, in microseconds.
    unsent_counts : dict
        Increase of each counter since the last `flush_meter`.
    unsent_timings : list
        Names and durations in milliseconds since the last `flush_meter`.
    lock : Lock
        Held for each change, because threads share a meter.
    """

    def __init__(self, client: StatsClient | None) -> None:
        self.client = client
        self.counts: dict[str, int] = {}
        self.gauges: dict[str, float] = {}
        self.histograms: dict[str, HdrHistogram] = {}
        self.unsent_counts: dict[str, int] = {}
        self.unsent_timings: list[tuple[str, float]] = []
        self.lock = threading.Lock()


def create_meter(metrics: Metrics) -> Meter:
    """Return a meter that sends to the statsd server of `metrics`, if one is set."""
    if not metrics.host:
        return Meter(None)
    ipv6 = ":" in metrics.host
    return Meter(StatsClient(metrics.host, metrics.port, metrics.prefix, ipv6=ipv6))


def add_count(meter: Meter, name: str, number: int = 1) -> None:
    """Add `number` to a counter of `METRICS`."""
    _check_kind(name, MetricKind.COUNTER)
    with meter.lock:
        meter.counts[name] = meter.counts.get(name, 0) + number
        meter.unsent_counts[name] = meter.unsent_counts.get(name, 0) + number


def set_gauge(meter: Meter, name: str, value: float) -> None:
    """Set a gauge of `METRICS`."""
    _check_kind(name, MetricKind.GAUGE)
    with meter.lock:
        meter.gauges[name] = value


def add_timing(meter: Meter, name: str, milliseconds: float) -> None:
    """Add one duration to a timer of `METRICS`."""
    _check_kind(name, MetricKind.TIMER)
    microseconds = min(max(int(milliseconds * US_IN_MS), LOWEST_US), HIGHEST_US)
    with meter.lock:
        if name not in meter.histograms:
            meter.histograms[name] = HdrHistogram(
                LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS
            )
        meter.histograms[name].record_value(microseconds)
        if meter.client and len(meter.unsent_timings) < MAX_BUFFERED:
            meter.unsent_timings.append((name, milliseconds))


def flush_meter(meter: Meter) -> None:
    """Send the values recorded since the last call; call it about once a second.

    Notes
    -----
    A datagram holds many values, so the cost is a few datagrams per second whatever
    the load. Datagrams may be lost; nothing waits for the server. Of the timings
    between two calls, those beyond the first ``MAX_BUFFERED`` are kept for the dump
    but not sent.
    """
    with meter.lock:
        counts, meter.unsent_counts = meter.unsent_counts, {}
        timings, meter.unsent_timings = meter.unsent_timings, []
        gauges = dict(meter.gauges)
    if meter.client is None:
        return
    with meter.client.pipeline() as pipeline:
        for name, number in counts.items():
            pipeline.incr(name, number)
        for name, value in gauges.items():
            pipeline.gauge(name, value)
        for name, milliseconds in timings:
            pipeline.timing(name, milliseconds)


def describe_meter(meter: Meter) -> dict[str, Any]:
    """Return all values since the start as a JSON object, for the state dump."""
    with meter.lock:
        timers = {
            name: {
                "count": histogram.total_count,
                **{
                    f"p{percentile:g}_ms": histogram.get_value_at_percentile(percentile)
                    / US_IN_MS
                    for percentile in PERCENTILES
                },
            }
            for name, histogram in meter.histograms.items()
        }
        return {
            "counters": dict(meter.counts),
            "gauges": dict(meter.gauges),
            "timers": timers,
        }


def _check_kind(name: str, kind: str) -> None:
    if METRICS[name].kind != kind:
        raise ValueError(f"{name} is a {METRICS[name].kind}, not a {kind}")
