"""Loans of one runner's slots to gateways, as upper bounds on the slots in use.

Notes
-----
For each runner and gateway a `Loan` holds an upper bound on the slots that the gateway
can be using. The bound is lowered only by a report of the gateway, or when the lease
and then the longest request have ended.
"""

from typing import NamedTuple

from plantainyard.protocol.messages import CreditAsk, Holding, RunnerInfo
from plantainyard.routing.values import RoutingSettings

__all__ = [
    "LentRunner",
    "Loan",
    "accepts_requests",
    "add_loan",
    "apply_report",
    "count_lendable",
    "count_lent_to_others",
    "expire_loans",
    "extend_for_drift",
]


class Loan(NamedTuple):
    """Most slots that a gateway can be using, and the time until which it may send."""

    slots: int
    lease_end: float


class LentRunner:
    """A runner's loans.

    Until `withhold_until` a former owner's loans may exist. Only `reported_slots` can
    be lent until then: slots that a former owner lent to `reporting_gateways`, whose
    reports this owner has seen.
    """

    def __init__(self, info: RunnerInfo, withhold_until: float) -> None:
        self.info = info
        self.leaving = False
        self.terminated = False
        self.withhold_until = withhold_until
        self.reported_slots = 0
        self.reporting_gateways: set[str] = set()
        self.loans: dict[str, Loan] = {}


def expire_loans(runner: LentRunner, settings: RoutingSettings, now: float) -> None:
    """Drop the loans under which no request can be running any more."""
    # A gateway that sends no reports may be paused or cut off and still have requests
    # running: its slots are free only once its lease has ended, and then the longest
    # request started under it.
    hold_s = extend_for_drift(settings, settings.request_max_s)
    expired = [g for g, loan in runner.loans.items() if now > loan.lease_end + hold_s]
    for gateway in expired:
        del runner.loans[gateway]


def apply_report(runner: LentRunner, ask: CreditAsk, now: float) -> None:
    """Set a gateway's loan to the slots that it reports, and keep the lease's end."""
    held = ask.holdings.get(runner.info.id, Holding(0, 0))
    count = max(held.limit, held.in_flight)
    known = runner.loans.get(ask.gateway)
    if now < runner.withhold_until and ask.gateway not in runner.reporting_gateways:
        runner.reporting_gateways.add(ask.gateway)
        # First report of this gateway since the owner changed: the former owner lent
        # these slots, so they are within the runner's total and needn't be withheld.
        runner.reported_slots += count
    if count == 0:
        runner.loans.pop(ask.gateway, None)
        return
    lease_end = known.lease_end if known else now
    # Requests in the report run for at most `request_max_s` from now, even if the lease
    # has ended.
    runner.loans[ask.gateway] = Loan(count, max(lease_end, now))


def add_loan(
    runner: LentRunner, gateway: str, limit: int, settings: RoutingSettings, now: float
) -> None:
    """Lend up to `limit` slots to a gateway from `now` on."""
    known = runner.loans.get(gateway)
    # Until a report shows that the gateway has received a lower limit, it may still be
    # sending under the previous one: the answer may be late or lost.
    slots = max(limit, known.slots if known else 0)
    if slots:
        lease_end = now + extend_for_drift(settings, settings.credit_s)
        runner.loans[gateway] = Loan(slots, lease_end)


def extend_for_drift(settings: RoutingSettings, span: float) -> float:
    """Return the longest time on this clock that `span` on a slow clock can take."""
    return span * (1 + 2 * settings.drift)


def accepts_requests(runner: LentRunner) -> bool:
    """Return whether the runner takes new requests."""
    return not runner.leaving and not runner.terminated


def count_lendable(runner: LentRunner, now: float) -> int:
    """Return the total number of slots that can be lent."""
    slots = runner.info.slots
    return min(slots, runner.reported_slots) if now < runner.withhold_until else slots


def count_lent_to_others(runner: LentRunner, gateway: str) -> int:
    """Return the number of slots that gateways other than `gateway` can be using."""
    return sum(loan.slots for g, loan in runner.loans.items() if g != gateway)
