"""Stand-ins for the users' platform: its store and its runners, with their faults.

What each does is a plain state with the time as an argument; `server` puts both
behind HTTP on loopback for tests and the demo.
"""

from standins.platform.runner import RunnerFaults, RunnerState
from standins.platform.server import serve_platform
from standins.platform.store import StoreFaults, StoreState

__all__ = [
    "RunnerFaults",
    "RunnerState",
    "StoreFaults",
    "StoreState",
    "serve_platform",
]
