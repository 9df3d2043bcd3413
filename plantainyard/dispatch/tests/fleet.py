"""Test environment of several units in virtual time that hand work to each other."""

from collections.abc import Sequence
from typing import Any

from plantainyard.batch.records import RecordKind, decode_result, parse_key
from plantainyard.dispatch import (
    CancelRequested,
    Event,
    Forward,
    Forwarded,
    LoadsReceived,
    PieceEnded,
    list_needs,
    measure_places,
)
from plantainyard.dispatch.tests.world import TICK_S, World
from plantainyard.platform.store_messages import Record
from standins.platform import RunnerState

LOADS_EVERY_TICKS = 10


class UnitWorld(World):
    """Unit whose forwarded records are received by the other units."""

    def __init__(
        self,
        units: Sequence["UnitWorld"],
        unit: int,
        runners: int = 2,
        **limits: Any,
    ) -> None:
        self.units = units
        self.unit = unit
        super().__init__(runners=runners, **limits)

    def forward(self, action: Forward) -> list[Event]:
        for record in action.records:
            self.units[action.unit].receive(record)
        return [Forwarded([record.key for record in action.records])]

    def add_runner(self, name: str, labels: tuple[str, ...]) -> RunnerState:
        """Add an idle runner."""
        runner = self.runners[name] = RunnerState(name, labels=labels)
        self.publish_entries()
        return runner

    def receive(self, record: Record) -> None:
        """Read a record that the owner of another unit has stored."""
        key = parse_key(record.key)
        if key.kind == RecordKind.CANCEL:
            self.store(record.key, record.value)
            self.send_event(CancelRequested(key.job_id))
            return
        if key.kind == RecordKind.RESULT:
            self.store(record.key, record.value)
            self.send_event(PieceEnded(key.job_id, decode_result(record.value)))
            return
        self.receive_submission(record)
        if self.replica.jobs[key.job_id].cancelled:
            self.send_event(CancelRequested(key.job_id))


class Units:
    """Several units whose owners tell each other their loads once a second."""

    def __init__(self, *runners: int, **limits: Any) -> None:
        self.worlds: list[UnitWorld] = []
        for unit, count in enumerate(runners):
            self.worlds.append(UnitWorld(self.worlds, unit, count, **limits))
        self.ticks = 0

    def pass_tick(self) -> None:
        """Let a tick pass in all units, and send the loads if they are due."""
        for world in self.worlds:
            world.run(TICK_S)
        self.ticks += 1
        if self.ticks % LOADS_EVERY_TICKS == 0:
            self.send_loads()

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / TICK_S)):
            self.pass_tick()

    def send_loads(self) -> None:
        """Tell each owner the loads of the others, with the places that it asks for."""
        for world in self.worlds:
            needs = list_needs(world.state)
            loads = {}
            for other in self.worlds:
                runners = other.state.runners.values()
                places = {n: measure_places(runners, n, other.now) for n in needs}
                age_s = other.now - other.state.load_measured_at
                loads[other.unit] = other.state.load._replace(
                    places=places, measured_s_ago=age_s
                )
            del loads[world.unit]
            world.send_event(LoadsReceived(loads, world.now))

    def list_running(self, job_id: str = "") -> list[str]:
        """Return the names of a job's running tasks, one for each run."""
        return [task for world in self.worlds for task in world.list_running(job_id)]

    def find_runs(self, job_id: str) -> list[tuple[int, str]]:
        """Return the unit and the name of each running task of a job."""
        return [
            (world.unit, task)
            for world in self.worlds
            for task in world.list_running(job_id)
        ]
