"""The actor of a failure domain: its stream, its racks and their tasks.

It folds the domain's stream and, for the racks that this instance owns, runs placement
and sends commands to the workers. Calls to the log and to workers are made on other
threads, and their results arrive as messages.
"""

import logging
import random
from collections.abc import Callable
from functools import partial
from typing import Any

import pykka

from plantainyard import execution, placement
from plantainyard import state as log_state
from plantainyard.clock import read_clock
from plantainyard.membership import (
    BeginTerm,
    ClaimRack,
    ClaimSeen,
    EndTerm,
    OwnershipAction,
    OwnershipEvent,
    OwnershipSettings,
    OwnershipState,
    OwnershipTick,
    ReleaseRack,
    Superseded,
    find_confirmation_time,
    has_authority,
    has_majority,
    record_acceptance,
    record_read_epoch,
    record_terminated,
    reset_claim,
    step_ownership,
)
from plantainyard.settings import Settings

from .messages import (
    ConfigChanged,
    ConfigConfirmed,
    InstancesListed,
    LivePeers,
    Query,
    Stop,
    SubmitRecord,
    Tick,
    WorkerReply,
)
from .racks import (
    DomainNode,
    apply_config_values,
    end_term,
    publish_runners,
    start_term,
    update_from_instances,
)
from .streams import (
    StreamEvent,
    StreamIO,
    StreamRole,
    StreamState,
    handle_stream_event,
    set_role,
    submit_record,
    tick_stream,
)
from .terms import (
    Term,
    drain_cancelled_runners,
    drain_workers,
    find_drain_time,
    update_term,
)
from .workers import WorkerCaller, start_call

__all__ = ["DomainActor", "name_stream"]


_DECISION_RECORDS = {log_state.RecordType.ACCEPT, log_state.RecordType.RESULTS}
"""Records after which there are new tasks to place, or newly free capacity."""

_logger = logging.getLogger(__name__)


def name_stream(domain: str) -> str:
    """Return the name of a failure domain's stream."""
    return f"domain.{domain}"


