"""Lending of runners' slots to gateways, by the owner of the runners' rack.

The owner lends each runner's slots to gateways as credits under a lease. The slots that
all gateways together can be using never exceed the runner's slots, even if a gateway
dies or pauses, an answer is lost, or the rack's owner changes.

Notes
-----
The upper bounds on the slots in use are kept by `loans`. One step takes time
proportional to the rack's slots.
"""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from plantainyard.protocol.messages import CreditAnswer, CreditAsk, RunnerInfo
from plantainyard.routing.events import Tick
from plantainyard.routing.loans import (
    LentRunner,
    accepts_requests,
    add_loan,
    apply_report,
    count_lendable,
    count_lent_to_others,
    expire_loans,
    extend_for_drift,
)
from plantainyard.routing.shares import share_slots, spread_share
from plantainyard.routing.values import RoutingSettings

__all__ = [
    "AuthorityExtended",
    "AuthorityGained",
    "AuthorityLost",
    "LenderEvent",
    "LenderState",
    "LenderStep",
    "RunnerLeaving",
    "RunnerTerminated",
    "RunnerUp",
    "build_fixed_lender",
    "build_leased_lender",
    "build_single_lender",
    "count_lent",
    "dump_lender",
]


class AuthorityGained(NamedTuple):
    """The instance has gained authority over the rack until `until`.

    `epoch` is the epoch that the rack's workers have accepted.
    """

    until: float
    epoch: int


class AuthorityExtended(NamedTuple):
    """The authority that this instance holds has been extended to `until`."""

    until: float


class AuthorityLost(NamedTuple):
    """The instance has lost its authority over the rack."""


class RunnerUp(NamedTuple):
    """A runner takes requests.

    `fresh` means that the runner was started under the current authority, so no former
    owner can have lent its slots.
    """

    runner: RunnerInfo
    fresh: bool = False


class RunnerLeaving(NamedTuple):
    """A runner finishes its requests in progress and takes no new ones."""

    runner_id: str


class RunnerTerminated(NamedTuple):
    """A runner has terminated for certain."""

    runner_id: str


LenderEvent = (
    CreditAsk
    | AuthorityGained
    | AuthorityExtended
    | AuthorityLost
    | RunnerUp
    | RunnerLeaving
    | RunnerTerminated
    | Tick
)


class LenderState:
    """State of the lender of one rack.

    Parameters
    ----------
    rack : str
        Rack whose runners' slots are lent.
    """

    def __init__(self, rack: str) -> None:
        self.rack = rack
        self.term = ""
        self.term_count = 0
        self.authority_until = float("-inf")
        self.authority_since = float("-inf")
        self.runners: dict[str, LentRunner] = {}
        self.sequences: dict[str, int] = {}
        self.last_request_times: dict[str, float] = {}
        self.demands: dict[str, dict[str, int]] = {}


LenderStep = Callable[[LenderState, LenderEvent, float], list[CreditAnswer]]
_Target = Callable[[LenderState, CreditAsk, str], int]


def build_leased_lender(settings: RoutingSettings) -> LenderStep:
    """Return a step function that lends slots by demand and idle slots evenly."""

    def find_target(state: LenderState, ask: CreditAsk, service: str) -> int:
        total = _count_slots(state, service)
        demands = {g: d.get(service, 0) for g, d in sorted(state.demands.items())}
        return share_slots(total, demands)[ask.gateway]

    return _build_lender(settings, find_target)


def build_fixed_lender(
    settings: RoutingSettings, gateways: Iterable[str]
) -> LenderStep:
    """Return a step function that lends each of `gateways` an equal share of the slots.

    The demand is ignored. This simplest policy is kept for comparison.
    """
    names = sorted(gateways)

    def find_target(state: LenderState, ask: CreditAsk, service: str) -> int:
        share, rest = divmod(_count_slots(state, service), len(names))
        if ask.gateway not in names:
            return 0
        return share + (names.index(ask.gateway) < rest)

    return _build_lender(settings, find_target)


def build_single_lender(settings: RoutingSettings, dispatcher: str) -> LenderStep:
    """Return a step function that lends all slots to one gateway, `dispatcher`."""

    def find_target(state: LenderState, ask: CreditAsk, service: str) -> int:
        return _count_slots(state, service) if ask.gateway == dispatcher else 0

    return _build_lender(settings, find_target)


def count_lent(state: LenderState, runner_id: str) -> int:
    """Return the number of a runner's slots that gateways can be using."""
    return sum(loan.slots for loan in state.runners[runner_id].loans.values())


def dump_lender(state: LenderState) -> dict[str, object]:
    """Return the state as plain values, for operators."""
    runners = {
        key: {
            "leaving": runner.leaving,
            "withhold_until": runner.withhold_until,
            "loans": {g: loan._asdict() for g, loan in runner.loans.items()},
        }
        for key, runner in state.runners.items()
    }
    return {
        "rack": state.rack,
        "authority_until": state.authority_until,
        "demands": state.demands,
        "runners": runners,
    }


def _build_lender(settings: RoutingSettings, find_target: _Target) -> LenderStep:
    def step(state: LenderState, event: LenderEvent, now: float) -> list[CreditAnswer]:
        _expire_all(state, settings, now)
        match event:
            case CreditAsk():
                return [_answer_request(state, event, settings, find_target, now)]
            case AuthorityGained(until, epoch):
                _start_authority(state, until, epoch, settings, now)
            case AuthorityExtended(until):
                state.authority_until = max(state.authority_until, until)
            case AuthorityLost():
                state.authority_until = float("-inf")
            case RunnerUp(runner, fresh):
                _add_runner(state, runner, fresh, settings)
            case RunnerLeaving(runner_id) if runner_id in state.runners:
                state.runners[runner_id].leaving = True
            case RunnerTerminated(runner_id) if runner_id in state.runners:
                state.runners[runner_id].terminated = True
        return []

    return step


