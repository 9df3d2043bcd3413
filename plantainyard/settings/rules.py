"""Validation rules for each key of the settings and for combinations of keys."""

import math
import re
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple
from urllib.parse import urlsplit

from plantainyard.settings.model import Intervals, Settings
from plantainyard.settings.ports import THREAD_BYTES, find_required_memory

__all__ = [
    "MIN_TOKEN_LENGTH",
    "RULES",
    "Conflict",
    "Rule",
    "compute_stop_grace",
    "find_conflicts",
]

MIN_TOKEN_LENGTH = 16
MS_IN_S = 1_000.0
GRACE_HEARTBEATS = 4.0
"""Heartbeat intervals in the grace period before a stopping instance closes."""

MIN_HEARTBEATS_IN_TIMEOUT = 2.0
"""Fewest heartbeats in a peer's time-out or in a credit's lease."""

MIN_RENEWALS_IN_LEASE = 2.0
"""Fewest renewals of a worker's lease before it expires."""

NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9_-]*")
IP_PORT = re.compile(r"(\d{1,3}(?:\.\d{1,3}){3}|\[[0-9A-Fa-f:]+\]):(\d{1,5})")


class Rule(NamedTuple):
    """Validation rule of a key.

    Attributes
    ----------
    accepts : callable
        Returns whether a value from the TOML file is valid.
    expected : str
        Description of the valid values, for error messages and the reference page.
    """

    accepts: Callable[[Any], bool]
    expected: str


class Conflict(NamedTuple):
    """A key whose value is incompatible with that of another key."""

    section: str
    key: str
    expected: str


def _build_number_rule(
    low: float, high: float, unit: str, exclude_low: bool = False
) -> Rule:
    def accepts(value: Any) -> bool:
        if isinstance(value, bool) or not isinstance(value, int | float):
            return False
        is_above_low = value > low if exclude_low else value >= low
        # An integer within the bounds is not too large for `isfinite`.
        return is_above_low and value <= high and math.isfinite(value)

    bound = f"above {low:g}" if exclude_low else f"from {low:g}"
    return Rule(accepts, f"a number {bound} to {high:g} ({unit})")


def _build_integer_rule(low: int, high: int, unit: str) -> Rule:
    def accepts(value: Any) -> bool:
        is_integer = isinstance(value, int) and not isinstance(value, bool)
        return is_integer and low <= value <= high

    return Rule(accepts, f"an integer from {low} to {high} ({unit})")


def _build_choice_rule(*names: str) -> Rule:
    listed = ", ".join(f'"{name}"' for name in names)
    return Rule(lambda value: value in names, f"one of {listed}")


def _is_name(value: Any) -> bool:
    return isinstance(value, str) and NAME.fullmatch(value) is not None


def _is_address(value: Any) -> bool:
    match = IP_PORT.fullmatch(value) if isinstance(value, str) else None
    if match is None or int(match[2]) > 65_535:
        return False
    octets = match[1].split(".")
    return match[1].startswith("[") or all(int(octet) <= 255 for octet in octets)


def _is_url(value: Any) -> bool:
    if not isinstance(value, str):
        return False
    try:
        parts = urlsplit(value)
        return parts.scheme in ("http", "https") and bool(parts.hostname)
    except ValueError:
        return False


def _is_token(value: Any) -> bool:
    if not isinstance(value, str) or len(value) < MIN_TOKEN_LENGTH:
        return False
    return value.isascii() and value.isprintable() and " " not in value


_NAME = Rule(_is_name, "letters, digits, '-' and '_', starting with no '-' or '_'")
_ADDRESS = Rule(_is_address, 'an IP address and a port, such as "10.0.0.1:7400"')
_URL = Rule(_is_url, 'a URL such as "http://10.0.0.2:7000"')
_BOOLEAN = Rule(lambda value: isinstance(value, bool), "true or false")
_TEXT = Rule(lambda value: isinstance(value, str), "a string")
_PATH = Rule(lambda value: isinstance(value, str) and value != "", "a file's path")
_TOKEN = Rule(
    _is_token,
    f"at least {MIN_TOKEN_LENGTH} printable ASCII characters without a space",
)

