"""The port for other instances: answers to their queries about units."""

from collections.abc import Callable, Iterable
from typing import Any
from urllib.parse import parse_qs
from wsgiref.types import StartResponse, WSGIEnvironment

from plantainyard.decoding import DecodeError, parse_decimal
from plantainyard.dispatch import Need
from plantainyard.entry.configuration_exchange import (
    CONFIGURATION_PATH,
    describe_configuration,
    send_configuration,
)
from plantainyard.entry.forecasts import decode_needs, encode_forecast, encode_load
from plantainyard.entry.instance import Instance
from plantainyard.entry.peers import (
    NEEDS_FIELD,
    describe_claim,
    encode_count,
    fetch_forecast,
    fetch_interference,
    fetch_job,
    fetch_load,
    fetch_pending,
)
from plantainyard.entry.predecessors import describe_release
from plantainyard.entry.responses import OK, send_json

__all__ = ["build_peer_app"]


def build_peer_app(
    instance: Instance,
) -> Callable[[WSGIEnvironment, StartResponse], Iterable[bytes]]:
    """Return the WSGI application of the port for other instances."""

    def serve(environ: WSGIEnvironment, start: StartResponse) -> Iterable[bytes]:
        path = _read_path(environ)
        version_text = path.removeprefix(CONFIGURATION_PATH)
        known_version = parse_decimal(version_text) if version_text != path else None
        if known_version is not None:
            reply = describe_configuration(instance, known_version)
            if reply is not None:
                return send_configuration(start, reply)
        answer = _answer(instance, path, environ.get("QUERY_STRING", ""))
        return send_json(start, OK if answer else "404 Not Found", answer or {})

    return serve


def _read_path(environ: WSGIEnvironment) -> str:
    """Return the path of a request, whose bytes the server passes on undecoded."""
    raw: str = environ.get("PATH_INFO", "")
    return raw.encode("latin-1", errors="replace").decode(errors="replace")


def _read_needs(query: str) -> tuple[Need, ...]:
    """Return the needs in the query for a load; none if they can't be read.

    Notes
    -----
    Guards against a load that isn't told because a later version asks in another form.
    """
    values = parse_qs(query).get(NEEDS_FIELD, ["[]"])
    try:
        return decode_needs(values[0])
    except DecodeError:
        return ()


def _answer(instance: Instance, path: str, query: str) -> dict[str, Any] | None:
    """Return the answer to a query about a unit, or None without an answer."""
    parts = path.strip("/").split("/")
    if len(parts) < 3 or parts[0] != "units":
        return None
    unit, topic, rest = parse_decimal(parts[1]), parts[2], parts[3:]
    if unit is None:
        return None
    if topic == "owner":
        status = describe_claim(instance, unit)
        return None if status is None else {"owner": list(status)}
    if topic == "leases" and len(rest) == 1:
        epoch = parse_decimal(rest[0])
        return None if epoch is None else describe_release(instance, unit, epoch)
    # Only an owner has newer state than what other instances read from the store.
    if unit not in instance.owned:
        return None
    if topic == "jobs" and rest:
        found = fetch_job(instance, unit, rest[0])
        return None if found is None else found._asdict()
    if topic == "pending" and rest:
        count = fetch_pending(instance, unit, "/".join(rest))
        return None if count is None else encode_count(count)
    if topic == "forecast" and rest:
        forecast = fetch_forecast(instance, unit, "/".join(rest))
        return None if forecast is None else {"forecast": encode_forecast(forecast)}
    if topic == "harms":
        return {"harms": fetch_interference(instance, unit).decode(errors="replace")}
    if topic == "load":
        load = fetch_load(instance, unit, _read_needs(query))
        return None if load is None else encode_load(load)
    return None
