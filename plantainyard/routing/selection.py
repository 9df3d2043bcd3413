"""Choices of the gateway: which runner, which peer, how many slots to ask for."""

import math
from collections import Counter
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from plantainyard.protocol.constants import MAX_HOPS
from plantainyard.routing.credits import CreditState, count_free
from plantainyard.routing.events import Owner, Peer
from plantainyard.routing.health import HealthState, select_usable
from plantainyard.routing.values import Request, RoutingSettings

__all__ = [
    "Candidates",
    "LinkBudget",
    "Location",
    "choose_peer",
    "choose_runner",
    "divide_demand",
    "compute_distance",
    "rank_runners",
    "refill_link",
]


class Location(NamedTuple):
    """Where an instance stands."""

    instance: str
    domain: str
    region: str


class LinkBudget:
    """Bytes that this instance may send over the link between regions now.

    Parameters
    ----------
    tokens : float
        Bytes at the start.
    """

    def __init__(self, tokens: float) -> None:
        self.tokens = tokens
        self.refilled_at = float("-inf")


def compute_distance(location: Location, domain: str, region: str) -> int:
    """Return 0 for the same failure domain, 1 for the same region, else 2."""
    if domain == location.domain:
        return 0
    return 1 if region == location.region else 2


class Candidates(NamedTuple):
    """Runners for one kind of request: all that are usable, and those with a slot.

    `free` is in the order in which to take them.
    """

    usable: tuple[str, ...]
    free: tuple[str, ...]


def rank_runners(
    location: Location,
    credits: CreditState,
    health: HealthState,
    service: str,
    idempotent: bool,
    settings: RoutingSettings,
    now: float,
) -> Candidates:
    """Return the runners of a service: the nearest first, then by free credits.

    Notes
    -----
    The cost is proportional to the number of runners. One call serves all requests
    of a kind that wait: with a call for each, a full queue in front of failing
    runners made one decision as long as a request.
    """
    held = {key: h for key, h in credits.runners.items() if h.info.service == service}
    usable = select_usable(health, held, idempotent, settings, now)
    free_credits = {key: count_free(held[key], now) for key in usable}

    def rank(key: str) -> tuple[int, int, str]:
        info = held[key].info
        return (
            compute_distance(location, info.domain, info.region),
            -free_credits[key],
            key,
        )

    free = sorted((key for key in usable if free_credits[key] > 0), key=rank)
    return Candidates(tuple(usable), tuple(free))


def choose_runner(candidates: Candidates, failed_runners: frozenset[str]) -> str | None:
    """Return the runner for a request, or None where no slot is free.

    Notes
    -----
    Elsewhere than where the request has failed: what failed there once is likely to
    fail there again. Only where no other runner exists is the same one taken twice.
    """
    for key in candidates.free:
        if key not in failed_runners:
            return key
    others = any(key not in failed_runners for key in candidates.usable)
    return None if others or not candidates.free else candidates.free[0]


def choose_peer(
    location: Location,
    peers: Iterable[Peer],
    request: Request,
    link: LinkBudget,
    tried_peers: frozenset[str],
) -> Peer | None:
    """Return the nearest peer with room for `request`, or None.

    Notes
    -----
    The link between regions is paid for by the byte and narrow: it is used last, and
    only while this instance's share of it lasts.
    """
    if request.hops >= MAX_HOPS:
        return None

    def rank(peer: Peer) -> tuple[int, int, str]:
        distance = compute_distance(location, peer.domain, peer.region)
        return distance, -peer.free_credits[request.service], peer.instance

    def accepts_requests(peer: Peer) -> bool:
        free_credits = (
            peer.free_credits.get(request.service, 0) > 0
            and peer.instance not in tried_peers
        )
        near = peer.region == location.region
        return free_credits and (near or link.tokens >= request.size_bytes)

    return min(filter(accepts_requests, peers), key=rank, default=None)


def refill_link(link: LinkBudget, settings: RoutingSettings, now: float) -> None:
    """Add the bytes that time has brought, one second's worth at most."""
    if math.isfinite(link.refilled_at):
        gained = (now - link.refilled_at) * settings.link_bytes_s
        link.tokens = min(settings.link_bytes_s, link.tokens + gained)
    link.refilled_at = now


def divide_demand(
    location: Location,
    owners: Mapping[str, Owner],
    demand: Mapping[str, int],
    credits: CreditState,
    now: float,
) -> dict[str, dict[str, int]]:
    """Return, for each rack of the region, the slots to ask for each service.

    Notes
    -----
    The racks of the own domain are asked for the whole demand in equal parts; the
    other racks of the region for what those have not lent.
    """
    ranks = {
        r: compute_distance(location, o.domain, o.region) for r, o in owners.items()
    }
    near = [rack for rack, rank in ranks.items() if rank == 0]
    far = [rack for rack, rank in ranks.items() if rank == 1]
    local: Counter[str] = Counter()
    for held in credits.runners.values():
        if held.info.domain == location.domain and now < held.valid_until:
            local[held.info.service] += held.limit
    part = {s: math.ceil(n / max(1, len(near))) for s, n in demand.items()}
    rest = {
        s: math.ceil(max(0, n - local[s]) / max(1, len(far))) for s, n in demand.items()
    }
    return dict.fromkeys(near, part) | dict.fromkeys(far, rest)
