"""The site under test: stand-ins, relays, and the instances as processes."""

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
from plantainyard.entry.topics import LAYOUT, UNITS_KEY
from plantainyard.platform.settings import SETTINGS_VARIABLE
from plantainyard.transport import build_peer, build_pool, call_json
from standins.link import run_links
from standins.platform import RunnerState, StoreState, serve_platform
from standins.platform.samples import make_configuration

__all__ = ["Member", "SiteSpec", "Site", "open_site"]

STOP_S = 15.0
"""Longest time for a process to end after it was asked to."""

PORTS = range(12_000, 32_000)
"""Ports of instances: below those that the system gives to outgoing connections, which
would keep the port of an instance for as long as they last."""

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
"""

STRONG_CORES, WEAK_CORES = 1.0, 0.5
"""Processors that instances are told to have: of owners, and of reserves."""


class Member:
    """One entry instance over all its processes.

    Parameters
    ----------
    number : int
        Names it.
    folder : Path
        For its settings and its log.
    store : str
        Address at which it reaches the store.
    cores : float
        Processors that its settings name.
    """

    def __init__(self, number: int, folder: Path, store: str, cores: float) -> None:
        ports = _find_ports(4)
        self.address = f"127.0.0.1:{ports[0]}"
        self.ready = f"127.0.0.1:{ports[1]}"
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
            )
        )
        self.log: IO[bytes] = (folder / f"edge-{number}.log").open("ab")
        self.process = self._start()

    def _start(self) -> "subprocess.Popen[bytes]":
        return subprocess.Popen(
            [sys.executable, "-m", "plantainyard.entry"],
            env={**os.environ, SETTINGS_VARIABLE: str(self.settings)},
            stdin=subprocess.DEVNULL,
            stdout=self.log,
            stderr=self.log,
        )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process that this member started, if it lives."""
        if self.process.poll() is None:
            self.process.send_signal(number)

    def revive(self) -> None:
        """Wake the process, and start a new one if it has ended."""
        self.send(signal.SIGCONT)
        if self.process.poll() is not None:
            self.process = self._start()

    def end(self) -> None:
        """End the process."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGTERM)
        try:
            self.process.wait(STOP_S)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()
        self.log.close()


class Site:
    """Everything that runs, with what faults and checks need of it."""

    def __init__(self, store: StoreState, runners: list[RunnerState], links: str):
        self.store = store
        self.runners = runners
        self.members: list[Member] = []
        self._links = build_peer(links, build_pool(1, 2), 10.0)

    def relay(self, name: str, address: str) -> str:
        """Return an address that leads to `address` until `name` is cut."""
        item = {"ends": [name, "all"], "target": f"http://{address}/"}
        answer = call_json(self._links, "links", "POST", "/links", {"links": [item]})
        found: str = answer.unwrap().body["addresses"][0]
        return found.removeprefix("http://").rstrip("/")

    def cut(self, name: str, cut: bool) -> None:
        """Hold back what goes through a relay, or let it go on."""
        word = "cut" if cut else "heal"
        call_json(self._links, "links", "POST", "/faults", {word: [[name]]})

    def announce(self, runner: RunnerState) -> None:
        """Write a runner's entry, as it does with each new life."""
        entry = json.dumps(runner.build_entry(read_clock())).encode()
        self.store.put("keyed.servers", runner.runner, entry)


def name_store_link(number: int) -> str:
    """Return the name of the relay between an instance and the store."""
    return f"store-{number}"


class SiteSpec(NamedTuple):
    """What a site is made of.

    Attributes
    ----------
    instances, runners : int
        How many there are.
    reserves : int
        How many of the instances are too weak to own units while others do.
    units : int
        Parts that the fleet is divided into; zero lets the instances choose.
    """

    instances: int = 3
    runners: int = 4
    reserves: int = 0
    units: int = 0


@contextlib.contextmanager
def open_site(folder: Path, shape: SiteSpec) -> Iterator[Site]:
    """Start everything; end it, and nothing else, on exit."""
    store = StoreState(parts=PARTITIONS)
    states = [RunnerState(f"r{number}") for number in range(shape.runners)]
    store.put("keyed.op", "config", make_configuration(1))
    if shape.units:
        store.put(LAYOUT, UNITS_KEY, json.dumps({"units": shape.units}).encode())
    with (
        run_links() as links,
        serve_platform(store, states) as servers,
        contextlib.ExitStack() as stack,
    ):
        site = Site(store, states, links["address"])
        for runner in states:
            runner.address = site.relay(runner.runner, runner.address)
            site.announce(runner)
        for number in range(shape.instances):
            address = site.relay(name_store_link(number), servers.store)
            weak = number < shape.reserves
            member = Member(
                number, folder, address, WEAK_CORES if weak else STRONG_CORES
            )
            stack.callback(member.end)
            site.members.append(member)
        yield site


def _find_ports(count: int) -> list[int]:
    """Return ports that nobody listens at now."""
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
