"""Simulation of the dispatcher that serves the users' platform, in virtual time.

The production function `step` is driven by a model of workers, a store and callers.
A change of policy can thus be evaluated on hundreds of simulated days, also with
randomly generated customers, and with the same random draws for each variant.
"""

from bench.dispatch.accounts import Account, measure_day
from bench.dispatch.customers import CUSTOMERS, Customer, draw_customer
from bench.dispatch.patterns import Fault, Pattern, load_pattern
from bench.dispatch.play import simulate_day
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
    "simulate_day",
]
