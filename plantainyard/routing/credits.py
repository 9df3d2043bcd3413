"""Credits of a gateway: slots of runners that it may use until a lease ends.

Notes
-----
A lease is counted from before the credit request was sent and shortened by the clock
drift, so it ends here before it ends at the owner. A request whose answer was lost
keeps its slot until the longest request has ended, since it may still be running.
"""

from plantainyard.protocol.messages import (
    CreditAnswer,
    CreditAsk,
    Holding,
    RunnerInfo,
)
from plantainyard.routing.values import RoutingSettings

__all__ = [
    "CreditState",
    "apply_answer",
    "build_credit_request",
    "build_closing_request",
    "check_credit",
    "count_free",
    "count_in_flight",
    "drop_runner",
    "release_lost",
    "release_slot",
    "take_slot",
]


class _RunnerCredits:
    """Credits and requests in progress for one runner.

    `lost` holds the key of each request whose answer was lost, and the time until which
    the request keeps its slot.
    """

    def __init__(self, info: RunnerInfo) -> None:
        self.info = info
        self.limit = 0
        self.valid_until = float("-inf")
        self.active_count = 0
        self.lost: list[tuple[str, float]] = []


class CreditState:
    """Credits of one gateway over all runners.

    Parameters
    ----------
    gateway : str
        Name of this process; no later process may use it again, because requests of
        this one may still be running.
    """

    def __init__(self, gateway: str) -> None:
        self.gateway = gateway
        self.runners: dict[str, _RunnerCredits] = {}
        self.sequences: dict[str, int] = {}
        self.requested_at: dict[str, float] = {}
        self.terms: dict[str, str] = {}


def build_credit_request(
    state: CreditState,
    rack: str,
    demand: dict[str, int],
    settings: RoutingSettings,
    now: float,
) -> CreditAsk:
    """Return the next credit request to the owner of `rack`, and return idle credits.

    Parameters
    ----------
    state : CreditState
        Updated: credits beyond the demand and the spare ones are returned, unless they
        are in use.
    rack : str
        The rack that the credits are for.
    demand : dict of str to int
        Slots wanted for each service.
    settings : RoutingSettings
        For the spare credits that are kept.
    now : float
        Time just before sending.

    Returns
    -------
    CreditAsk
        Report of the credits held from now on, with the demand.
    """
    selected = _select_rack(state, rack)
    for _, held in selected:
        _expire(held, now)
    for service in {held.info.service for _, held in selected}:
        keep = demand.get(service, 0) + settings.spare_slots
        _return_idle([h for _, h in selected if h.info.service == service], keep)
    return _report(state, rack, demand, now)


def build_closing_request(state: CreditState, rack: str, now: float) -> CreditAsk:
    """Return the last credit request to the owner of `rack`, returning all credits."""
    for _, held in _select_rack(state, rack):
        held.limit = 0
    return _report(state, rack, {}, now)._replace(closing=True)


def apply_answer(
    state: CreditState, answer: CreditAnswer, settings: RoutingSettings
) -> bool:
    """Apply the owner's answer; return whether it granted credits.

    Notes
    -----
    Only the answer to the newest request is applied. A late answer to an earlier one
    would raise limits above those that the newest request reported, and the owner may
    have lent the difference to other gateways since.
    """
    is_newest = state.sequences.get(answer.rack) == answer.sequence
    if not is_newest or answer.gateway != state.gateway:
        return False
    state.terms[answer.rack] = answer.term
    if not answer.granted:
        return False
    lease_s = answer.lease_s * (1 - settings.drift) - settings.send_margin_s
    valid_until = state.requested_at[answer.rack] + lease_s
    for info in answer.runners:
        state.runners.setdefault(info.id, _RunnerCredits(info)).info = info
    known = answer.grants.keys() | set(answer.leaving)
    for key, held in _select_rack(state, answer.rack):
        held.limit = answer.grants.get(key, 0)
        held.valid_until = valid_until
        if key not in known and not count_in_flight(held):
            del state.runners[key]
    return True


def take_slot(state: CreditState, runner_id: str, now: float) -> float | None:
    """Take a slot of a runner and return the time until which a request may be sent.

    Returns
    -------
    float or None
        Time after which the request must not be sent; None where no valid credit is
        free.
    """
    held = state.runners.get(runner_id)
    if held is None or count_free(held, now) <= 0:
        return None
    held.active_count += 1
    return held.valid_until


def check_credit(not_after: float, now: float) -> bool:
    """Return whether a request may still be sent.

    Call this after every wait, just before sending: otherwise a thread that was
    suspended past the end of its lease would send under a credit that another gateway
    holds by then.
    """
    return now < not_after


def release_slot(
    state: CreditState,
    runner_id: str,
    key: str,
    ended: bool,
    settings: RoutingSettings,
    now: float,
) -> None:
    """Release a slot after an attempt.

    Parameters
    ----------
    state : CreditState
        Updated.
    runner_id : str
        The runner that the slot belongs to.
    key : str
        Key of the request, for `release_lost`.
    ended : bool
        Whether the request has ended for certain. If not, its slot stays in use until
        the longest request that could have been sent just now has ended.
    settings : RoutingSettings
        For the longest duration of a request.
    now : float
        Current time.
    """
    held = state.runners.get(runner_id)
    if held is None:
        return
    held.active_count -= 1
    if not ended:
        until = now + settings.request_max_s * (1 + 2 * settings.drift)
        held.lost.append((key, until))


def release_lost(state: CreditState, runner_id: str, key: str) -> None:
    """Release the slot of a lost request that has now ended for certain."""
    held = state.runners.get(runner_id)
    lost = [k for k, _ in held.lost] if held else []
    if held and key in lost:
        del held.lost[lost.index(key)]


def drop_runner(state: CreditState, runner_id: str) -> None:
    """Drop a terminated runner's credits, and the runner once nothing is in flight."""
    held = state.runners.get(runner_id)
    if held is None:
        return
    held.limit = 0
    if not count_in_flight(held):
        del state.runners[runner_id]


def count_in_flight(held: _RunnerCredits) -> int:
    """Return how many requests of this gateway can be in progress at a runner."""
    return held.active_count + len(held.lost)


def count_free(held: _RunnerCredits, now: float) -> int:
    """Return the number of valid credits that are not in use."""
    _expire(held, now)
    return max(0, held.limit - count_in_flight(held))


def _expire(held: _RunnerCredits, now: float) -> None:
    held.lost = [(key, until) for key, until in held.lost if now < until]
    if now >= held.valid_until:
        held.limit = 0


def _report(
    state: CreditState, rack: str, demand: dict[str, int], now: float
) -> CreditAsk:
    holdings = {
        key: Holding(held.limit, count_in_flight(held))
        for key, held in _select_rack(state, rack)
    }
    state.sequences[rack] = state.sequences.get(rack, 0) + 1
    state.requested_at[rack] = now
    sequence, term = state.sequences[rack], state.terms.get(rack, "")
    return CreditAsk(state.gateway, rack, sequence, demand, holdings, term)


def _return_idle(group: list[_RunnerCredits], keep: int) -> None:
    """Lower limits, of runners with most idle credits first, until `keep` are left."""
    excess = sum(held.limit for held in group) - keep
    while excess > 0:
        held = max(group, key=lambda h: h.limit - count_in_flight(h))
        if held.limit <= count_in_flight(held):
            return
        held.limit -= 1
        excess -= 1


def _select_rack(state: CreditState, rack: str) -> list[tuple[str, _RunnerCredits]]:
    items = list(state.runners.items())
    return [(key, held) for key, held in items if held.info.rack == rack]
