"""A gateway's part in judging request ids: its own arbiters, and whom to ask."""

from collections.abc import Mapping
from itertools import chain
from typing import NamedTuple

from plantainyard.routing.arbiter import (
    Arbiter,
    IdDecision,
    IdResult,
    decide_id,
    find_arbiter_rack,
    find_home_domain,
    record_id_answer,
    restart_history,
)
from plantainyard.routing.events import AuthorityChanged, Owner
from plantainyard.routing.outcomes import FinalAnswer, Outcome, Reason
from plantainyard.routing.values import Request, RoutingSettings

__all__ = ["Admission", "Arbitration", "admit_id", "complete_id"]


class Admission(NamedTuple):
    """What happens to a non-idempotent request.

    It has an answer, has joined an earlier arrival of its id, has to be sent to
    `owner`, or, with none of these, may run here.
    """

    reason: str
    answer: FinalAnswer | None = None
    joined: bool = False
    owner: str = ""


class Arbitration:
    """Arbiters of the racks for which this instance has authority.

    Parameters
    ----------
    instance : str
        This instance's id.
    """

    def __init__(self, instance: str) -> None:
        self.instance = instance
        self.arbiters: dict[str, Arbiter] = {}
        self.authority_until: dict[str, float] = {}
        self.running_racks: dict[str, str] = {}
        self.joined_keys: dict[str, list[str]] = {}

    def extend(self, event: AuthorityChanged, settings: RoutingSettings) -> None:
        """Take over the beginning or the renewal of an authority."""
        arbiter = self.arbiters.get(event.rack)
        if arbiter is None:
            self.arbiters[event.rack] = Arbiter(settings, event.wall_s)
        elif event.gained:
            restart_history(arbiter, settings, event.wall_s)
        self.authority_until[event.rack] = event.until

    def list_joined(self) -> list[str]:
        """Return the keys of the arrivals that wait for an earlier one."""
        return list(chain.from_iterable(self.joined_keys.values()))

    def leave(self, key: str) -> None:
        """Take an arrival out of those that wait."""
        for keys in self.joined_keys.values():
            if key in keys:
                keys.remove(key)


def admit_id(
    arbitration: Arbitration,
    owners: Mapping[str, Owner],
    request: Request,
    settings: RoutingSettings,
    wall_s: float,
    now: float,
) -> Admission:
    """Judge the id of a non-idempotent request, or say who does.

    Parameters
    ----------
    arbitration : Arbitration
        Changed where the id is judged here.
    owners : mapping of str to Owner
        All racks of all domains.
    request : Request
        The arrival.
    settings : RoutingSettings
        Bounds of the memory.
    wall_s, now : float
        Present time on the wall clock and on the lease clock.
    """
    domains = sorted({owner.domain for owner in owners.values()})
    home = find_home_domain(request.id, domains)
    if not home:
        return _build_unknown(settings, "the home domain isn't known")
    rack = find_arbiter_rack(
        request.id, [r for r, o in owners.items() if o.domain == home]
    )
    # Without authority another instance may be judging the same ids by now; both
    # would let the id run.
    if now < arbitration.authority_until.get(rack, float("-inf")):
        arbiter = arbitration.arbiters[rack]
        verdict = decide_id(
            arbiter, request.id, request.key, request.digest, settings, wall_s
        )
        return _apply_verdict(arbitration, rack, request, verdict, settings)
    owner = owners[rack].instance
    if not owner or owner == arbitration.instance:
        return _build_unknown(settings, f"{rack} has no arbiter now")
    return Admission(f"arbiter of {rack}", owner=owner)


def complete_id(
    arbitration: Arbitration,
    request: Request,
    answer: FinalAnswer,
    settings: RoutingSettings,
) -> list[str]:
    """Keep the answer of a request that ran here; return the keys that joined it."""
    rack = arbitration.running_racks.pop(request.key, None)
    if rack is None:
        return []
    record_id_answer(arbitration.arbiters[rack], request.id, answer, settings)
    return arbitration.joined_keys.pop(request.key, [])


def _build_unknown(settings: RoutingSettings, reason: str) -> Admission:
    answer = FinalAnswer(Outcome.UNKNOWN, Reason.NO_ARBITER, settings.credit_s)
    return Admission(reason, answer)


def _apply_verdict(
    arbitration: Arbitration,
    rack: str,
    request: Request,
    verdict: IdResult,
    settings: RoutingSettings,
) -> Admission:
    match verdict.decision:
        case IdDecision.RUN:
            arbitration.running_racks[request.key] = rack
            return Admission("first sight, may run")
        case IdDecision.JOIN if verdict.key in arbitration.running_racks:
            arbitration.joined_keys.setdefault(verdict.key, []).append(request.key)
            return Admission(f"joins {verdict.key}", joined=True)
        case IdDecision.REPEAT:
            return Admission(f"repeat of {verdict.key}", verdict.answer)
        case IdDecision.REUSED:
            answer = FinalAnswer(Outcome.REFUSED, Reason.ID_REUSED)
            return Admission("id used for another request", answer)
        case IdDecision.AHEAD:
            answer = FinalAnswer(Outcome.UNKNOWN, Reason.ID_AHEAD, settings.id_skew_s)
            return Admission("id was issued ahead of the clock", answer)
        case IdDecision.MALFORMED:
            answer = FinalAnswer(Outcome.REFUSED, Reason.MALFORMED)
            return Admission("id has no time of issue", answer)
    answer = FinalAnswer(Outcome.UNKNOWN, Reason.ID_EXPIRED)
    return Admission("older than the history", answer)
