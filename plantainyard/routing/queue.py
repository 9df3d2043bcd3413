"""Bounded queue of a gateway: urgent before ordinary work, weighted fair among teams.

Notes
-----
Teams are served by stride scheduling: each team has a pass value, the team with the
lowest one is served next, and each request served adds the inverse of the team's weight
to it. A team that had nothing waiting starts at the global pass, which each request
served advances by the inverse of the waiting teams' weights together. Urgent requests
go first, but while both classes wait, a fixed share of the dequeued requests is
ordinary, so neither class starves. Pushing and popping take time proportional to the
number of teams.

References
----------
Waldspurger and Weihl, "Stride Scheduling", MIT/LCS/TM-528, 1995.
"""

from collections import deque
from collections.abc import Callable, Iterable, Mapping
from itertools import chain
from typing import NamedTuple

from plantainyard.routing.outcomes import Reason
from plantainyard.routing.values import Request, RoutingSettings

__all__ = [
    "QueueState",
    "Rejection",
    "drop_request",
    "estimate_wait",
    "expire_requests",
    "pop_request",
    "push_request",
    "record_service_time",
    "select_waiting",
]

_SMOOTHING = 0.1
"""Weight of a new sample in the estimates of the service time and its deviation."""

_INITIAL_SERVICE_TIME_S = 0.02
"""Estimate of the service time in seconds before the first sample."""

_SLOW_DEVIATIONS = 4.0
"""Deviations by which a slow attempt exceeds the mean service time."""

_MIN_RETRY_AFTER_S = 0.1
"""Shortest retry time in seconds that a rejected request gets."""


class Rejection(NamedTuple):
    """A request that was removed from the queue or not queued, and was not sent."""

    request: Request
    reason: str
    retry_after_s: float


class _ClassQueue:
    """The waiting requests of one priority class: a FIFO queue for each team."""

    def __init__(self) -> None:
        self.team_queues: dict[str, deque[Request]] = {}
        self.passes: dict[str, float] = {}
        self.global_pass = 0.0


class QueueState:
    """State of the queue.

    Parameters
    ----------
    weights : mapping of str to float
        Weight of each team; teams without an entry have weight 1.
    """

    def __init__(self, weights: Mapping[str, float] | None = None) -> None:
        self.weights = dict(weights or {})
        self.urgent = _ClassQueue()
        self.ordinary = _ClassQueue()
        self.ordinary_deficit = 0.0
        self.count = 0
        self.size_bytes = 0
        self.service_time_s = _INITIAL_SERVICE_TIME_S
        self.deviation_s = 0.0
        self.latest_send_times: dict[str, float] = {}
        self.slots = 1


def push_request(
    state: QueueState, request: Request, settings: RoutingSettings, now: float
) -> list[Rejection]:
    """Queue `request`; return the requests rejected for it, possibly itself.

    Notes
    -----
    A request that can't meet its deadline by the current estimate is rejected at once,
    so that its caller can go elsewhere while there is time. The time reserved for
    running the request is that of a slow attempt, but at most half of the time left:
    otherwise an estimate that has grown too long would reject every request, and no
    new sample would ever correct it.
    """
    wait = estimate_wait(state, request.urgent)
    slow_attempt_s = state.service_time_s + _SLOW_DEVIATIONS * state.deviation_s
    latest = request.deadline - min(slow_attempt_s, (request.deadline - now) / 2)
    if now + wait > latest or now >= request.deadline:
        return [_reject(state, request, Reason.DEADLINE)]
    if request.size_bytes > settings.queue_bytes:
        return [_reject(state, request, Reason.QUEUE_FULL)]
    shed: list[Rejection] = []
    while not _fits(state, request, settings):
        victim = _choose_shed(state, request, settings)
        if victim is None:
            return [*shed, _reject(state, request, Reason.QUEUE_FULL)]
        drop_request(state, victim)
        shed.append(_reject(state, victim, Reason.SHED))
    _append(state, request)
    state.latest_send_times[request.key] = latest
    return shed


def pop_request(
    state: QueueState, settings: RoutingSettings, can_send: Callable[[Request], object]
) -> Request | None:
    """Remove the next request to send from the queue and return it.

    Parameters
    ----------
    state : QueueState
        Updated.
    settings : RoutingSettings
        For the share of ordinary work.
    can_send : callable
        Returns a true value if a slot is free for the request.
    """
    urgent = _pick_team(state.urgent, can_send)
    ordinary = _pick_team(state.ordinary, can_send)
    if urgent is not None and ordinary is not None:
        state.ordinary_deficit += settings.ordinary_share
        take_ordinary = state.ordinary_deficit >= 1.0
        state.ordinary_deficit -= 1.0 if take_ordinary else 0.0
    else:
        take_ordinary = ordinary is not None
    team = ordinary if take_ordinary else urgent
    if team is None:
        return None
    queue = state.ordinary if take_ordinary else state.urgent
    request = next(r for r in queue.team_queues[team] if can_send(r))
    weight = sum(_get_weight(state, each) for each in queue.team_queues)
    stride = 1.0 / _get_weight(state, team)
    # A team that couldn't be served for a while catches up by one request at most.
    start = max(queue.global_pass - stride, queue.passes[team])
    # It also advances while only teams are served that had nothing waiting before.
    # Otherwise a new team name for each request would go before all other teams.
    queue.global_pass = max(queue.global_pass + 1.0 / weight, queue.passes[team])
    drop_request(state, request)
    queue.passes[team] = start + stride
    return request


