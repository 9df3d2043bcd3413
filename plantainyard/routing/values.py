"""Values shared by the routing modules: a caller's request and the settings."""

from typing import NamedTuple

__all__ = ["Request", "RoutingSettings"]


class RoutingSettings(NamedTuple):
    """Limits and times of routing; all times are in seconds.

    Attributes
    ----------
    credit_s : float
        Length of the lease of lent slots.
    send_margin_s : float
        Time before the end of a credit in which no request is sent, because making a
        connection may take that long.
    credit_request_interval_s : float
        Interval between two credit requests to one owner while requests are pending;
        shorter while requests wait, longer while the gateway is idle.
    request_max_s : float
        Longest time that a runner may take for one request.
    drift : float
        Maximum relative rate error of an instance's clock.
    spare_slots : int
        Credits kept above the demand before idle ones are returned.
    queue_count, queue_bytes : int
        Maximum number and total body size of the waiting requests.
    ordinary_share : float
        Share of the slots that ordinary requests get while urgent requests wait.
    retry_share, retry_burst : float
        Retries allowed for each first attempt, and the maximum number saved up.
    attempts_max : int
        Maximum number of attempts for one request, the first included.
    ejection_failures : int
        Number of consecutive failures after which a runner is ejected.
    ejection_s, ejection_max_s : float
        First and longest time for which a runner is ejected.
    slow_factor : float
        A runner that is this many times slower than the median is ejected.
    panic_threshold : float
        Share of ejected runners above which ejections are ignored.
    id_memory_s : float
        Time for which request ids are kept.
    id_count : int
        Maximum number of ids kept for one rack.
    id_answer_bytes : int
        Maximum bytes of answers kept for repeats, for one rack.
    id_skew_s : float
        Maximum difference between the clocks of a caller and an instance, or of two
        instances.
    link_bytes_s : float
        This instance's share of the link between regions, in bytes per second.
    forward_max : int
        Maximum number of requests forwarded at the same time.
    """

    credit_s: float = 2.0
    send_margin_s: float = 0.3
    credit_request_interval_s: float = 0.5
    request_max_s: float = 30.0
    drift: float = 0.001
    spare_slots: int = 2
    queue_count: int = 200
    queue_bytes: int = 16_000_000
    ordinary_share: float = 0.1
    retry_share: float = 0.1
    retry_burst: float = 10.0
    attempts_max: int = 3
    ejection_failures: int = 3
    ejection_s: float = 1.0
    ejection_max_s: float = 30.0
    slow_factor: float = 5.0
    panic_threshold: float = 0.8
    id_memory_s: float = 3600.0
    id_count: int = 100_000
    id_answer_bytes: int = 16_000_000
    id_skew_s: float = 1.0
    link_bytes_s: float = 200_000.0
    forward_max: int = 200


class Request(NamedTuple):
    """The properties of a caller's request that decisions depend on.

    Attributes
    ----------
    key : str
        Unique for each arrival at this instance, also for two arrivals of one id.
    id : str
        The caller's request id.
    service, team : str
        The service that runs it and the team that is charged.
    deadline : float
        Time after which the caller no longer waits for the answer.
    urgent, idempotent : bool
        As declared by the caller.
    size_bytes : int
        Length of the body.
    hops : int
        Number of times that the request has been forwarded.
    digest : int
        Hash of the service and the body, to tell a repeat from a reused id.
    admitted : bool
        Whether the arbiter of the id has already let it run.
    """

    key: str
    id: str
    service: str
    team: str
    deadline: float
    urgent: bool = False
    idempotent: bool = False
    size_bytes: int = 0
    hops: int = 0
    digest: int = 0
    admitted: bool = False
