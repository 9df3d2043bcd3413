"""Tests of the stand-in worker and of the check for violations."""

from hypothesis import given, settings
from hypothesis import strategies as st

from standins.machine import (
    Machine,
    advance_machine,
    apply_commands,
    describe_machine,
    restart_machine,
)
from standins.violations import find_violations

SIZE = {"cores": 2.0, "memory_gb": 4.0, "accelerators": 0}


def build_start(task="j/0", attempt=1, until=100.0, **fields):
    return {
        "task": task,
        "attempt": attempt,
        "until": until,
        "size": SIZE,
        "run_s": 5.0,
        **fields,
    }


def build_commands(epoch=1, holder="a", incarnation=1, not_after=1000.0, **lists):
    return {
        "epoch": epoch,
        "holder": holder,
        "incarnation": incarnation,
        "not_after": not_after,
        **lists,
    }


def build_machine():
    return Machine("w1", dict(SIZE), clock_base=0.0)


def list_outcomes(machine, now):
    finished = describe_machine(machine, (), now)["finished"]
    return [(f["task"], f["attempt"], f["outcome"]) for f in finished]


CALLS = st.lists(
    st.tuples(
        st.integers(0, 4),
        st.sampled_from("ab"),
        st.integers(1, 2),
        st.integers(0, 40),
        st.integers(1, 3),
        st.booleans(),
    ),
    max_size=25,
)


@settings(derandomize=True, deadline=None, max_examples=100)
@given(CALLS)
def test_only_the_newest_holder_is_obeyed(calls):
    """Guards against a worker that carries out commands of an outdated holder.

    Two instances command one worker, and delayed commands arrive at any time. Only
    commands of the highest epoch's holder that arrive in time and are meant for the
    current incarnation may be carried out.
    """
    machine = build_machine()
    for now, (epoch, holder, incarnation, not_after, attempt, restart) in enumerate(
        calls
    ):
        if restart:
            restart_machine(machine, float(now))
        before = (machine.epoch, machine.holder, len(machine.runs))
        clock_s = now - machine.clock_base
        status, _ = apply_commands(
            machine,
            build_commands(
                epoch,
                holder,
                incarnation,
                not_after,
                start=[build_start(attempt=attempt, until=clock_s + 2)],
            ),
            float(now),
        )
        stale = epoch < before[0] or (epoch == before[0] and holder != before[1])
        late = not_after < clock_s or incarnation != machine.incarnation
        assert status == (409 if stale else 410 if late else 200)
        if status != 200:
            assert (machine.epoch, machine.holder, len(machine.runs)) == before
        assert machine.epoch >= before[0]


def test_leases_results_and_checkpoints():
    machine = build_machine()
    starts = [build_start("j/0"), build_start("j/1", until=3.0), build_start("j/2")]
    apply_commands(machine, build_commands(start=starts), 0.0)
    apply_commands(machine, build_commands(checkpoint=[["j/2", 1]]), 2.0)
    advance_machine(machine, 50.0)
    expected = [("j/2", 1, "evicted"), ("j/0", 1, "done"), ("j/1", 1, "lapsed")]
    assert sorted(list_outcomes(machine, 50.0)) == sorted(expected)
    assert {r.task: r.ended for r in machine.runs} == {"j/0": 5, "j/1": 3, "j/2": 2}

    apply_commands(machine, build_commands(ack=[["j/0", 1], ["j/1", 1]]), 50.0)
    apply_commands(machine, build_commands(start=[build_start("j/0")]), 50.0)
    assert list_outcomes(machine, 50.0) == [("j/2", 1, "evicted")]
    checkpoint = machine.finished["j/2", 1][1]
    resume = build_start("j/2", 2, checkpoint=checkpoint)
    apply_commands(machine, build_commands(start=[resume]), 50.0)
    advance_machine(machine, 60.0)
    assert machine.runs[-1].ended == 53.0


def test_usage_becomes_visible_after_the_lag():
    machine = build_machine()
    apply_commands(machine, build_commands(start=[build_start()]), 0.0)
    advance_machine(machine, 1.0)
    assert not describe_machine(machine, (), 2.0)["usage"]
    (sample,) = describe_machine(machine, (), 3.0)["usage"]
    assert (sample["time_s"], sample["cores"]) == (1.0, 2.0)


def test_evidence_shows_each_violation():
    """Guards against evidence that can't reveal violations by the scheduler."""
    first, second = build_machine(), build_machine()
    start = build_start(run_s=10.0)
    apply_commands(first, build_commands(start=[start]), 0.0)
    apply_commands(second, build_commands(start=[{**start, "attempt": 2}]), 5.0)
    more = build_start("k/0", checkpoint="c@1.0")
    apply_commands(first, build_commands(start=[more]), 1.0)
    restart_machine(first, 20.0)
    again = build_commands(incarnation=2, start=[more])
    apply_commands(first, again, 20.0)
    advance_machine(second, 30.0)
    runner = {
        "name": "r#1",
        "slots": 1,
        "max_in_progress": 2,
        "runs": {"id": 2},
        "cut_off": 1,
    }
    violations = find_violations(
        {
            "runs": [vars(run) for run in machine.runs],
            "runners": [runner],
            "overcommitted": {"w1": machine.overcommitted}
            if machine.overcommitted
            else {},
        }
        for machine in (first, second)
    )
    assert all(violations)
