"""Test environment in virtual time: stand-in runners, a store and a dispatcher."""

import copy
import json
import math
from typing import Any

from result import Err

from plantainyard.batch.records import (
    decode_submission,
    encode_submission,
    make_cancel_key,
    make_submission_key,
)
from plantainyard.batch.replica import (
    FENCES_KEY,
    NO_BOUNDS,
    Replica,
    apply_record,
    encode_fences,
    mark_job_started,
    mark_jobs_delivered,
)
from plantainyard.batch.values import Resources, Step, Submission
from plantainyard.dispatch import (
    Action,
    CancelRequested,
    Commit,
    Committed,
    EntryChanged,
    EvacuationsRead,
    Event,
    Forward,
    Forwarded,
    HandoversConfirmed,
    JobSetAside,
    JobStarted,
    JobSubmitted,
    JobSummary,
    LeasesReported,
    Limits,
    OrderAnswered,
    OrderKind,
    OwnershipRenewed,
    PredecessorEnded,
    ReportFailed,
    ReportReceived,
    RequestReport,
    RoomReleased,
    RoomReserved,
    RunGivenUp,
    RunnerSlow,
    RunnerTrusted,
    SendOrder,
    TaskMovedForRoom,
    Tick,
    list_lease_ends,
    restore_dispatcher,
    step,
)
from plantainyard.platform.entries import decode_entry
from plantainyard.platform.runner_messages import OrderOutcome, OrderResult
from plantainyard.platform.store_messages import Record
from standins.platform import RunnerState
from standins.platform.samples import SERVICE, order_runner, request_report

TICK_S = 0.1
EVACUATIONS_INTERVAL_S = 1.0