RULES: dict[str, dict[str, Rule]] = {
    "instance": {
        "id": _NAME,
        "region": _NAME,
        "domain": _NAME,
        "address": _ADDRESS,
        "control_address": _ADDRESS,
    },
    "platform": {
        "log": _URL,
        "instances": _URL,
        "worker_lease_s": _build_number_rule(0.5, 600, "seconds"),
        "clock_drift": _build_number_rule(0, 0.2, "a fraction"),
        "trust_gone": _BOOLEAN,
        "log_retention_s": _build_number_rule(10, 31_536_000, "seconds"),
        "timeout_s": _build_number_rule(0, 60, "seconds", exclude_low=True),
    },
    "limits": {
        "body_bytes": _build_integer_rule(1_024, 100_000_000, "bytes"),
        "connections": _build_integer_rule(8, 100_000, "connections"),
        "caller_threads": _build_integer_rule(1, 2_000, "threads"),
        "control_threads": _build_integer_rule(4, 1_000, "threads"),
        "queue_requests": _build_integer_rule(0, 100_000, "requests"),
        "memory_mb": _build_integer_rule(16, 1_000_000, "megabytes"),
    },
    "requests": {
        "default_deadline_ms": _build_integer_rule(1, 3_600_000, "milliseconds"),
        "request_max_s": _build_number_rule(0, 3_600, "seconds", exclude_low=True),
        "credit_s": _build_number_rule(0, 600, "seconds", exclude_low=True),
        "id_memory_s": _build_number_rule(1, 604_800, "seconds"),
        "id_memory_count": _build_integer_rule(1, 10_000_000, "request ids"),
        "retry_share": _build_number_rule(0, 1, "a fraction"),
        "attempts": _build_integer_rule(1, 10, "sendings"),
    },
    "intervals": {
        "tick_s": _build_number_rule(0.01, 10, "seconds"),
        "heartbeat_s": _build_number_rule(0.05, 60, "seconds"),
        "silence_s": _build_number_rule(0.1, 600, "seconds"),
        "log_wait_s": _build_number_rule(0, 60, "seconds"),
        "instances_s": _build_number_rule(0.05, 60, "seconds"),
        "worker_s": _build_number_rule(0.05, 60, "seconds"),
        "stop_s": _build_number_rule(0, 3_600, "seconds", exclude_low=True),
    },
    "security": {"token": _TOKEN, "token_file": _PATH},
    "logs": {
        "level": _build_choice_rule("debug", "info", "warning", "error"),
        "decisions_mb": _build_number_rule(0, 64, "megabytes"),
    },
    "metrics": {
        "host": _TEXT,
        "port": _build_integer_rule(1, 65_535, "a UDP port"),
        "prefix": _NAME,
    },
    "cut_off": {
        "max_config_age_s": _build_number_rule(0, 604_800, "seconds", exclude_low=True),
        "new_starts": _build_choice_rule("stop", "go_on"),
    },
}


def compute_stop_grace(intervals: Intervals) -> float:
    """Return the time in seconds for which a stopping instance accepts requests.

    Notes
    -----
    Guards against a request that is cut off at a planned stop. The load balancer, or a
    gateway that still considers this instance the arbiter of an id, may send on a
    connection just as it is closed. The response is then lost, and whether the request
    ran is unknown. The grace period covers the lag of the instance list and the
    heartbeats that announce a rack's new owner to the gateways of other domains.
    """
    return intervals.instances_s + GRACE_HEARTBEATS * intervals.heartbeat_s


def find_conflicts(settings: Settings) -> Iterator[Conflict]:
    """Yield the keys whose values are valid alone but not in combination."""
    instance, platform = settings.instance, settings.platform
    limits, requests = settings.limits, settings.requests
    intervals = settings.intervals
    if instance.address == instance.control_address and not _has_ephemeral_port(
        instance
    ):
        yield Conflict(
            "instance",
            "control_address",
            "another address than instance.address, so that overload by callers "
            "can't stop control",
        )
    if intervals.silence_s < MIN_HEARTBEATS_IN_TIMEOUT * intervals.heartbeat_s:
        yield Conflict(
            "intervals",
            "silence_s",
            f"at least {MIN_HEARTBEATS_IN_TIMEOUT:g} times intervals.heartbeat_s "
            f"({intervals.heartbeat_s:g})",
        )
    usable_s = platform.worker_lease_s * (1 - platform.clock_drift)
    if usable_s < MIN_RENEWALS_IN_LEASE * intervals.worker_s:
        yield Conflict(
            "platform",
            "worker_lease_s",
            f"at least {MIN_RENEWALS_IN_LEASE:g} times intervals.worker_s "
            f"({intervals.worker_s:g}) after clock_drift",
        )
    if requests.default_deadline_ms > requests.request_max_s * MS_IN_S:
        yield Conflict(
            "requests",
            "default_deadline_ms",
            f"at most requests.request_max_s ({requests.request_max_s:g} s)",
        )
    if requests.id_memory_s < requests.request_max_s:
        yield Conflict(
            "requests",
            "id_memory_s",
            f"at least requests.request_max_s ({requests.request_max_s:g}), so that "
            "a repeat of a running request is known",
        )
    if requests.credit_s < MIN_HEARTBEATS_IN_TIMEOUT * intervals.heartbeat_s:
        yield Conflict(
            "requests",
            "credit_s",
            f"at least {MIN_HEARTBEATS_IN_TIMEOUT:g} times intervals.heartbeat_s "
            f"({intervals.heartbeat_s:g})",
        )
    min_stop_s = compute_stop_grace(intervals) + requests.request_max_s
    if intervals.stop_s < min_stop_s:
        yield Conflict(
            "intervals",
            "stop_s",
            f"at least {min_stop_s:g}: instances_s, {GRACE_HEARTBEATS:g} times "
            "heartbeat_s and then request_max_s, so that a planned stop cuts off no "
            "request",
        )
    if limits.caller_threads > limits.connections:
        yield Conflict(
            "limits",
            "caller_threads",
            f"at most limits.connections ({limits.connections})",
        )
    required_mb = find_required_memory(limits)
    if limits.memory_mb < required_mb:
        yield Conflict(
            "limits",
            "memory_mb",
            f"at least {required_mb}: body_bytes and {THREAD_BYTES} bytes for "
            "connections for each of the caller_threads and control_threads",
        )


def _has_ephemeral_port(instance: Any) -> bool:
    return instance.address.endswith(":0")
