"""Jobs that are handed to other units, with faults on the way."""

from plantainyard.batch.records import (
    decode_submission,
    encode_submission,
    make_submission_key,
)
from plantainyard.batch.values import Submission
from plantainyard.dispatch import Load, LoadsReceived
from plantainyard.dispatch.forwarding import DELIVERY_READ_S
from plantainyard.dispatch.handover import measure_load
from plantainyard.dispatch.load import NO_RUNNERS_LOAD
from plantainyard.dispatch.tests.world import World, make_step
from plantainyard.platform.store import Record
from standins.platform import RunnerState

ROOMY = Load(0.2, 0.0, 0.0, 0.0, 60_000)
LEASE_LAPSES_S = 7.0
FULL = Load(0.95, 0.5, 0.2, 0.2, 6_000)


def make_full_world() -> World:
    """Return a unit whose runner is full for good, beside one with room."""
    world = World(runners=1)
    world.runners["r0"].durations = {"full": 0.0}
    world.submit("full", make_step(cpu=63_000, long_running=True))
    world.run(1.0)
    world.send_event(LoadsReceived({3: FULL, 5: ROOMY}))
    return world


def list_forwarded(world: World) -> list[tuple[int, list[str]]]:
    return [(f.unit, [record.key for record in f.records]) for f in world.forwarded]


def list_keys(world: World) -> list[str]:
    return [key for _, keys in list_forwarded(world) for key in keys]


def test_a_job_that_waits_goes_where_there_is_room():
    # A unit's processors are all in use. Its jobs would wait for long while the
    # neighbour's runners are free; but what ends soon may leave room for them first.
    world = World(runners=1)
    world.runners["r0"].durations = {"full": 0.0, "short": 5.0}
    world.submit("full", make_step(cpu=60_000, long_running=True))
    world.run(3.0)
    world.submit("short", make_step(cpu=4000))
    world.run(0.5)
    world.send_event(LoadsReceived({3: FULL, 5: ROOMY}))
    world.submit("a", make_step(cpu=4000))
    assert list_forwarded(world) == []
    world.run(0.6)
    assert list_forwarded(world) == [(5, ["j/a"])]
    (record,) = world.forwarded[0].records
    assert decode_submission(record.value).hops == 1
    assert world.replica.jobs["a"].handed_to == 5
    assert world.list_starts("a") == []


def test_a_job_goes_at_once_where_only_long_running_ones_could_make_room_for_it():
    # The first step of a short job fits into a gap, its second one fits none: begun
    # here, it waited for a long-running job to end, for the rest of the day. Another
    # unit is hardly emptier, and has a gap that is large enough.
    world = World(runners=1)
    world.runners["r0"].durations = {"full": 0.0}
    world.submit("full", make_step(cpu=60_000, long_running=True))
    world.run(3.0)
    world.send_event(
        LoadsReceived(
            {3: FULL, 5: FULL._replace(reserved=0.93, waiting=0.0, gap=12_000)}
        )
    )
    world.submit("a", make_step(cpu=1000), make_step(cpu=9000, after=(0,)))
    assert list_forwarded(world) == [(5, ["j/a"])]
    world.submit("b", make_step(cpu=1000), make_step(cpu=3000, after=(0,)))
    assert list_forwarded(world) == [(5, ["j/a"])]


def test_a_long_running_job_goes_at_once():
    world = make_full_world()
    world.submit("a", make_step(cpu=500, long_running=True))
    assert list_forwarded(world) == [(5, ["j/a"])]


def test_nothing_is_handed_to_a_unit_that_is_hardly_emptier():
    world = make_full_world()
    world.send_event(LoadsReceived({3: FULL}))
    world.submit("a", make_step(cpu=4000))
    world.run(3.0)
    assert world.forwarded == []


def test_a_burst_is_spread_between_two_words_of_the_other_unit():
    # Ten wide jobs come between two of the neighbour's reports. Sent there all
    # together they would wait there instead.
    world = make_full_world()
    world.send_event(LoadsReceived({5: ROOMY}))
    for number in range(10):
        world.submit(f"a{number}", make_step(8, cpu=4000))
    world.run(1.0)
    assert 4 <= len(list_keys(world)) <= 7


