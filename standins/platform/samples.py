"""Sample configurations, submissions and calls in the platform's wire format.

Tests and the soak use these samples, so that only the adapter and the stand-ins contain
the names of the wire format.
"""

import json
from typing import Any

from result import Result

from plantainyard.batch.tasks import TaskKey
from plantainyard.dispatch.actions import OrderKind, RequestReport, SendOrder
from plantainyard.errors import CallError
from plantainyard.platform.runner_messages import (
    Order,
    OrderResult,
    RunnerReport,
    decode_report,
    decode_result,
    format_task,
)
from plantainyard.platform.settings import InstanceSettings
from plantainyard.transport import HttpResponse
from standins.platform.runner import RunnerState

__all__ = [
    "BAD_SUBMISSIONS",
    "BODY_BYTES",
    "HOST",
    "PREFIX",
    "SERVICE",
    "request_report",
    "make_body",
    "make_capacity",
    "make_configuration",
    "make_settings",
    "make_step_body",
    "order_runner",
]

HOST = "nony.example"
PREFIX = "/jobs/"
SERVICE = "tollgate"

BODY_BYTES = 10_000
"""Longest body that the configuration allows."""

_CALL_NAMES = {
    OrderKind.START: "run-start",
    OrderKind.STOP: "run-stop",
    OrderKind.PACE: "pace",
}


def make_configuration(version: int, **changes: Any) -> bytes:
    """Return a configuration with one queue; `changes` replace parts of it."""
    queue = {
        "name": "q",
        "host": HOST,
        "pathPrefix": PREFIX,
        "service": SERVICE,
        "priority": 0,
        "maxAttempts": 50,
        "stretch": 1.5,
        "targetLatencyMs": 400,
    }
    configuration = {
        "version": version,
        "routes": [queue],
        "services": [{"name": SERVICE, "admissionCheck": False}],
        "limits": {"maxBodyBytes": BODY_BYTES},
    }
    return json.dumps(configuration | changes).encode()


def make_settings(store: str) -> InstanceSettings:
    """Return the settings of an instance on loopback with a store at ``ip:port``."""
    return InstanceSettings(
        instance="edge-1",
        domain="addis-kality",
        region="addis",
        ip="127.0.0.1",
        caller_address="127.0.0.1:0",
        ready_address="127.0.0.1:0",
        peer_port=1,
        metrics_port=2,
        store_address=store,
    )


def make_step_body(
    size: int,
    cpu: int = 500,
    after: tuple[int, ...] = (),
    long_running: bool = False,
    requires: str = "",
) -> dict[str, Any]:
    """Return one step of a submission, without fields that are false or empty."""
    step: dict[str, Any] = {"count": size, "cpu": cpu, "memMb": 10, "estimateMs": 9}
    if after:
        step["after"] = list(after)
    if long_running:
        step["longRunning"] = True
    if requires:
        step["requires"] = requires
    return step


def make_capacity(cpu: int, memory: int = 256_000, gpu: int = 0) -> dict[str, int]:
    """Return a runner's capacity: thousandths of a core, megabytes, and GPUs."""
    return {"cpu": cpu, "memMb": memory, "gpu": gpu}


def make_body(*steps: dict[str, Any], spec: str = "s") -> dict[str, Any]:
    """Return a submission with the given steps."""
    return {"spec": spec, "steps": list(steps)}


BAD_SUBMISSIONS: list[tuple[object, int]] = [
    (b"{", 400),
    (b"[1, 2]", 400),
    (b'{"steps": 3}', 400),
    (b"\xff\xfe", 400),
    (b"[" * 5000, 400),
    (make_body(), 400),
    (make_body(make_step_body(2), spec="s" * 4001), 400),
    (make_body({"count": 0}), 400),
    (make_body({"count": 1, "cpu": -1}), 400),
    (make_body({"count": 1, "cpu": True}), 400),
    (make_body({"count": 1, "after": [1]}, {"after": [0]}), 400),
    (make_body({"count": 1, "after": [4]}), 400),
    (make_body({"count": 10**9}), 400),
    (b" " * 2 * BODY_BYTES, 413),
]
"""Invalid submissions, and the status with which each must be rejected."""


def order_runner(runner: RunnerState, order: SendOrder, now: float) -> OrderResult:
    """Carry out an order at a stand-in runner and return the decoded result."""
    body = {
        "task": format_task(order.task),
        "run": order.run,
        "spec": order.spec,
        "untilMs": order.lease_until_ms,
        "fence": order.fence,
        "checkpoint": order.checkpoint,
        "percent": order.percent,
    }
    return decode_result(_call(runner, _CALL_NAMES[order.kind], body, now))


def request_report(
    runner: RunnerState, request: RequestReport, now: float
) -> Result[RunnerReport, CallError]:
    """Request a stand-in runner's report and return it decoded."""
    body = {
        "fence": request.fence,
        "lastSeen": request.last_seen,
        "untilMs": request.lease_until_ms,
    }
    order = Order(
        runner.runner, request.entry.started_at_ms, "", TaskKey("", 0, 0, 0), 0, 0
    )
    return decode_report(_call(runner, "hold", body, now), order)


def _call(
    runner: RunnerState, name: str, body: dict[str, Any], now: float
) -> HttpResponse:
    status, response = runner.call(name, body, now)
    return HttpResponse(status, {}, json.dumps(response).encode())
