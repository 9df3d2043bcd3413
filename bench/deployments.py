"""Sizes of the users' deployments, for generated traces."""

from typing import NamedTuple

from plantainyard.work import Size

__all__ = [
    "DEPLOYMENTS",
    "Deployment",
]


class Deployment(NamedTuple):
    """Sizes of one deployment.

    Attributes
    ----------
    region : str
        Region of the workers.
    domains : tuple of str
        Failure domains; racks are assigned to them round-robin.
    workers, rack_size : int
        Number of workers, and of workers in a rack.
    capacity : Size
        Capacity of one worker.
    services : tuple
        Name, number of runners, declared size, share of the declared cores that is
        used, and base latency in ms.
    batch : tuple of str
        Workloads of batch jobs.
    task_cores : tuple of float
        Sizes of batch tasks.
    teams : tuple of str
        Teams that submit batch jobs.
    """

    region: str
    domains: tuple[str, ...]
    workers: int
    rack_size: int
    capacity: Size
    services: tuple[tuple[str, int, Size, float, float], ...]
    batch: tuple[str, ...]
    task_cores: tuple[float, ...]
    teams: tuple[str, ...]


DEPLOYMENTS = {
    "awash": Deployment(
        "addis",
        ("addis-kality", "addis-akaki"),
        30,
        10,
        Size(64.0, 250.0),
        (
            ("gate-clearing", 30, Size(6.0, 12.0), 0.6, 12.0),
            ("meter-watch", 12, Size(4.0, 8.0), 0.5, 30.0),
        ),
        ("statement", "reconcile", "archive", "import", "audit", "pricing"),
        (4.0, 8.0, 16.0),
        ("billing", "accounts", "depots", "members"),
    ),
    "accra": Deployment(
        "greater-accra",
        ("accra-central", "tema-harbour"),
        25,
        8,
        Size(16.0, 60.0),
        (
            ("order-confirm", 25, Size(3.0, 6.0), 0.6, 8.0),
            ("rounds", 8, Size(2.0, 4.0), 0.5, 25.0),
        ),
        ("oven-plan", "forecast", "labels", "routes", "report", "flour"),
        (1.0, 2.0, 4.0),
        ("bakery", "dispatch", "planning"),
    ),
}
