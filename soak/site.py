"""Site under test: stand-ins for the platform, relays, and instances as processes."""

import contextlib
import json
import os
import random
import signal
import socket
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import IO, NamedTuple

from plantainyard.clock import read_clock
from plantainyard.entry.topics import LAYOUT, OPERATIONS, UNITS_KEY
from plantainyard.platform.evacuations import EVACUATION_PREFIX
from plantainyard.platform.settings import SETTINGS_VARIABLE
from plantainyard.transport import build_peer, build_pool, call_json
from standins.link import run_links
from standins.platform import RunnerState, StoreState, serve_platform
from standins.platform.samples import make_configuration

__all__ = ["ALL_PARTS", "LABEL", "Instance", "Site", "SiteSpec", "open_site"]

STOP_TIMEOUT_S = 15.0
"""Time for a process to end after SIGTERM; it is killed afterwards."""

PORTS = range(12_000, 32_000)
"""Ports of instances. They lie below the range that the system gives to outgoing
connections, since such a connection would occupy an instance's port while it lasts."""

PORTS_EACH = 4
"""Ports of an instance."""

LOG_LINES = 5
"""Last lines of a log that are told of an instance that doesn't become ready."""

PARTITIONS = 4
SETTINGS = """node = "edge-{number}"
zone = "addis-kality"
region = "addis"
ip = "127.0.0.1"
internalPorts = [{peer}, {metrics}]
[listen]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
[platform]
address = "{store}"
parts = {parts}
minTtlMs = 1000
[limits]
cpuShare = {cores}
[bounds]
evacuateMs = {evacuate_ms}
"""

DOMAINS = ("addis-kality", "addis-akaki")
"""Failure domains, among which runners are divided in turn."""

EVACUATION_DEADLINE_S = 5.0
"""Time after which nothing may start any more in an evacuated domain."""

LABEL = "b"
"""Label of some of the runners, so that units lack places that others have."""

OWNER_CORES, RESERVE_CORES = 1.0, 0.5
"""Processors in the settings of instances that own units, and of reserves."""


class Instance:
    """One entry instance, run by successive processes.

    Parameters
    ----------
    number : int
        Number of the instance, from which its name is derived.
    folder : Path
        Folder for its settings and its log.
    store : str
        Address at which the instance reaches the store.
    cores : float
        Number of processors in its settings.
    policy : Path
        Its scheduling policy.
    ports : list of int
        Its four ports: for callers, readiness, peers and metrics.
    """

    def __init__(
        self,
        number: int,
        folder: Path,
        store: str,
        cores: float,
        policy: Path,
        ports: list[int],
    ) -> None:
        self.policy = policy
        self.log_path = folder / f"edge-{number}.log"
        self.address = f"127.0.0.1:{ports[0]}"
        self.ready_address = f"127.0.0.1:{ports[1]}"
        self.settings = folder / f"edge-{number}.toml"
        self.settings.write_text(
            SETTINGS.format(
                number=number,
                front=ports[0],
                ready=ports[1],
                peer=ports[2],
                metrics=ports[3],
                store=store,
                parts=PARTITIONS,
                cores=cores,
                evacuate_ms=round(EVACUATION_DEADLINE_S * 1000),
            )
        )
        self.log: IO[bytes] = self.log_path.open("ab")
        self.process = self._start()

    def _start(self) -> "subprocess.Popen[bytes]":
        return subprocess.Popen(
            [
                sys.executable,
                "-m",
                "plantainyard.entry",
                f"--scheduling={self.policy}",
            ],
            env={**os.environ, SETTINGS_VARIABLE: str(self.settings)},
            stdin=subprocess.DEVNULL,
            stdout=self.log,
            stderr=self.log,
        )

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the current process unless it has ended."""
        if self.process.poll() is None:
            self.process.send_signal(number)

    def resume_or_restart(self) -> None:
        """Resume the process if it is paused; start a new one if it has ended."""
        self.send_signal(signal.SIGCONT)
        if self.process.poll() is not None:
            self.process = self._start()

    def describe(self) -> str:
        """Return its address, whether its process runs, and the end of its log."""
        state = "running" if self.process.poll() is None else "ended"
        lines = self.log_path.read_text(errors="replace").splitlines()
        return "\n".join([f"{self.ready_address} ({state})", *lines[-LOG_LINES:]])

    def stop(self) -> None:
        """Stop the process, and kill it if it doesn't end in time."""
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGTERM)
        try:
            self.process.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()
        self.log.close()


class Evacuation(NamedTuple):
    """An evacuation of a domain, from its request to its end; None while it lasts."""

    domain: str
    begun_at: float
    ended_at: float | None = None


