"""The racks of a failure domain at one instance, with the terms of the owned racks."""

import logging
from collections.abc import Callable, Iterator
from typing import Any

from plantainyard import placement
from plantainyard import state as log_state
from plantainyard.clients import InstanceKind, InstanceState
from plantainyard.membership import (
    BeginTerm,
    OwnershipState,
    find_authority_end,
    has_authority,
)
from plantainyard.settings import Settings
from plantainyard.work import Size, WorkerInfo

from .lending import RackAuthority, RackRunners
from .messages import (
    InstancesListed,
)
from .terms import (
    Term,
    begin_term,
    iter_runners,
    list_leaving_runners,
    set_policy_inputs,
)
from .values import list_flagged, read_shares, read_weights
from .workers import WorkerCaller

__all__ = [
    "DomainNode",
    "end_term",
    "start_term",
    "update_from_instances",
    "apply_config_values",
    "publish_runners",
]

_STOP = "stop"

_logger = logging.getLogger(__name__)


class DomainNode:
    """State of a failure domain's actor.

    Attributes
    ----------
    domain : DomainState
        The folded stream.
    terms : dict of str to Term
        For each rack that this instance owns, its present term.
    workers : dict of str to dict of str to WorkerInfo
        Live and leaving workers of each rack, from the delayed instance list.
    terminated : frozenset of str
        Workers that are guaranteed to run nothing any more.
    name : str
        Name of this process in claims and fencing tokens. It is unique for each start,
        so that a restarted instance is not mistaken for the owner that it was before.
    live : frozenset of str
        Processes of the domain that are considered live, including this one.
    leaving_peers : frozenset of str
        Other processes of the domain that are stopping as planned.
    stop_requested : bool
        Whether a planned stop of this process was requested.
    stopping : bool
        Whether this process hands over its racks, because of a planned stop or because
        an operator drains the instance.
    rack_count : int
        Number of racks over all domains.
    listed_terminated : frozenset of str
        Workers that the instance list shows as terminated.
    operator_fenced : frozenset of str
        Workers that an operator has declared fenced.
    draining : frozenset of str
        Workers that an operator drains.
    ownerships : dict of str to OwnershipState
        For each rack, the state of this instance's claims.
    config_confirmed_at : float
        When the configuration was last known to be the newest.
    max_config_age_s : float
        Age of the configuration above which nothing new is placed.
    """

    def __init__(
        self,
        settings: Settings,
        name: str,
        caller: WorkerCaller,
        tell: Callable[[Any], object],
        notify_lender: Callable[[Any], object],
    ) -> None:
        self.settings = settings
        self.name = name
        self.caller = caller
        self.tell = tell
        self.notify_lender = notify_lender
        self.domain = log_state.DomainState()
        self.terms: dict[str, Term] = {}
        self.workers: dict[str, dict[str, WorkerInfo]] = {}
        self.terminated: frozenset[str] = frozenset()
        self.live: frozenset[str] = frozenset()
        self.leaving_peers: frozenset[str] = frozenset()
        self.weights = placement.Weights()
        self.shares: dict[str, Size] = {}
        self.stop_requested = False
        self.stopping = False
        self.rack_count = 1
        self.listed_terminated: frozenset[str] = frozenset()
        self.operator_fenced: frozenset[str] = frozenset()
        self.draining: frozenset[str] = frozenset()
        self.ownerships: dict[str, OwnershipState] = {}
        self.config_confirmed_at = float("-inf")
        stops = settings.cut_off.new_starts == _STOP
        self.max_config_age_s = (
            settings.cut_off.max_config_age_s if stops else float("inf")
        )


def update_from_instances(
    node: DomainNode, message: InstancesListed, now: float
) -> None:
    """Update the domain's workers from the platform's instance list."""
    workers: dict[str, dict[str, WorkerInfo]] = {}
    terminated = set()
    for instance in message.instances:
        if instance.kind != InstanceKind.WORKER or instance.worker is None:
            continue
        if instance.domain != node.settings.instance.domain:
            continue
        if instance.state == InstanceState.TERMINATED:
            terminated.add(instance.id)
            continue
        rack = workers.setdefault(instance.worker.rack, {})
        rack[instance.id] = instance.worker
    node.workers = workers
    node.rack_count = max(len({(w.domain, w.rack) for w in _iter_workers(message)}), 1)
    node.listed_terminated = frozenset(terminated)
    _update_terminated(node)


def _iter_workers(message: InstancesListed) -> Iterator[WorkerInfo]:
    return (i.worker for i in message.instances if i.worker is not None)


def _update_terminated(node: DomainNode) -> None:
    listed = (
        node.listed_terminated if node.settings.platform.trust_gone else frozenset()
    )
    node.terminated = listed | node.operator_fenced


def apply_config_values(node: DomainNode, values: dict[str, Any], now: float) -> None:
    """Apply the configuration values in force."""
    node.weights = read_weights(values)
    node.shares = read_shares(values, node.rack_count)
    node.operator_fenced = list_flagged(values, "workers", "fenced")
    node.draining = list_flagged(values, "workers", "draining")
    draining = list_flagged(values, "instances", "draining")
    node.stopping = node.stop_requested or node.settings.instance.id in draining
    _update_terminated(node)
    for term in node.terms.values():
        set_policy_inputs(term, node.weights, node.shares, now)


def start_term(node: DomainNode, rack: str, began: BeginTerm, now: float) -> None:
    """Start acting as the owner or caretaker of a rack."""
    term = begin_term(node.settings, node.name, node.domain, rack, began, now)
    set_policy_inputs(term, node.weights, node.shares, now)
    node.terms[rack] = term
    _logger.info(
        "rack owned",
        extra={"step": "ownership", "rack": rack, "epoch": began.epoch},
    )


def end_term(node: DomainNode, rack: str) -> None:
    """Stop acting for a rack; when this returns, no activity for it is left."""
    if node.terms.pop(rack, None) is None:
        return
    # Waits until the lender and the arbiter of request ids have stopped, because a
    # successor to which the rack is handed over acts at once.
    node.notify_lender(RackAuthority(rack, 0, 0.0))
    _logger.info("rack given up", extra={"step": "ownership", "rack": rack})


def publish_runners(node: DomainNode, rack: str, term: Term, now: float) -> None:
    """Send the authority over a rack and its runners to the lender."""
    until = find_authority_end(term.authority)
    epoch = term.rack.epoch if has_authority(term.authority, now) else 0
    runners = tuple(runner for runner, _ in iter_runners(term, node.domain))
    node.notify_lender(RackAuthority(rack, epoch, until))
    node.notify_lender(
        RackRunners(
            rack,
            runners,
            list_leaving_runners(term, node.domain),
            frozenset(term.newly_started),
        )
    )