def _start_authority(
    state: LenderState,
    until: float,
    epoch: int,
    settings: RoutingSettings,
    now: float,
) -> None:
    """Start a new term.

    The state of an earlier term is dropped: another owner may have lent slots since.
    """
    state.term_count += 1
    state.term = f"{epoch}.{state.term_count}"
    state.authority_since = now
    state.authority_until = until
    state.sequences.clear()
    state.last_request_times.clear()
    state.demands.clear()
    infos = [(r.info, r.leaving) for r in state.runners.values() if not r.terminated]
    state.runners.clear()
    for info, leaving in infos:
        _add_runner(state, info, False, settings)
        state.runners[info.id].leaving = leaving


def _add_runner(
    state: LenderState, info: RunnerInfo, fresh: bool, settings: RoutingSettings
) -> None:
    if info.id in state.runners:
        state.runners[info.id].info = info
        state.runners[info.id].terminated = False
        return
    # A former owner may have lent slots to a gateway that has not reported yet: lending
    # them again would overfill the runner. The former owner's last lease was requested
    # before this authority began, so no request can be running under it after one lease
    # and then the longest request.
    hold_s = extend_for_drift(settings, settings.credit_s + settings.request_max_s)
    until = float("-inf") if fresh else state.authority_since + hold_s
    state.runners[info.id] = LentRunner(info, until)


def _expire_all(state: LenderState, settings: RoutingSettings, now: float) -> None:
    for runner in state.runners.values():
        expire_loans(runner, settings, now)
    # A runner that was reported as terminated by mistake returns with its loans, which
    # still count, so it is kept until they have expired.
    for key in [k for k, r in state.runners.items() if r.terminated and not r.loans]:
        del state.runners[key]
    demand_expiry_s = extend_for_drift(settings, settings.credit_s)
    for gateway in [
        g
        for g, asked in state.last_request_times.items()
        if now > asked + demand_expiry_s
    ]:
        state.demands.pop(gateway, None)
    # A sequence number is dropped only when no request of its gateway can be running:
    # otherwise a delayed older request could free slots that are in use.
    sequence_expiry_s = demand_expiry_s + extend_for_drift(
        settings, settings.request_max_s
    )
    for gateway in [
        g
        for g, asked in state.last_request_times.items()
        if now > asked + sequence_expiry_s
    ]:
        del state.last_request_times[gateway]
        state.sequences.pop(gateway, None)


def _answer_request(
    state: LenderState,
    ask: CreditAsk,
    settings: RoutingSettings,
    find_target: _Target,
    now: float,
) -> CreditAnswer:
    if now >= state.authority_until:
        return _refuse_request(ask, "no authority over the rack")
    # A request that was sent before this authority began can be delayed in a socket and
    # report more than the gateway still holds; the difference would be lent twice. Only
    # a request that names the current term was sent after the term began.
    if ask.term != state.term:
        return _refuse_request(ask, "ask again under this term", state.term)
    # Requests can arrive out of order: an older one would report a limit that the
    # gateway has raised since, and free slots that are in use.
    if ask.sequence <= state.sequences.get(ask.gateway, -1):
        return _refuse_request(ask, "a newer ask was seen", state.term)
    state.sequences[ask.gateway] = ask.sequence
    state.last_request_times[ask.gateway] = now
    state.demands[ask.gateway] = ask.demand
    if ask.closing:
        del state.demands[ask.gateway]
    for runner in state.runners.values():
        apply_report(runner, ask, now)
    grants = _grant_all(state, ask, settings, find_target, now)
    runners = tuple(
        runner.info
        for key, runner in state.runners.items()
        if not runner.terminated and key not in ask.holdings
    )
    leaving = tuple(
        key for key, r in state.runners.items() if r.leaving and not r.terminated
    )
    return CreditAnswer(
        ask.gateway,
        ask.rack,
        ask.sequence,
        True,
        settings.credit_s,
        grants,
        runners,
        leaving,
        term=state.term,
    )


def _refuse_request(ask: CreditAsk, reason: str, term: str = "") -> CreditAnswer:
    sender = (ask.gateway, ask.rack, ask.sequence)
    return CreditAnswer(*sender, False, 0.0, reason=reason, term=term)


def _grant_all(
    state: LenderState,
    ask: CreditAsk,
    settings: RoutingSettings,
    find_target: _Target,
    now: float,
) -> dict[str, int]:
    services = sorted({runner.info.service for runner in state.runners.values()})
    grants: dict[str, int] = {}
    if ask.closing:
        return grants
    for service in services:
        target = find_target(state, ask, service)
        grants |= _grant_service(state, ask, service, target, now)
    for key, limit in grants.items():
        add_loan(state.runners[key], ask.gateway, limit, settings, now)
    return grants


def _grant_service(
    state: LenderState, ask: CreditAsk, service: str, target: int, now: float
) -> dict[str, int]:
    runners = {
        key: runner
        for key, runner in state.runners.items()
        if runner.info.service == service and accepts_requests(runner)
    }
    held = {key: ask.holdings[key] for key in runners if key in ask.holdings}
    max_slots = {
        key: max(
            0, count_lendable(runner, now) - count_lent_to_others(runner, ask.gateway)
        )
        for key, runner in runners.items()
    }
    return spread_share(target, held, max_slots)


def _count_slots(state: LenderState, service: str) -> int:
    return sum(
        runner.info.slots
        for runner in state.runners.values()
        if runner.info.service == service and accepts_requests(runner)
    )
