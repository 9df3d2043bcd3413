"""A gateway's part in judging request ids: its own arbiters, and whom to ask."""

from collections.abc import Mapping
from itertools import chain
from typing import NamedTuple

from plantainyard.routing.events import AuthorityChanged, Owner
from plantainyard.routing.identity import (
    Arbiter,
    IdVerdict,
    Verdict,
    find_home,
    find_rack,
    finish_id,
    judge_id,
    restart_history,
)
from plantainyard.routing.outcomes import FinalAnswer, Outcome, Reason
from plantainyard.routing.values import Request, RoutingSettings

__all__ = ["Admission", "Arbitration", "admit_id", "settle_id"]


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
        self.until: dict[str, float] = {}
        self.running: dict[str, str] = {}
        self.joined: dict[str, list[str]] = {}

    def extend(self, event: AuthorityChanged, settings: RoutingSettings) -> None:
        """Take over the beginning or the renewal of an authority."""
        arbiter = self.arbiters.get(event.rack)
        if arbiter is None:
            self.arbiters[event.rack] = Arbiter(settings, event.wall_s)
        elif event.gained:
            restart_history(arbiter, settings, event.wall_s)
        self.until[event.rack] = event.until

    def select_joined(self) -> list[str]:
        """Return the keys of the arrivals that wait for an earlier one."""
        return list(chain.from_iterable(self.joined.values()))

    def leave(self, key: str) -> None:
        """Take an arrival out of those that wait."""
        for keys in self.joined.values():
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
    home = find_home(request.id, domains)
    if not home:
        return _miss(settings, "the home domain isn't known")
    rack = find_rack(request.id, [r for r, o in owners.items() if o.domain == home])
    # Without authority another instance may be judging the same ids by now; both
    # would let the id run.
    if now < arbitration.until.get(rack, float("-inf")):
        arbiter = arbitration.arbiters[rack]
        verdict = judge_id(
            arbiter, request.id, request.key, request.digest, settings, wall_s
        )
        return _apply_verdict(arbitration, rack, request, verdict, settings)
    owner = owners[rack].instance
    if not owner or owner == arbitration.instance:
        return _miss(settings, f"{rack} has no arbiter now")
    return Admission(f"arbiter of {rack}", owner=owner)


def settle_id(
    arbitration: Arbitration,
    request: Request,
    answer: FinalAnswer,
    settings: RoutingSettings,
) -> list[str]:
    """Keep the answer of a request that ran here; return the keys that joined it."""
    rack = arbitration.running.pop(request.key, None)
    if rack is None:
        return []
    finish_id(arbitration.arbiters[rack], request.id, answer, settings)
    return arbitration.joined.pop(request.key, [])


def _miss(settings: RoutingSettings, reason: str) -> Admission:
    answer = FinalAnswer(Outcome.UNKNOWN, Reason.NO_ARBITER, settings.credit_s)
    return Admission(reason, answer)


def _apply_verdict(
    arbitration: Arbitration,
    rack: str,
    request: Request,
    verdict: IdVerdict,
    settings: RoutingSettings,
) -> Admission:
    match verdict.verdict:
        case Verdict.RUN:
            arbitration.running[request.key] = rack
            return Admission("first sight, may run")
        case Verdict.JOIN if verdict.key in arbitration.running:
            arbitration.joined.setdefault(verdict.key, []).append(request.key)
            return Admission(f"joins {verdict.key}", joined=True)
        case Verdict.REPEAT:
            return Admission(f"repeat of {verdict.key}", verdict.answer)
        case Verdict.REUSED:
            answer = FinalAnswer(Outcome.REFUSED, Reason.REUSED)
            return Admission("id used for another request", answer)
        case Verdict.AHEAD:
            answer = FinalAnswer(Outcome.UNKNOWN, Reason.AHEAD, settings.id_skew_s)
            return Admission("id was issued ahead of the clock", answer)
        case Verdict.MALFORMED:
            answer = FinalAnswer(Outcome.REFUSED, Reason.MALFORMED)
            return Admission("id has no time of issue", answer)
    answer = FinalAnswer(Outcome.UNKNOWN, Reason.HISTORY)
    return Admission("older than the history", answer)