class Site:
    """Running site with the handles that faults and checks need."""

    def __init__(
        self, store: StoreState, runners: list[RunnerState], links: str
    ) -> None:
        self.store = store
        self.runners = runners
        self.instances: list[Instance] = []
        self.evacuations: list[Evacuation] = []
        self._links = build_peer(links, build_pool(1, 2), 10.0)

    def open_relay(self, name: str, address: str) -> str:
        """Open a relay that link `name` can cut; return its address for `address`."""
        item = {"ends": [name, "all"], "target": f"http://{address}/"}
        result = call_json(self._links, "links", "POST", "/links", {"links": [item]})
        url: str = result.unwrap().body["addresses"][0]
        return url.removeprefix("http://").rstrip("/")

    def set_cut(self, name: str, cut: bool) -> None:
        """Cut the link `name`, so that it holds its traffic back, or heal it."""
        action = "cut" if cut else "heal"
        call_json(self._links, "links", "POST", "/faults", {action: [[name]]})

    def evacuate(self, number: int) -> None:
        """Request the evacuation of a domain, as operators do."""
        self.end_evacuation(number)
        domain = DOMAINS[number]
        self.store.put(OPERATIONS, EVACUATION_PREFIX + domain, b"{}")
        self.evacuations.append(Evacuation(domain, read_clock()))

    def end_evacuation(self, number: int) -> None:
        """Remove the request to evacuate a domain, if there is one."""
        domain = DOMAINS[number]
        for index, evacuation in enumerate(self.evacuations):
            if evacuation.domain == domain and evacuation.ended_at is None:
                ended = evacuation._replace(ended_at=read_clock())
                self.evacuations[index] = ended
                self.store.put(OPERATIONS, EVACUATION_PREFIX + domain, b"")

    def write_runner_entry(self, runner: RunnerState) -> None:
        """Write a runner's entry to the store, as each new incarnation does."""
        entry = json.dumps(runner.build_entry(read_clock())).encode()
        self.store.put("keyed.servers", runner.runner, entry)


def format_store_link(number: int) -> str:
    """Return the name of the link between an instance and the store."""
    return f"store-{number}"


ALL_PARTS = """
[units]
[run_times]
[room]
max_wait_s = 0.1
max_reserved_share = 0.5
[headroom]
max_share = 0.5
[health]
max_suspended_share = 0.5
[admission]
"""
"""Scheduling policy with all parts, which take effect on sites of four runners."""


class SiteSpec(NamedTuple):
    """Size of a site.

    Attributes
    ----------
    instances, runners : int
        Numbers of instances and runners.
    reserves : int
        Number of instances that own units only while no other instance can, because
        their settings name too few processors.
    units : int
        Number of units that the fleet is divided into; zero lets the instances
        choose.
    scheduling : str
        Text of the scheduling policy; empty to switch all its parts off.
    labelled : int
        Number of runners that have `LABEL`, which some of the work then requires.
    """

    instances: int = 3
    runners: int = 4
    reserves: int = 0
    units: int = 0
    scheduling: str = ""
    labelled: int = 0


@contextlib.contextmanager
def open_site(folder: Path, spec: SiteSpec) -> Iterator[Site]:
    """Start a site, and stop exactly the processes that it started on exit."""
    policy = folder / "scheduling.toml"
    policy.write_text(spec.scheduling)
    store = StoreState(parts=PARTITIONS)
    states = [
        RunnerState(f"r{number}", domain=DOMAINS[number % len(DOMAINS)])
        for number in range(spec.runners)
    ]
    for runner in states[: spec.labelled]:
        runner.labels = (LABEL, "r1-1")
    store.put(OPERATIONS, "config", make_configuration(1))
    if spec.units:
        store.put(LAYOUT, UNITS_KEY, json.dumps({"units": spec.units}).encode())
    with (
        run_links() as links,
        serve_platform(store, states) as servers,
        contextlib.ExitStack() as stack,
    ):
        site = Site(store, states, links["address"])
        for runner in states:
            runner.address = site.open_relay(runner.runner, runner.address)
            site.write_runner_entry(runner)
        ports = _find_ports(PORTS_EACH * spec.instances)
        for number in range(spec.instances):
            address = site.open_relay(format_store_link(number), servers.store)
            is_reserve = number < spec.reserves
            instance = Instance(
                number,
                folder,
                address,
                RESERVE_CORES if is_reserve else OWNER_CORES,
                policy,
                ports[PORTS_EACH * number :][:PORTS_EACH],
            )
            stack.callback(instance.stop)
            site.instances.append(instance)
        yield site


def _find_ports(count: int) -> list[int]:
    """Return different ports that no process is bound to at present.

    Notes
    -----
    Guards against two instances of a site with the same port, of which one never
    starts: a process binds its ports only a second after they were chosen.
    """
    source = random.SystemRandom()
    with contextlib.ExitStack() as stack:
        found: list[int] = []
        while len(found) < count:
            port = source.choice(PORTS)
            held = stack.enter_context(socket.socket())
            with contextlib.suppress(OSError):
                held.bind(("127.0.0.1", port))
                found.append(port)
        return found
