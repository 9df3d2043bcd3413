"""What an instance costs that owns nothing: ``python -m bench idle``.

The program runs as it does on a site, several times, beside a stand-in store and a
stand-in owner of all units. Nothing is handed in; a balancer asks each instance whether
it is ready. The tool tells processor time, wake-ups and calls of one instance.
"""

import contextlib
import http.client
import json
import multiprocessing
import os
import re
import subprocess
import sys
import tempfile
import threading
import time
from collections import Counter
from collections.abc import Iterable, Iterator
from multiprocessing.connection import Connection
from pathlib import Path
from typing import NamedTuple
from wsgiref.types import StartResponse, WSGIEnvironment

import yappi
from absl import flags
from tabulate import tabulate

from plantainyard.clock import read_clock
from plantainyard.entry.process import main as run_entry
from plantainyard.entry.topics import GROUP, LAYOUT, OWNER_PREFIX, PROGRESS, UNITS_KEY
from plantainyard.platform.settings import SETTINGS_VARIABLE
from plantainyard.serving import serve_app
from standins.platform import StoreState, serve_platform
from standins.platform.samples import make_configuration
from standins.platform.store import Group

__all__ = ["run_idle"]

PARTITIONS = 12
READY_PORT, CALLER_PORT, PEER_PORT, METRICS_PORT = 18167, 18161, 17720, 17735
READY_EVERY_S = 1.0
PATIENCE_S = 30.0
WARM_UP_S = 4.0
SHOWN_FUNCTIONS = 40

WEAK, STRONG = (0.516, 20.0), (2.151, 200.0)
"""Cores and megabits a second of the two kinds of machine of the largest site."""

RUN_PROFILED = "--profiled"
NO_BYTECODE = "PYTHONDONTWRITEBYTECODE"

SETTINGS = """
node = "{name}"
zone = "zone-1"
region = "region-1"
ip = "{ip}"
internalPorts = [{peer}, {metrics}]
[listen]
front = "{ip}:{caller}"
ready = "{ip}:{ready}"
[platform]
address = "{store}"
parts = {parts}
[limits]
cpuShare = {cores}
linkMbps = {link}
"""


class Figures(NamedTuple):
    """What one instance has used since it started.

    Attributes
    ----------
    processor_s : float
        Processor time.
    wake_ups : int
        Times that one of its threads waited and went on.
    calls : Counter
        Calls to the store and to others, by step.
    read_at : float
        When this was read.
    """

    processor_s: float
    wake_ups: int
    calls: Counter[str]
    read_at: float


class Running(NamedTuple):
    """A process of the program and its address."""

    process: subprocess.Popen[bytes]
    ip: str


def _answer_for_owners(_: WSGIEnvironment, start: StartResponse) -> Iterable[bytes]:
    """Answer as an owner does that is asked whether it is there."""
    body = json.dumps({"owner": [1, 0.2, False, False]}).encode()
    start("200 OK", [("Content-Length", str(len(body)))])
    return [body]


def _serve_site(units: int, pipe: Connection) -> None:
    """Serve the stand-ins until the other end of the pipe says so."""
    # Members that come are dealt nothing: all partitions have members already.
    store = StoreState(parts=0)
    store.put("keyed.op", "config", make_configuration(1))
    store.put(LAYOUT, UNITS_KEY, json.dumps({"units": units}).encode())
    holders = {part: f"edge-{part}/0a1b2c3d" for part in range(PARTITIONS)}
    store.groups[GROUP] = Group(PROGRESS, owners=holders)
    peers = serve_app(_answer_for_owners, "127.0.0.1:0", 8, 500, 10_000)
    with peers as address, serve_platform(store, []) as servers:
        for unit in range(units):
            value = json.dumps({"epoch": 1, "address": address}).encode()
            store.put(LAYOUT, f"{OWNER_PREFIX}{unit}", value)
        pipe.send(servers.store)
        pipe.recv()


@contextlib.contextmanager
def _open_site(units: int) -> Iterator[str]:
    """Run the stand-ins in a process of their own; yield the store's address."""
    spawning = multiprocessing.get_context("spawn")
    here, there = spawning.Pipe()
    process = spawning.Process(target=_serve_site, args=(units, there), daemon=True)
    process.start()
    try:
        yield here.recv()
    finally:
        here.send(None)
        process.join()


@contextlib.contextmanager
def _open_instance(
    folder: Path, store: str, number: int, strong: bool, profiled: bool
) -> Iterator[Running]:
    ip = f"127.0.0.{number + 2}"
    cores, link = STRONG if strong else WEAK
    path = folder / f"settings-{number}.toml"
    text = SETTINGS.format(
        name=f"edge-{number}",
        ip=ip,
        store=store,
        cores=cores,
        link=link,
        peer=PEER_PORT,
        metrics=METRICS_PORT,
        caller=CALLER_PORT,
        ready=READY_PORT,
        parts=PARTITIONS,
    )
    path.write_text(text)
    module = ["bench.idle", RUN_PROFILED] if profiled else ["plantainyard.entry"]
    command = [sys.executable, "-m", *module]
    # Bytecode is kept as on a site, where only the first start compiles.
    kept = {SETTINGS_VARIABLE: str(path), "PYTHONPYCACHEPREFIX": str(folder)}
    environment = {k: v for k, v in os.environ.items() if k != NO_BYTECODE} | kept
    output = None if profiled else subprocess.DEVNULL
    process = subprocess.Popen(command, env=environment, stdout=output)
    try:
        yield Running(process, ip)
    finally:
        process.terminate()
        process.wait(PATIENCE_S)


