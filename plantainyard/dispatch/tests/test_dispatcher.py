"""Runs of whole jobs in virtual time."""

from plantainyard.dispatch.tests.world import World, make_step


def test_a_job_runs_step_after_step():
    world = World()
    world.submit("a", make_step(3), make_step(2, after=(0,)))
    world.run(1.0)
    assert len(world.list_starts("a")) == 3
    world.run(2.5)
    assert len(world.list_starts("a")) == 5
    assert world.final_state("a") == "completed"


def test_a_submission_that_comes_twice_runs_once():
    # A caller lost the answer and sends the job again, at another instance; the copy
    # is read after the job has ended.
    world = World()
    world.submit("a", make_step(2))
    world.submit("a", make_step(2))
    world.run(3.0)
    world.submit("a", make_step(2))
    world.run(2.0)
    assert len(world.list_starts("a")) == 2


def test_a_start_is_stored_before_it_is_sent():
    # The store is down when a job's turn comes. A runner must not hear of it: an owner
    # that follows could not know where the task runs.
    world = World()
    world.store_down = True
    world.submit("a", make_step())
    world.run(1.0)
    assert world.list_starts("a") == []
    world.store_down = False
    world.run(0.5)
    assert len(world.list_starts("a")) == 1


def test_an_end_is_acknowledged_only_once_it_is_stored():
    # The store goes down while a task runs. Its end is listed by the runner until the
    # store has it; acknowledged earlier it would be known to nobody after a crash.
    world = World(runners=1)
    world.submit("a", make_step(2))
    world.run(0.5)
    world.store_down = True
    world.run(1.5)
    assert [end[1] for end in world.runners["r0"].ends] == ["a.0.0.0", "a.0.0.1"]
    world.store_down = False
    world.run(0.5)
    assert world.runners["r0"].ends == []
    assert world.final_state("a") == "completed"


def test_a_cancelled_job_stops_and_starts_nothing():
    world = World()
    world.submit("a", make_step(2), make_step(2, after=(0,)))
    world.run(0.5)
    world.cancel("a")
    world.run(2.0)
    assert world.list_running("a") == []
    assert len(world.list_starts("a")) == 2
    assert world.final_state("a") == "cancelled"


def test_a_task_that_fails_too_often_fails_its_job():
    world = World()
    for runner in world.runners.values():
        runner.faults.fails_all = True
    world.submit("a", make_step(), max_attempts=3)
    world.run(20.0)
    assert len(world.list_starts("a")) == 3
    assert world.final_state("a") == "failed"


def test_a_bad_runner_does_not_use_a_task_s_attempts_up():
    # One runner fails whatever it starts and is always free. The task must succeed
    # elsewhere before its attempts are spent.
    world = World()
    world.runners["r0"].faults.fails_all = True
    for number in range(6):
        world.submit(f"a{number}", make_step(2), max_attempts=2)
    world.run(15.0)
    assert {world.final_state(f"a{n}") for n in range(6)} == {"completed"}


def test_long_running_tasks_come_back_however_they_end():
    world = World()
    for runner in world.runners.values():
        runner.durations = {"a": 0.7}
    world.submit("a", make_step(2, long_running=True), max_attempts=1)
    world.run(6.0)
    assert len(world.list_starts("a")) > 8
    assert world.final_state("a") == ""


def test_no_runner_gets_more_than_it_holds():
    # Runners of this service start whatever they are told to, also beyond their room.
    world = World(runners=2)
    world.submit("a", make_step(20, cpu=10_000))
    for _ in range(40):
        world.run(0.1)
        for runner in world.runners.values():
            assert len(runner.running) <= 6
    world.run(5.0)
    assert world.final_state("a") == "completed"


def test_what_is_being_stopped_still_takes_room():
    world = World(runners=1)
    world.runners["r0"].stop_s = 1.0
    world.submit("a", make_step(6, cpu=10_000))
    world.run(0.4)
    world.cancel("a")
    world.submit("b", make_step(6, cpu=10_000))
    world.run(0.5)
    assert world.list_starts("b") == []
    world.run(1.5)
    assert len(world.list_starts("b")) == 6


