"""Randomized fault-injection soak test of the real programs on one machine.

``python -m soak --seed=7 --seconds=20`` starts entry instances as processes, stand-ins
for the platform behind relays that can be cut, and callers. It injects faults from
outside the processes according to a seeded plan and checks the results that callers
and runners observe. ``docs/soak.md`` describes how seeds are kept.
"""

from soak.plan import Fault, make_plan
from soak.run import Outcome, run_soak

__all__ = ["Fault", "Outcome", "make_plan", "run_soak"]
