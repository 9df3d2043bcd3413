"""Who comes first when there is more work than room."""

from plantainyard.batch.values import Resources, Step, Submission
from plantainyard.dispatch.jobs import open_occurrence
from plantainyard.dispatch.model import Job
from plantainyard.dispatch.queue import find_critical_paths_ms, order_steps


def make_job(name: str, size: int, deadline: float, priority: int = 0) -> Job:
    step = Step(size, Resources(1000, 1, 0), 1000)
    submission = Submission(name, "q", "s", "", (step,), priority)
    job = Job(submission, deadline, find_critical_paths_ms(submission.steps))
    open_occurrence(job, 0)
    return job


def order(now: float, *jobs: Job) -> list[str]:
    steps = [step for job in jobs for step in job.steps.values()]
    return [step.job.submission.job_id for step in order_steps(steps, now)]


def test_late_work_does_not_hold_up_what_can_be_in_time():
    # A burst leaves late jobs behind. Placed by age they would come first, and each
    # job after them would be late too.
    jobs = make_job("late", 1, 10.0), make_job("timely", 1, 50.0)
    assert order(20.0, *jobs) == ["timely", "late"]


def test_small_jobs_in_time_come_before_wide_ones():
    # A wide job comes before several small ones and takes all room.
    jobs = make_job("wide", 30, 40.0), make_job("small", 2, 50.0)
    assert order(20.0, *jobs) == ["small", "wide"]


def test_the_largest_late_job_does_not_wait_for_ever():
    # Every second a small job becomes late. By work left the large one would be
    # passed by each of them.
    jobs = make_job("small", 1, 15.0), make_job("large", 30, 10.0)
    assert order(20.0, *jobs) == ["large", "small"]


def test_late_jobs_of_use_come_before_those_of_no_use():
    # A burst leaves jobs that are late and jobs that their callers have given up. With
    # the oldest first, room goes to what nobody waits for until the others have been
    # given up too.
    jobs = make_job("given-up", 1, 5.0), make_job("late", 5, 15.0)
    jobs[0].useful_until, jobs[1].useful_until = 15.0, 45.0
    assert order(20.0, *jobs) == ["late", "given-up"]


def test_a_late_short_job_of_use_goes_before_a_lasting_one():
    # A short job that missed its objective by a second waited behind long-running jobs
    # that took each gap for a minute, and came too late to be of use.
    late, lasting = make_job("late", 1, 15.0), make_lasting_job("lasting", 0)
    late.useful_until = 45.0
    assert order(20.0, lasting, late) == ["late", "lasting"]
    late.useful_until = 15.0
    assert order(20.0, lasting, late) == ["lasting", "late"]


def test_what_can_not_be_in_time_any_more_counts_as_late():
    jobs = make_job("hopeless", 1, 20.1), make_job("timely", 5, 50.0)
    assert order(20.0, *jobs) == ["timely", "hopeless"]


def test_priority_goes_before_size():
    jobs = make_job("small", 1, 50.0, priority=2), make_job("wide", 9, 50.0)
    assert order(20.0, *jobs) == ["wide", "small"]


def make_lasting_job(name: str, run: int) -> Job:
    step = Step(1, Resources(1000, 1, 0), long_running=True)
    job = Job(Submission(name, "q", "s", "", (step,)), 20.0, (0.0,))
    open_occurrence(job, 0)
    job.steps[0, 0].tasks[0].run = run
    return job


def test_a_gap_goes_to_a_short_job_before_it_is_given_away_for_good():
    # Long-running tasks hold nearly all processors and more of them wait. Whenever a
    # short task ends, one of them took its place, and short jobs found none any more.
    jobs = make_lasting_job("lasting", 0), make_job("short", 1, 50.0)
    assert order(20.0, *jobs) == ["short", "lasting"]


def test_what_was_interrupted_comes_before_all_else():
    # A runner is lost with a long-running task, whose users are without service.
    jobs = make_job("short", 1, 50.0), make_lasting_job("interrupted", 3)
    assert order(20.0, *jobs) == ["interrupted", "short"]


def test_a_late_short_job_does_not_hold_up_a_service():
    jobs = make_job("late", 1, 10.0), make_lasting_job("lasting", 0)
    assert order(20.0, *jobs) == ["lasting", "late"]