def test_jobs_that_are_handed_over_together_are_sent_in_few_calls():
    # Guards against a burst that is sent on one append after the other.
    world = make_full_world()
    world.store_down = True
    for number in range(5):
        world.submit(f"a{number}", make_step(cpu=4000))
    world.store_down = False
    world.run(0.3)
    together = [[f"j/a{number}" for number in range(1, 5)]]
    assert [keys for _, keys in list_forwarded(world)][-1:] == together


def test_a_burst_of_large_jobs_fits_into_the_calls_that_the_store_takes():
    # Guards against a call that the store refuses for its size, and that is repeated
    # for good.
    world = make_full_world()
    world.store_down = True
    for number in range(9):
        world.submit(f"a{number}", make_step(cpu=4000, image="x" * 200_000))
    world.store_down = False
    world.run(0.3)
    sizes = [sum(len(r.value) for r in f.records) for f in world.forwarded]
    assert max(sizes) < 700_000
    assert list_keys(world) == [f"j/a{number}" for number in range(9)]


def test_a_unit_that_has_lost_all_runners_hands_over_all_that_fits_elsewhere():
    # Guards against jobs that wait for minutes beside a unit that is nearly empty: of a
    # unit without runners one job went with each of the neighbour's words.
    world = World(runners=1)
    world.lose_runner("r0")
    world.run(LEASE_LAPSES_S)
    world.send_event(LoadsReceived({5: ROOMY}))
    for number in range(10):
        world.submit(f"a{number}", make_step(cpu=1000))
    world.run(1.0)
    assert len(list_keys(world)) == 10


def test_a_unit_that_has_lost_all_runners_does_not_flood_another():
    # Guards against wide jobs that all wait in the unit that they were handed to, and
    # can't be handed on.
    world = World(runners=1)
    world.lose_runner("r0")
    world.run(LEASE_LAPSES_S)
    world.send_event(LoadsReceived({5: ROOMY}))
    for number in range(100):
        world.submit(f"a{number}", make_step(8, cpu=4000))
    world.run(1.0)
    assert 2 <= len(list_keys(world)) <= 10


def test_a_job_that_has_begun_stays():
    # One task of a job runs, the other waits for room. Handed over now, both would be
    # started anew elsewhere, and one run twice at the same time.
    world = World(runners=1)
    world.runners["r0"].durations = {"a": 5.0}
    world.submit("a", make_step(2, cpu=40_000))
    world.run(0.5)
    world.send_event(LoadsReceived({5: ROOMY}))
    world.run(2.0)
    assert world.forwarded == []
    assert len(world.list_starts("a")) == 1


def test_a_job_is_handed_over_once():
    # Two full units would pass it to and fro, and it would run in neither.
    world = make_full_world()
    world.submit("a", make_step(cpu=4000), hops=1)
    world.run(2.0)
    assert world.forwarded == []


def test_a_job_is_sent_only_once_that_is_stored():
    # The store is down. Sent before the record, the job would run in its new unit, and
    # in the old one too under the owner that follows.
    world = make_full_world()
    world.store_down = True
    world.submit("a", make_step(cpu=4000))
    world.run(1.0)
    assert world.forwarded == []
    world.store_down = False
    world.run(0.3)
    assert list_forwarded(world) == [(5, ["j/a"])]


def test_a_successor_sends_again_what_may_not_have_been_sent():
    # Guards against a job that nobody has: its owner dies after it has stored that the
    # job is another unit's, and before it was sent there or heard that it was.
    world = make_full_world()
    world.losing_forwards = True
    world.submit("a", make_step(cpu=4000))
    world.run(3.0)
    assert world.replica.jobs["a"].handed_to == 5
    assert list_forwarded(world) == []
    world.losing_forwards = False
    world.change_owner()
    world.run(0.3)
    assert list_forwarded(world) == [(5, ["j/a"])]
    assert world.list_starts("a") == []


