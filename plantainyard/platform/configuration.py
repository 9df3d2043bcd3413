"""Decoding of the operators' configuration that the platform publishes."""

from typing import Any, NamedTuple

from plantainyard.batch.limits import MAX_DURATION_MS, MAX_NAME, MAX_STRETCH
from plantainyard.decoding import (
    MAX_INTEGER,
    convert_errors,
    parse_json,
    read_list,
    read_number,
    read_object,
    read_text,
    read_truncated,
)

__all__ = ["Configuration", "Queue", "decode_configuration", "find_queue"]

DEFAULT_BODY_BYTES = 262_144
"""Default of the maximum size of a request body in bytes, defined by the platform."""


class Queue(NamedTuple):
    """A queue of jobs.

    Attributes
    ----------
    name : str
        Name of the queue; the same in all versions of the configuration.
    host, prefix : str
        Requests to this host whose path begins with this prefix belong to the queue.
    service : str
        Service whose runners run the tasks.
    priority : int
        Zero is the highest priority.
    max_attempts : int
        Number of failed runs of a task after which the job fails.
    stretch, target_latency_ms : float
        See `plantainyard.batch.Submission`.
    allowed_regions : tuple of str
        Regions that the platform names for the queue; they have no effect here, as no
        page describes them.
    """

    name: str
    host: str
    prefix: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    target_latency_ms: float = 0.0
    allowed_regions: tuple[str, ...] = ()


class Configuration(NamedTuple):
    """One version of the operators' configuration.

    Attributes
    ----------
    version : int
        Increases with each version, but not always by one.
    queues : tuple of Queue
        All queues of this version.
    body_bytes : int
        Maximum size of a request body in bytes.
    """

    version: int
    queues: tuple[Queue, ...]
    body_bytes: int = DEFAULT_BODY_BYTES


def decode_configuration(value: bytes) -> Configuration:
    """Decode the record that holds the operators' configuration.

    Raises
    ------
    DecodeError
        If the record is not a valid configuration.
    """
    with convert_errors("configuration"):
        data = read_object(parse_json(value), "configuration")
        limits = read_object(data.get("limits", {}), "limits")
        body_bytes = limits.get("maxBodyBytes", DEFAULT_BODY_BYTES)
        routes = read_list(data["routes"], "routes")
        return Configuration(
            version=read_truncated(data["version"], "version"),
            queues=tuple(_decode_queue(route) for route in routes),
            body_bytes=read_truncated(body_bytes, "maxBodyBytes", low=1),
        )


def _decode_queue(route: dict[str, Any]) -> Queue:
    attempts = read_truncated(route.get("maxAttempts", 1), "maxAttempts")
    latency_ms = route.get("targetLatencyMs", 0.0)
    regions = read_list(route.get("allowedRegions") or [], "allowedRegions")
    return Queue(
        name=read_text(route["name"], "name", MAX_NAME),
        host=read_text(route["host"], "host").lower(),
        prefix=read_text(route["pathPrefix"], "pathPrefix"),
        service=read_text(route["service"], "service", MAX_NAME),
        priority=read_truncated(route.get("priority", 0), "priority", -MAX_INTEGER),
        max_attempts=max(1, attempts),
        stretch=read_number(route.get("stretch", 1.0), "stretch", 0.0, MAX_STRETCH),
        target_latency_ms=read_number(
            latency_ms, "targetLatencyMs", 0.0, MAX_DURATION_MS
        ),
        allowed_regions=tuple(read_text(r, "allowedRegions") for r in regions),
    )


def find_queue(
    configuration: Configuration, host: str, path: str
) -> tuple[Queue, str] | None:
    """Return the queue that a request addresses and the rest of its path.

    Parameters
    ----------
    configuration : Configuration
        The version in force.
    host : str
        The ``Host`` header; a port in it is ignored.
    path : str
        The request's path.

    Returns
    -------
    tuple of Queue and str, or None
        The matching queue with the longest prefix, and the path after that prefix.
    """
    name = host.partition(":")[0].lower()
    matches = [
        queue
        for queue in configuration.queues
        if queue.host == name and path.startswith(queue.prefix)
    ]
    if not matches:
        return None
    queue = max(matches, key=lambda queue: len(queue.prefix))
    return queue, path[len(queue.prefix) :].strip("/")
