"""What belongs to one instance: its addresses, place, limits and intervals.

What belongs to the whole system is configuration in the log, not settings.
`Settings` is passed whole to whatever needs a part of it.
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
    """Who and where the instance is.

    Attributes
    ----------
    id : str
        Unique in the deployment.
    region : str
        Region in which the instance stands.
    domain : str
        Failure domain in which the instance stands; it places work there only.
    address : str
        ``ip:port`` for callers; port 0 lets the system choose.
    control_address : str
        ``ip:port`` for other instances, operators and the balancer's checks.
    """

    id: str
    region: str
    domain: str
    address: str
    control_address: str


class Platform(NamedTuple):
    """The platform's services and what may be assumed of its workers.

    Attributes
    ----------
    log : str
        Base URL of the log.
    instances : str
        Base URL of the instance list.
    worker_lease_s : float
        Longest lease that this instance asks of a worker, in seconds.
    clock_drift : float
        Greatest relative error between two clocks; 0.01 is 1 %.
    trust_gone : bool
        Whether a worker that the list calls ``gone`` has certainly stopped its tasks.
    log_retention_s : float
        How long the log keeps a record at least; snapshots are written well within.
    timeout_s : float
        Longest wait for an answer of the platform beyond any asked-for wait.
    """

    log: str
    instances: str
    worker_lease_s: float = 10.0
    clock_drift: float = 0.01
    trust_gone: bool = False
    log_retention_s: float = 3_600.0
    timeout_s: float = 2.0


class Limits(NamedTuple):
    """Bounds on what callers and peers can make the process hold.

    Attributes
    ----------
    body_bytes : int
        Longest body of a request or an answer.
    connections : int
        Open connections on each of the two ports.
    caller_threads : int
        Requests that callers can have in progress.
    control_threads : int
        Requests in progress from instances, operators and checks.
    queue_requests : int
        Requests that wait for a slot.
    memory_mb : int
        Memory that bodies in progress may take together.
    """

    body_bytes: int = 1_000_000
    connections: int = 1_000
    caller_threads: int = 64
    control_threads: int = 16
    queue_requests: int = 256
    memory_mb: int = 512


class Requests(NamedTuple):
    """How callers' requests are served.

    Attributes
    ----------
    default_deadline_ms : int
        Deadline of a request that names none.
    request_max_s : float
        Longest time that a runner may take; later answers are dropped.
    credit_s : float
        Lease of a credit for slots.
    id_memory_s : float
        How long the outcome of a request id is remembered.
    id_memory_count : int
        How many request ids are remembered at most.
    retry_share : float
        Retries allowed for each first attempt, over a short window.
    attempts : int
        Sendings of one request at most, the first included.
    """

    default_deadline_ms: int = 5_000
    request_max_s: float = 30.0
    credit_s: float = 5.0
    id_memory_s: float = 3_600.0
    id_memory_count: int = 200_000
    retry_share: float = 0.1
    attempts: int = 3


class Intervals(NamedTuple):
    """How often things happen, in seconds.

    Attributes
    ----------
    tick_s : float
        Between two rounds of decisions.
    heartbeat_s : float
        Silence towards a peer after which a heartbeat is sent.
    silence_s : float
        Silence of a peer after which it counts as failed.
    log_wait_s : float
        How long a read of the log waits for a new record.
    instances_s : float
        Between two reads of the instance list.
    worker_s : float
        Between two reads of an owned worker's state.
    stop_s : float
        Longest graceful shutdown.
    """

    tick_s: float = 0.5
    heartbeat_s: float = 1.0
    silence_s: float = 4.0
    log_wait_s: float = 2.0
    instances_s: float = 2.0
    worker_s: float = 1.0
    stop_s: float = 60.0


class Security(NamedTuple):
    """The token that processes and operators show each other.

    Attributes
    ----------
    token : Secret
        The shared token, from the settings or from `token_file`.
    token_file : str
        File from which the token was read; empty where it stands in the settings.
    """

    token: Secret
    token_file: str = ""


class Logs(NamedTuple):
    """What is logged.

    Attributes
    ----------
    level : str
        ``debug``, ``info``, ``warning`` or ``error``.
    decisions_mb : float
        Megabytes of placement's deciding events kept for each owned rack from the
        beginning of its ownership on, and shown in the dump; 0 keeps none.
    """

    level: str = "info"
    decisions_mb: float = 0.0


class Metrics(NamedTuple):
    """Where metrics are sent.

    Attributes
    ----------
    host : str
        IP address of the statsd server; empty sends nothing.
    port : int
        Its UDP port.
    prefix : str
        First part of every metric's name.
    """

    host: str = ""
    port: int = 8125
    prefix: str = "plantainyard"


class CutOff(NamedTuple):
    """What a failure domain does whose configuration may be out of date.

    Attributes
    ----------
    max_config_age_s : float
        Age of the last proof that the configuration is current, in seconds,
        past which `new_starts` holds.
    new_starts : str
        ``stop`` or ``go_on``: whether waiting tasks are placed.

    Notes
    -----
    Running tasks and callers' requests go on in every case: a domain that is cut off
    has to serve what it can, and the configuration was checked when tasks started.
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