def test_a_successor_does_not_send_again_what_has_arrived():
    # Guards against a new owner that is busy with all that was ever handed over.
    world = make_full_world()
    world.submit("a", make_step(cpu=4000))
    world.run(DELIVERY_READ_S + 1.0)
    world.submit("other", make_step(cpu=500))
    world.run(1.0)
    world.forwarded = []
    world.change_owner()
    world.run(3.0)
    assert list_forwarded(world) == []
    assert world.list_starts("a") == []
    world.cancel("a")
    assert list_forwarded(world) == [(5, ["c/a"])]


def test_cancelling_follows_the_job():
    world = make_full_world()
    world.submit("a", make_step(cpu=4000))
    world.run(0.6)
    world.cancel("a")
    assert list_forwarded(world)[-1] == (5, ["c/a"])


def test_a_cancel_that_comes_on_the_way_goes_after_the_job():
    # The cancel is read while the record of the handing over is on its way. Sent
    # before the job, or not at all, it would be lost on the new unit.
    world = make_full_world()
    world.store_down = True
    world.submit("a", make_step(cpu=4000))
    world.run(0.6)
    world.cancel("a")
    world.store_down = False
    world.run(0.3)
    assert list_forwarded(world) == [(5, ["j/a", "c/a"])]


def test_a_submission_that_comes_again_does_not_bring_the_job_back():
    world = make_full_world()
    world.submit("a", make_step(cpu=4000))
    world.run(0.6)
    world.send_event(LoadsReceived({}))
    world.resubmit("a")
    world.runners["r0"].durations = {}
    world.cancel("full")
    world.run(2.0)
    assert world.list_starts("a") == []


def interrupt(world: World) -> None:
    """Lose the runner that a long-running job's only task is on; the other is full."""
    world.submit("a", make_step(2, cpu=30_000, long_running=True, max_per_runner=1))
    world.run(2.0)
    world.submit("full", make_step(cpu=30_000, long_running=True))
    world.run(2.5)
    lost = next(name for name, r in world.runners.items() if not is_full(r))
    world.lose_runner(lost)
    world.send_event(LoadsReceived({5: ROOMY}))


def is_full(runner: RunnerState) -> bool:
    return len(runner.running) > 1


def make_interrupted_world(losing_forwards: bool = False) -> World:
    world = World(runners=2)
    world.losing_forwards = losing_forwards
    for runner in world.runners.values():
        runner.durations = {"a": 0.0, "full": 0.0}
    interrupt(world)
    world.run(LEASE_LAPSES_S)
    return world


def test_an_interrupted_task_goes_alone_where_there_is_room():
    # A runner is lost and its unit has no room for the task that was there. Another
    # unit has; the task's users would be without it until the day's end.
    world = make_interrupted_world()
    ((unit, (key,)),) = list_forwarded(world)
    assert unit == 5
    (record,) = world.forwarded[0].records
    piece = decode_submission(record.value)
    assert (piece.job_id, piece.first_run, piece.hops) == ("a", 1, 1)
    assert key == f"j/{piece.record_id}"
    assert len(world.list_running("a")) == 1


def test_an_interrupted_task_goes_to_a_unit_that_is_as_full_as_its_own():
    # Guards against a service that stays interrupted because all units are alike: its
    # own runners have others of its tasks, which must be kept apart.
    world = World(runners=2)
    for runner in world.runners.values():
        runner.durations = {"a": 0.0}
    world.submit("a", make_step(2, cpu=20_000, long_running=True, max_per_runner=1))
    world.run(2.0)
    world.lose_runner("r0")
    world.run(LEASE_LAPSES_S)
    world.send_event(LoadsReceived({5: world.state.load._replace(waiting=0.5)}))
    world.run(1.0)
    assert [unit for unit, _ in list_forwarded(world)] == [5]


