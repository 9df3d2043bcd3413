"""Stand-in for the links between failure domains: TCP relays that can be cut.

Run it with ``python -m standins.link``. ``POST /links`` with a list of
``{"ends": [a, b], "target": "http://ip:port/...", "delay_ms"}`` opens a relay to each
target and returns the addresses to use in place of the targets. ``POST /faults``
accepts ``cut`` and ``heal``, lists of pairs ``[a, b]`` or ``[a]`` (all links of ``a``).
``GET /counts`` returns the number of bytes by pair and direction.

A cut link behaves like a network that delays packets: it accepts connections and
buffers their data, forwards nothing, and delivers the buffered data once it is healed.
"""

import asyncio
import contextlib
import json
import threading
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any, NamedTuple
from urllib.parse import urlsplit

from absl import app, flags

from plantainyard.clock import read_clock
from standins.service import Reply, Request, build_reply, run_service, serve

__all__ = ["Relay", "run_links"]

CHUNK_BYTES = 64 * 1024
CALL_TIMEOUT_S = 10.0
# Maximum of chunks in flight by connection and direction; more than any delay needs.
MAX_CHUNKS_IN_FLIGHT = 256


class Relay(NamedTuple):
    """Target and delay of one relay; `key` names its ends in sorted order."""

    key: str
    host: str
    port: int
    delay_s: float


@dataclass
class Links:
    """All relays of the process; accessed only by the thread of its event loop."""

    cut: set[str] = field(default_factory=set)
    bytes_sent: Counter[str] = field(default_factory=Counter)
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    servers: list[asyncio.Server] = field(default_factory=list)
    keys: set[str] = field(default_factory=set)
    tasks: set[asyncio.Task[None]] = field(default_factory=set)


@contextlib.contextmanager
def run_links(port: int = 0) -> Iterator[dict[str, Any]]:
    """Serve relays on loopback and yield their control address."""
    loop = asyncio.new_event_loop()
    thread = threading.Thread(target=loop.run_forever, daemon=True)
    thread.start()
    links = Links()

    def handle(request: Request) -> Reply:
        if request.path == "/counts":
            return build_reply({"bytes": dict(links.bytes_sent)})
        body = json.loads(request.body)
        if request.path == "/links":
            operation = _open_relays(links, body["links"])
        elif request.path == "/faults":
            operation = _set_cuts(links, body)
        else:
            return build_reply({}, 404)
        response = asyncio.run_coroutine_threadsafe(operation, loop).result(
            CALL_TIMEOUT_S
        )
        return build_reply(response)

    try:
        with serve(handle, port) as service:
            yield {"address": service.address}
    finally:
        asyncio.run_coroutine_threadsafe(_close(links), loop).result(CALL_TIMEOUT_S)
        loop.call_soon_threadsafe(loop.stop)
        thread.join()
        loop.close()


def format_pair(ends: list[str]) -> str:
    """Return the name of the link between the two `ends`."""
    return "|".join(sorted(ends))


async def _open_relays(links: Links, items: list[dict[str, Any]]) -> dict[str, Any]:
    addresses = []
    for item in items:
        target = urlsplit(item["target"])
        relay = Relay(
            format_pair(item["ends"]),
            target.hostname or "127.0.0.1",
            target.port or 80,
            float(item.get("delay_ms", 0)) / 1000,
        )
        links.keys.add(relay.key)
        address = await _listen(links, relay)
        addresses.append(f"http://{address}{target.path}")
    return {"addresses": addresses}


async def _listen(links: Links, relay: Relay) -> str:
    async def accept(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        if task is not None:
            links.tasks.add(task)
            task.add_done_callback(links.tasks.discard)
        with contextlib.suppress(OSError, asyncio.CancelledError):
            await _relay(links, relay, reader, writer)
        writer.close()

    server = await asyncio.start_server(accept, "127.0.0.1", 0)
    links.servers.append(server)
    host, port = server.sockets[0].getsockname()[:2]
    return f"{host}:{port}"


async def _relay(
    links: Links,
    relay: Relay,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    await _wait_healed(links, relay)
    target_reader, target_writer = await asyncio.open_connection(relay.host, relay.port)
    try:
        await asyncio.gather(
            _forward(links, relay, "out", reader, target_writer),
            _forward(links, relay, "back", target_reader, writer),
        )
    finally:
        target_writer.close()


async def _forward(
    links: Links,
    relay: Relay,
    direction: str,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    in_flight: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(MAX_CHUNKS_IN_FLIGHT)

    async def receive() -> None:
        while True:
            data = await reader.read(CHUNK_BYTES)
            await in_flight.put((read_clock() + relay.delay_s, data))
            if not data:
                return

    async def deliver() -> None:
        while True:
            due_at, data = await in_flight.get()
            await asyncio.sleep(max(0.0, due_at - read_clock()))
            await _wait_healed(links, relay)
            if not data:
                writer.close()
                return
            links.bytes_sent[f"{relay.key} {direction}"] += len(data)
            writer.write(data)
            await writer.drain()

    await asyncio.gather(receive(), deliver())


async def _wait_healed(links: Links, relay: Relay) -> None:
    while relay.key in links.cut:
        await links.changed.wait()


async def _set_cuts(links: Links, body: dict[str, Any]) -> dict[str, Any]:
    links.cut |= _match_keys(links, body.get("cut", []))
    links.cut -= _match_keys(links, body.get("heal", []))
    links.changed.set()
    links.changed = asyncio.Event()
    return {"cut": sorted(links.cut)}


def _match_keys(links: Links, pairs: list[list[str]]) -> set[str]:
    requested = [set(pair) for pair in pairs]
    return {
        key for key in links.keys for ends in requested if ends <= set(key.split("|"))
    }


async def _close(links: Links) -> None:
    for server in links.servers:
        server.close()
    tasks = asyncio.all_tasks() - {asyncio.current_task()}
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


def main(_: list[str]) -> None:
    """Serve the relays until the process gets a signal to stop."""
    run_service(run_links(flags.FLAGS.port))


if __name__ == "__main__":
    flags.DEFINE_integer("port", 0, "TCP port on loopback; 0 lets the system choose.")
    app.run(main)
