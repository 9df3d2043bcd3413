"""Selection of a runner or peer for a request, and division of demand among racks."""

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
    "compute_distance",
    "divide_demand",
    "rank_runners",
    "refill_link",
]


class Location(NamedTuple):
    """Location of an instance."""

    instance: str
    domain: str
    region: str


class LinkBudget:
    """Token bucket for this instance's traffic over the link between regions.

    Parameters
    ----------
    tokens : float
        Initial number of bytes that may be sent.
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
    """Runners for one kind of request: all usable ones, and those with a free slot.

    `free` is sorted by preference.
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
    """Return the runners of a service, the nearest first, then by free credits.

    Notes
    -----
    The time taken is proportional to the number of runners. One call serves all waiting
    requests of a kind: with one call for each request, a full queue in front of failing
    runners made one decision take as long as a request.
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
    """Return the runner for a request, or None where it should wait.

    Notes
    -----
    A runner at which the request has failed is avoided, since the request is likely to
    fail there again. It is chosen again only where no other usable runner exists.
    """
    for key in candidates.free:
        if key not in failed_runners:
            return key
    has_other = any(key not in failed_runners for key in candidates.usable)
    return None if has_other or not candidates.free else candidates.free[0]


def choose_peer(
    location: Location,
    peers: Iterable[Peer],
    request: Request,
    link: LinkBudget,
    tried_peers: frozenset[str],
) -> Peer | None:
    """Return the nearest peer with free credits for `request`, or None.

    Notes
    -----
    The link between regions is narrow and charged by the byte: it is used last, and
    only within this instance's share of it.
    """
    if request.hops >= MAX_HOPS:
        return None

    def rank(peer: Peer) -> tuple[int, int, str]:
        distance = compute_distance(location, peer.domain, peer.region)
        return distance, -peer.free_credits[request.service], peer.instance

    def can_take(peer: Peer) -> bool:
        has_credits = (
            peer.free_credits.get(request.service, 0) > 0
            and peer.instance not in tried_peers
        )
        is_near = peer.region == location.region
        return has_credits and (is_near or link.tokens >= request.size_bytes)

    return min(filter(can_take, peers), key=rank, default=None)


def refill_link(link: LinkBudget, settings: RoutingSettings, now: float) -> None:
    """Add the bytes earned since the last refill, up to those of one second."""
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
    """Return the slots to request of each rack of the region, for each service.

    Notes
    -----
    The whole demand is requested from the racks of the instance's own domain in equal
    parts; what these haven't lent is requested from the other racks of the region.
    """
    ranks = {
        r: compute_distance(location, o.domain, o.region) for r, o in owners.items()
    }
    near = [rack for rack, rank in ranks.items() if rank == 0]
    far = [rack for rack, rank in ranks.items() if rank == 1]
    lent_locally: Counter[str] = Counter()
    for held in credits.runners.values():
        if held.info.domain == location.domain and now < held.valid_until:
            lent_locally[held.info.service] += held.limit
    near_part = {s: math.ceil(n / max(1, len(near))) for s, n in demand.items()}
    far_part = {
        s: math.ceil(max(0, n - lent_locally[s]) / max(1, len(far)))
        for s, n in demand.items()
    }
    return dict.fromkeys(near, near_part) | dict.fromkeys(far, far_part)