def test_a_successor_sends_an_interrupted_task_again():
    world = make_interrupted_world(losing_forwards=True)
    (forward,) = world.pending_forwards
    world.losing_forwards = False
    world.change_owner()
    world.run(0.5)
    assert world.forwarded == [forward]
    assert len(world.list_running("a")) == 1


def test_a_successor_does_not_send_a_task_again_that_has_arrived():
    world = make_interrupted_world()
    world.run(DELIVERY_READ_S + 1.0)
    world.submit("other", make_step(cpu=500))
    world.run(1.0)
    world.forwarded = []
    world.change_owner()
    world.run(2.0)
    assert list_forwarded(world) == []
    assert len(world.list_running("a")) == 1


def test_cancelling_a_job_reaches_the_task_that_went_elsewhere():
    world = make_interrupted_world()
    ((_, (key,)),) = list_forwarded(world)
    world.cancel("a")
    world.run(1.0)
    assert list_forwarded(world)[-1] == (5, ["c" + key[1:]])
    assert world.list_running("a") == []
    assert world.final_state("a") == "cancelled"


def test_a_cancel_outlives_the_owner_that_was_to_pass_it_on():
    # Guards against cancelled tasks that go on in another unit after a loss of power.
    world = make_interrupted_world()
    ((_, (key,)),) = list_forwarded(world)
    world.losing_forwards = True
    world.cancel("a")
    world.run(1.0)
    assert world.list_running("a") == []
    world.losing_forwards = False
    world.change_owner()
    world.run(1.0)
    assert list_forwarded(world)[-1] == (5, ["c" + key[1:]])
    assert world.final_state("a") == "cancelled"


def test_a_task_from_another_unit_goes_on_from_its_last_run():
    # Its old runs may still be started late; numbered alike, the new one would be
    # taken for one of them.
    home = make_interrupted_world()
    (record,) = home.forwarded[0].records
    world = World(runners=1)
    world.runners["r0"].durations = {"a": 0.0}
    world.receive_submission(record)
    world.run(1.0)
    ((_, task, run),) = world.list_starts("a")
    assert (task.rpartition(".")[0], run) == ("a.0.0", 2)
    world.change_owner()
    world.run(1.0)
    assert world.list_starts("a") == [(world.list_starts("a")[0][0], task, 2)]
    world.cancel(record.key[2:])
    world.run(1.0)
    assert world.list_running("a") == []


def test_tasks_of_one_step_that_come_alone_keep_apart():
    # Two tasks of a step that allows one a runner come from other units, each by
    # itself. Their records have nothing in common but their job's id.
    world = World(runners=1)
    world.runners["r0"].durations = {"a": 0.0}
    step = make_step(9, long_running=True, max_per_runner=1)
    for number in (3, 4):
        piece = Submission(
            "a", "q", "tollgate", "spec", (step,), hops=1, piece=(0, 0, number)
        )
        key = make_submission_key(piece.record_id)
        world.receive_submission(Record(key, encode_submission(piece)))
    world.run(1.0)
    assert len(world.list_running("a")) == 1


def test_a_new_owner_hands_nothing_over_before_it_has_seen_its_runners():
    # An owner takes over and no runner has reported yet, so its unit seems full. Its
    # jobs would all go to the neighbours within the first tenth of a second.
    world = World(runners=1)
    world.unreachable.add("r0")
    world.change_owner()
    world.send_event(LoadsReceived({5: ROOMY}))
    world.submit("a", make_step(cpu=500, long_running=True))
    world.run(0.5)
    assert world.forwarded == []
    world.unreachable.clear()
    world.run(1.0)
    assert len(world.list_running("a")) == 1


def test_a_runner_that_takes_no_work_is_no_room():
    # A runner has listed a part of its ends only. Nothing starts there until it has
    # told all; counted as room, it draws jobs from other units that then wait.
    world = World(runners=1)
    (runner,) = world.state.runners.values()
    assert measure_load(world.state) != NO_RUNNERS_LOAD
    runner.has_reported = False
    assert measure_load(world.state) == NO_RUNNERS_LOAD


