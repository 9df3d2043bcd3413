"""The actor that lends the slots of owned racks' runners to gateways.

It is separate from the actor that folds the log, so that a gateway's request for
credits never waits for the processing of records.
"""

from collections.abc import Mapping
from typing import Any, NamedTuple

import pykka

from plantainyard.clock import read_clock
from plantainyard.protocol import CreditAnswer, CreditAsk, RunnerInfo
from plantainyard.routing import (
    AuthorityExtended,
    AuthorityGained,
    AuthorityLost,
    LenderState,
    RoutingSettings,
    RunnerLeaving,
    RunnerTerminated,
    RunnerUp,
    build_leased_lender,
    dump_lender,
)

__all__ = ["DumpLenders", "LenderActor", "RackAuthority", "RackRunners"]


class RackAuthority(NamedTuple):
    """The authority over a rack, as known to the domain's actor.

    Attributes
    ----------
    rack : str
        The rack.
    epoch : int
        Epoch under which the workers accepted this instance, zero for no authority.
    until : float
        End of the authority on this instance's clock.
    """

    rack: str
    epoch: int
    until: float


class RackRunners(NamedTuple):
    """All runners that are known to run in a rack.

    Attributes
    ----------
    rack : str
        The rack.
    runners : tuple of RunnerInfo
        The running runners.
    leaving : frozenset of str
        Ids of runners that must receive no new requests.
    newly_started : frozenset of str
        Ids of runners that were assigned under the present term.
    """

    rack: str
    runners: tuple[RunnerInfo, ...]
    leaving: frozenset[str]
    newly_started: frozenset[str]


class DumpLenders(NamedTuple):
    """Ask for the lenders' state as plain values."""


class LenderActor(pykka.ThreadingActor):
    """Owns the lenders of the racks that this instance owns."""

    def __init__(self, settings: RoutingSettings) -> None:
        super().__init__()
        self.step = build_leased_lender(settings)
        self.lenders: dict[str, LenderState] = {}
        self.epochs: dict[str, int] = {}

    def on_receive(self, message: Any) -> Any:
        """Handle one message; the answer to a `CreditAsk` is a `CreditAnswer`."""
        now = read_clock()
        match message:
            case CreditAsk():
                return self._answer(message, now)
            case RackAuthority():
                self._update_authority(message, now)
            case RackRunners():
                self._update_runners(message, now)
            case DumpLenders():
                return self._dump()
        return None

    def _answer(self, ask: CreditAsk, now: float) -> CreditAnswer:
        lender = self.lenders.get(ask.rack)
        if lender is None:
            return CreditAnswer(
                ask.gateway, ask.rack, ask.sequence, False, 0.0, reason="not the owner"
            )
        return self.step(lender, ask, now)[0]

    def _update_authority(self, message: RackAuthority, now: float) -> None:
        lender = self.lenders.setdefault(message.rack, LenderState(message.rack))
        if message.epoch == 0:
            self.epochs.pop(message.rack, None)
            self.step(lender, AuthorityLost(), now)
        elif self.epochs.get(message.rack) != message.epoch:
            self.epochs[message.rack] = message.epoch
            self.step(lender, AuthorityGained(message.until, message.epoch), now)
        elif now >= lender.authority_until:
            # Between the end of the authority and its renewal another instance may have
            # lent the same slots, so the authority counts as newly gained.
            self.step(lender, AuthorityGained(message.until, message.epoch), now)
        else:
            self.step(lender, AuthorityExtended(message.until), now)

    def _update_runners(self, message: RackRunners, now: float) -> None:
        lender = self.lenders.setdefault(message.rack, LenderState(message.rack))
        previous = set(lender.runners)
        for runner in message.runners:
            self.step(lender, RunnerUp(runner, runner.id in message.newly_started), now)
        for runner_id in message.leaving & {r.id for r in message.runners}:
            self.step(lender, RunnerLeaving(runner_id), now)
        for runner_id in previous - {r.id for r in message.runners}:
            self.step(lender, RunnerTerminated(runner_id), now)

    def _dump(self) -> Mapping[str, Any]:
        return {rack: dump_lender(lender) for rack, lender in self.lenders.items()}
