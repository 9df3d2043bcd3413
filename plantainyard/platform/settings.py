"""Reading of the settings file that the platform writes for each process."""

import re
from collections.abc import Mapping
from pathlib import Path
from reprlib import repr as shorten
from typing import Any, NamedTuple

from result import Err, Ok, Result

from plantainyard import decoding
from plantainyard.batch.checks import DEFAULT_RECORD_BYTES
from plantainyard.connections import MAX_PORT
from plantainyard.decoding import DecodeError, read_number
from plantainyard.platform.addresses import read_address

__all__ = [
    "SETTINGS_VARIABLE",
    "InstanceSettings",
    "SettingsFault",
    "load_instance_settings",
    "parse_instance_settings",
    "parse_toml",
]

SETTINGS_VARIABLE = "PLANTAINYARD_CONFIG"
"""Environment variable that holds the path of the settings file."""

MS_IN_S = 1000.0

DEFAULT_CALL_BYTES = 2_097_152
"""Maximum size of the records of a call if the settings don't give it."""


class SettingsFault(NamedTuple):
    """The reason why a settings file is invalid, with its location in the file."""

    path: str
    line: int
    key: str
    detail: str


class InstanceSettings(NamedTuple):
    """The settings of one process and of the platform that it runs on.

    Attributes
    ----------
    instance : str
        Name of this instance; unique among running instances.
    domain, region : str
        Failure domain and region of the instance.
    ip : str
        IP address of this instance.
    caller_address, ready_address : str
        ``ip:port`` at which callers and the readiness check connect.
    peer_port, metrics_port : int
        Ports of the calls between instances and of the metrics.
    store_address : str
        ``ip:port`` of the platform's store.
    store_partitions : int
        Number of partitions of each topic.
    shortest_ttl_s : float
        Minimum time to live that a group member may request, in seconds.
    longest_lease_s : float
        Maximum length of a lease that a runner grants, in seconds.
    cancel_deadline_s : float
        Maximum time from the acknowledgement of a cancellation until all work of the
        job has ended, in seconds.
    grace_s : float
        Time between the request to stop and the kill signal, in seconds.
    max_target_violation_s : float
        Maximum time for which a serving task may exceed its latency target, in seconds.
    remote_factor : float
        Factor by which tasks take longer outside their preferred rack.
    link_mbps : float
        Bandwidth of the instance's own link, in megabits per second.
    cores : float
        Processor capacity of the instance, in cores of standard speed.
    memory_mb : float
        Memory of the machine that the process may use, in megabytes.
    descriptors : int
        Number of files and sockets that the process may have open.
    record_bytes, call_bytes : int
        Maximum size in bytes of a record of the store, and of all records of a call.
    domains : frozenset of str
        All failure domains; empty if the settings don't list them.
    evacuation_deadline_s : float or None
        Time after which no task may start any more in an evacuated failure domain, in
        seconds; None if the platform has no evacuations.
    """

    instance: str
    domain: str
    region: str
    ip: str
    caller_address: str
    ready_address: str
    peer_port: int
    metrics_port: int
    store_address: str
    store_partitions: int = 12
    shortest_ttl_s: float = 1.0
    longest_lease_s: float = 10.0
    cancel_deadline_s: float = 3.9
    grace_s: float = 6.0
    max_target_violation_s: float = 4.0
    remote_factor: float = 1.0
    link_mbps: float = 1000.0
    cores: float = 1.0
    memory_mb: float = 300.0
    descriptors: int = 4_100
    record_bytes: int = DEFAULT_RECORD_BYTES
    call_bytes: int = DEFAULT_CALL_BYTES
    domains: frozenset[str] = frozenset()
    evacuation_deadline_s: float | None = None


