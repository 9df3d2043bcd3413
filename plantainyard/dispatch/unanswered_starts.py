"""Starts that a later incarnation of their runner may carry out, or has carried out.

A copy of a start that isn't answered may be carried out seconds later. The incarnation
that it was sent to refuses it by then: the run has ended there, was stopped there, or
its lease has ended. An incarnation that begins later has seen neither the run nor a
fencing token until its first call. As long as a copy may be under way, the task
therefore starts again only at the runner that the copy was sent to: if that restarts
once more, the newer run ends with it.

The same holds for a copy that was answered, but not surely by the incarnation that it
was sent to. A later one grants its longest lease to a call that carries a time of the
clock before, and again with each such call.
"""

import itertools
import math

from plantainyard.dispatch.leases import GONE_AFTER_S, find_end_of_lease, is_gone
from plantainyard.dispatch.limits import Limits
from plantainyard.dispatch.model import Phase, Runner, Task, UnansweredStart
from plantainyard.dispatch.state import Dispatcher
from plantainyard.platform.entries import split_incarnation

__all__ = [
    "TRAVEL_S",
    "find_last_lapse",
    "find_recipient",
    "forget_late_copies",
    "forget_run",
    "has_surely_begun",
    "has_waiting",
    "list_recipients",
    "list_starts_s",
    "maintain_unanswered",
    "record_answer",
    "record_located_run",
    "record_other_run",
    "record_sending",
    "record_start",
    "restore_unanswered",
]


TRAVEL_S = 0.5
"""Time that is counted from the sending of a start until it arrives, unless it is late.
The call is written within 0.4 s and times out as long after that."""

MAX_WAIT_S = 2.0
"""Longest wait for a runner that answers but can't take a task; the platform counts a
task that could run as forgotten after three seconds."""


def record_start(state: Dispatcher, task: Task, runner: Runner, now: float) -> None:
    """Record that a copy of a task's start is about to be sent."""
    assert runner.entry is not None
    end = find_end_of_lease(state.limits, state.limits.late_call_s, now)
    copy = UnansweredStart(task.run, now, end)
    _add_start(state, task, runner.entry.runner, copy)


def _add_start(
    state: Dispatcher, task: Task, runner_id: str, copy: UnansweredStart
) -> None:
    task.unanswered.append(copy)
    task.recipient = runner_id
    state.unanswered_tasks[task.key] = task


def record_sending(state: Dispatcher, task: Task, sent_at: float) -> None:
    """Record when the newest copy of a task's start was sent, if later than decided.

    Notes
    -----
    Guards against two runs of one task: an owner that lacks processor time sends a
    start some time after its decision, and the run outlasts a wait counted from that.
    """
    copy = task.unanswered[-1] if task.unanswered else None
    if copy is not None and copy.run == task.run and sent_at > copy.sent_at:
        end = find_end_of_lease(state.limits, state.limits.late_call_s, sent_at)
        task.unanswered[-1] = copy._replace(sent_at=sent_at, end=end)


def record_answer(task: Task) -> None:
    """Forget the newest copy of a task's start, which was answered."""
    if task.unanswered and task.unanswered[-1].run == task.run:
        task.unanswered.pop()


def record_other_run(task: Task, now: float) -> None:
    """Record that another incarnation has carried out the newest copy of a start."""
    if task.unanswered and task.unanswered[-1].run == task.run:
        copy = task.unanswered.pop()
        task.unanswered.append(copy._replace(sent_at=now, began=True))


def record_located_run(task: Task, asked_at: float) -> None:
    """Record that the run is at the incarnation that its start was addressed to.

    Parameters
    ----------
    task : Task
        Changed in place.
    asked_at : float
        When the call was sent whose answer shows that.

    Notes
    -----
    Other copies of the start that should have arrived by then can only be carried out
    later, by another incarnation. There is none if only one copy was sent.
    """
    if task.starts_sent == 1:
        forget_run(task)
        return
    task.unanswered = [
        copy._replace(began=False)
        if copy.run == task.run and copy.sent_at + TRAVEL_S < asked_at
        else copy
        for copy in task.unanswered
    ]


def forget_run(task: Task) -> None:
    """Forget all copies of the start of a task's newest run."""
    task.unanswered = [copy for copy in task.unanswered if copy.run != task.run]


def forget_late_copies(state: Dispatcher, task: Task) -> None:
    """Forget the copies of the newest start that can only be carried out later.

    Notes
    -----
    A predecessor's copies are among them: the bound of the run that it stored says when
    nothing of it can be running any more.
    """
    task.unanswered = [
        copy
        for copy in task.unanswered
        if copy.run != task.run
        or (copy.began is not False and copy.sent_at >= state.took_over_at)
    ]


def restore_unanswered(
    state: Dispatcher, task: Task, runner_id: str, now: float
) -> None:
    """Record that a predecessor's start of a task may still be under way at a runner.

    Notes
    -----
    If it isn't known what the last predecessor sent, every start may be.
    """
    starts_s = state.inherited_starts_s
    if starts_s is None:
        left_s = _find_longest_s(state.limits)
    elif runner_id in starts_s:
        left_s = starts_s[runner_id]
    else:
        return
    end = find_end_of_lease(state.limits, left_s, now)
    _add_start(state, task, runner_id, UnansweredStart(task.run, now - TRAVEL_S, end))