def test_a_gang_starts_together_or_not_at_all():
    world = World(runners=2)
    world.submit("b", make_step(3, cpu=30_000))
    world.run(0.2)
    world.submit("a", make_step(4, cpu=30_000, gang=True))
    world.run(0.5)
    assert world.list_starts("a") == []
    world.run(3.0)
    times = {round(time, 1) for time, _, _ in world.list_starts("a")}
    assert len(world.list_starts("a")) == 4
    assert len(times) == 1


def test_tasks_of_a_step_keep_their_distance():
    world = World(runners=3)
    world.submit("a", make_step(5, max_per_runner=1))
    world.run(0.5)
    assert sorted(len(r.running) for r in world.runners.values()) == [1, 1, 1]
    world.run(3.0)
    assert world.final_state("a") == "completed"


def test_a_task_starts_only_where_its_label_is():
    world = World(runners=3)
    world.runners["r2"].labels = ("b", "r1-1")
    world.publish_entries()
    world.submit("a", make_step(4, requires="b"))
    world.run(0.5)
    assert len(world.runners["r2"].running) == 4


def test_a_task_starts_near_its_data():
    world = World(runners=3, remote_factor=3.0)
    world.runners["r1"].labels = ("a", "r1-2")
    world.publish_entries()
    world.submit("a", make_step(4, preferred_rack="r1-2"))
    world.run(0.5)
    assert len(world.runners["r1"].running) == 4


def test_nothing_starts_on_a_draining_runner():
    world = World(runners=2)
    world.runners["r0"].draining = True
    world.publish_entries()
    world.submit("a", make_step(4))
    world.run(0.5)
    assert world.runners["r0"].started == []


def test_occurrences_start_when_they_are_due():
    world = World()
    start_ms = round(world.now * 1000) + 1000
    world.submit("a", make_step(), times=2, start_at_ms=start_ms, interval_ms=2000)
    world.run(0.8)
    assert world.list_starts("a") == []
    world.run(5.0)
    times = [time for time, _, _ in world.list_starts("a")]
    assert [round(t * 10) for t in times] == [1012, 1032]
    assert world.final_state("a") == "completed"


def test_long_running_tasks_leave_a_draining_runner():
    # A runner reports that it is draining and leaves seconds later, with everything
    # on it. The service would be without its tasks until somebody notices.
    world = World(runners=2)
    for runner in world.runners.values():
        runner.durations = {"a": 0.0}
    world.submit("a", make_step(2, long_running=True))
    world.run(1.0)
    (home,) = {n for n, r in world.runners.items() if r.running}
    world.runners[home].draining = True
    world.publish_entries()
    world.run(1.5)
    assert not world.runners[home].running
    assert len(world.list_running("a")) == 2


def test_a_task_that_stands_still_is_started_elsewhere():
    # Tasks on one runner make no progress, and the runner reports nothing wrong.
    world = World(runners=2)
    for runner in world.runners.values():
        runner.faults.stands_still = True
    world.submit("a", make_step())
    world.run(0.3)
    (home,) = [n for n, r in world.runners.items() if r.running]
    for name, runner in world.runners.items():
        runner.faults.stands_still = name == home
    world.run(6.0)
    assert world.final_state("a") == "completed"


def test_a_gap_that_short_jobs_use_by_turns_isnt_given_away_for_good():
    # One runner is full but for a gap in which short jobs run one after the other. A
    # long-running task that waits for room would close it at the first pause.
    world = World(runners=1)
    world.runners["r0"].durations = {"full": 0.0, "lasting": 0.0}
    world.submit("full", make_step(cpu=60_000, long_running=True))
    world.run(3.0)
    for number in range(5):
        world.submit(f"short{number}", make_step(cpu=4_000))
        if number == 0:
            world.submit("lasting", make_step(cpu=4_000, long_running=True))
        world.run(1.5)
        assert world.final_state(f"short{number}") == "completed"
        assert world.list_starts("lasting") == []
    world.run(1.6)
    assert len(world.list_running("lasting")) == 1


def test_a_gang_that_finds_no_room_counts_as_waiting():
    # How long its tasks have waited decides which places will do. Taken to have waited
    # for ever, a backfilling gang went at once where its neighbours stop it.
    world = World(runners=1)
    world.submit("a", make_step(4, gang=True, backfill=True, max_per_runner=1))
    world.run(0.5)
    (step,) = world.state.jobs["a"].steps.values()
    since = {task.waiting_since for task in step.tasks}
    assert 100.0 <= min(since) <= max(since) <= 100.5
