"""Calls to runners: start, stop and pace a run, renew a lease and read the report."""

from collections.abc import Callable
from typing import Any, NamedTuple

from result import Err, Result

from plantainyard.clock import read_clock
from plantainyard.connections import Call, ResultCallback, build_request
from plantainyard.errors import CallError
from plantainyard.multiplexer import Multiplexer
from plantainyard.platform.bodies import encode_body
from plantainyard.platform.runner_messages import (
    Order,
    OrderOutcome,
    OrderResult,
    RunnerReport,
    decode_report,
    decode_result,
    format_task,
)
from plantainyard.transport import (
    CallObservation,
    CallObserver,
    HttpResponse,
    classify_result,
    discard_observation,
    get_received_bytes,
)

__all__ = [
    "OrderCallback",
    "ReportCallback",
    "RunnerCalls",
    "build_runner_calls",
]

OrderCallback = Callable[[OrderResult], None]

"""Receives the outcome of an order."""


ReportCallback = Callable[[Result[RunnerReport, CallError]], None]

"""Receives a runner's report or the error of the call."""


class RunnerCalls(NamedTuple):
    """Asynchronous calls to runners, whose results are passed to callbacks.

    Attributes
    ----------
    multiplexer : Multiplexer
        The connections to the runners.
    observe : CallObserver
        Receives each call when it has ended.

    Notes
    -----
    The callbacks run on the thread of the multiplexer and must not block.
    """

    multiplexer: Multiplexer
    observe: CallObserver = discard_observation

    def start(self, order: Order, timeout_s: float, on_result: OrderCallback) -> None:
        """Order a runner to start a run; repeating the same order is harmless."""
        body: dict[str, Any] = {
            "task": format_task(order.task),
            "run": order.run,
            "spec": order.spec,
            "untilMs": order.lease_until_ms,
            "fence": order.fence,
        }
        if order.checkpoint:
            body["checkpoint"] = order.checkpoint
        self._order("run-start", order, body, timeout_s, on_result)

    def stop(self, order: Order, timeout_s: float, on_result: OrderCallback) -> None:
        """Order a runner to stop a run, or to refuse it if it arrives later."""
        body = {"task": format_task(order.task), "run": order.run, "fence": order.fence}
        self._order("run-stop", order, body, timeout_s, on_result)

    def pace(self, order: Order, timeout_s: float, on_result: OrderCallback) -> None:
        """Order a runner to limit a run to a share of its full speed."""
        body = {
            "task": format_task(order.task),
            "run": order.run,
            "percent": order.percent,
            "fence": order.fence,
        }
        self._order("pace", order, body, timeout_s, on_result)

    def renew_lease(
        self,
        order: Order,
        last_seen: int,
        wait_s: float,
        timeout_s: float,
        on_report: ReportCallback,
    ) -> None:
        """Renew the lease of all runs on a runner, and request its report.

        Parameters
        ----------
        order : Order
            Identifies the incarnation; if `lease_until_ms` is zero, the lease is not
            renewed.
        last_seen : int
            Acknowledges the ends up to this number, which the runner then discards.
        wait_s : float
            Maximum time for which the runner delays its response while there is no
            unacknowledged end.
        timeout_s : float
            Maximum time to wait for the response, in addition to `wait_s`.
        on_report : ReportCallback
            Receives the report or the error.
        """
        body: dict[str, Any] = {"fence": order.fence, "lastSeen": last_seen}
        if order.lease_until_ms:
            body["untilMs"] = order.lease_until_ms
        if wait_s:
            body["waitMs"] = round(wait_s * 1000)

        def handle(result: Result[HttpResponse, CallError]) -> None:
            on_report(result.and_then(lambda response: decode_report(response, order)))

        self._call("hold", order, body, timeout_s + wait_s, handle)

    def close(self) -> None:
        """Close all connections; the callbacks of outstanding calls are not called."""
        self.multiplexer.close()

    def _order(
        self,
        name: str,
        order: Order,
        body: dict[str, Any],
        timeout_s: float,
        on_result: OrderCallback,
    ) -> None:
        def handle(result: Result[HttpResponse, CallError]) -> None:
            if isinstance(result, Err):
                detail = result.err_value.detail
                on_result(OrderResult(OrderOutcome.UNKNOWN, None, detail))
            else:
                on_result(decode_result(result.ok_value))

        self._call(name, order, body, timeout_s, handle)

    def _call(
        self,
        name: str,
        order: Order,
        body: dict[str, Any],
        timeout_s: float,
        on_response: ResultCallback,
    ) -> None:
        step = f"runner.{name}"
        started_at = read_clock()

        def handle(result: Result[HttpResponse, CallError]) -> None:
            seconds = read_clock() - started_at
            received_bytes = get_received_bytes(result)
            self.observe(
                CallObservation(step, classify_result(result), seconds, received_bytes)
            )
            on_response(result)

        headers = {
            "Content-Type": "application/json",
            "Expect-Instance": order.runner,
        }
        data = build_request(
            "POST", f"/v1/{name}", order.address, headers, encode_body(body)
        )
        call = Call(
            step,
            order.runner,
            order.address,
            data,
            timeout_s,
            handle,
            send_by=order.send_by,
        )
        self.multiplexer.send(call)


def build_runner_calls(observe: CallObserver = discard_observation) -> RunnerCalls:
    """Return calls to runners that use their own connections."""
    return RunnerCalls(Multiplexer(), observe)
