"""Conversion of an instance's settings to those of routing."""

from plantainyard.routing import RoutingSettings
from plantainyard.settings import Settings

__all__ = ["build_routing_settings"]

_MIN_REQUESTS_PER_CREDIT_TERM = 6.0
"""Smallest number of credit requests in the term of a credit."""

_BYTES_PER_MB = 1_000_000

_QUEUE_MEMORY_SHARE = 0.25
"""Share of the memory for bodies that queued requests may use."""


def build_routing_settings(settings: Settings) -> RoutingSettings:
    """Return the routing settings that follow from `settings`.

    Notes
    -----
    The bodies of queued requests may use a quarter of the memory for bodies. The rest
    is for the requests in progress and their responses.
    """
    requests, limits = settings.requests, settings.limits
    return RoutingSettings(
        credit_s=requests.credit_s,
        credit_request_interval_s=min(
            0.5, requests.credit_s / _MIN_REQUESTS_PER_CREDIT_TERM
        ),
        request_max_s=requests.request_max_s,
        drift=settings.platform.clock_drift,
        queue_count=limits.queue_requests,
        queue_bytes=int(_QUEUE_MEMORY_SHARE * limits.memory_mb * _BYTES_PER_MB),
        retry_share=requests.retry_share,
        attempts_max=requests.attempts,
        id_memory_s=requests.id_memory_s,
        id_count=requests.id_memory_count,
        forward_max=limits.caller_threads,
    )