class DomainActor(pykka.ThreadingActor):
    """Owns a `DomainNode`.

    Parameters
    ----------
    settings : Settings
        The instance's settings.
    writer : str
        Name of this process, unique for each start.
    rng : random.Random
        Source of the jitter of retries and snapshots.
    snapshot_settings : SnapshotSettings
        When snapshots are written.
    make_io : callable
        Builds the stream's input and output for a given delivery function.
    caller : WorkerCaller
        Resources for calls to workers.
    notify_lender : callable
        Takes updates of the authority over racks and of their runners.
    """

    use_daemon_thread = True

    def __init__(
        self,
        settings: Settings,
        writer: str,
        rng: random.Random,
        snapshot_settings: log_state.SnapshotSettings,
        make_io: Callable[[Callable[[StreamEvent], object]], StreamIO],
        caller: WorkerCaller,
        notify_lender: Callable[[Any], object],
    ) -> None:
        super().__init__()
        self.node = DomainNode(
            settings, writer, caller, self.actor_ref.tell, notify_lender
        )
        self.submitted = 0
        self.racks_to_decide: set[str] = set()
        self.ownership_settings = OwnershipSettings(
            silence_s=settings.intervals.silence_s,
            outage_s=settings.intervals.log_wait_s + settings.intervals.silence_s,
        )
        self.io = make_io(self.actor_ref.tell)
        self.stream = StreamState(
            name_stream(settings.instance.domain),
            writer,
            rng,
            log_state.ReaderSettings(),
            snapshot_settings,
            fold=self._fold,
            restore=self._restore,
            encode=lambda: log_state.encode_domain(self.node.domain),
        )

    def on_receive(self, message: Any) -> Any:
        """Handle one message and return the answer to a query."""
        now = read_clock()
        match message:
            case Tick():
                tick_stream(self.stream, self.io, now)
                self._tick(now)
            case StreamEvent():
                handle_stream_event(self.stream, self.io, message, now)
                self._decide_after_records(now)
            case StreamRole():
                set_role(self.stream, message)
            case SubmitRecord(submit, on_report):
                submit_record(self.stream, self.io, submit, on_report, now)
            case WorkerReply():
                self._process_reply(message, now)
            case InstancesListed():
                update_from_instances(self.node, message, now)
            case LivePeers(live, leaving):
                self.node.live, self.node.leaving_peers = live, leaving
            case ConfigChanged(values):
                apply_config_values(self.node, values, now)
            case ConfigConfirmed(confirmed_at):
                self.node.config_confirmed_at = confirmed_at
            case Stop():
                self.node.stop_requested = True
                self.node.stopping = True
            case Query(read):
                return read(self, now)
        return None

    def _fold(self, record: log_state.LogRecord) -> log_state.FoldResult:
        node, now = self.node, read_clock()
        change = log_state.apply_record(node.domain, record.offset, record.data)
        for term in list(node.terms.values()):
            update_term(term, node.domain, record.data, change, now)
        kinds = {part.type for part in (change, *change.parts) if part.applied}
        if log_state.RecordType.CLAIM in kinds:
            self._process_claims(now)
        if kinds & _DECISION_RECORDS:
            self.racks_to_decide.update(node.terms)
        return change

    def _restore(self, record: log_state.LogRecord) -> None:
        restored = log_state.decode_domain(record.data["state"])
        if restored.next_offset < self.node.domain.next_offset:
            return
        self.node.domain = restored
        # The terms lack the records that the snapshot has skipped.
        for rack in list(self.node.terms):
            end_term(self.node, rack)
        for ownership in self.node.ownerships.values():
            reset_claim(ownership)
        self._process_claims(read_clock())

    def _process_claims(self, now: float) -> None:
        for rack, claim in self.node.domain.claims.items():
            self._step_ownership(rack, ClaimSeen(claim), now)

    def _step_ownership(self, rack: str, event: OwnershipEvent, now: float) -> None:
        state = self.node.ownerships.get(rack)
        if state is None:
            state = OwnershipState(self.node.name, rack, self.ownership_settings)
            self.node.ownerships[rack] = state
        # Only an owner that has authority knows that no predecessor still has any.
        term = self.node.terms.get(rack)
        established = term is not None and has_authority(term.authority, now)
        for action in step_ownership(state, event, now):
            self._carry_out_ownership(rack, action, established, now)

    def _carry_out_ownership(
        self, rack: str, action: OwnershipAction, established: bool, now: float
    ) -> None:
        node = self.node
        match action:
            case BeginTerm():
                start_term(node, rack, action, now)
            case EndTerm():
                end_term(node, rack)
            case ClaimRack(base, workers):
                # Before this process replaces its own claim, it must have stopped
                # acting under it.
                if rack in node.terms:
                    end_term(node, rack)
                record = log_state.make_claim(
                    rack, node.name, base, workers, established
                )
                self._submit(record, now)
            case ReleaseRack(base):
                self._submit(log_state.make_claim(rack, "", base, (), established), now)

    def _decide_after_records(self, now: float) -> None:
        """Run placement at once if new tasks or free capacity were folded.

        Waiting for the next tick would leave a rack of short tasks idle for most of the
        time, and shorter ticks would cost as much while nothing happens.
        """
        racks, self.racks_to_decide = self.racks_to_decide, set()
        for rack in racks & self.node.terms.keys():
            self._advance_term(rack, self.node.terms[rack], now)

    def _tick(self, now: float) -> None:
        node, reader = self.node, self.stream.reader
        for rack in node.workers.keys() | node.domain.claims.keys():
            tick = OwnershipTick(
                node.live,
                frozenset(node.workers.get(rack, ())),
                log_state.is_current(reader),
                log_state.get_staleness(reader, now),
                node.stopping,
                node.leaving_peers,
            )
            self._step_ownership(rack, tick, now)
        for rack, term in list(node.terms.items()):
            if node.terms.get(rack) is term:
                self._advance_term(rack, term, now)

    def _advance_term(self, rack: str, term: Term, now: float) -> None:
        node = self.node
        workers = tuple(
            info._replace(leaving=info.leaving or info.id in node.draining)
            for info in node.workers.get(rack, {}).values()
        )
        listed = execution.WorkersListed(workers, node.terminated)
        record_terminated(term.authority, node.terminated & term.authority.workers, now)
        _step_rack(term, node.domain, listed, now)
        execution.update_workers(term.plan, term.rack, now)
        drain_s = find_drain_time(node.settings)
        drain_workers(term, node.domain, drain_s, now)
        drain_cancelled_runners(term, node.domain, drain_s, now)
        decision = self._decide(term, now)
        if decision.assign:
            record = log_state.make_assign(rack, term.offset, decision.assign)
            items = decision.assign
            withdraw_placements = partial(
                execution.withdraw_placements, term.plan, items, now
            )
            self._submit(record, now, withdraw_placements)
        for abandoned in decision.abandoned:
            self._cancel_job(abandoned, now)
        for action in decision.other_actions:
            _logger.info("placement: %s", action, extra={"step": "placement"})
        self._run_rack(rack, term, now)

    def _decide(self, term: Term, now: float) -> execution.Decision:
        if term.rack.caretaker:
            return execution.Decision()
        if now - self.node.config_confirmed_at > self.node.max_config_age_s:
            # The configuration may have restricted where tasks may run since this
            # domain was cut off. Running tasks continue, but nothing new is placed
            # under an outdated configuration.
            return execution.Decision()
        return execution.decide(term.plan, term.rack, now)

    def _run_rack(self, rack: str, term: Term, now: float) -> None:
        actions = _step_rack(term, self.node.domain, execution.Tick(), now)
        self._carry_out(rack, term, actions, now)
        publish_runners(self.node, rack, term, now)

    def _carry_out(
        self, rack: str, term: Term, actions: list[execution.Action], now: float
    ) -> None:
        node, epoch = self.node, term.rack.epoch
        for action in actions:
            match action:
                case execution.Call():
                    start_call(
                        node.caller,
                        action,
                        lambda event: node.tell(WorkerReply(rack, epoch, event)),
                    )
                case execution.AppendResults(items):
                    record = log_state.make_results(rack, term.offset, items)
                    unmark = partial(execution.unmark_reported, term.rack, items)
                    self._submit(record, now, unmark)
                case execution.Fenced(worker, sent_at):
                    record_acceptance(term.authority, worker, sent_at, now)
                case execution.Superseded(worker, newer, holder):
                    _logger.warning(
                        "superseded by %s with epoch %d",
                        holder,
                        newer,
                        extra={"step": "worker.commands", "peer": worker},
                    )
                    self._step_ownership(rack, Superseded(newer, holder), now)

    def _process_reply(self, message: WorkerReply, now: float) -> None:
        term = self.node.terms.get(message.rack)
        if term is None or term.rack.epoch != message.epoch:
            return
        event = message.event
        if isinstance(event, execution.WorkerAnswered) and not event.fencing:
            epoch = event.answer.state.epoch
            record_read_epoch(term.authority, event.worker, epoch, event.sent_at)
        actions = _step_rack(term, self.node.domain, event, now)
        if isinstance(event, execution.WorkerAnswered):
            view = term.rack.views.get(event.worker)
            if view is not None:
                usage = event.answer.state.usage
                execution.process_usage(term.plan, view, usage, now)
        self._carry_out(message.rack, term, actions, now)
        if self.node.terms.get(message.rack) is term:
            self._run_rack(message.rack, term, now)

    def _cancel_job(self, abandoned: placement.GiveUp, now: float) -> None:
        request_id = f"give-up.{abandoned.job}"
        _logger.warning(
            "job given up: %s",
            abandoned.error,
            extra={"step": "placement"},
        )
        self._submit(log_state.make_cancel(request_id, [abandoned.job]), now)

    def _submit(
        self, record: Any, now: float, on_not_run: Callable[[], object] = lambda: None
    ) -> None:
        """Append `record`; its effect is known only when the record is folded."""

        def handle_report(report: log_state.AppendReport) -> None:
            if report.status == log_state.AppendStatus.NOT_RUN:
                on_not_run()

        urgent = record["type"] == log_state.RecordType.CLAIM
        self.submitted += 1
        key = f"{record['type']}.{self.submitted}"
        submit = log_state.Submit(record, key, urgent=urgent)
        submit_record(self.stream, self.io, submit, handle_report, now)


def _step_rack(
    term: Term, domain: log_state.DomainState, event: execution.Event, now: float
) -> list[execution.Action]:
    term.rack.confirmed_at = find_confirmation_time(term.authority)
    term.rack.has_majority = has_majority(term.authority)
    return execution.step(term.rack, domain, event, now)
