"""Loans of one runner's slots to gateways: upper bounds that never fall too early.

Notes
-----
For each runner and gateway a `Loan` holds an upper bound of the slots that the gateway
can be using. It falls only when a report of the gateway shows it, or when the lease and
then the longest request have ended.
"""

from typing import NamedTuple

from plantainyard.protocol.messages import CreditAsk, Holding, RunnerInfo
from plantainyard.routing.values import RoutingSettings

__all__ = [
    "LentRunner",
    "Loan",
    "add_loan",
    "count_lendable",
    "count_lent_to_others",
    "expire_loans",
    "accepts_requests",
    "extend_for_drift",
    "apply_report",
]


class Loan(NamedTuple):
    """What a gateway can be using of a runner at most, and until when it may send."""

    slots: int
    lease_end: float


class LentRunner:
    """A runner's loans, and how many of its slots are accounted for."""

    def __init__(self, info: RunnerInfo, withhold_until: float) -> None:
        self.info = info
        self.leaving = False
        self.terminated = False
        self.withhold_until = withhold_until
        self.reported_slots = 0
        self.reporting_gateways: set[str] = set()
        self.loans: dict[str, Loan] = {}


def expire_loans(runner: LentRunner, settings: RoutingSettings, now: float) -> None:
    """Drop the loans under which nothing can be running any more."""
    # A silent gateway may be paused or cut off and still have requests running: its
    # slots are free only after its lease and the longest request started under it.
    hold = extend_for_drift(settings, settings.request_max_s)
    over = [g for g, loan in runner.loans.items() if now > loan.lease_end + hold]
    for gateway in over:
        del runner.loans[gateway]


def apply_report(runner: LentRunner, ask: CreditAsk, now: float) -> None:
    """Set the gateway's loan to what its report shows, the lease unchanged."""
    held = ask.holdings.get(runner.info.id, Holding(0, 0))
    count = max(held.limit, held.in_flight)
    known = runner.loans.get(ask.gateway)
    if now < runner.withhold_until and ask.gateway not in runner.reporting_gateways:
        runner.reporting_gateways.add(ask.gateway)
        # First word of a gateway since the owner changed: what it holds, the former
        # owner lent, so it is within the slots and need not be withheld any longer.
        runner.reported_slots += count
    if count == 0:
        runner.loans.pop(ask.gateway, None)
        return
    lease_end = known.lease_end if known else now
    # Reported requests run for `request_max_s` from now at most, whatever the lease.
    runner.loans[ask.gateway] = Loan(count, max(lease_end, now))


def add_loan(
    runner: LentRunner, gateway: str, limit: int, settings: RoutingSettings, now: float
) -> None:
    """Lend a gateway up to `limit` slots from `now` on."""
    known = runner.loans.get(gateway)
    # Until a report shows that it has heard of a lower limit, the gateway may still
    # be sending under the one before: the answer may be late or lost.
    slots = max(limit, known.slots if known else 0)
    if slots:
        lease_end = now + extend_for_drift(settings, settings.credit_s)
        runner.loans[gateway] = Loan(slots, lease_end)


def extend_for_drift(settings: RoutingSettings, span: float) -> float:
    """Return how long `span` of a slow clock can last on this one."""
    return span * (1 + 2 * settings.drift)


def accepts_requests(runner: LentRunner) -> bool:
    """Tell whether the runner takes new requests."""
    return not runner.leaving and not runner.terminated


def count_lendable(runner: LentRunner, now: float) -> int:
    """Return the slots that can be lent in all."""
    slots = runner.info.slots
    return min(slots, runner.reported_slots) if now < runner.withhold_until else slots


def count_lent_to_others(runner: LentRunner, gateway: str) -> int:
    """Return the slots that other gateways than `gateway` can be using."""
    return sum(loan.slots for g, loan in runner.loans.items() if g != gateway)
