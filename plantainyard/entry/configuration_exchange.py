"""The configuration as one instance tells it to another that asks for it."""

from collections.abc import Iterable, Mapping
from typing import NamedTuple
from wsgiref.types import StartResponse

from result import Err, Ok, Result

from plantainyard.clock import read_clock
from plantainyard.decoding import (
    FAILURES,
    DecodeError,
    describe_failure,
    parse_decimal,
    read_number,
)
from plantainyard.entry.instance import Instance
from plantainyard.entry.peer_calls import ROUNDING_S, build_instance_peer
from plantainyard.entry.responses import OK, send_response
from plantainyard.errors import CallError, ErrorKind
from plantainyard.transport import send_request

__all__ = [
    "CONFIGURATION_PATH",
    "ConfigurationReply",
    "describe_configuration",
    "fetch_configuration",
    "send_configuration",
]

CONFIGURATION_TIMEOUT_S = 4.0
"""Timeout in seconds of a query for the configuration. A megabyte takes 1.7 s over a
link of five megabits per second, and other calls share the link."""

INACTIVITY_S = (0.1, 0.4)
"""Minimum and maximum time in seconds without a part of the configuration after which
such a query fails."""

CONFIGURATION_PATH = "/configuration/"
"""Path of the configuration, to be followed by the version that is known already."""

VERSION_FIELD = "Configuration-Version"
AGE_FIELD = "Configuration-Age-S"
OFFSET_FIELD = "Configuration-Offset"
BINARY = "application/octet-stream"


class ConfigurationReply(NamedTuple):
    """The configuration as another instance knows it.

    Attributes
    ----------
    version : int
        Version in force there; zero if there is none.
    age_s : float
        Time in seconds since the start of that instance's last read of the store.
    offset : int
        Offset of the topic up to which that instance has read.
    value : bytes
        Stored value of that version; empty if it was known already.
    """

    version: int
    age_s: float
    offset: int
    value: bytes = b""


def fetch_configuration(
    instance: Instance, address: str, within_s: float
) -> Result[ConfigurationReply, CallError]:
    """Return the configuration as the instance at `address` has read it from the store.

    Parameters
    ----------
    instance : Instance
        The instance that asks.
    address : str
        Address of the other instance, ``ip:port``.
    within_s : float
        Time in seconds without any answer after which the query should fail.
    """
    current = instance.configuration
    version = current.version if current else 0
    peer = build_instance_peer(instance, address, CONFIGURATION_TIMEOUT_S)
    inactivity_s = min(max(within_s, INACTIVITY_S[0]), INACTIVITY_S[1])
    step = "peer.configuration"
    path = f"{CONFIGURATION_PATH}{version}"
    peer = peer._replace(inactivity_s=inactivity_s)
    answer = send_request(peer, step, "GET", path)
    if isinstance(answer, Err):
        return answer
    response = answer.ok_value
    if response.status != 200:
        detail = f"status {response.status}"
        return Err(CallError(ErrorKind.REFUSED, step, address, detail))
    try:
        return Ok(_decode_configuration_reply(response.headers, response.body))
    except FAILURES as error:
        detail = describe_failure(error)
        return Err(CallError(ErrorKind.MALFORMED, step, address, detail))


def _decode_configuration_reply(
    headers: Mapping[str, str], body: bytes
) -> ConfigurationReply:
    return ConfigurationReply(
        version=_read_header(headers, VERSION_FIELD),
        # An age is never negative, so that no reply is newer than its query.
        age_s=max(0.0, read_number(float(headers[AGE_FIELD]), AGE_FIELD)),
        offset=_read_header(headers, OFFSET_FIELD),
        value=body,
    )


def _read_header(headers: Mapping[str, str], name: str) -> int:
    number = parse_decimal(headers[name])
    if number is None:
        raise DecodeError(f"{name} is not a whole number")
    return number


def describe_configuration(
    instance: Instance, known_version: int
) -> ConfigurationReply | None:
    """Return the configuration as read from the store; None before the first read.

    Notes
    -----
    Guards against a reply that claims more than what it contains while a read of the
    store goes on: a read changes the configuration, then the offset, then the time, so
    they are taken in the opposite order here.
    """
    reader = instance.operations_reader
    synced_at = reader.synced_at
    offset = reader.offset
    current, value = instance.configuration, instance.configuration_value
    if not synced_at or offset is None:
        return None
    version = current.version if current else 0
    age_s = read_clock() - synced_at
    if version <= known_version:
        value = b""
    return ConfigurationReply(version, age_s, offset, value)


def send_configuration(
    start: StartResponse, reply: ConfigurationReply
) -> Iterable[bytes]:
    """Send the stored value as it is, since an encoded one is longer by a third."""
    fields = {
        VERSION_FIELD: str(reply.version),
        AGE_FIELD: f"{reply.age_s + ROUNDING_S:.3f}",
        OFFSET_FIELD: str(reply.offset),
    }
    return send_response(start, OK, BINARY, reply.value, fields=fields)
