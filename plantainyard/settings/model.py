"""Model of the settings of one instance, such as its addresses, limits and intervals.

Options of the whole system are not settings but configuration, which is stored in the
log. Code that needs any of the settings receives the whole `Settings`.
"""

from typing import NamedTuple

from plantainyard.settings.secret import Secret

__all__ = [
    "CutOff",
    "Instance",
    "Intervals",
    "Limits",
    "Logs",
    "Metrics",
    "Platform",
    "Requests",
    "Security",
    "Settings",
]


class Instance(NamedTuple):
    """Identity, location and addresses of the instance.

    Attributes
    ----------
    id : str
        Identifier, unique in the deployment.
    region : str
        Region in which the instance runs.
    domain : str
        Failure domain in which the instance runs; it places tasks only there.
    address : str
        ``ip:port`` for callers; with port 0 the operating system chooses a port.
    control_address : str
        ``ip:port`` for other instances, operators and the load balancer's health
        checks.
    """

    id: str
    region: str
    domain: str
    address: str
    control_address: str


class Platform(NamedTuple):
    """Addresses of the platform's services, and assumptions about its log and workers.

    Attributes
    ----------
    log : str
        Base URL of the log.
    instances : str
        Base URL of the instance list.
    worker_lease_s : float
        Longest lease that this instance requests from a worker, in seconds.
    clock_drift : float
        Greatest relative drift between two clocks; 0.01 is 1 %.
    trust_gone : bool
        Whether a worker listed as ``gone`` is certain to have stopped its tasks.
    log_retention_s : float
        Shortest time in seconds for which the log retains a record; snapshots are
        written well within it.
    timeout_s : float
        Longest wait in seconds for a response of the platform, in addition to any wait
        that the request itself specifies.
    """

    log: str
    instances: str
    worker_lease_s: float = 10.0
    clock_drift: float = 0.01
    trust_gone: bool = False
    log_retention_s: float = 3_600.0
    timeout_s: float = 2.0


class Limits(NamedTuple):
    """Bounds on the resources that callers and peers can occupy in the process.

    Attributes
    ----------
    body_bytes : int
        Greatest size of the body of a request or a response, in bytes.
    connections : int
        Greatest number of open connections on each of the two ports; less memory allows
        fewer.
    caller_threads : int
        Greatest number of callers' requests in progress.
    control_threads : int
        Greatest number of requests in progress from instances, operators and health
        checks.
    queue_requests : int
        Greatest number of requests that wait for a slot.
    memory_mb : int
        Memory in megabytes that the connections of both ports and the bodies in
        progress may occupy together.
    """

    body_bytes: int = 1_000_000
    connections: int = 1_000
    caller_threads: int = 64
    control_threads: int = 16
    queue_requests: int = 256
    memory_mb: int = 512


class Requests(NamedTuple):
    """Handling of callers' requests.

    Attributes
    ----------
    default_deadline_ms : int
        Deadline in milliseconds of a request that specifies none.
    request_max_s : float
        Longest time in seconds that a runner may take; later responses are discarded.
    credit_s : float
        Duration in seconds of the lease of a credit for slots.
    id_memory_s : float
        Time in seconds for which the outcome of a request id is retained.
    id_memory_count : int
        Greatest number of request ids that are retained.
    retry_share : float
        Number of retries allowed per first attempt, over a short window.
    attempts : int
        Greatest number of attempts at one request, including the first.
    """

    default_deadline_ms: int = 5_000
    request_max_s: float = 30.0
    credit_s: float = 5.0
    id_memory_s: float = 3_600.0
    id_memory_count: int = 200_000
    retry_share: float = 0.1
    attempts: int = 3


class Intervals(NamedTuple):
    """Intervals and time-outs, in seconds.

    Attributes
    ----------
    tick_s : float
        Time between two rounds of scheduling decisions.
    heartbeat_s : float
        Approximate time between two heartbeats to a peer.
    silence_s : float
        Time without a heartbeat of a peer after which the peer is considered failed.
    log_wait_s : float
        Longest time that a read of the log waits for a new record.
    instances_s : float
        Approximate time between two reads of the instance list.
    worker_s : float
        Time between two reads of the state of an owned worker.
    stop_s : float
        Longest duration of a graceful shutdown.
    """

    tick_s: float = 0.5
    heartbeat_s: float = 1.0
    silence_s: float = 4.0
    log_wait_s: float = 2.0
    instances_s: float = 2.0
    worker_s: float = 1.0
    stop_s: float = 60.0


class Security(NamedTuple):
    """The token with which processes and operators authenticate.

    Attributes
    ----------
    token : Secret
        The shared token, from the settings or from `token_file`.
    token_file : str
        File from which the token was read; empty if the settings contain the token.
    """

    token: Secret
    token_file: str = ""


class Logs(NamedTuple):
    """Log level and recording of placement decisions.

    Attributes
    ----------
    level : str
        Log level: ``debug``, ``info``, ``warning`` or ``error``.
    decisions_mb : float
        Megabytes of placement events that are kept for each owned rack, from the
        beginning of its ownership, and included in the dump; 0 keeps none.
    """

    level: str = "info"
    decisions_mb: float = 0.0


class Metrics(NamedTuple):
    """Destination of metrics.

    Attributes
    ----------
    host : str
        IP address of the statsd server; if empty, no metrics are sent.
    port : int
        UDP port of the statsd server.
    prefix : str
        Prefix of the name of every metric.
    """

    host: str = ""
    port: int = 8125
    prefix: str = "plantainyard"


class CutOff(NamedTuple):
    """Behaviour of a failure domain whose configuration may be out of date.

    Attributes
    ----------
    max_config_age_s : float
        Time in seconds since the configuration was last confirmed to be current, after
        which `new_starts` applies.
    new_starts : str
        Whether waiting tasks are still placed: ``stop`` or ``go_on``.

    Notes
    -----
    Running tasks and callers' requests continue in either case. A domain that is cut
    off must continue to serve what it can, and the configuration was checked when its
    tasks started.
    """

    max_config_age_s: float = 600.0
    new_starts: str = "stop"


class Settings(NamedTuple):
    """All settings of one instance."""

    instance: Instance
    platform: Platform
    security: Security
    limits: Limits = Limits()
    requests: Requests = Requests()
    intervals: Intervals = Intervals()
    logs: Logs = Logs()
    metrics: Metrics = Metrics()
    cut_off: CutOff = CutOff()
