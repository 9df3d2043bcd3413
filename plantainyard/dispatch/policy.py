"""Policy of the scheduling parts that operators switch on.

Each part has its settings, or None, which switches it off: the dispatcher then decides
as it does without the part.
"""

from typing import NamedTuple

__all__ = [
    "NO_POLICY",
    "AdmissionPolicy",
    "HeadroomPolicy",
    "HealthPolicy",
    "RoomPolicy",
    "RunTimePolicy",
    "SchedulingPolicy",
    "UnitPolicy",
]


EQUAL_SHARE = 1 / 2
"""Share of each of the two kinds of work that reserve processors."""


class RunTimePolicy(NamedTuple):
    """Settings of learnt run times.

    Attributes
    ----------
    max_entries : int
        Maximum number of queues' steps whose run times are kept.
    max_age_s : float
        Age in seconds above which an entry counts as unknown.
    min_error : float
        Mean squared error of the logarithm of a queue's declared run times from which
        they are replaced. The order of placement allows for figures that are off by
        half; 0.5 is a factor of two.
    """

    max_entries: int = 256
    max_age_s: float = 300.0
    min_error: float = 0.5


class RoomPolicy(NamedTuple):
    """Settings of reservations for large tasks.

    Attributes
    ----------
    max_wait_s : float
        Time in seconds for which a task of an urgent queue waits for capacity before a
        runner is reserved for it.
    min_task_share : float
        Share of the processors of the unit's smallest runner from which a task is
        large: smaller ones fit wherever one or two others end.
    max_reserved_share : float
        Maximum share of the unit's runners that are reserved at a time.
    max_stops_per_s : float
        Maximum number of long-running tasks moved per second.
    """

    max_wait_s: float = 0.4
    min_task_share: float = 0.15
    max_reserved_share: float = 0.2
    max_stops_per_s: float = 4.0


class HeadroomPolicy(NamedTuple):
    """Settings of the room that long-running tasks leave to finite work.

    Attributes
    ----------
    max_share : float
        Share of a unit's processors that belongs to finite work: as far as finite work
        needs it, it is kept from long-running tasks that never ran. By default both
        kinds of work that reserve processors have equal shares.
    window_s : float
        Time in seconds over which the need of finite work is measured.
    """

    max_share: float = EQUAL_SHARE
    window_s: float = 10.0


class AdmissionPolicy(NamedTuple):
    """Settings of admission.

    Attributes
    ----------
    max_age_s : float
        Age in seconds of a forecast above which work is accepted regardless of it.
    max_open_jobs : int
        Maximum number of open jobs of one queue in a unit.
    max_return_s : float
        Longest time in seconds after which a rejected caller is asked to return.
    """

    max_age_s: float = 2.5
    max_open_jobs: int = 2_000
    max_return_s: float = 30.0


class HealthPolicy(NamedTuple):
    """Settings of the detection of failing and slow runners.

    Attributes
    ----------
    slow_ratio : float
        Ratio of a runner's run times to those of its tasks' siblings elsewhere from
        which it counts as slow.
    max_suspended_share : float
        Maximum share of the answering runners that are suspended or avoided at a time.
    """

    slow_ratio: float = 2.0
    max_suspended_share: float = 0.25


class UnitPolicy(NamedTuple):
    """Settings of the division of a fleet into units.

    Attributes
    ----------
    runners_per_unit : int
        Maximum number of runners per unit if there are several units and strong
        instances. Takes effect when the system starts for the first time.
    """

    runners_per_unit: int = 96


class SchedulingPolicy(NamedTuple):
    """The scheduling parts that are switched on, by their settings."""

    run_times: RunTimePolicy | None = None
    room: RoomPolicy | None = None
    headroom: HeadroomPolicy | None = None
    admission: AdmissionPolicy | None = None
    health: HealthPolicy | None = None
    units: UnitPolicy | None = None


NO_POLICY = SchedulingPolicy()
"""All parts switched off."""