def _find_longest_s(limits: Limits) -> float:
    """Return how long a start may be under way that is stored and may be repeated.

    Notes
    -----
    It is repeated for as long as the lease in it lasts, also by an owner that has been
    replaced without noticing.
    """
    return limits.lease_s + limits.late_call_s


def list_starts_s(state: Dispatcher, now: float) -> dict[str, float]:
    """Return how long starts may be under way, by the runner's id.

    Notes
    -----
    It covers the starts that are about to be stored and sent. Zero is listed if none
    can be carried out any more, but one of them may have a run that goes on. The cost
    is a pass over these and over the tasks with unanswered starts.
    """
    longest_s = _find_longest_s(state.limits)
    unsent = itertools.chain(state.assigned, (task for task, _ in state.unverified))
    left_s = {split_incarnation(task.incarnation)[0]: longest_s for task in unsent}
    for task in state.unanswered_tasks.values():
        known_s = left_s.get(task.recipient, 0.0)
        if _may_be_repeated(task):
            left_s[task.recipient] = longest_s
        elif task.unanswered:
            task_s = max(copy.end for copy in task.unanswered) - now
            left_s[task.recipient] = max(known_s, math.ceil(1000 * task_s) / 1000)
    return left_s


def _may_be_repeated(task: Task) -> bool:
    return task.phase == Phase.ORDERED and task.resolved_at is None


def has_waiting(state: Dispatcher) -> bool:
    """Return whether a task waits because a start of it may still be under way."""
    return any(t.phase == Phase.WAITING for t in state.unanswered_tasks.values())


def find_recipient(state: Dispatcher, task: Task) -> Runner | None:
    """Return the newest incarnation of the runner that a task's starts were sent to."""
    return state.runners.get(state.newest_incarnations.get(task.recipient, ""))


def list_recipients(tasks: list[Task]) -> dict[int, str]:
    """Return the runners' ids at which waiting tasks have to start, by task number."""
    return {
        task.key.number: task.recipient
        for task in tasks
        if task.phase == Phase.WAITING and task.unanswered
    }


def maintain_unanswered(state: Dispatcher, now: float) -> None:
    """Forget the copies that can't be carried out, or whose runs have surely ended."""
    for key, task in list(state.unanswered_tasks.items()):
        if task.unanswered and _is_settled(state, task, now):
            task.unanswered = []
        is_open = task.unanswered or _may_be_repeated(task)
        if not is_open or task.step.job.final_state:
            del state.unanswered_tasks[key]


def _is_settled(state: Dispatcher, task: Task, now: float) -> bool:
    """Return whether no copy can be carried out, and none has a run that goes on."""
    runner = find_recipient(state, task)
    if runner is None:
        # A new owner may not have read its entry yet.
        has_read = now > state.took_over_at + GONE_AFTER_S
        return has_read and _is_over_at_gone(state.limits, task, now)
    if runner.responsive and (runner.evacuated or _has_waited(task, runner, now)):
        return task.key not in runner.unwanted
    if runner.reported_at > _find_last_end(task):
        return task.key not in runner.unwanted
    if is_gone(runner, now) and not runner.responsive:
        return _is_over_at_gone(state.limits, task, now)
    return now > find_last_lapse(state.limits, task)


def find_last_lapse(limits: Limits, task: Task) -> float:
    """Return when every run has lapsed that a copy of a task's start may begin."""
    return _find_lapse(limits, _find_last_end(task))


def has_surely_begun(task: Task) -> bool:
    """Return whether no copy of a task's start can be carried out any more.

    Notes
    -----
    That is so if each was carried out, by another incarnation than the addressed one.
    """
    copies = [copy for copy in task.unanswered if copy.run == task.run]
    return bool(copies) and all(copy.began for copy in copies)


def _find_last_end(task: Task) -> float:
    """Return when no copy of a task's start can be carried out any more.

    Notes
    -----
    Nor can a call that renews a lease at its runner: none is sent once the runner is
    silent, and until then the start is repeated.
    """
    return max(copy.end for copy in task.unanswered)


def _is_over_at_gone(limits: Limits, task: Task, now: float) -> bool:
    """Return whether all runs have lapsed that may have begun before a runner was gone.

    Notes
    -----
    Guards against two runs of one task: a runner that has started again and is cut off
    from the store, too, has no entry and goes on until its lease ends.

    Guards against a long-running task that the platform counts as forgotten, nine
    seconds after its last run: it waits only for a run that is known to have begun.
    """
    is_long_running = task.step.spec.long_running
    sendings = [
        copy.sent_at
        for copy in task.unanswered
        if copy.began or (copy.began is None and not is_long_running)
    ]
    return not sendings or now > _find_lapse(limits, max(sendings) + TRAVEL_S)


def _has_waited(task: Task, runner: Runner, now: float) -> bool:
    """Return whether a task has waited for as long as it may wait for one runner.

    Notes
    -----
    Guards against a task that the platform counts as forgotten: its runner answers, but
    is full, is draining, or has failed it.
    """
    is_waiting = task.phase == Phase.WAITING and task.waiting_since
    since = max(task.waiting_since, runner.responsive_since)
    return bool(is_waiting) and now - since > MAX_WAIT_S


def _find_lapse(limits: Limits, last_call: float) -> float:
    """Return when a run has lapsed whose last call was carried out at a new clock."""
    return find_end_of_lease(limits, limits.longest_lease_s, last_call)