def test_tasks_that_go_one_by_one_stop_going_once_loads_are_even():
    # Two tasks wait in a unit that is a little fuller than the neighbour. Both sent
    # there in one moment, the neighbour is the fuller one and sends them back.
    world = make_full_world()
    world.send_event(LoadsReceived({5: Load(1.0, 0.0, 0.0, 0.0, 6_000)}))
    for job_id in ("a", "b"):
        world.submit(job_id, make_step(cpu=4_000, long_running=True), hops=1)
    world.run(1.5)
    assert len(list_keys(world)) == 1


def test_interrupted_tasks_of_one_job_wait_at_the_same_time():
    # A runner with several tasks of a service is lost and its unit is full. Each was
    # handed over only 0.6 s after the one before; the last counted as forgotten.
    world = make_full_world()
    world.send_event(LoadsReceived({5: ROOMY}))
    world.submit("a", make_step(5, cpu=1_500, long_running=True), hops=1)
    world.run(1.0)
    assert len(set(list_keys(world))) == 5


CROWDED_BUT_ROOMY = FULL._replace(slots=(60,) * 14, ending=30_000, gap=2_000)


def make_nearly_full_world() -> World:
    """Return a unit of which long-running tasks leave a gap on one of two runners."""
    world = World(runners=2)
    world.runners["r0"].durations = world.runners["r1"].durations = {"full": 0.0}
    world.submit("full", make_step(cpu=64_000, long_running=True))
    world.submit("most", make_step(cpu=60_000, long_running=True))
    world.run(4.0)
    return world


def test_a_wide_job_does_not_begin_in_the_one_gap_of_its_unit():
    # Long-running tasks leave a gap for one task. A job of twelve began in it, could
    # not leave any more, and did one task after the other for the rest of the day. The
    # neighbour's runners are all in use at this moment, by tasks that end in a second.
    world = make_nearly_full_world()
    world.send_event(LoadsReceived({3: FULL, 5: CROWDED_BUT_ROOMY}))
    world.submit("a", make_step(12, cpu=3000))
    assert list_forwarded(world) == [(5, ["j/a"])]
    assert world.list_starts("a") == []


def test_a_job_that_its_unit_has_room_for_stays():
    world = make_nearly_full_world()
    world.send_event(LoadsReceived({5: CROWDED_BUT_ROOMY}))
    world.submit("a", make_step(2, cpu=2000))
    world.run(0.2)
    assert world.forwarded == []
    assert len(world.list_starts("a")) == 2


def test_a_job_stays_where_the_others_are_as_crowded():
    # Loads are told once a second. Moved for little, jobs come where others came.
    world = make_nearly_full_world()
    crowded = CROWDED_BUT_ROOMY._replace(slots=(1,) * 14, ending=0)
    world.send_event(LoadsReceived({3: crowded, 5: FULL._replace(slots=(0,) * 14)}))
    world.submit("a", make_step(2, cpu=3500))
    world.run(0.2)
    assert world.forwarded == []
    assert len(world.list_starts("a")) == 1


def test_a_word_that_counts_other_sizes_draws_no_jobs():
    # While a release is rolled out owners of two versions tell each other their loads.
    world = make_nearly_full_world()
    world.send_event(
        LoadsReceived({3: CROWDED_BUT_ROOMY._replace(slots=(60,) * 3), 5: FULL})
    )
    world.submit("a", make_step(12, cpu=3000))
    world.run(0.2)
    assert world.forwarded == []


def test_wide_jobs_are_spread_between_two_words_of_the_other_units():
    world = make_nearly_full_world()
    empty = CROWDED_BUT_ROOMY._replace(ending=0)
    world.send_event(LoadsReceived({3: empty, 5: empty}))
    for number in range(6):
        world.submit(f"a{number}", make_step(12, cpu=3000))
    world.run(0.2)
    units = [unit for unit, keys in list_forwarded(world) for _ in keys]
    assert sorted(units) == [3, 3, 3, 5, 5, 5]
