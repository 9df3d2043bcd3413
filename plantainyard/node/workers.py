"""Calls to workers, made outside the actor that decides.

A worker may be slow or frozen. Calls run on a thread pool and their results are sent to
the actor as messages, so that no decision waits for a worker.
"""

from collections.abc import Callable
from concurrent.futures import Executor
from typing import NamedTuple

import urllib3
from result import Err, Result

from plantainyard.clients import (
    WorkerResponse,
    build_worker_client,
    read_state,
    send_commands,
)
from plantainyard.clock import read_clock
from plantainyard.errors import CallError
from plantainyard.execution import Call, CallFailed, WorkerAnswered

__all__ = ["WorkerCaller", "start_call"]


class WorkerCaller(NamedTuple):
    """Resources for calls to workers.

    Attributes
    ----------
    pool : urllib3.PoolManager
        Shared connections.
    executor : Executor
        Threads on which calls wait.
    timeout_s : float
        Longest wait for a worker's answer.
    """

    pool: urllib3.PoolManager
    executor: Executor
    timeout_s: float


def start_call(
    caller: WorkerCaller,
    call: Call,
    deliver: Callable[[WorkerAnswered | CallFailed], object],
) -> None:
    """Make `call` on another thread and pass its result to `deliver`."""
    caller.executor.submit(_make_call, caller, call, deliver)


def _make_call(
    caller: WorkerCaller,
    call: Call,
    deliver: Callable[[WorkerAnswered | CallFailed], object],
) -> None:
    sent_at = read_clock()
    answer = _ask_worker(caller, call)
    if isinstance(answer, Err):
        deliver(CallFailed(call.worker, answer.err_value))
        return
    fencing = call.commands is not None
    deliver(WorkerAnswered(call.worker, answer.ok_value, sent_at, fencing))


def _ask_worker(caller: WorkerCaller, call: Call) -> Result[WorkerResponse, CallError]:
    client = build_worker_client(call.address, caller.pool, caller.timeout_s)
    if call.commands is None:
        return read_state(client).map(lambda state: WorkerResponse(True, False, state))
    return send_commands(client, call.commands)
