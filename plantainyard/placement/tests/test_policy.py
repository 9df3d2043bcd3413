import random

from hypothesis import given, settings
from hypothesis import strategies as st

from plantainyard.placement import (
    Cancelled,
    Checkpoint,
    Outcome,
    Place,
    QuotasChanged,
    Stop,
    TaskEnded,
    TaskStarted,
    TasksWaiting,
    Tick,
    UsageReported,
    WorkerBack,
    WorkersChanged,
    WorkerSuspect,
    create_state,
    step,
)
from plantainyard.placement.filters import check_worker
from plantainyard.work import Constraints, Job, Size, TaskKey, WorkerInfo

PROPERTY = settings(derandomize=True, deadline=None, max_examples=60)
WORKERS = tuple(
    WorkerInfo(
        f"w{n}",
        "",
        "addis",
        "addis-kality" if n < 4 else "addis-akaki",
        f"rack-{n // 2}",
        Size(16, 64, 2 if n == 0 else 0),
        "gpu" if n == 0 else "",
    )
    for n in range(6)
)
INFOS = {worker.id: worker for worker in WORKERS}

jobs = st.builds(
    lambda count, cores, memory, kind, limits, team: Job(
        id="",
        name="",
        team=team,
        latency_critical=kind == "service",
        task_count=count,
        size=Size(cores, memory, 1 if limits.accelerator else 0),
        run_s=30.0,
        constraints=limits,
        workload=f"{kind}-{team}",
        urgent=kind == "urgent",
        gang=kind == "gang",
    ),
    st.integers(1, 6),
    st.sampled_from((0.5, 2.0, 6.0, 16.0)),
    st.sampled_from((1.0, 8.0, 60.0)),
    st.sampled_from(("service", "batch", "urgent", "gang")),
    st.sampled_from(
        (
            Constraints(),
            Constraints(domains=("addis-akaki",)),
            Constraints(accelerator="gpu"),
        )
    ),
    st.sampled_from(("billing", "audit")),
)
operations = st.lists(
    st.one_of(
        st.tuples(st.just("job"), jobs),
        st.tuples(st.just("tick"), st.floats(0.1, 40.0)),
        st.tuples(st.just("end"), st.integers(0, 10**6)),
        st.tuples(st.just("start"), st.integers(0, 10**6)),
        st.tuples(st.just("use"), st.integers(0, 10**6)),
        st.tuples(st.just("worker"), st.integers(0, 10**6)),
        st.tuples(st.just("cancel"), st.integers(0, 10**6)),
    ),
    min_size=20,
    max_size=80,
)


class Simulation:
    """Independent record of the actions of `step`, to check them against."""

    def __init__(self, state=None, step_function=step):
        self.state = state or create_state()
        self.step_function = step_function
        self.now = 0.0
        self.jobs: dict[str, Job] = {}
        self.placed: dict[TaskKey, tuple[int, str]] = {}
        self.attempts: dict[TaskKey, int] = {}
        self.down: set[str] = set()
        self.log: list[object] = []
        self.send(WorkersChanged(WORKERS))
        self.send(QuotasChanged({"audit": Size(24, 200, 2)}))

    def send(self, event):
        before = set(self.placed)
        actions = self.step_function(self.state, event, self.now)
        self.log += actions
        for action in actions:
            if isinstance(action, Place):
                self.check_place(action)
        for action in actions:
            if isinstance(action, Checkpoint | Stop):
                assert self.placed[action.task] == (action.attempt, action.worker)
        self.check_sums()
        self.check_gangs(before)

    def check_place(self, action):
        job = self.jobs[action.task.job]
        assert action.task not in self.placed
        assert action.attempt == self.attempts.get(action.task, 0) + 1
        assert check_worker(job, INFOS[action.worker]) is None
        assert action.worker not in self.down
        self.placed[action.task] = (action.attempt, action.worker)

    def check_sums(self):
        for worker in WORKERS:
            sizes = [
                self.jobs[task.job].size
                for task, (_, where) in self.placed.items()
                if where == worker.id
            ]
            for need, room in zip(
                map(sum, zip(*sizes, strict=True)), worker.capacity, strict=False
            ):
                assert need <= room + 1e-6
        audit_tasks = [t for t in self.placed if self.jobs[t.job].team == "audit"]
        assert sum(self.jobs[t.job].size.cores for t in audit_tasks) <= 24 + 1e-6

    def check_gangs(self, before):
        placed = set(self.placed)
        for job in self.jobs.values():
            new = [t for t in placed - before if t.job == job.id]
            old = [t for t in before if t.job == job.id]
            if job.gang and new and not old:
                assert len(new) == job.task_count - self.count_done(job)

    def count_done(self, job):
        return sum(1 for t in self.log if t == ("done", job.id))

    def pick_task(self, number):
        keys = sorted(self.placed)
        return keys[number % len(keys)] if keys else None

    def apply(self, kind, value):
        if kind == "job":
            job = value._replace(id=f"j{len(self.jobs)}")
            self.jobs[job.id] = job
            self.send(TasksWaiting(job, 0, job.task_count, since=self.now))
        elif kind == "tick":
            self.now += value
            self.send(Tick())
        elif kind == "worker":
            self.toggle_worker(WORKERS[value % len(WORKERS)].id)
        elif kind == "cancel":
            if self.jobs:
                self.send(Cancelled((f"j{value % len(self.jobs)}",)))
        elif (task := self.pick_task(value)) is not None:
            self.apply_to_task(kind, task, random.Random(value))

    def toggle_worker(self, worker):
        if worker in self.down:
            self.down.discard(worker)
            self.send(WorkerBack(worker))
        else:
            self.down.add(worker)
            self.send(WorkerSuspect(worker))

    def apply_to_task(self, kind, task, source):
        attempt, worker = self.placed[task]
        if kind == "start":
            self.send(TaskStarted(self.jobs[task.job], task.number, attempt, worker))
        elif kind == "use":
            use = source.uniform(0.0, 4.0) * self.jobs[task.job].size.cores
            self.send(UsageReported(worker, task, self.now - 3.0, use, 1.0, 5.0))
        else:
            outcome = source.choice(
                (
                    Outcome.DONE,
                    Outcome.FAILED,
                    Outcome.EVICTED,
                    Outcome.LAPSED,
                    Outcome.UNPLACED,
                )
            )
            del self.placed[task]
            if outcome == Outcome.DONE:
                self.log.append(("done", task.job))
            if outcome != Outcome.UNPLACED:
                self.attempts[task] = attempt
            self.send(TaskEnded(task, attempt, worker, outcome, "x"))


def run(sequence):
    simulation = Simulation()
    for kind, value in sequence:
        simulation.apply(kind, value)
    return simulation


@PROPERTY
@given(operations)
def test_capacity_filters_quotas_and_gangs_hold(sequence):
    run(sequence)


@PROPERTY
@given(operations)
def test_same_events_give_the_same_decisions(sequence):
    assert run(sequence).log == run(sequence).log
