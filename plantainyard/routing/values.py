"""Shared values of routing: a caller's request and the settings of all its parts."""

from typing import NamedTuple

__all__ = ["Request", "RoutingSettings"]


class RoutingSettings(NamedTuple):
    """Limits and times of routing; all times in seconds.

    Attributes
    ----------
    credit_s : float
        Lease of lent slots.
    send_margin_s : float
        Time before the end of a credit in which nothing is sent any more, because a
        connection may take that long to be made.
    ask_every_s : float
        Longest time between two credit asks to one owner.
    request_max_s : float
        Longest time for which a runner may work on one request.
    drift : float
        Greatest relative error of an instance's clock.
    spare_slots : int
        Credits kept above the demand before idle ones are returned.
    queue_count, queue_bytes : int
        Bounds of the queue.
    ordinary_share : float
        Share of the slots that ordinary work gets while urgent work waits.
    retry_share, retry_burst : float
        Retries allowed for each first sending, and the most that can be saved up.
    attempts_max : int
        Sendings of one request, the first included.
    aside_failures : int
        Failures in a row after which a runner is set aside.
    aside_s, aside_max_s : float
        First and longest time for which a runner is set aside.
    slow_factor : float
        A runner this many times slower than the median is set aside.
    panic_share : float
        Above this share of runners set aside, none is.
    id_memory_s : float
        Time for which request ids are kept.
    id_count : int
        Most ids kept for one rack.
    id_answer_bytes : int
        Bytes of answers kept for repeats, for one rack.
    id_skew_s : float
        Greatest difference between a caller's clock and an instance's, or between
        the clocks of two instances.
    link_bytes_s : float
        This instance's share of the link between regions.
    forward_max : int
        Most requests forwarded at a time.
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
    """A caller's request, as far as decisions need it.

    Attributes
    ----------
    key : str
        Unique for each arrival at this instance; two arrivals of one id differ.
    id : str
        The caller's request id.
    service, team : str
        What it is for and who is charged.
    deadline : float
        Time after which nobody waits for the answer.
    urgent, idempotent : bool
        As the caller declared.
    size_bytes : int
        Length of the body.
    hops : int
        Number of times that it has been forwarded already.
    digest : int
        Hash of the service and the body, to tell a repeat from a reused id.
    judged : bool
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