class World:
    """Runners, a store of records, and a dispatcher with successive owners.

    Orders are answered at once, except those to `unreachable` runners, those whose
    answer is lost after they took effect (`answers_to_lose`), and those of
    `delayed_kind` that are kept back (`orders_to_delay`) until `deliver_delayed`. All
    orders to runners in `losing_orders` are kept back too, while their reports arrive.
    Reports are answered with the next step of time. With `has_slow_answers` this is
    true of orders too, and reports wait for an end of a run as long as requested. An
    owner that lacks processor time handles only one tick of several (`tick_every`).

    A change of owner may cut the owner off instead of ending it: it goes on without the
    store, as another world with the same runners (`former_owners`), until its successor
    reaches it.

    The owner reads each second which domains are evacuated (`evacuated`), if its limits
    bound the age of a reading, and while it reaches the store.

    Calls carry the fencing tokens that the dispatcher chose, from the number of its
    owner on.
    """

    unit = 0

    def __init__(self, runners: int = 3, **limits: Any) -> None:
        self.now = 100.0
        self.limits = Limits(**limits)
        self.runners = {f"r{n}": RunnerState(f"r{n}") for n in range(runners)}
        self.stored: dict[str, bytes] = {}
        self.replica = Replica()
        self.submissions: dict[str, Submission] = {}
        self.unreachable: set[str] = set()
        self.losing_orders: set[str] = set()
        self.answers_to_lose = 0
        self.orders_to_delay = 0
        self.delayed_kind = OrderKind.START
        self.delayed_orders: list[tuple[SendOrder, int]] = []
        self.store_down = False
        self.evacuated: set[str] = set()
        self.evacuations_due_at = 0.0
        self.entries_published = True
        self.renewing = True
        self.pending_commit: Commit | None = None
        self.pending_reports: list[tuple[float, RequestReport]] = []
        self.has_slow_answers = False
        self.ticks = 0
        self.tick_every = 1
        self.answers: list[OrderAnswered] = []
        self.forwarded: list[Forward] = []
        self.pending_forwards: list[Forward] = []
        self.losing_forwards = False
        self.summaries: list[JobSummary] = []
        self.exceptions: list[JobSetAside] = []
        self.given_up: list[RunGivenUp] = []
        self.health_changes: list[tuple[float, RunnerSlow | RunnerTrusted]] = []
        self.room_actions: list[
            tuple[float, RoomReserved | RoomReleased | TaskMovedForRoom]
        ] = []
        self.owners = 0
        self.former_owners: list[World] = []
        self.change_owner()

    def replace_owner(self) -> None:
        """Let a new owner take over from one that then reports its leases."""
        self.end_owner(self.cut_off_owner())

    def cut_off_owner(self, *runners: str) -> "World":
        """Let a new owner take over from one that goes on without the store.

        Some runners are cut off together with the old owner; the new one can't reach
        them.
        """
        former = copy.copy(self)
        former.store_down, former.renewing = True, False
        former.unreachable = set(self.unreachable)
        former.delayed_orders = []
        former.former_owners = []
        self.former_owners.append(former)
        self.unreachable |= set(runners)
        self.change_owner()
        return former

    def end_owner(self, former: "World") -> None:
        """Let an owner that was cut off learn that it has a successor.

        Only the last owner before the current one is asked which leases remain.
        """
        self.former_owners.remove(former)
        if former.owners == self.owners - 1:
            ends = list_lease_ends(former.state.runners.values())
            remaining_s = {k: max(0.0, v - self.now) for k, v in ends.items()}
            self.send_event(LeasesReported(remaining_s))

    def restart_owner(self, ended_s: float = 0.0) -> None:
        """Let a new owner take over that learns that the process before has ended."""
        self.change_owner()
        self.send_event(PredecessorEnded(ended_s))

    def change_owner(self) -> None:
        """Let a new owner take over from the stored records; the old one has ended."""
        self.owners += 1
        self.pending_commit = None
        self.pending_forwards = []
        self.pending_reports = []
        self.answers = []
        self.replica = Replica()
        for key, value in self.stored.items():
            apply_record(self.replica, key, value)
        fence = max(self.owners, self.replica.fences.highest + 1)
        if fence > self.owners:
            fences = self.replica.fences._replace(highest=fence)
            self.store(FENCES_KEY, encode_fences(fences))
        bounds = self.replica.bounds
        self.state = restore_dispatcher(
            self.replica,
            self.limits,
            self.now,
            self.now * 1000,
            self.now,
            fence,
            self.owners,
            bounds if bounds.epoch == self.owners - 1 else NO_BOUNDS,
            self.unit,
        )
        self.evacuations_due_at = self.now
        self.publish_entries()
        self.run(TICK_S)

    def store(self, key: str, value: bytes) -> None:
        """Store a record and apply it to the replica at once."""
        self.stored[key] = value
        apply_record(self.replica, key, value)

    def publish_entries(self) -> None:
        """Let the owner read the entries of all runners."""
        if not self.entries_published:
            return
        for name, runner in self.runners.items():
            entry = decode_entry(
                name, json.dumps(runner.build_entry(self.now)).encode()
            )
            self.send_event(EntryChanged(name, entry))

    def submit(self, job_id: str, *steps: Step, queue: str = "q", **more: Any) -> None:
        submission = Submission(job_id, queue, SERVICE, "spec", steps, **more)
        self.submissions[job_id] = submission
        key = make_submission_key(job_id)
        self.store(key, encode_submission(submission))
        self.send_event(JobSubmitted(submission))

    def resubmit(self, job_id: str) -> None:
        """Repeat a submission, like a caller that didn't get the answer."""
        self.send_event(JobSubmitted(self.submissions[job_id]))

    def receive_submission(self, record: Record) -> None:
        """Read a submission that the owner of another unit has stored."""
        self.store(record.key, record.value)
        self.send_event(JobSubmitted(decode_submission(record.value)))

    def lose_runner(self, name: str) -> None:
        """Remove a runner permanently, with its runs and its entry."""
        del self.runners[name]
        self.unreachable.add(name)
        self.send_event(EntryChanged(name, None))

    def cancel(self, job_id: str) -> None:
        self.store(make_cancel_key(job_id), b"1")
        self.send_event(CancelRequested(job_id))

    def send_event(self, event: Event) -> None:
        events: list[Event] = [event]
        while events:
            actions = step(self.state, events.pop(0), self.now)
            for action in actions:
                events += self.perform(action)

    def perform(self, action: Action) -> list[Event]:
        if isinstance(action, Commit):
            if self.store_down:
                self.pending_commit = action
                return []
            return self.commit(action)
        if isinstance(action, Forward):
            if self.store_down or self.losing_forwards:
                self.pending_forwards.append(action)
                return []
            return self.forward(action)
        if isinstance(action, RequestReport):
            # Reports are answered with the next step of time.
            self.pending_reports.append((self.now, action))
            return []
        if isinstance(action, JobStarted):
            mark_job_started(self.replica, action.job_id)
            return []
        if isinstance(action, JobSetAside):
            self.exceptions.append(action)
            return []
        if isinstance(action, RunGivenUp):
            self.given_up.append(action)
            return []
        if isinstance(action, RunnerSlow | RunnerTrusted):
            self.health_changes.append((self.now, action))
            return []
        if isinstance(action, RoomReserved | RoomReleased | TaskMovedForRoom):
            self.room_actions.append((self.now, action))
            return []
        if isinstance(action, HandoversConfirmed):
            mark_jobs_delivered(self.replica, action.job_ids)
            return []
        assert isinstance(action, SendOrder)
        return self.order(action)

    def forward(self, action: Forward) -> list[Event]:
        self.forwarded.append(action)
        return [Forwarded([record.key for record in action.records])]

    def commit(self, action: Commit) -> list[Event]:
        for record in action.records:
            self.store(record.key, record.value)
        self.summaries += action.summaries
        return [Committed()]

    def order(self, action: SendOrder) -> list[Event]:
        name = action.entry.runner
        lost = OrderResult(OrderOutcome.UNKNOWN)
        result = lost
        if name in self.losing_orders:
            self.delayed_orders.append((action, action.fence))
        elif action.kind == self.delayed_kind and self.orders_to_delay > 0:
            self.orders_to_delay -= 1
            self.delayed_orders.append((action, action.fence))
        elif self.is_reachable(name):
            result = self.deliver_order(action)
            if self.answers_to_lose > 0:
                self.answers_to_lose -= 1
                result = lost
        incarnation = action.entry.incarnation
        answer = OrderAnswered(
            action.kind, action.task, action.run, incarnation, result, self.now
        )
        if self.has_slow_answers:
            self.answers.append(answer)
            return []
        return [answer]

    def is_reachable(self, name: str) -> bool:
        return name in self.runners and name not in self.unreachable

    def deliver_order(self, action: SendOrder) -> OrderResult:
        return order_runner(self.runners[action.entry.runner], action, self.now)

    def deliver_delayed(self) -> None:
        """Deliver the orders that were kept back, with their old fencing tokens."""
        for action, _ in self.delayed_orders:
            if action.entry.runner in self.runners:
                self.deliver_order(action)
        self.delayed_orders = []

    def run(self, seconds: float) -> None:
        """Let time pass in steps of one tick."""
        until = self.now + seconds
        while self.now < until - 1e-9:
            self.now += TICK_S
            for runner in self.runners.values():
                runner.advance(self.now)
            for former in self.former_owners:
                former.run(TICK_S)
            answers, self.answers = self.answers, []
            for answer in answers:
                self.send_event(answer)
            self.answer_reports()
            if self.pending_commit is not None and not self.store_down:
                waiting, self.pending_commit = self.pending_commit, None
                for event in self.commit(waiting):
                    self.send_event(event)
            if not self.store_down and not self.losing_forwards:
                pending_forwards, self.pending_forwards = self.pending_forwards, []
                for forward in pending_forwards:
                    for event in self.forward(forward):
                        self.send_event(event)
            if self.renewing and not self.store_down:
                self.send_event(OwnershipRenewed(self.now))
                self.read_evacuations()
            self.ticks += 1
            if self.ticks % self.tick_every == 0:
                self.send_event(Tick())

    def read_evacuations(self) -> None:
        """Let the owner read the evacuations if a reading is due."""
        bounded = self.limits.evacuation_age_s < math.inf
        if bounded and self.now >= self.evacuations_due_at:
            self.evacuations_due_at = self.now + EVACUATIONS_INTERVAL_S
            self.send_event(EvacuationsRead(frozenset(self.evacuated), self.now))

    def answer_reports(self) -> None:
        pending_reports, self.pending_reports = self.pending_reports, []
        for sent_at, action in pending_reports:
            if self.has_slow_answers and self.is_report_waiting(sent_at, action):
                self.pending_reports.append((sent_at, action))
            else:
                at = sent_at if self.has_slow_answers else self.now - 0.01
                self.send_event(self.answer_report(action, at))

    def is_report_waiting(self, sent_at: float, action: RequestReport) -> bool:
        """Return whether a runner still waits for an end to report, as requested."""
        runner = self.runners.get(action.entry.runner)
        if runner is None or action.entry.runner in self.unreachable or runner.ends:
            return False
        return self.now < sent_at + action.wait_s

    def answer_report(
        self, action: RequestReport, sent_at: float
    ) -> ReportReceived | ReportFailed:
        incarnation, name = action.entry.incarnation, action.entry.runner
        if not self.is_reachable(name):
            return ReportFailed(incarnation, sent_at, "no answer")
        found = request_report(self.runners[name], action, self.now)
        if isinstance(found, Err):
            return ReportFailed(incarnation, sent_at, found.err_value.detail)
        return ReportReceived(incarnation, found.ok_value, sent_at)

    def list_starts(self, job_id: str) -> list[tuple[float, str, int]]:
        """Return all runs of a job that started at any runner, in order."""
        return sorted(
            start
            for runner in self.runners.values()
            for start in runner.started
            if start[1].startswith(job_id)
        )

    def list_running(self, job_id: str) -> list[str]:
        """Return the names of a job's running tasks, one for each run."""
        return [
            task
            for runner in self.runners.values()
            for task in runner.running
            if task.startswith(job_id)
        ]

    def final_state(self, job_id: str) -> str:
        return self.replica.jobs[job_id].final_state


def make_step(size: int = 1, cpu: int = 1000, **more: Any) -> Step:
    more.setdefault("estimate_ms", 1000)
    return Step(size, Resources(cpu, 100, 0), **more)
