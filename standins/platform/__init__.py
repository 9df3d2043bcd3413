"""Stand-ins for the users' platform: its store and its runners, with injected faults.

Store and runners are plain state objects whose methods take the time as an argument;
`server` serves both over HTTP on loopback for tests and the soak.
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
