"""What each key of the settings must be, alone and together with others."""

import math
import re
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple
from urllib.parse import urlsplit

from plantainyard.settings.model import Intervals, Settings

__all__ = [
    "MIN_TOKEN_LENGTH",
    "RULES",
    "Conflict",
    "Rule",
    "find_conflicts",
    "compute_stop_grace",
]

MIN_TOKEN_LENGTH = 16
BYTES_IN_MB = 1_000_000
MS_IN_S = 1_000.0
GRACE_HEARTBEATS = 4.0
HEARTBEATS_IN_SILENCE = 2.0
RENEWALS_IN_LEASE = 2.0
NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9_-]*")
IP_PORT = re.compile(r"(\d{1,3}(?:\.\d{1,3}){3}|\[[0-9A-Fa-f:]+\]):(\d{1,5})")


class Rule(NamedTuple):
    """What a key must be.

    Attributes
    ----------
    accepts : callable
        Tells whether a value from the TOML file will do.
    expected : str
        What is expected, for the error line and the reference page.
    """

    accepts: Callable[[Any], bool]
    expected: str


class Conflict(NamedTuple):
    """Two keys that don't go together."""

    section: str
    key: str
    expected: str


def _number(low: float, high: float, unit: str, open_low: bool = False) -> Rule:
    def accepts(value: Any) -> bool:
        if isinstance(value, bool) or not isinstance(value, int | float):
            return False
        above = value > low if open_low else value >= low
        return math.isfinite(value) and above and value <= high

    bound = f"above {low:g}" if open_low else f"from {low:g}"
    return Rule(accepts, f"a number {bound} to {high:g} ({unit})")


def _integer(low: int, high: int, unit: str) -> Rule:
    def accepts(value: Any) -> bool:
        whole = isinstance(value, int) and not isinstance(value, bool)
        return whole and low <= value <= high

    return Rule(accepts, f"an integer from {low} to {high} ({unit})")


def _choice(*names: str) -> Rule:
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
        "worker_lease_s": _number(0.5, 600, "seconds"),
        "clock_drift": _number(0, 0.2, "a fraction"),
        "trust_gone": _BOOLEAN,
        "log_retention_s": _number(10, 31_536_000, "seconds"),
        "timeout_s": _number(0, 60, "seconds", open_low=True),
    },
    "limits": {
        "body_bytes": _integer(1_024, 100_000_000, "bytes"),
        "connections": _integer(8, 100_000, "connections"),
        "caller_threads": _integer(1, 2_000, "threads"),
        "control_threads": _integer(4, 1_000, "threads"),
        "queue_requests": _integer(0, 100_000, "requests"),
        "memory_mb": _integer(16, 1_000_000, "megabytes"),
    },
    "requests": {
        "default_deadline_ms": _integer(1, 3_600_000, "milliseconds"),
        "request_max_s": _number(0, 3_600, "seconds", open_low=True),
        "credit_s": _number(0, 600, "seconds", open_low=True),
        "id_memory_s": _number(1, 604_800, "seconds"),
        "id_memory_count": _integer(1, 10_000_000, "request ids"),
        "retry_share": _number(0, 1, "a fraction"),
        "attempts": _integer(1, 10, "sendings"),
    },
    "intervals": {
        "tick_s": _number(0.01, 10, "seconds"),
        "heartbeat_s": _number(0.05, 60, "seconds"),
        "silence_s": _number(0.1, 600, "seconds"),
        "log_wait_s": _number(0, 60, "seconds"),
        "instances_s": _number(0.05, 60, "seconds"),
        "worker_s": _number(0.05, 60, "seconds"),
        "stop_s": _number(0, 3_600, "seconds", open_low=True),
    },
    "security": {"token": _TOKEN, "token_file": _PATH},
    "logs": {
        "level": _choice("debug", "info", "warning", "error"),
        "decisions_mb": _number(0, 64, "megabytes"),
    },
    "metrics": {
        "host": _TEXT,
        "port": _integer(1, 65_535, "a UDP port"),
        "prefix": _NAME,
    },
    "cut_off": {
        "max_config_age_s": _number(0, 604_800, "seconds", open_low=True),
        "new_starts": _choice("stop", "go_on"),
    },
}


def compute_stop_grace(intervals: Intervals) -> float:
    """Return for how long a stopping instance still takes requests.

    Notes
    -----
    Guards against a request that is cut off at a planned stop. The failure: the
    balancer, or a gateway that still takes this instance for the arbiter of an id,
    sends on a connection just as it is closed; the answer is lost and nobody knows
    whether the request ran. The grace covers the lag of the list, and the heartbeats
    by which the word of a rack's new owner reaches the gateways of other domains.
    """
    return intervals.instances_s + GRACE_HEARTBEATS * intervals.heartbeat_s


def find_conflicts(settings: Settings) -> Iterator[Conflict]:
    """Yield the values that are possible alone but not together."""
    instance, platform = settings.instance, settings.platform
    limits, requests = settings.limits, settings.requests
    intervals = settings.intervals
    if instance.address == instance.control_address and not _has_free_port(instance):
        yield Conflict(
            "instance",
            "control_address",
            "another address than instance.address, so that overload by callers "
            "can't stop control",
        )
    if intervals.silence_s < HEARTBEATS_IN_SILENCE * intervals.heartbeat_s:
        yield Conflict(
            "intervals",
            "silence_s",
            f"at least {HEARTBEATS_IN_SILENCE:g} times intervals.heartbeat_s "
            f"({intervals.heartbeat_s:g})",
        )
    usable_s = platform.worker_lease_s * (1 - platform.clock_drift)
    if usable_s < RENEWALS_IN_LEASE * intervals.worker_s:
        yield Conflict(
            "platform",
            "worker_lease_s",
            f"at least {RENEWALS_IN_LEASE:g} times intervals.worker_s "
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
    if requests.credit_s < HEARTBEATS_IN_SILENCE * intervals.heartbeat_s:
        yield Conflict(
            "requests",
            "credit_s",
            f"at least {HEARTBEATS_IN_SILENCE:g} times intervals.heartbeat_s "
            f"({intervals.heartbeat_s:g})",
        )
    stop_s = compute_stop_grace(intervals) + requests.request_max_s
    if intervals.stop_s < stop_s:
        yield Conflict(
            "intervals",
            "stop_s",
            f"at least {stop_s:g}: instances_s, {GRACE_HEARTBEATS:g} times heartbeat_s "
            "and then request_max_s, so that a planned stop cuts off no request",
        )
    if limits.caller_threads > limits.connections:
        yield Conflict(
            "limits",
            "caller_threads",
            f"at most limits.connections ({limits.connections})",
        )
    held = limits.body_bytes * (limits.caller_threads + limits.control_threads)
    if held > limits.memory_mb * BYTES_IN_MB:
        yield Conflict(
            "limits",
            "memory_mb",
            f"at least {math.ceil(held / BYTES_IN_MB)}: body_bytes for each of the "
            "caller_threads and control_threads",
        )


def _has_free_port(instance: Any) -> bool:
    return instance.address.endswith(":0")
