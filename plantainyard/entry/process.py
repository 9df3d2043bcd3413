"""The process of an instance: threads, servers, signals, start and shutdown."""

import contextlib
import os
import select
import signal
import socket
import sys
import threading
from collections.abc import Callable, Iterable, Iterator
from pathlib import Path
from wsgiref.types import StartResponse, WSGIApplication, WSGIEnvironment

from absl import flags
from result import Err

from plantainyard.clock import read_clock
from plantainyard.dispatch import NO_POLICY, PolicyChanged, SchedulingPolicy
from plantainyard.entry.caller_api import build_caller_app, may_refuse
from plantainyard.entry.evacuations import follow_evacuations
from plantainyard.entry.eventlog import EventLog, open_event_log
from plantainyard.entry.group import follow_group
from plantainyard.entry.inspection import build_inspection_app
from plantainyard.entry.instance import (
    CONFIRM_POLL_S,
    LAYOUT_POLL_S,
    Instance,
    run_reader,
)
from plantainyard.entry.layout import RUNNERS_PER_UNIT, determine_layout
from plantainyard.entry.loads import poll_loads
from plantainyard.entry.loops import start_loop, supervise_loop
from plantainyard.entry.meters import build_metrics_app
from plantainyard.entry.ownership_manager import OwnershipManager
from plantainyard.entry.peer_app import build_peer_app
from plantainyard.entry.peers import fetch_owner_status
from plantainyard.entry.policies import list_parts, load_policy
from plantainyard.entry.port_limits import (
    GET_BODY_BYTES,
    PortLimits,
    derive_port_limits,
)
from plantainyard.entry.reserves import is_strong
from plantainyard.entry.sources import follow_configuration
from plantainyard.platform.settings import (
    SETTINGS_VARIABLE,
    InstanceSettings,
    SettingsFault,
    load_instance_settings,
)
from plantainyard.serving import serve_app

__all__ = ["main", "reload_settings", "run_instance", "start_threads"]

EXIT_OK = 0
EXIT_USAGE = 2

CALLER_THREADS = 24
"""Maximum number of concurrent requests of callers; each waits for the store for about
10 ms."""

READY_MAX_CONFIGURATION_AGE_S = 3.0
"""Age in seconds of the last read of the configuration up to which an instance is
ready."""

SHUTDOWN_RESERVE_S = 1.2
"""Part of the grace period in seconds that is left for the last answers while the
servers stop."""

MAX_BODY_BYTES = 1_048_576
"""Maximum size in bytes of a body of a caller's request before the configuration is
known, and in all versions of it."""

MAX_FLUSH_S = 0.7
"""Maximum time in seconds for the last answers once the servers stop."""


FLAGS = flags.FlagValues()
flags.DEFINE_string(
    "scheduling",
    "",
    "Path of the scheduling policy (TOML); empty to switch all its parts off.",
    flag_values=FLAGS,
)


def main(argv: list[str]) -> int:
    """Run an instance with the settings file that the environment names."""
    try:
        FLAGS(argv)
    except flags.Error as error:
        print(error, file=sys.stderr)
        return EXIT_USAGE
    path = os.environ.get(SETTINGS_VARIABLE, "")
    loaded = load_instance_settings(Path(path))
    if isinstance(loaded, Err):
        return _report_fault(loaded.err_value)
    policy = load_policy(FLAGS.scheduling)
    if isinstance(policy, Err):
        return _report_fault(policy.err_value)
    with open_event_log(loaded.ok_value.instance) as log:
        run_instance(loaded.ok_value, log, policy.ok_value, FLAGS.scheduling)
    return EXIT_OK


def _report_fault(fault: SettingsFault) -> int:
    print(f"{fault.path}:{fault.line}: {fault.key}: {fault.detail}", file=sys.stderr)
    return EXIT_USAGE


def run_instance(
    settings: InstanceSettings,
    log: EventLog,
    policy: SchedulingPolicy = NO_POLICY,
    policy_path: str = "",
) -> None:
    """Serve until SIGTERM or SIGINT, then shut down gracefully."""
    instance = Instance(settings, log, policy)
    log.write("policy_in_force", parts=list_parts(policy))
    draining = threading.Event()
    with _catch_signals() as signals, _serve(instance, draining):
        start_threads(instance, draining)
        log.write("started", domain=settings.domain, address=settings.caller_address)
        _wait_for_stop(signals, instance, policy_path)
        log.write("stopping")
        draining.set()
        # Other instances take the units over while this one still answers callers.
        _wait(signals, settings.grace_s - SHUTDOWN_RESERVE_S)
        instance.stopping.set()
    log.write("stopped")


def _wait_for_stop(
    signals: socket.socket, instance: Instance, policy_path: str
) -> None:
    while True:
        select.select([signals], [], [])
        received = signals.recv(64)
        if signal.SIGTERM in received or signal.SIGINT in received:
            return
        if signal.SIGHUP in received:
            reload_settings(instance, policy_path)


def reload_settings(instance: Instance, policy_path: str) -> None:
    """Validate the changed settings file, and put the scheduling policy in force.

    Notes
    -----
    Other settings take effect with the next start. If either file is invalid, the
    earlier policy stays in force.
    """
    log = instance.log
    loaded = load_instance_settings(Path(os.environ.get(SETTINGS_VARIABLE, "")))
    policy = load_policy(policy_path)
    fault = loaded.err() or policy.err()
    if isinstance(policy, Err) or fault is not None:
        log.write("reload_failed", why=str(fault))
        return
    log.write("reloaded")
    if policy.ok_value != instance.policy:
        instance.policy = policy.ok_value
        log.write("policy_in_force", parts=list_parts(instance.policy))
        for unit in list(instance.owned):
            instance.send_event(unit, PolicyChanged(instance.policy))


