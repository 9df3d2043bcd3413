"""Calls between instances: the owner's word on a job."""

import json
from collections.abc import Callable, Iterable
from wsgiref.types import StartResponse, WSGIEnvironment

from result import Err

from plantainyard.batch.replica import describe_state
from plantainyard.entry.instance import Instance
from plantainyard.transport import build_peer, build_pool, call_json

__all__ = ["ask_owner", "build_peer_app"]

JOBS = "/jobs/"

_pool = build_pool(pools=16, connections_per_peer=4)


def ask_owner(instance: Instance, job_id: str, timeout_s: float) -> str:
    """Return the state that the unit's owner tells of a job, or an empty string."""
    address = instance.replica.owner
    if not address or address == instance.peer_address():
        return ""
    peer = build_peer(f"http://{address}", _pool, timeout_s)
    answer = call_json(peer, "peer.describe", "GET", JOBS + job_id)
    if isinstance(answer, Err):
        return ""
    return str(answer.ok_value.body.get("state", ""))


def build_peer_app(
    instance: Instance,
) -> Callable[[WSGIEnvironment, StartResponse], Iterable[bytes]]:
    """Return the WSGI application of the port for other instances."""

    def serve(environ: WSGIEnvironment, start: StartResponse) -> Iterable[bytes]:
        path = environ.get("PATH_INFO", "")
        view = instance.replica.jobs.get(path.removeprefix(JOBS))
        known = view is not None and view.submission is not None
        # Only an owner is ahead of the store's readers.
        if not known or view is None or instance.owned is None:
            status, body = "404 Not Found", b"{}"
        else:
            status = "200 OK"
            body = json.dumps({"state": describe_state(view)}).encode()
        start(
            status,
            [
                ("Content-Type", "application/json"),
                ("Content-Length", str(len(body))),
            ],
        )
        return [body]

    return serve
