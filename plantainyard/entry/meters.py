"""Counters, gauges and latency histograms of one instance, as text."""

from collections.abc import Callable, Iterable
from wsgiref.types import StartResponse, WSGIEnvironment

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

from plantainyard.entry.responses import OK, send_response

__all__ = ["METERS", "Meters", "build_metrics_app"]

CALL_SECONDS = (0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0)
"""Bounds of the buckets for calls; answers take 1 to 30 ms where all is well."""

WAIT_SECONDS = (0.05, 0.1, 0.2, 0.4, 1.0, 2.0, 5.0, 10.0, 30.0)
"""Bounds of the buckets for waits of jobs; objectives leave 0.4 to 2.5 s."""

METERS = {
    "plantainyard_events": "Decisions and changes, by the event's name in the log.",
    "plantainyard_log_lost_lines": "Lines of the log that nobody took in time.",
    "plantainyard_refused": "Requests of callers turned away, by reason.",
    "plantainyard_call_seconds": "Calls to store and runners by step and result.",
    "plantainyard_first_start_seconds": "From reading a job to its first start.",
    "plantainyard_task_seconds": "Time of ended jobs' tasks, by what they did then.",
    "plantainyard_lost_runs": "Runs of ended jobs that weren't done, by their end.",
    "plantainyard_unit_owned": "Units that this instance owns.",
    "plantainyard_jobs_open": "Jobs that haven't ended, as the owner sees them.",
    "plantainyard_tasks": "Tasks of open jobs at the owner, by phase.",
    "plantainyard_runners": "Runners at the owner, by state.",
    "plantainyard_configuration_age_seconds": "Since the configuration was confirmed.",
    "plantainyard_configuration_version": "Version of the configuration in force.",
}
"""Name and meaning of each meter; names of counters get `_total` in the text."""


class Meters:
    """The meters of one instance, in a registry of their own."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.events = self._count("plantainyard_events", "event")
        self.refused = self._count("plantainyard_refused", "reason")
        # Looked up for each call; the library's own search costs more than the count.
        self._calls: dict[tuple[str, str], Histogram] = {}
        self.calls = self._measure(
            "plantainyard_call_seconds", CALL_SECONDS, "step", "result"
        )
        self.first_start = self._measure(
            "plantainyard_first_start_seconds", WAIT_SECONDS
        )
        self.task_seconds = self._count("plantainyard_task_seconds", "part")
        self.lost_runs = self._count("plantainyard_lost_runs", "how")
        self.lost_lines = self._gauge("plantainyard_log_lost_lines")
        self.owned = self._gauge("plantainyard_unit_owned")
        self.jobs = self._gauge("plantainyard_jobs_open")
        self.tasks = self._gauge("plantainyard_tasks", "phase")
        self.runners = self._gauge("plantainyard_runners", "state")
        self.configuration_age = self._gauge("plantainyard_configuration_age_seconds")
        self.configuration_version = self._gauge("plantainyard_configuration_version")

    def observe_call(self, step: str, result: str, seconds: float) -> None:
        """Count a call to the store or to a runner."""
        found = self._calls.get((step, result))
        if found is None:
            found = self._calls[step, result] = self.calls.labels(step, result)
        found.observe(seconds)

    def _count(self, name: str, *labels: str) -> Counter:
        return Counter(name, METERS[name], labels, registry=self.registry)

    def _gauge(self, name: str, *labels: str) -> Gauge:
        return Gauge(name, METERS[name], labels, registry=self.registry)

    def _measure(self, name: str, bounds: tuple[float, ...], *labels: str) -> Histogram:
        return Histogram(
            name, METERS[name], labels, registry=self.registry, buckets=bounds
        )


METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"
"""Content type of metrics in the text form that collectors read."""


def build_metrics_app(
    meters: Meters, refresh: Callable[[], None]
) -> Callable[[WSGIEnvironment, StartResponse], Iterable[bytes]]:
    """Return the WSGI application of the metrics port.

    Parameters
    ----------
    meters : Meters
        What is served.
    refresh : callable
        Sets the gauges; called with each request.
    """

    def serve(_: WSGIEnvironment, start: StartResponse) -> Iterable[bytes]:
        refresh()
        body = generate_latest(meters.registry)
        return send_response(start, OK, METRICS_TYPE, body)

    return serve
