"""Placement of tasks on workers, mitigation of interference, and worker quarantine."""

from plantainyard.placement.actions import (
    Action,
    Checkpoint,
    GiveUp,
    HoldBack,
    Place,
    Probe,
    Quarantine,
    Release,
    Stop,
    Throttle,
)
from plantainyard.placement.events import (
    Cancelled,
    Event,
    Outcome,
    QuotasChanged,
    TaskEnded,
    TasksGone,
    TaskStarted,
    TasksWaiting,
    Tick,
    UsageReported,
    WeightsChanged,
    WorkerBack,
    WorkersChanged,
    WorkerSuspect,
)
from plantainyard.placement.explanation import Explanation, WorkerVerdict, explain
from plantainyard.placement.filters import check_possible
from plantainyard.placement.policy import create_state, step
from plantainyard.placement.settings import PlacementSettings, Weights, load_weights
from plantainyard.placement.state import PlacementState

__all__ = [
    "Action",
    "Cancelled",
    "Checkpoint",
    "Event",
    "Explanation",
    "GiveUp",
    "HoldBack",
    "Outcome",
    "Place",
    "PlacementSettings",
    "PlacementState",
    "Probe",
    "Quarantine",
    "QuotasChanged",
    "Release",
    "Stop",
    "TaskEnded",
    "TaskStarted",
    "TasksGone",
    "TasksWaiting",
    "Throttle",
    "Tick",
    "UsageReported",
    "Weights",
    "WeightsChanged",
    "WorkerBack",
    "WorkerSuspect",
    "WorkerVerdict",
    "WorkersChanged",
    "check_possible",
    "create_state",
    "explain",
    "load_weights",
    "step",
]
