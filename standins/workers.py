"""Stand-in for the workers of one failure domain, all in one process.

Run it with ``python -m standins.workers --workers='[{"id": ..., "capacity": ...}]'``
or ``--count``. Each worker is served at ``/workers/<id>``. ``POST /faults`` accepts any
of the fields of `MachineFaults`; ``restart`` and ``leaving`` for ``workers`` (all by
default); ``runners_leaving``; ``runners`` with the fields of `RunnerFaults`; and
``truths``, the actual demands of tasks by workload
({workload: {"true_run_s", "true_cores", "fail", "noise"}}).
``GET /counts`` returns the recorded evidence.
"""

import contextlib
import json
import random
import threading
from collections.abc import Iterator, Sequence
from dataclasses import asdict, dataclass, field
from typing import Any

from absl import app, flags

from plantainyard.clock import read_clock
from standins.machine import (
    Attempt,
    Machine,
    advance_machine,
    apply_commands,
    describe_machine,
    measure_slowdown,
    restart_machine,
)
from standins.runners import (
    RunnerState,
    describe_runner,
    measure_latency,
    open_runner,
)
from standins.service import Reply, Request, build_reply, run_service, serve

__all__ = ["run_workers"]

DEFAULT_CAPACITY = {"cores": 64, "memory_gb": 250, "accelerators": 0}
DEFAULT_SLOTS = 8
DEFAULT_CONNECTIONS = 60
MAX_CLOCK_BASE_S = 1000.0
THREADS = 48
TICK_S = 0.05


@dataclass
class OpenRunner:
    """A runner's state and the exit stack that closes its port."""

    state: RunnerState
    stack: contextlib.ExitStack


@dataclass
class Site:
    """The workers of one failure domain and their runners."""

    machines: dict[str, Machine]
    rng: random.Random
    open_runners: dict[int, OpenRunner] = field(default_factory=dict)
    all_runners: list[RunnerState] = field(default_factory=list)
    lock: threading.RLock = field(default_factory=threading.RLock)


@contextlib.contextmanager
def run_workers(
    workers: Sequence[dict[str, Any]], port: int = 0, seed: int = 0
) -> Iterator[dict[str, Any]]:
    """Serve `workers` on loopback and yield their addresses.

    Parameters
    ----------
    workers : sequence of dict
        Workers, each with ``id`` and ``capacity``.
    port : int
        TCP port; zero lets the system choose.
    seed : int
        Seeds the workers' clocks and the runners' faults.
    """
    rng = random.Random(seed)
    now = read_clock()
    machines = {
        worker["id"]: Machine(
            worker["id"],
            {**DEFAULT_CAPACITY, **worker.get("capacity", {})},
            clock_base=now - rng.uniform(0, MAX_CLOCK_BASE_S),
        )
        for worker in workers
    }
    site = Site(machines, rng)
    stopping = threading.Event()
    ticker = threading.Thread(target=_tick, args=(site, stopping), daemon=True)
    with serve(lambda r: _handle(site, r), port, threads=THREADS) as service:
        ticker.start()
        try:
            yield {
                "address": service.address,
                "workers": {
                    name: f"{service.address}/workers/{name}" for name in machines
                },
            }
        finally:
            stopping.set()
            ticker.join()
            _close_runners(list(site.open_runners.values()))


def _tick(site: Site, stopping: threading.Event) -> None:
    while not stopping.wait(TICK_S):
        with site.lock:
            now = read_clock()
            for machine in site.machines.values():
                advance_machine(machine, now)
            ended = _update_runners(site)
        _close_runners(ended)


def _update_runners(site: Site) -> list[OpenRunner]:
    """Open new runners' ports; mark ended runners as stopped and return them."""
    ended = []
    for machine in site.machines.values():
        for attempt in machine.running.values():
            if attempt.latency_critical and not attempt.address:
                _open_runner(site, machine, attempt)
            if runner := site.open_runners.get(id(attempt)):
                attempt.latency_ms = measure_latency(runner.state)
        for attempt in machine.ended:
            if runner := site.open_runners.pop(id(attempt), None):
                runner.state.stopped.set()
                ended.append(runner)
        machine.ended.clear()
    return ended