def expire_requests(state: QueueState, now: float) -> list[Rejection]:
    """Remove the requests that can no longer meet their deadline, and return them.

    Notes
    -----
    Running a request that is sent too late is useless: its caller has stopped waiting
    when the answer arrives, and its slot stays occupied until the longest request has
    ended.
    """
    send_times = state.latest_send_times
    late = [r for r in select_waiting(state) if now > send_times[r.key]]
    for request in late:
        drop_request(state, request)
    return [_reject(state, request, Reason.DEADLINE) for request in late]


def drop_request(state: QueueState, request: Request) -> None:
    """Remove `request` from the queue."""
    queue = state.urgent if request.urgent else state.ordinary
    team_queue = queue.team_queues[request.team]
    team_queue.remove(request)
    del state.latest_send_times[request.key]
    state.count -= 1
    state.size_bytes -= request.size_bytes
    if not team_queue:
        del queue.team_queues[request.team]
    # A team without waiting requests keeps its pass only while it is above the global
    # pass, so only recently served teams are remembered and the memory stays bounded.
    for team in [t for t, p in queue.passes.items() if p <= queue.global_pass]:
        if team not in queue.team_queues:
            del queue.passes[team]


def estimate_wait(state: QueueState, urgent: bool) -> float:
    """Return the expected time in seconds until a request queued now is sent."""
    ahead = _count_waiting(state.urgent)
    if not urgent:
        ahead += _count_waiting(state.ordinary)
    return ahead * state.service_time_s / max(1, state.slots)


def record_service_time(state: QueueState, service_time_s: float) -> None:
    """Update the estimates of the service time and its deviation with one attempt.

    References
    ----------
    RFC 6298, section 2, uses the same estimator for round-trip times.
    """
    error = service_time_s - state.service_time_s
    state.service_time_s += _SMOOTHING * error
    state.deviation_s += _SMOOTHING * (abs(error) - state.deviation_s)


def select_waiting(state: QueueState) -> Iterable[Request]:
    """Return the waiting requests, urgent ones first."""
    team_queues = chain(
        state.urgent.team_queues.values(), state.ordinary.team_queues.values()
    )
    return list(chain.from_iterable(team_queues))


def _reject(state: QueueState, request: Request, reason: str) -> Rejection:
    wait = estimate_wait(state, request.urgent) + state.service_time_s
    return Rejection(request, reason, max(_MIN_RETRY_AFTER_S, wait))


def _fits(state: QueueState, request: Request, settings: RoutingSettings) -> bool:
    has_bytes = state.size_bytes + request.size_bytes <= settings.queue_bytes
    return has_bytes and state.count < settings.queue_count


def _append(state: QueueState, request: Request) -> None:
    queue = state.urgent if request.urgent else state.ordinary
    if request.team not in queue.team_queues:
        # Without this lower bound, a team that had nothing waiting for a while would be
        # served alone until it had caught up.
        queue.passes[request.team] = max(
            queue.global_pass, queue.passes.get(request.team, 0.0)
        )
    queue.team_queues.setdefault(request.team, deque()).append(request)
    state.count += 1
    state.size_bytes += request.size_bytes


def _pick_team(queue: _ClassQueue, can_send: Callable[[Request], object]) -> str | None:
    teams = (
        team
        for team, team_queue in queue.team_queues.items()
        if any(can_send(request) for request in team_queue)
    )
    return min(teams, key=lambda team: (queue.passes[team], team), default=None)


def _choose_shed(
    state: QueueState, request: Request, settings: RoutingSettings
) -> Request | None:
    """Return the request to shed in favour of `request`, or None.

    A class that exceeds its share of the queue is shed in favour of the other. Within
    one class, the newest request of the team with the highest load for its weight is
    shed, if that load is higher than the load of the team of `request`.
    """
    # Without a reserved share of the queue, ordinary requests would be shed in favour
    # of urgent ones before their turn, and would starve whatever share of the slots
    # they are given.
    reserved = max(1, int(settings.ordinary_share * settings.queue_count))
    ordinary = _count_waiting(state.ordinary)
    if request.urgent and ordinary > reserved:
        return state.ordinary.team_queues[_find_heaviest(state, state.ordinary)][-1]
    if not request.urgent and ordinary < reserved and state.urgent.team_queues:
        return state.urgent.team_queues[_find_heaviest(state, state.urgent)][-1]
    queue = state.urgent if request.urgent else state.ordinary
    if not queue.team_queues:
        return None
    heaviest = _find_heaviest(state, queue)
    own_load = (len(queue.team_queues.get(request.team, ())) + 1) / _get_weight(
        state, request.team
    )
    load = len(queue.team_queues[heaviest]) / _get_weight(state, heaviest)
    return queue.team_queues[heaviest][-1] if load > own_load else None


def _find_heaviest(state: QueueState, queue: _ClassQueue) -> str:
    return max(
        queue.team_queues,
        key=lambda t: (len(queue.team_queues[t]) / _get_weight(state, t), t),
    )


def _get_weight(state: QueueState, team: str) -> float:
    return state.weights.get(team, 1.0)


def _count_waiting(queue: _ClassQueue) -> int:
    return sum(len(team_queue) for team_queue in queue.team_queues.values())
