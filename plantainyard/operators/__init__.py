"""Handlers of operators' calls, which query and command the actors of one process."""

from collections.abc import Callable
from functools import partial
from typing import Any

from plantainyard.api import Handlers

from .configurations import (
    apply_configuration,
    drain,
    get_configuration,
    get_configuration_history,
    get_configuration_status,
)
from .creation import cancel_jobs, create_job, create_service
from .explanation import explain_task
from .listing import describe_job, list_jobs, list_teams
from .node import Node, ask_actor, make_url
from .status import describe_state, dump, find_faults, get_status, list_unready_reasons

__all__ = [
    "Node",
    "ask_actor",
    "build_handlers",
    "describe_state",
    "find_faults",
    "list_unready_reasons",
    "make_url",
    "get_status",
]

_HANDLERS: dict[str, Callable[[Node, Any], Any]] = {
    "ApplyConfiguration": apply_configuration,
    "CancelJobs": cancel_jobs,
    "CreateJob": create_job,
    "CreateService": create_service,
    "DescribeJob": describe_job,
    "Drain": drain,
    "ExplainTask": explain_task,
    "Dump": dump,
    "GetConfiguration": get_configuration,
    "GetConfigurationHistory": get_configuration_history,
    "GetConfigurationStatus": get_configuration_status,
    "ListJobs": list_jobs,
    "ListTeams": list_teams,
    "Status": get_status,
}


def build_handlers(node: Node) -> Handlers:
    """Return the handler of each schema method, keyed by method name."""
    return {name: partial(handle, node) for name, handle in _HANDLERS.items()}
