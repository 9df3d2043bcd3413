"""Counters, gauges and latency histograms of one instance, exported as text."""

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
from plantainyard.transport import CallObservation

__all__ = ["METRICS", "Meters", "build_metrics_app"]

CALL_SECONDS = (0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0)
"""Bucket bounds for the duration of calls, which is normally 1 to 30 ms."""

WAIT_SECONDS = (0.05, 0.1, 0.2, 0.4, 1.0, 2.0, 5.0, 10.0, 30.0)
"""Bucket bounds for the waiting time of jobs; objectives allow 0.4 to 2.5 s."""

METRICS = {
    "plantainyard_events": "Decisions and changes, by the event's name in the log.",
    "plantainyard_log_lost_lines": "Lines of the log that nobody took in time.",
    "plantainyard_refused": "Requests rejected and connections closed, by reason.",
    "plantainyard_submissions": "Submissions by queue: accepted, or why they weren't.",
    "plantainyard_turned_away": "Jobs rejected by admission, by kind and reason.",
    "plantainyard_jobs_quarantined": "Jobs ended as failed so that others go on.",
    "plantainyard_forecast_age_seconds": "Oldest forecast figures that an owner has.",
    "plantainyard_call_seconds": "Calls to store, runners, peers by step and result.",
    "plantainyard_call_received_bytes": "Bytes of responses, also of incomplete ones.",
    "plantainyard_first_start_seconds": "From reading a job to its first start.",
    "plantainyard_jobs_ended": "Ended jobs, by queue, unit and outcome.",
    "plantainyard_task_seconds": "Time of ended jobs' tasks, by what they did then.",
    "plantainyard_lost_runs": "Runs of ended jobs that weren't done, by their end.",
    "plantainyard_queue_jobs": "Open jobs by queue, unit, kind and lateness.",
    "plantainyard_queue_tasks": "Tasks by queue, unit, kind and what they do or await.",
    "plantainyard_unit_processors": "Thousandths of a core at a unit, by their use.",
    "plantainyard_unit_owned": "Units that this instance owns.",
    "plantainyard_jobs_open": "Jobs that haven't ended, as the owner sees them.",
    "plantainyard_tasks": "Tasks of open jobs at the owner, by phase.",
    "plantainyard_runners": "Runners at the owner, by state.",
    "plantainyard_run_time_entries": "Queues' steps of which run times are learned.",
    "plantainyard_configuration_age_seconds": "Since the configuration was confirmed.",
    "plantainyard_configuration_version": "Version of the configuration in force.",
    "plantainyard_configuration_copied": "1 if an owner is asked for it, else 0.",
    "plantainyard_evacuated": "1 if this owner starts nothing in the domain, else 0.",
    "plantainyard_evacuations_age_seconds": "Since the evacuations were last read.",
    "plantainyard_room_reservations": "Runners that are reserved for a large task.",
    "plantainyard_room_moves": "Long-running tasks stopped to make room for others.",
}
"""Names and help texts of all metrics; counters are exported with suffix `_total`."""


class Meters:
    """The metrics of one instance, in their own registry."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.events = self._build_counter("plantainyard_events", "event")
        self.refused = self._build_counter("plantainyard_refused", "reason")
        self.submissions = self._build_counter(
            "plantainyard_submissions", "queue", "outcome"
        )
        self.turned_away = self._build_counter(
            "plantainyard_turned_away", "kind", "reason"
        )
        self.quarantined = self._build_counter(
            "plantainyard_jobs_quarantined", "reason"
        )
        self.forecast_age = self._build_gauge("plantainyard_forecast_age_seconds")
        # Caches the labelled histograms, because the library's lookup costs more than
        # the observation itself.
        self._calls: dict[tuple[str, str], Histogram] = {}
        self._received: dict[tuple[str, str, str], Counter] = {}
        self.calls = self._build_histogram(
            "plantainyard_call_seconds", CALL_SECONDS, "step", "result"
        )
        self.received = self._build_counter(
            "plantainyard_call_received_bytes", "step", "result", "topic"
        )
        self.first_start = self._build_histogram(
            "plantainyard_first_start_seconds", WAIT_SECONDS
        )
        self.jobs_ended = self._build_counter(
            "plantainyard_jobs_ended", "queue", "unit", "outcome"
        )
        self.task_seconds = self._build_counter(
            "plantainyard_task_seconds", "queue", "unit", "part"
        )
        self.lost_runs = self._build_counter(
            "plantainyard_lost_runs", "queue", "unit", "how"
        )
        self.queue_jobs = self._build_gauge(
            "plantainyard_queue_jobs", "queue", "unit", "kind", "state"
        )
        self.queue_tasks = self._build_gauge(
            "plantainyard_queue_tasks", "queue", "unit", "kind", "part"
        )
        self.processors = self._build_gauge(
            "plantainyard_unit_processors", "unit", "use"
        )
        self.lost_lines = self._build_gauge("plantainyard_log_lost_lines")
        self.owned = self._build_gauge("plantainyard_unit_owned")
        self.jobs = self._build_gauge("plantainyard_jobs_open")
        self.tasks = self._build_gauge("plantainyard_tasks", "phase")
        self.runners = self._build_gauge("plantainyard_runners", "state")
        self.run_time_entries = self._build_gauge("plantainyard_run_time_entries")
        self.configuration_age = self._build_gauge(
            "plantainyard_configuration_age_seconds"
        )
        self.configuration_version = self._build_gauge(
            "plantainyard_configuration_version"
        )
        self.configuration_copied = self._build_gauge(
            "plantainyard_configuration_copied"
        )
        self.evacuated = self._build_gauge("plantainyard_evacuated", "domain")
        self.evacuations_age = self._build_gauge("plantainyard_evacuations_age_seconds")
        self.room_reservations = self._build_gauge("plantainyard_room_reservations")
        self.room_moves = self._build_counter("plantainyard_room_moves")

    def observe_call(self, observation: CallObservation) -> None:
        """Record the duration and the bytes of a call to store, runner or peer."""
        step, result, topic = observation.step, observation.result, observation.topic
        histogram = self._calls.get((step, result))
        if histogram is None:
            histogram = self._calls[step, result] = self.calls.labels(step, result)
        histogram.observe(observation.seconds)
        counter = self._received.get((step, result, topic))
        if counter is None:
            counter = self.received.labels(step, result, topic)
            self._received[step, result, topic] = counter
        counter.inc(observation.received_bytes)

    def _build_counter(self, name: str, *labels: str) -> Counter:
        return Counter(name, METRICS[name], labels, registry=self.registry)

    def _build_gauge(self, name: str, *labels: str) -> Gauge:
        return Gauge(name, METRICS[name], labels, registry=self.registry)

    def _build_histogram(
        self, name: str, bounds: tuple[float, ...], *labels: str
    ) -> Histogram:
        return Histogram(
            name, METRICS[name], labels, registry=self.registry, buckets=bounds
        )


METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"
"""Content type of metrics in the text format that collectors read."""


def build_metrics_app(
    meters: Meters, refresh: Callable[[], None]
) -> Callable[[WSGIEnvironment, StartResponse], Iterable[bytes]]:
    """Return the WSGI application of the metrics port.

    Parameters
    ----------
    meters : Meters
        The metrics to serve.
    refresh : callable
        Updates the gauges; called for each request.
    """

    def serve(_: WSGIEnvironment, start: StartResponse) -> Iterable[bytes]:
        refresh()
        body = generate_latest(meters.registry)
        return send_response(start, OK, METRICS_TYPE, body)

    return serve
