"""Deployments of the users in their present sizes, and a smaller one for tests."""

from collections.abc import Mapping
from itertools import chain
from typing import NamedTuple

from plantainyard.work import Size, WorkerInfo

__all__ = [
    "ACCRA",
    "AWASH",
    "DEPLOYMENTS",
    "SMALL",
    "Deployment",
    "DomainPlan",
    "find_delay",
    "list_workers",
]

SAME_REGION_MS = 1.0


class DomainPlan(NamedTuple):
    """Numbers of entry instances, workers and service runners in a failure domain."""

    name: str
    region: str
    entries: int
    workers: int
    runners: int


class Deployment(NamedTuple):
    """Sizes and names of a whole site.

    Attributes
    ----------
    name, team, service : str
        Name of the deployment, team charged for the work, and latency-critical
        service.
    domains : tuple of DomainPlan
        Failure domains of the site.
    store_domain : str
        Failure domain that contains the log and the instance list.
    capacity : Size
        Capacity of each worker.
    rack_size : int
        Number of workers in a rack.
    runner_size : Size
        Declared size of a runner.
    slots, connections : int
        Numbers of requests and connections that a runner can hold at a time.
    region_delay_ms : float
        One-way delay between regions in milliseconds.
    """

    name: str
    team: str
    service: str
    domains: tuple[DomainPlan, ...]
    store_domain: str
    capacity: Size
    rack_size: int
    runner_size: Size
    slots: int = 8
    connections: int = 60
    region_delay_ms: float = 10.0


AWASH = Deployment(
    name="awash",
    team="reconciliation",
    service="billing",
    domains=(
        DomainPlan("addis-kality", "addis", 3, 10, 10),
        DomainPlan("addis-akaki", "addis", 3, 10, 10),
        DomainPlan("dire-dawa-rail", "dire-dawa", 2, 10, 10),
    ),
    store_domain="addis-kality",
    capacity=Size(64, 250),
    rack_size=10,
    runner_size=Size(8, 16),
)

ACCRA = Deployment(
    name="accra",
    team="ovens",
    service="ordering",
    domains=(
        DomainPlan("accra-central", "greater-accra", 3, 9, 9),
        DomainPlan("tema-harbour", "greater-accra", 2, 8, 8),
        DomainPlan("kumasi-adum", "ashanti", 2, 8, 8),
    ),
    store_domain="accra-central",
    capacity=Size(16, 60),
    rack_size=8,
    runner_size=Size(4, 8),
)

SMALL = ACCRA._replace(
    name="small",
    domains=(
        DomainPlan("accra-central", "greater-accra", 2, 3, 2),
        DomainPlan("kumasi-adum", "ashanti", 2, 3, 2),
    ),
    rack_size=3,
)

DEPLOYMENTS: Mapping[str, Deployment] = {d.name: d for d in (AWASH, ACCRA, SMALL)}


def list_workers(deployment: Deployment) -> tuple[WorkerInfo, ...]:
    """Return the deployment's workers; their addresses are still empty."""
    return tuple(
        chain.from_iterable(_list_domain(deployment, d) for d in deployment.domains)
    )


def find_delay(deployment: Deployment, one: str, other: str) -> float:
    """Return the one-way delay between two failure domains in milliseconds."""
    regions = {d.name: d.region for d in deployment.domains}
    same = regions[one] == regions[other]
    return SAME_REGION_MS if same else deployment.region_delay_ms


def _list_domain(deployment: Deployment, plan: DomainPlan) -> list[WorkerInfo]:
    return [
        WorkerInfo(
            id=f"{plan.name}-w{i + 1}",
            address="",
            region=plan.region,
            domain=plan.name,
            rack=f"{plan.name}-r{i // deployment.rack_size + 1}",
            capacity=deployment.capacity,
        )
        for i in range(plan.workers)
    ]
