"""Adapter to the users' platform: its names, formats and calls.

The package decodes the formats of the platform into types with descriptive field names,
and encodes requests in those formats. It makes no scheduling decisions.
`docs/glossary.md` maps the names of the platform to the names used here.
"""

from plantainyard.platform.configuration import (
    Configuration,
    Queue,
    decode_configuration,
)
from plantainyard.platform.entries import RunnerEntry, decode_entry
from plantainyard.platform.evacuations import (
    EVACUATION_PREFIX,
    EvacuationRecord,
    UnreadableRecord,
    decode_evacuations,
)
from plantainyard.platform.runner_messages import (
    Order,
    OrderOutcome,
    OrderResult,
    ReportedRun,
    RunEnd,
    RunnerReport,
)
from plantainyard.platform.runners import RunnerCalls, build_runner_calls
from plantainyard.platform.settings import InstanceSettings, load_instance_settings
from plantainyard.platform.store import StoreCalls, build_store_calls
from plantainyard.platform.store_messages import (
    Append,
    AppendResult,
    Membership,
    Page,
    Slice,
)
from plantainyard.platform.submissions import decode_body

__all__ = [
    "Append",
    "AppendResult",
    "Configuration",
    "EVACUATION_PREFIX",
    "EvacuationRecord",
    "RunnerReport",
    "ReportedRun",
    "InstanceSettings",
    "Membership",
    "Order",
    "OrderOutcome",
    "OrderResult",
    "Page",
    "Queue",
    "RunEnd",
    "RunnerCalls",
    "RunnerEntry",
    "Slice",
    "StoreCalls",
    "UnreadableRecord",
    "build_runner_calls",
    "build_store_calls",
    "decode_body",
    "decode_configuration",
    "decode_entry",
    "decode_evacuations",
    "load_instance_settings",
]
