"""Tests of the stand-ins over HTTP, with the clients of the product."""

import os
import signal
import threading

import pytest
import urllib3

from plantainyard.clients import (
    Commands,
    Renewal,
    RunnerOutcome,
    Start,
    TaskAttempt,
    append_record,
    build_instances_client,
    build_log_client,
    build_runner_client,
    build_worker_client,
    read_instances,
    read_records,
    read_state,
    run_request,
    send_commands,
)
from plantainyard.errors import ErrorKind
from plantainyard.work import Size, TaskKey
from standins.instances import run_instances
from standins.link import run_links
from standins.log import run_log
from standins.processes import start_standin
from standins.workers import run_workers

TASK = TaskKey("bake", 0)


def post(address, path, body):
    response = urllib3.request("POST", address + path, json=body, retries=False)
    assert response.status == 200, response.data
    return response.json()


def test_log_order_faults_and_retention():
    with run_log() as ready:
        address = ready["address"]
        client = build_log_client(address, timeout_s=5)
        assert append_record(client, "config", {"n": 0}).unwrap() == 0
        post(address, "/faults", {"lose_next_answers": 1})
        assert (
            append_record(client, "config", {"n": 1}).unwrap_err().kind
            == ErrorKind.LOST
        )
        page = read_records(client, "config", 1).unwrap()
        assert [(r.offset, r.data) for r in page.records] == [(1, {"n": 1})]

        post(address, "/faults", {"drop_before": {"config": 1}, "outage": True})
        error = append_record(client, "config", {"n": 2}).unwrap_err()
        assert (error.kind, error.retry_after_s) == (ErrorKind.REFUSED, 0.2)
        post(address, "/faults", {"outage": False, "rate": 1})
        assert append_record(client, "config", {"n": 2}).unwrap() == 2
        assert (
            append_record(client, "config", {"n": 3}).unwrap_err().kind
            == ErrorKind.REFUSED
        )
        page = read_records(client, "config", 0).unwrap()
        assert (page.first, page.next, len(page.records)) == (1, 3, 2)


def test_waiting_reader_is_woken_by_an_append():
    with run_log() as ready:
        client = build_log_client(ready["address"])
        pages = []
        reader = threading.Thread(
            target=lambda: pages.append(
                read_records(client, "config", 0, wait_s=20).unwrap()
            )
        )
        reader.start()
        append_record(client, "config", {"n": 0})
        reader.join(20)
        assert [r.data for r in pages[0].records] == [{"n": 0}]


def test_worker_and_runner_as_the_clients_see_them():
    workers = [{"id": "w1", "capacity": {"cores": 4}}]
    with run_workers(workers) as ready:
        address = ready["address"]
        client = build_worker_client(ready["workers"]["w1"])
        state = read_state(client).unwrap()
        end = state.clock_s + 100
        start = Start(
            TASK,
            1,
            end,
            Size(1, 2),
            workload="ordering",
            latency_critical=True,
            slots=2,
            connections=4,
        )
        commands = Commands(3, "a", state.incarnation, end, start=(start,))
        post(address, "/faults", {"lose_next_answers": 1})
        assert send_commands(client, commands).unwrap_err().kind == ErrorKind.LOST
        result = send_commands(client, commands).unwrap()
        (running,) = result.state.running
        assert result.accepted
        assert (running.task, running.size) == (TASK, Size(1, 2))

        runner = build_runner_client(running.address)
        done = run_request(runner, b"two loaves", "r1", 5)
        assert done.response
        assert (done.outcome, done.response.body) == (
            RunnerOutcome.ANSWERED,
            b"two loaves",
        )
        for fault in ("truncate_next", "wrong_id_next"):
            post(address, "/faults", {"runners": {fault: 1}})
            assert run_request(runner, b"x", fault, 5).outcome == RunnerOutcome.LOST
        post(address, "/faults", {"runners": {"refuse_share": 1.0}})
        refused = run_request(runner, b"x", "r2", 5)
        assert refused.outcome == RunnerOutcome.NOT_RUN

        stale = send_commands(client, commands._replace(epoch=2)).unwrap()
        late = send_commands(client, commands._replace(not_after=0.0)).unwrap()
        other = send_commands(client, commands._replace(incarnation=9)).unwrap()
        assert [(a.accepted, a.expired) for a in (stale, late, other)] == [
            (False, False),
            (False, True),
            (False, True),
        ]
        renewal = Renewal(TASK, 1, end + 5)
        commands = Commands(3, "a", state.incarnation, end, renew=(renewal,))
        assert (
            send_commands(client, commands).unwrap().state.running[0].until == end + 5
        )
        commands = Commands(
            3, "a", state.incarnation, end, stop=(TaskAttempt(TASK, 1),)
        )
        (finished,) = send_commands(client, commands).unwrap().state.finished
        assert (finished.task, finished.outcome) == (TASK, "stopped")
        counts = urllib3.request("GET", address + "/counts").json()
        assert counts["runners"][0]["runs"]["r1"] == 1
        assert len(counts["runs"]) == 1


def test_list_lags_and_differs_by_view():
    entry = {
        "id": "e1",
        "kind": "entry",
        "region": "ashanti",
        "domain": "kumasi-adum",
        "address": "http://127.0.0.1:1",
        "control_address": "http://127.0.0.1:2",
        "state": "live",
    }
    with run_instances() as ready:
        address = ready["address"]
        post(address, "/instances", {"instances": [entry]})
        post(address, "/views", {"far": {"e1": {"address": "http://127.0.0.1:3"}}})
        far = build_instances_client(address + "/views/far")
        assert read_instances(far).unwrap()[0].address == "http://127.0.0.1:3"
        post(address, "/faults", {"lag_s": 3600, "states": {"e1": "gone"}})
        assert not read_instances(build_instances_client(address)).unwrap()
        post(address, "/faults", {"lag_s": 0})
        assert read_instances(far).unwrap()[0].state == "gone"


def test_cut_link_holds_and_delivers_once_healed():
    """Guards against links that lose data, so that late commands go untested.

    The link is cut while a record is on its way. The link buffers it and delivers it
    once it is healed, after the call of the sender has timed out.
    """
    with run_log() as log, run_links() as control:
        item = {"ends": ["accra-central", "platform"], "target": log["address"]}
        links = post(control["address"], "/links", {"links": [item]})
        client = build_log_client(links["addresses"][0], timeout_s=0.5)
        direct = build_log_client(log["address"])
        assert append_record(client, "config", {"n": 0}).unwrap() == 0
        post(control["address"], "/faults", {"cut": [["accra-central"]]})
        assert (
            append_record(client, "config", {"n": 1}).unwrap_err().kind
            == ErrorKind.LOST
        )
        assert read_records(direct, "config", 0).unwrap().next == 1
        post(control["address"], "/faults", {"heal": [["platform", "accra-central"]]})
        assert read_records(direct, "config", 1, wait_s=10).unwrap().next == 2
        counts = urllib3.request("GET", control["address"] + "/counts").json()
        assert counts["bytes"]["accra-central|platform out"] > 0


@pytest.mark.parametrize("name", ["log", "instances", "link", "workers"])
def test_process_leaves_nothing_behind(name):
    with start_standin(name) as child:
        assert child.ready["address"].startswith("http://127.0.0.1:")
        if name == "log":
            os.kill(child.pid, signal.SIGSTOP)
    assert child.process.returncode == 0
    with pytest.raises(ProcessLookupError):
        os.kill(child.pid, 0)