def _wait(signals: socket.socket, seconds: float) -> None:
    until = read_clock() + seconds
    while (left := until - read_clock()) > 0:
        if select.select([signals], [], [], left)[0]:
            signals.recv(64)


@contextlib.contextmanager
def _catch_signals() -> Iterator[socket.socket]:
    """Yield a socket from which the numbers of received signals can be read.

    Notes
    -----
    A signal handler that takes a lock may run while the main thread holds that lock.
    The interpreter's wakeup socket needs no lock.
    """
    receiver, sender = socket.socketpair()
    with receiver, sender:
        sender.setblocking(False)
        signal.set_wakeup_fd(sender.fileno())
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            signal.signal(number, lambda *_: None)
        try:
            yield receiver
        finally:
            signal.set_wakeup_fd(-1)


def start_threads(instance: Instance, draining: threading.Event) -> None:
    """Start following the configuration and, until `draining`, claiming units."""
    for loop in (follow_configuration, follow_evacuations):
        start_loop(instance.log, instance.stopping, loop, instance)
    arguments = (instance, draining)
    threading.Thread(target=_run_units, args=arguments, daemon=True).start()


def _follow_layout(instance: Instance, manager: OwnershipManager) -> None:
    """Follow the layout, by which owners confirm their ownership."""

    def choose_wait() -> tuple[float, float]:
        return (CONFIRM_POLL_S if instance.claims else LAYOUT_POLL_S), 0.0

    run_reader(
        instance.layout_reader, choose_wait, instance.stopping, manager.apply_layout
    )


def _find_unit_size(policy: SchedulingPolicy) -> int:
    return policy.units.runners_per_unit if policy.units else RUNNERS_PER_UNIT


def _run_units(instance: Instance, draining: threading.Event) -> None:
    """Wait for the layout, then follow it and own units as the group assigns them."""
    supervise_loop(
        instance.log,
        draining,
        determine_layout,
        instance.store,
        instance.layout_reader,
        instance.layout,
        instance.settings.store_partitions,
        is_strong(instance.settings),
        instance.log,
        draining,
        _find_unit_size(instance.policy),
    )
    if draining.is_set():
        return
    instance.create_copies()
    manager = OwnershipManager(instance)
    start_loop(instance.log, instance.stopping, _follow_layout, instance, manager)
    start_loop(instance.log, instance.stopping, poll_loads, instance)
    supervise_loop(
        instance.log,
        draining,
        follow_group,
        instance,
        manager.apply_assignment,
        lambda unit: fetch_owner_status(instance, unit).status is not None,
        draining,
    )
    # The units are served until other instances have claimed them.
    instance.stopping.wait()
    manager.release_all()


@contextlib.contextmanager
def _serve(instance: Instance, draining: threading.Event) -> Iterator[None]:
    """Serve callers, the readiness check, peers and metrics during the context."""
    settings = instance.settings
    readiness = _build_readiness_app(instance, draining)
    meters = build_metrics_app(instance.meters, instance.refresh_meters)
    metrics = build_inspection_app(instance, meters)
    callers, peers, monitoring = derive_port_limits(
        settings,
        lambda reason: instance.meters.refused.labels(reason).inc(),
        lambda path, headers: may_refuse(instance, headers.get("HOST", ""), path),
    )

    def find_body_bytes() -> int:
        configuration = instance.configuration
        limit = MAX_BODY_BYTES if configuration is None else configuration.body_bytes
        return min(MAX_BODY_BYTES, limit)

    apps: list[tuple[str, WSGIApplication, int, PortLimits]] = [
        (settings.ready_address, readiness, 1, monitoring),
        (instance.peer_address(), build_peer_app(instance), 4, peers),
        (f"{settings.ip}:{settings.metrics_port}", metrics, 1, monitoring),
    ]
    with contextlib.ExitStack() as stack:
        caller_server = serve_app(
            build_caller_app(instance),
            settings.caller_address,
            CALLER_THREADS,
            callers.connections,
            find_body_bytes,
            MAX_FLUSH_S,
            callers.server,
        )
        stack.enter_context(caller_server)
        for address, app, threads, limits in apps:
            server = serve_app(
                app,
                address,
                threads,
                limits.connections,
                GET_BODY_BYTES,
                MAX_FLUSH_S,
                limits.server,
            )
            stack.enter_context(server)
        yield


def _build_readiness_app(
    instance: Instance, draining: threading.Event
) -> Callable[[WSGIEnvironment, StartResponse], Iterable[bytes]]:
    def serve(_: WSGIEnvironment, start: StartResponse) -> Iterable[bytes]:
        initialized = instance.configuration is not None and bool(instance.copies)
        fresh = instance.is_configuration_fresh(
            read_clock(), READY_MAX_CONFIGURATION_AGE_S
        )
        ready = initialized and fresh and not draining.is_set()
        status = "200 OK" if ready else "503 Service Unavailable"
        start(status, [("Content-Length", "0")])
        return []

    return serve