def _fetch(ip: str, port: int, path: str) -> tuple[int, str]:
    connection = http.client.HTTPConnection(ip, port, timeout=PATIENCE_S)
    with contextlib.closing(connection):
        connection.request("GET", path)
        answer = connection.getresponse()
        return answer.status, answer.read().decode()


def _is_ready(ip: str) -> bool:
    try:
        return _fetch(ip, READY_PORT, "/")[0] == 200
    except OSError:
        return False


def _ask_ready(instances: list[Running], ending: threading.Event) -> None:
    """Ask each instance again and again whether it is ready, as a balancer does."""
    while not ending.wait(READY_EVERY_S):
        for instance in instances:
            _is_ready(instance.ip)


def _read_processor_s(pid: int) -> float:
    # The kernel's number for the processor clock of another process.
    return time.clock_gettime((~pid << 3) | 2)


def _read_figures(instance: Running) -> Figures:
    pid = instance.process.pid
    wake_ups = 0
    for status in Path(f"/proc/{pid}/task").glob("*/status"):
        found = re.search(r"^voluntary_ctxt_switches:\s*(\d+)", status.read_text(), 8)
        wake_ups += int(found.group(1)) if found else 0
    processor_s = _read_processor_s(pid)
    _, text = _fetch(instance.ip, METRICS_PORT, "/metrics")
    calls: Counter[str] = Counter()
    pattern = r'call_seconds_count{result="\w+",step="([\w.-]+)"} ([\d.]+)'
    for step, number in re.findall(pattern, text):
        calls[step] += round(float(number))
    return Figures(processor_s, wake_ups, calls, read_clock())


def _wait_until_ready(instance: Running) -> float:
    """Return the processor time that an instance took until it was ready."""
    until = read_clock() + PATIENCE_S
    while not _is_ready(instance.ip):
        if read_clock() > until or instance.process.poll() is not None:
            raise RuntimeError(f"{instance.ip} doesn't become ready")
        time.sleep(0.1)
    return _read_processor_s(instance.process.pid)


def _describe(
    starts: list[float], before: list[Figures], after: list[Figures]
) -> list[tuple[str, str]]:
    """Return the rows of the table: what one instance takes, on the mean of all."""
    spans = list(zip(before, after, strict=True))
    elapsed_s = sum(new.read_at - old.read_at for old, new in spans)
    processor_s = sum(new.processor_s - old.processor_s for old, new in spans)
    wake_ups = sum(new.wake_ups - old.wake_ups for old, new in spans)
    calls: Counter[str] = Counter()
    for old, new in spans:
        calls += new.calls - old.calls
    return [
        ("ms of processor time until ready", f"{1000 * sum(starts) / len(starts):.0f}"),
        ("ms of processor time a second", f"{1000 * processor_s / elapsed_s:.2f}"),
        ("wake-ups a second", f"{wake_ups / elapsed_s:.1f}"),
        *(
            (f"{step} a second", f"{number / elapsed_s:.2f}")
            for step, number in sorted(calls.items())
        ),
    ]


def _run_profiled() -> None:
    """Run the program, and tell what its functions took when it is stopped."""
    yappi.set_clock_type("cpu")
    threading.Timer(WARM_UP_S, yappi.start).start()
    run_entry()
    yappi.stop()
    stats = yappi.get_func_stats().sort("tsub")
    rows = [
        (s.full_name[-70:], s.ncall, 1000 * s.tsub, 1000 * s.ttot)
        for s in stats[:SHOWN_FUNCTIONS]
    ]
    sys.stdout.flush()
    print(tabulate(rows, headers=("function", "calls", "own ms", "all ms")))


def run_idle(argv: list[str]) -> int:
    """Run ``bench idle`` and return its exit status."""
    values = flags.FlagValues()
    flags.DEFINE_integer("instances", 4, "How many run.", flag_values=values)
    flags.DEFINE_integer("units", 10, "Units of the site.", flag_values=values)
    flags.DEFINE_float("seconds", 15.0, "Time to measure.", flag_values=values)
    flags.DEFINE_bool("strong", False, "Let them be in the group.", flag_values=values)
    flags.DEFINE_bool("profile", False, "Tell the functions.", flag_values=values)
    values(argv)
    ending = threading.Event()
    with contextlib.ExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        store = stack.enter_context(_open_site(values.units))
        arguments = (folder, store, values.instances, values.strong, False)
        with _open_instance(*arguments) as compiling:
            _wait_until_ready(compiling)
        openings = (
            _open_instance(folder, store, number, values.strong, values.profile)
            for number in range(values.instances)
        )
        instances = [stack.enter_context(opening) for opening in openings]
        starts = [_wait_until_ready(instance) for instance in instances]
        asking = threading.Thread(target=_ask_ready, args=(instances, ending))
        asking.start()
        stack.callback(asking.join)
        stack.callback(ending.set)
        time.sleep(WARM_UP_S)
        before = [_read_figures(instance) for instance in instances]
        time.sleep(values.seconds)
        after = [_read_figures(instance) for instance in instances]
        print(tabulate(_describe(starts, before, after)))
    return 0


if __name__ == "__main__":
    if RUN_PROFILED in sys.argv:
        _run_profiled()
    else:
        sys.exit(run_idle(sys.argv))
