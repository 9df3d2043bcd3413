"""Seeded generator of traces for both deployments.

Every trace is a list of records in the format of docs/traces.md. The interference
between workloads is drawn for each seed, so that no policy can rely on fixed values.
"""

import json
import random
from collections.abc import Callable, Iterable, Iterator
from pathlib import Path
from typing import Any, NamedTuple

from bench.deployments import (
    DEPLOYMENTS,
    Deployment,
)
from plantainyard.work import Job, Size, WorkerInfo, encode_job

__all__ = [
    "SCENARIOS",
    "generate_trace",
    "load_trace",
    "write_trace",
]

Record = dict[str, Any]


HORIZON_S = 480.0
_PROMISES_AFTER_RACK_LOSS = {"overcommits": 0, "double_runs": 0, "given_up_wrongly": 0}
_PROMISES = {**_PROMISES_AFTER_RACK_LOSS, "urgent_max_s": 3.6}
_BOUNDS = {
    "accra": [
        ["p99", "least-loaded", "at most", 0.5],
        ["throughput", "least-loaded", "at least", 0.95],
        ["p99", "oracle", "at most", 1.1],
        ["throughput", "oracle", "at least", 0.9],
        ["evictions", "own-no-hysteresis", "at most", 0.333],
    ],
    "awash": [
        ["p99", "least-loaded", "at most", 1.0],
        ["throughput", "least-loaded", "at least", 1.15],
        ["p99", "oracle", "at most", 1.1],
        ["throughput", "oracle", "at least", 0.9],
        ["evictions", "own-no-hysteresis", "at most", 0.333],
    ],
}
_SERVICE_INTERFERENCE = ((4.0, 8.0), (0.8, 2.0), (0.05, 0.3))
_BATCH_INTERFERENCE = ((1.0, 2.0), (0.3, 0.7), (0.02, 0.1))


