"""Tests of the summaries of a unit's work by queue and kind."""

from plantainyard.dispatch import ProcessorUse, QueueSummary, summarize_work
from plantainyard.dispatch.tests.world import World, make_step
from plantainyard.dispatch.timing import TimePart
from plantainyard.dispatch.work_summaries import StepKind


def test_a_summary_shows_which_work_holds_the_processors_that_a_queue_waits_for():
    # Guards against a queue that is late without a record of what it waited for.
    world = World(runners=1)
    world.runners["r0"].durations = {"watch": 0.0}
    world.submit("watch", make_step(cpu=60_000, long_running=True), queue="watches")
    world.run(3.0)
    world.submit("short", make_step(size=2, cpu=6_000), queue="lookups")
    world.run(4.0)
    summary = summarize_work(world.state, world.now)
    assert summary.queues == [
        QueueSummary(
            "lookups", StepKind.FINITE, 1, 1, 1, {TimePart.WAITING_CAPACITY: 2}
        ),
        QueueSummary("watches", StepKind.LONG_RUNNING, 1, 0, 0, {TimePart.WORKING: 1}),
    ]
    assert summary.processors == ProcessorUse(1, 64_000, 60_000, 0, 0, 4_000, 0)


def test_a_summary_shows_processors_that_can_not_be_used():
    # Guards against lost capacity that looks like too much work.
    world = World(runners=2)
    world.unreachable.add("r1")
    world.run(2.0)
    processors = summarize_work(world.state, world.now).processors
    assert (processors.runners, processors.total) == (1, 64_000)
    assert processors.unusable == 64_000
