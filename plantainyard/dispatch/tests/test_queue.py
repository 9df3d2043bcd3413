"""Order of waiting work that exceeds the capacity."""

from plantainyard.batch.values import Resources, Step, Submission
from plantainyard.dispatch.jobs import open_occurrence
from plantainyard.dispatch.model import Job
from plantainyard.dispatch.queue import find_critical_paths_ms, order_steps


def make_job(name: str, size: int, deadline: float, priority: int = 0) -> Job:
    step = Step(size, Resources(1000, 1, 0), 1000)
    submission = Submission(name, "q", "s", "", (step,), priority)
    job = Job(submission, deadline, find_critical_paths_ms(submission.steps))
    open_occurrence(job, 0, 0.0)
    return job


def order(now: float, *jobs: Job) -> list[str]:
    steps = [step for job in jobs for step in job.steps.values()]
    return [step.job.submission.job_id for step in order_steps(steps, now)]


def test_late_work_does_not_delay_work_that_can_be_in_time():
    # Guards against a burst after which every job is late: ordered by age, jobs that
    # are already late would be placed first.
    jobs = make_job("late", 1, 10.0), make_job("timely", 1, 50.0)
    assert order(20.0, *jobs) == ["timely", "late"]


def test_small_jobs_in_time_come_before_wide_ones():
    # Guards against a wide job that takes all capacity from several small ones.
    jobs = make_job("wide", 30, 40.0), make_job("small", 2, 50.0)
    assert order(20.0, *jobs) == ["small", "wide"]


def test_a_large_late_job_does_not_wait_for_ever():
    # Every second a small job becomes late; ordered by remaining work, each of them
    # would be placed before the large one.
    jobs = make_job("small", 1, 15.0), make_job("large", 30, 10.0)
    assert order(20.0, *jobs) == ["large", "small"]


def test_late_jobs_of_use_come_before_useless_ones():
    # A burst leaves late jobs, and jobs that their callers have abandoned. Guards
    # against an order by age, in which capacity goes to abandoned jobs until the others
    # have been abandoned too.
    jobs = make_job("given-up", 1, 5.0), make_job("late", 5, 15.0)
    jobs[0].useful_until, jobs[1].useful_until = 15.0, 45.0
    assert order(20.0, *jobs) == ["late", "given-up"]


def test_a_late_short_job_of_use_comes_before_a_long_running_one():
    # Guards against a short job that missed its objective by a second and ends too late
    # to be of use, because long-running jobs take each gap for a minute.
    late, endless = make_job("late", 1, 15.0), make_long_running_job("endless", 0)
    late.useful_until = 45.0
    assert order(20.0, endless, late) == ["late", "endless"]
    late.useful_until = 15.0
    assert order(20.0, endless, late) == ["endless", "late"]


def test_a_job_that_can_no_longer_be_in_time_counts_as_late():
    jobs = make_job("overdue", 1, 20.1), make_job("timely", 5, 50.0)
    assert order(20.0, *jobs) == ["timely", "overdue"]


def test_priority_takes_precedence_over_size():
    jobs = make_job("small", 1, 50.0, priority=2), make_job("wide", 9, 50.0)
    assert order(20.0, *jobs) == ["wide", "small"]


def make_long_running_job(name: str, run: int) -> Job:
    step = Step(1, Resources(1000, 1, 0), long_running=True)
    job = Job(Submission(name, "q", "s", "", (step,)), 20.0, (0.0,))
    open_occurrence(job, 0, 0.0)
    job.steps[0, 0].tasks[0].run = run
    return job


def test_a_gap_goes_to_a_short_job_before_a_long_running_one():
    # Guards against short jobs that find no capacity: long-running tasks hold nearly
    # all processors, and whenever a short task ended, a waiting one took its place.
    jobs = make_long_running_job("endless", 0), make_job("short", 1, 50.0)
    assert order(20.0, *jobs) == ["short", "endless"]


def test_interrupted_long_running_tasks_come_first():
    # A runner is lost with a long-running task, whose users are without service until
    # it runs again.
    jobs = make_job("short", 1, 50.0), make_long_running_job("interrupted", 3)
    assert order(20.0, *jobs) == ["interrupted", "short"]


def test_a_useless_short_job_does_not_delay_a_long_running_one():
    jobs = make_job("late", 1, 10.0), make_long_running_job("endless", 0)
    assert order(20.0, *jobs) == ["endless", "late"]
