"""Whether a runner has answered since the start of a long-running task was decided.

See `verified_starts` for the reason. A start that wasn't answered is repeated under the
same condition, as its runner may have started again since the first copy.
"""

from plantainyard.dispatch.model import Phase, Runner, Task
from plantainyard.dispatch.state import Dispatcher

__all__ = [
    "count_verification",
    "is_unverified",
    "needs_verification",
    "request_verifications",
    "require_verification",
]


VERIFIED_FOR_S = 1.0
"""Time for which an answer counts from the sending of its call. Calls time out sooner,
so that only the owner's own delay, or a slow store, makes an answer older."""

MAX_OLD_ANSWERS = 2
"""Number of successive answers to verifying requests that were too old when the owner
handled them, after which such an answer counts. One that was stopped once has one."""


def needs_verification(task: Task) -> bool:
    """Return whether the start of a task waits for an answer of its runner."""
    return task.step.spec.long_running


def request_verifications(state: Dispatcher, now: float) -> None:
    """Let the runners be asked at which assigned long-running tasks are to start.

    Notes
    -----
    Called when the assignments are about to be stored, so that the answer usually comes
    before that is done.
    """
    for task in state.assigned:
        if needs_verification(task) and task.phase == Phase.STORING:
            task.unverified_since = now
            state.verifying.setdefault(task.incarnation)


def count_verification(runner: Runner, sent_at: float, now: float) -> None:
    """Count an answer to a verifying request, by whether it came too late to count."""
    is_old = now - sent_at > VERIFIED_FOR_S
    runner.old_answers = runner.old_answers + 1 if is_old else 0


def require_verification(state: Dispatcher, task: Task, now: float) -> None:
    """Let the runner of a task be asked whose start had no answer.

    Notes
    -----
    Guards against two runs of one task: the start was lost, its runner has started
    again, and the repetition is carried out by an incarnation that nobody knows of.
    """
    task.unverified_since = now
    state.verifying.setdefault(task.incarnation)


def is_unverified(state: Dispatcher, task: Task, now: float) -> bool:
    """Return whether a start waits for an answer, which is then asked for if it isn't.

    Notes
    -----
    Guards against a start on the strength of an old answer: the store was slow, or the
    owner was held up with an answer that it had received.

    Guards against a task that is never started, because its owner lacks processor time
    and handles every answer too late.
    """
    runner = state.runners.get(task.incarnation)
    if runner is None or not runner.responsive:
        return False
    is_late_owner = runner.old_answers >= MAX_OLD_ANSWERS
    oldest_at = 0.0 if is_late_owner else now - VERIFIED_FOR_S
    if runner.verified_at >= max(task.unverified_since, oldest_at):
        return False
    if not runner.verifying_at:
        state.verifying.setdefault(runner.incarnation)
    return True