def load_instance_settings(path: Path) -> Result[InstanceSettings, SettingsFault]:
    """Read the settings file at `path`.

    Returns
    -------
    Result[InstanceSettings, SettingsFault]
        The settings, or a fault with file, line and key.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, ValueError) as error:
        return Err(SettingsFault(str(path), 0, "", str(error)))
    return parse_instance_settings(text, str(path))


def parse_instance_settings(
    text: str, path: str = ""
) -> Result[InstanceSettings, SettingsFault]:
    """Decode the text of a settings file; unknown fields are ignored."""
    parsed = parse_toml(text, path)
    if isinstance(parsed, Err):
        return parsed
    try:
        return Ok(_decode(parsed.ok_value))
    except _SettingError as fault:
        line = _find_line(text, fault.key)
        return Err(SettingsFault(path, line, fault.key, fault.detail))


def parse_toml(text: str, path: str) -> Result[dict[str, Any], SettingsFault]:
    """Return the tables of a TOML file, or the fault that makes it unreadable."""
    try:
        return Ok(decoding.parse_toml(text))
    except DecodeError as error:
        why = str(error)
        match = re.search(r"line (\d+)", why)
        return Err(SettingsFault(path, int(match.group(1)) if match else 0, "", why))


class _SettingError(Exception):
    """A key that is missing or has a value of the wrong type."""

    def __init__(self, key: str, detail: str) -> None:
        super().__init__(key, detail)
        self.key = key
        self.detail = detail


def _decode(data: Mapping[str, Any]) -> InstanceSettings:
    ports = _get(data, "internalPorts", list)
    if len(ports) != 2 or not all(_is_port(port) for port in ports):
        raise _SettingError("internalPorts", "expected a list of two port numbers")
    listen = _get(data, "listen", dict)
    platform = _get(data, "platform", dict)
    bounds = _get(data, "bounds", dict) if "bounds" in data else {}
    limits = _get(data, "limits", dict) if "limits" in data else {}
    zones = _get(data, "zones", dict) if "zones" in data else {}
    # The unit depends on the key: names that end in S hold seconds, all other times
    # are in milliseconds.
    defaults = InstanceSettings._field_defaults
    return InstanceSettings(
        instance=_get(data, "node", str),
        domain=_get(data, "zone", str),
        region=_get(data, "region", str),
        ip=_get(data, "ip", str),
        caller_address=_get_address(listen, "front", "listen"),
        ready_address=_get_address(listen, "ready", "listen"),
        peer_port=ports[0],
        metrics_port=ports[1],
        store_address=_get_address(platform, "address", "platform"),
        store_partitions=int(_get_number(platform, "parts", 12, low=1)),
        record_bytes=int(
            _get_number(platform, "recordBytes", defaults["record_bytes"], low=1)
        ),
        call_bytes=int(
            _get_number(platform, "callBytes", defaults["call_bytes"], low=1)
        ),
        shortest_ttl_s=_get_number(platform, "minTtlMs", 1000) / MS_IN_S,
        longest_lease_s=_get_number(bounds, "maxHoldMs", 10_000) / MS_IN_S,
        # The time until the last possible start of a run, plus the time until the last
        # stop order has taken effect.
        cancel_deadline_s=(
            _get_number(bounds, "cancel_ms", 3000) + _get_number(bounds, "stopMs", 900)
        )
        / MS_IN_S,
        grace_s=_get_number(bounds, "graceS", defaults["grace_s"]),
        max_target_violation_s=_get_number(bounds, "harmMs", 4000) / MS_IN_S,
        remote_factor=_get_number(bounds, "remoteFactor", 1.0),
        link_mbps=_get_number(limits, "linkMbps", 1000.0),
        # The instance's share of a core, times the speed factor of that core.
        cores=_get_number(limits, "cpuShare", 1.0) * _get_number(limits, "cores", 1.0),
        memory_mb=_get_number(limits, "memoryMb", defaults["memory_mb"], low=1),
        descriptors=int(_get_number(limits, "maxFds", defaults["descriptors"], low=1)),
        domains=frozenset(zones),
        evacuation_deadline_s=(
            _get_number(bounds, "evacuateMs", 0) / MS_IN_S
            if "evacuateMs" in bounds
            else None
        ),
    )


def _get(data: Mapping[str, Any], key: str, kind: type, table: str = "") -> Any:
    name = f"{table}.{key}" if table else key
    if key not in data:
        raise _SettingError(name, "is missing")
    value = data[key]
    if not isinstance(value, kind):
        raise _SettingError(name, f"expected {kind.__name__}, found {shorten(value)}")
    return value


def _get_address(data: Mapping[str, Any], key: str, table: str) -> str:
    address = _get(data, key, str, table)
    try:
        return read_address(address, key)
    except DecodeError as error:
        raise _SettingError(f"{table}.{key}", str(error)) from None


def _is_port(value: Any) -> bool:
    return type(value) is int and 0 < value <= MAX_PORT


def _get_number(
    data: Mapping[str, Any], key: str, default: float, low: float = 0.0
) -> float:
    try:
        return read_number(data.get(key, default), key, low)
    except DecodeError as error:
        raise _SettingError(key, str(error)) from None


def _find_line(text: str, key: str) -> int:
    last = key.rpartition(".")[2]
    lines = enumerate(text.splitlines(), start=1)
    return next((n for n, line in lines if re.match(rf"\s*{last}\s*=", line)), 0)
