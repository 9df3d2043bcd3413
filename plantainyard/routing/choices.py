"""Choices of the gateway: which runner, which peer, how many slots to ask for."""

import math
from collections import Counter
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from plantainyard.protocol.constants import MAX_HOPS
from plantainyard.protocol.messages import RunnerInfo
from plantainyard.routing.credits import CreditState, count_free
from plantainyard.routing.events import Owner, Peer
from plantainyard.routing.health import HealthState, select_usable
from plantainyard.routing.values import Request, RoutingSettings

__all__ = [
    "LinkBudget",
    "Place",
    "choose_peer",
    "choose_runner",
    "divide_demand",
    "rank_distance",
    "refill_link",
]


class Place(NamedTuple):
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
        self.filled = float("-inf")


def rank_distance(place: Place, domain: str, region: str) -> int:
    """Return 0 for the same failure domain, 1 for the same region, else 2."""
    if domain == place.domain:
        return 0
    return 1 if region == place.region else 2


def choose_runner(
    place: Place,
    credits: CreditState,
    health: HealthState,
    request: Request,
    failed_at: frozenset[str],
    settings: RoutingSettings,
    now: float,
) -> RunnerInfo | None:
    """Return the runner for `request`, or None where no slot is free.

    Notes
    -----
    The nearest usable runner with the most free credits, elsewhere than where the
    request has failed: what failed there once is likely to fail there again. Only
    where no other runner exists is the same one taken twice. The cost is proportional
    to the number of runners.
    """
    held = {k: h for k, h in credits.held.items() if h.info.service == request.service}
    usable = select_usable(health, held, request.idempotent, settings, now)
    elsewhere = [key for key in usable if key not in failed_at] or usable
    free = [key for key in elsewhere if count_free(held[key], now) > 0]
    if not free:
        return None

    def rank(key: str) -> tuple[int, int, str]:
        info = held[key].info
        distance = rank_distance(place, info.domain, info.region)
        return distance, -count_free(held[key], now), key

    return held[min(free, key=rank)].info


def choose_peer(
    place: Place,
    peers: Iterable[Peer],
    request: Request,
    link: LinkBudget,
    tried: frozenset[str],
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
        distance = rank_distance(place, peer.domain, peer.region)
        return distance, -peer.room[request.service], peer.instance

    def is_open(peer: Peer) -> bool:
        room = peer.room.get(request.service, 0) > 0 and peer.instance not in tried
        near = peer.region == place.region
        return room and (near or link.tokens >= request.size_bytes)

    return min(filter(is_open, peers), key=rank, default=None)


def refill_link(link: LinkBudget, settings: RoutingSettings, now: float) -> None:
    """Add the bytes that time has brought, one second's worth at most."""
    if math.isfinite(link.filled):
        gained = (now - link.filled) * settings.link_bytes_s
        link.tokens = min(settings.link_bytes_s, link.tokens + gained)
    link.filled = now


def divide_demand(
    place: Place,
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
    ranks = {r: rank_distance(place, o.domain, o.region) for r, o in owners.items()}
    near = [rack for rack, rank in ranks.items() if rank == 0]
    far = [rack for rack, rank in ranks.items() if rank == 1]
    local: Counter[str] = Counter()
    for held in credits.held.values():
        if held.info.domain == place.domain and now < held.valid_until:
            local[held.info.service] += held.limit
    part = {s: math.ceil(n / max(1, len(near))) for s, n in demand.items()}
    rest = {
        s: math.ceil(max(0, n - local[s]) / max(1, len(far))) for s, n in demand.items()
    }
    return dict.fromkeys(near, part) | dict.fromkeys(far, rest)
