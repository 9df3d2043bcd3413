"""Days of the dispatcher that serves the users' platform, in virtual time.

The dispatcher's own `step` is driven by a model of workers, a store and callers, so
that a change of policy is judged on hundreds of days, on customers that nobody has met,
with the same luck for each variant.
"""

from bench.dispatch.accounts import Account, measure_day
from bench.dispatch.customers import CUSTOMERS, Customer, draw_customer
from bench.dispatch.patterns import Fault, Pattern, load_pattern
from bench.dispatch.play import play_day
from bench.dispatch.switches import VARIANTS, apply_switches

__all__ = [
    "CUSTOMERS",
    "VARIANTS",
    "Account",
    "Customer",
    "Fault",
    "Pattern",
    "apply_switches",
    "draw_customer",
    "load_pattern",
    "measure_day",
    "play_day",
]