def _open_runner(site: Site, machine: Machine, attempt: Attempt) -> None:
    state = RunnerState(
        f"{attempt.task}#{attempt.attempt}",
        attempt.slots or DEFAULT_SLOTS,
        attempt.connections or DEFAULT_CONNECTIONS,
    )
    stack = contextlib.ExitStack()
    rng = random.Random(site.rng.random())
    service = stack.enter_context(
        open_runner(state, lambda: measure_slowdown(machine), rng)
    )
    attempt.address = service.address
    site.open_runners[id(attempt)] = OpenRunner(state, stack)
    site.all_runners.append(state)


def _close_runners(runners: Sequence[OpenRunner]) -> None:
    for runner in runners:
        runner.stack.close()


def _handle(site: Site, request: Request) -> Reply:
    if request.path == "/counts":
        with site.lock:
            return build_reply(_describe_evidence(site))
    if request.path == "/faults":
        with site.lock:
            return _set_faults(site, json.loads(request.body))
    _, _, rest = request.path.partition("/workers/")
    name, _, verb = rest.partition("/")
    machine = site.machines.get(name)
    if machine is None or verb not in ("state", "commands"):
        return build_reply({}, 404)
    if machine.faults.unreachable:
        return Reply(200, b"", cut=True)
    with site.lock:
        if verb == "state":
            return _report_state(machine)
        return _carry_out_commands(site, machine, json.loads(request.body))


def _report_state(machine: Machine) -> Reply:
    now = read_clock()
    advance_machine(machine, now)
    return build_reply(describe_machine(machine, (), now))


def _carry_out_commands(
    site: Site, machine: Machine, commands: dict[str, Any]
) -> Reply:
    now = read_clock()
    status, refused = apply_commands(machine, commands, now)
    _mark_stopped(site, machine)
    for attempt in machine.running.values():
        if attempt.latency_critical and not attempt.address:
            _open_runner(site, machine, attempt)
    losses = machine.faults.lose_next_answers
    if losses:
        machine.faults = machine.faults._replace(lose_next_answers=losses - 1)
        return Reply(200, b"", cut=True)
    return build_reply(describe_machine(machine, refused, now), status)


def _mark_stopped(site: Site, machine: Machine) -> None:
    for attempt in machine.ended:
        if runner := site.open_runners.get(id(attempt)):
            runner.state.stopped.set()


def _set_faults(site: Site, body: dict[str, Any]) -> Reply:
    now = read_clock()
    names = body.pop("workers", None) or list(site.machines)
    restart = body.pop("restart", False)
    leaving = body.pop("leaving", None)
    actual_by_workload = body.pop("truths", {})
    runner_faults = body.pop("runners", {})
    runners_leaving = body.pop("runners_leaving", False)
    for name in names:
        machine = site.machines[name]
        machine.faults = machine.faults._replace(**body)
        machine.actual_by_workload.update(actual_by_workload)
        if leaving is not None:
            machine.leaving = leaving
        if restart:
            restart_machine(machine, now)
            _mark_stopped(site, machine)
        for attempt in machine.running.values():
            if runner := site.open_runners.get(id(attempt)):
                faults = runner.state.faults._replace(**runner_faults)
                runner.state.faults = faults
                if runners_leaving and not attempt.leaving:
                    attempt.leaving = True
                    runner.state.leaving_since = now
    return build_reply({"workers": names})


def _describe_evidence(site: Site) -> dict[str, Any]:
    return {
        "runs": [asdict(run) for m in site.machines.values() for run in m.runs],
        "runners": [describe_runner(state) for state in site.all_runners],
        "overcommitted": {
            m.id: m.overcommitted for m in site.machines.values() if m.overcommitted
        },
        "fenced_calls": sum(m.fenced_calls for m in site.machines.values()),
        "late_calls": sum(m.late_calls for m in site.machines.values()),
    }


def main(_: list[str]) -> None:
    """Serve the workers until the process gets a signal to stop."""
    workers = json.loads(flags.FLAGS.workers) or [
        {"id": f"w{i}"} for i in range(flags.FLAGS.count)
    ]
    run_service(run_workers(workers, flags.FLAGS.port, flags.FLAGS.seed))


if __name__ == "__main__":
    flags.DEFINE_integer("port", 0, "TCP port on loopback; 0 lets the system choose.")
    flags.DEFINE_string("workers", "[]", "JSON list of {id, capacity}.")
    flags.DEFINE_integer("count", 3, "Number of workers where no list is given.")
    flags.DEFINE_integer("seed", 0, "Seed of the workers' clocks and of the faults.")
    app.run(main)