def _list_workers(site: Deployment) -> list[WorkerInfo]:
    return [
        WorkerInfo(
            f"w{number:02d}",
            f"127.0.0.1:{number + 1}",
            site.region,
            site.domains[number // site.rack_size % len(site.domains)],
            f"rack-{number // site.rack_size}",
            site.capacity,
        )
        for number in range(site.workers)
    ]


def _draw_interference(site: Deployment, source: random.Random) -> list[list[Any]]:
    services = [name for name, *_ in site.services]
    interference: list[list[Any]] = []
    for victim in (*services, *site.batch):
        is_service = victim in services
        ranges = _SERVICE_INTERFERENCE if is_service else _BATCH_INTERFERENCE
        levels = [ranges[i % 3] for i in range(len(site.batch))]
        source.shuffle(levels)
        pairs = zip(site.batch, levels, strict=True)
        interference += [
            [victim, other, source.uniform(*level)] for other, level in pairs
        ]
        interference += [
            [victim, other, source.uniform(0.05, 0.3)] for other in services
        ]
    return [[victim, other, round(value, 3)] for victim, other, value in interference]


def _make_services(site: Deployment, source: random.Random) -> Iterator[Record]:
    for name, count, size, share, base_ms in site.services:
        job = Job(
            f"svc-{name}",
            name,
            "services",
            True,
            count,
            size,
            workload=name,
            slots=8,
            connections=60,
        )
        behavior = {
            "cores": round(size.cores * share, 3),
            "memory_gb": round(size.memory_gb * 0.8, 3),
            "run_s": 0.0,
            "base_ms": base_ms,
        }
        yield {"kind": "job", "at": 0.0, "job": encode_job(job), "truth": behavior}


class _Batch(NamedTuple):
    """Parameters of the batch jobs that `_make_batch` generates."""

    load: float = 1.15
    misdeclared: float = 1.3
    tasks: tuple[int, int] = (4, 16)
    run_s: tuple[float, float] = (25.0, 90.0)
    urgent: float = 0.05
    gang: float = 0.05
    prefix: str = "b"
    start: float = 0.0
    end: float = HORIZON_S
    workload: str = ""


def _make_batch(
    site: Deployment, source: random.Random, batch: _Batch
) -> Iterator[Record]:
    """Yield jobs whose actual work is `load` times the capacity left by services."""
    total_cores = site.workers * site.capacity.cores
    service = sum(count * size.cores for _, count, size, *_ in site.services)
    rate = batch.load * (total_cores - service)
    now, number = batch.start, 0
    backlog = rate * 30.0 if batch.start == 0.0 else 0.0
    while now < batch.end:
        job, behavior = _draw_job(site, source, batch, number)
        number += 1
        yield {"kind": "job", "at": round(now, 3), "job": job, "truth": behavior}
        work = behavior["cores"] * behavior["run_s"] * job["task_count"]
        if backlog > 0.0:
            backlog -= work
        else:
            now += source.expovariate(1.0) * work / rate


def _draw_job(
    site: Deployment, source: random.Random, batch: _Batch, number: int
) -> tuple[Record, dict[str, Any]]:
    cores = source.choice(site.task_cores)
    count = source.randint(*batch.tasks)
    if source.random() < 0.03:
        count *= 20
    run_s = source.uniform(*batch.run_s)
    size_error = batch.misdeclared ** source.uniform(-1.0, 1.0)
    run_time_error = batch.misdeclared ** source.uniform(-1.0, 1.0)
    per_core = site.capacity.memory_gb / site.capacity.cores
    urgent = source.random() < batch.urgent
    gang = not urgent and source.random() < batch.gang
    memory = cores * per_core * source.uniform(0.3, 0.7)
    job = Job(
        f"{batch.prefix}{number}",
        f"{batch.prefix}{number}",
        source.choice(site.teams),
        False,
        min(count, 6) if urgent or gang else count,
        Size(cores, round(memory, 2)),
        run_s=round(run_s, 1),
        workload=batch.workload or source.choice(site.batch),
        urgent=urgent,
        gang=gang,
    )
    behavior = {
        "cores": round(min(cores * size_error, site.capacity.cores), 3),
        "memory_gb": round(memory * 0.9, 3),
        "run_s": round(run_s * run_time_error, 2),
        "base_ms": 0.0,
    }
    return encode_job(job), behavior


def _make_load_record(at: float, workload: str, level: float) -> Record:
    return {"kind": "load", "at": at, "workload": workload, "level": level}


def _make_fault_record(at: float, fault: str, workers: Iterable[str]) -> Record:
    return {"kind": "fault", "at": at, "fault": fault, "workers": list(workers)}


def _generate_quiet(site: Deployment, source: random.Random) -> Iterator[Record]:
    yield from _make_batch(site, source, _Batch(load=0.8))


def _generate_shift(site: Deployment, source: random.Random) -> Iterator[Record]:
    yield from _make_batch(site, source, _Batch())
    names = [name for name, *_ in site.services]
    for at, level in ((0.0, 0.6), (150.0, 1.5), (300.0, 0.8), (360.0, 1.6)):
        yield _make_load_record(at + source.uniform(0.0, 10.0), names[0], level)
    yield _make_load_record(200.0, names[1], 1.4)


def _generate_noisy(site: Deployment, source: random.Random) -> Iterator[Record]:
    yield from _make_batch(site, source, _Batch(load=0.8))
    for wave, start in enumerate((90.0, 210.0, 330.0)):
        workload = source.choice(site.batch)
        yield from _make_batch(
            site,
            source,
            _Batch(
                load=1.2,
                prefix=f"wave{wave}-",
                start=start,
                end=start + 40.0,
                run_s=(15.0, 40.0),
                workload=workload,
            ),
        )


def _generate_cancel(site: Deployment, source: random.Random) -> Iterator[Record]:
    records = list(_make_batch(site, source, _Batch(load=1.5)))
    yield from records
    for at in (120.0, 240.0, 360.0):
        early = [r["job"]["id"] for r in records if r["at"] < at - 5.0]
        yield {
            "kind": "cancel",
            "at": at,
            "jobs": sorted(source.sample(early, len(early) // 2)),
        }


def _generate_bad(site: Deployment, source: random.Random) -> Iterator[Record]:
    for record in _make_batch(site, source, _Batch()):
        if source.random() < 0.06:
            record["truth"]["fails"] = True
            record["job"]["task_count"] = min(record["job"]["task_count"], 8)
        yield record
    names = [worker.id for worker in _list_workers(site)]
    bad = source.sample(names, 4)
    yield _make_fault_record(60.0, "bad", bad[:2])
    yield _make_fault_record(240.0, "good", bad[:1])
    yield _make_fault_record(30.0, "silent", bad[2:3])
    yield _make_fault_record(30.0, "lying", bad[3:])


def _generate_misdeclared(site: Deployment, source: random.Random) -> Iterator[Record]:
    yield from _make_batch(site, source, _Batch(misdeclared=4.0))


def _generate_rack(site: Deployment, source: random.Random) -> Iterator[Record]:
    yield from _make_batch(site, source, _Batch())
    rack = source.choice(sorted({worker.rack for worker in _list_workers(site)}))
    lost = [worker.id for worker in _list_workers(site) if worker.rack == rack]
    yield _make_fault_record(150.0, "down", lost)
    yield _make_fault_record(300.0, "up", lost)


def _generate_mixed(site: Deployment, source: random.Random) -> Iterator[Record]:
    yield from _make_batch(site, source, _Batch(load=0.9, misdeclared=2.0))
    names = [name for name, *_ in site.services]
    yield _make_load_record(100.0, names[0], 1.5)
    yield from _make_batch(
        site,
        source,
        _Batch(
            load=1.2, prefix="wave-", start=150.0, end=190.0, workload=site.batch[0]
        ),
    )
    workers = [worker.id for worker in _list_workers(site)]
    yield _make_fault_record(80.0, "bad", source.sample(workers, 1))
    lost = source.sample(workers, 3)
    yield _make_fault_record(220.0, "down", lost)
    yield _make_fault_record(330.0, "up", lost)


SCENARIOS: dict[str, Callable[[Deployment, random.Random], Iterator[Record]]] = {
    "quiet": _generate_quiet,
    "shift": _generate_shift,
    "noisy": _generate_noisy,
    "cancel": _generate_cancel,
    "bad": _generate_bad,
    "misdeclared": _generate_misdeclared,
    "rack": _generate_rack,
    "mixed": _generate_mixed,
}


def generate_trace(deployment: str, scenario: str, seed: int) -> list[Record]:
    """Return the records of one trace, in order of time.

    Parameters
    ----------
    deployment, scenario : str
        A key of `DEPLOYMENTS` and one of `SCENARIOS`.
    seed : int
        Determines interference, jobs and faults.
    """
    site = DEPLOYMENTS[deployment]
    source = random.Random(f"{deployment}/{scenario}/{seed}")
    header = {
        "kind": "trace",
        "name": f"{deployment}/{scenario}",
        "seed": seed,
        "horizon_s": HORIZON_S,
        "harm": _draw_interference(site, source),
        "promises": _PROMISES if scenario != "rack" else _PROMISES_AFTER_RACK_LOSS,
        "bounds": _BOUNDS[deployment],
    }
    workers = {
        "kind": "workers",
        "at": 0.0,
        "workers": [
            {**info._asdict(), "capacity": info.capacity._asdict()}
            for info in _list_workers(site)
        ],
    }
    share = {"cores": 0.5, "memory_gb": 0.6, "accelerators": 0.0}
    total_cores = site.workers * site.capacity.cores
    quota = {
        "kind": "quotas",
        "at": 0.0,
        "shares": {
            team: [
                round(total_cores * share["cores"], 1),
                round(site.workers * site.capacity.memory_gb * share["memory_gb"], 1),
                0,
            ]
            for team in site.teams
        },
    }
    body = [*_make_services(site, source), *SCENARIOS[scenario](site, source)]
    return [header, workers, quota, *sorted(body, key=lambda record: record["at"])]


def write_trace(path: str | Path, records: Iterable[Record]) -> None:
    """Write `records` as JSON Lines."""
    lines = (json.dumps(record, separators=(",", ":")) for record in records)
    Path(path).write_text("\n".join(lines) + "\n", encoding="utf-8")


def load_trace(name: str, seed: int) -> list[Record]:
    """Return the trace of a file, or of ``deployment/scenario`` and `seed`.

    Raises
    ------
    ValueError
        If `name` is neither a file nor a known deployment and scenario.
    """
    path = Path(name)
    if path.is_file():
        lines = path.read_text(encoding="utf-8").splitlines()
        return [json.loads(line) for line in lines]
    deployment, _, scenario = name.partition("/")
    if deployment not in DEPLOYMENTS or scenario not in SCENARIOS:
        raise ValueError(f"{name!r} is neither a trace file nor a deployment/scenario")
    return generate_trace(deployment, scenario, seed)
