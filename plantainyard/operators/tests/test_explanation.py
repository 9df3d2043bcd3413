"""Explaining a task: finding its rack, and forwarding to the rack's owner once."""

from types import SimpleNamespace
from typing import Any

import pytest

from plantainyard import state as log_state
from plantainyard.api import operators_pb2 as schema
from plantainyard.operators import explanation, listing
from plantainyard.work import Job, Size, TaskKey

JOB = Job("j.a", "n", "t", False, 5, Size(1, 1), 1.0)
RACKS = {"r1": 2, "r2": 3}


def build_state(holder: str, assigned=()) -> log_state.DomainState:
    state = log_state.DomainState()
    records: list[Any] = [
        log_state.make_claim("r1", holder, -1),
        log_state.make_accept("a.request-1", JOB, RACKS),
    ]
    items = [log_state.AssignItem(TaskKey(JOB.id, n), 1, "w1") for n in assigned]
    if items:
        records.append(log_state.make_assign("r1", 0, items))
    for offset, record in enumerate(records):
        log_state.apply_record(state, offset, record)
    return state


def build_node(name: str, other: str) -> Any:
    """Return an instance that believes that `other` owns rack r1."""
    domain = SimpleNamespace(name=name, terms={}, domain=build_state(other))
    domain.settings = SimpleNamespace(instance=SimpleNamespace(domain="a"))
    peer = SimpleNamespace(is_live=True, process=other)
    return SimpleNamespace(
        name=name,
        settings=domain.settings,
        domain=SimpleNamespace(node=domain),
        listed=[peer],
    )


def test_task_is_found_in_its_rack():
    """Guards against attributing a waiting or assigned task to another rack."""
    state = build_state("x", assigned=[0])
    entry = log_state.get_job(state, JOB.id)
    assert isinstance(entry, log_state.JobState)
    found = [
        explanation.find_task_rack(state, entry, TaskKey(JOB.id, n)) for n in range(6)
    ]
    assert found == ["r1", "r1", "r2", "r2", "r2", ""]


@pytest.mark.parametrize(
    ("module", "handle", "request_class"),
    [
        (explanation, "explain_task", schema.ExplainTaskRequest),
        (listing, "describe_job", schema.DescribeJobRequest),
    ],
)
def test_call_is_forwarded_to_an_owner_only_once(
    monkeypatch, module, handle, request_class
):
    """Guards against a forwarding loop while the ownership of a rack changes.

    A believes that B is the owner; B has read further in the log and believes that A
    is. A loop would take up the threads of both, so that neither could send heartbeats
    and both would count as dead.
    """
    nodes = {"A": build_node("A", "B"), "B": build_node("B", "A")}
    calls: list[str] = []

    def forward(node, peer, method, request, response):
        calls.append(peer.process)
        assert len(calls) < 10
        return getattr(module, handle)(nodes[peer.process], request)

    monkeypatch.setattr(module, "forward_call", forward)
    monkeypatch.setattr(module, "list_peers", lambda node: node.listed)
    monkeypatch.setattr(module, "query", lambda actor, read: read(actor, 0.0))
    monkeypatch.setattr(listing, "_read_age", lambda actor, now: 0.0)
    answer = getattr(module, handle)(nodes["A"], request_class(job_id=JOB.id))
    assert answer.is_ok()
    assert calls == ["B"]
