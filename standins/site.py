"""A whole site on loopback: platform, links between domains and entry instances.

Every instance reaches the instances of other failure domains, and the platform's log
and instance list, through links that can be cut.
"""

import json
import tempfile
from collections.abc import Iterator, Mapping, Sequence
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass, field
from functools import partial
from itertools import count
from pathlib import Path
from typing import Any, NamedTuple

import urllib3

from plantainyard.work import WorkerInfo
from standins.callers import wait_until
from standins.deployments import Deployment, DomainPlan, find_delay, list_workers
from standins.processes import ChildProcess, start_daemon, start_standin
from standins.violations import Violations, find_violations

__all__ = [
    "Entry",
    "SiteTimings",
    "Site",
    "add_entry",
    "cut_links",
    "describe_site",
    "find_site_violations",
    "kill_entry",
    "list_addresses",
    "list_control_addresses",
    "post_json",
    "read_json",
    "retire_entry",
    "start_site",
    "wait_ready",
]

PLATFORM = "platform"
START_THREADS = 4
TOKEN = "token-of-a-site-on-loopback"
READY_TIMEOUT_S = 60.0


class SiteTimings(NamedTuple):
    """Times of a site, shorter than in production so that failures take effect soon."""

    lease_s: float = 4.0
    credit_s: float = 2.0
    request_max_s: float = 4.0
    tick_s: float = 0.1
    heartbeat_s: float = 0.5
    silence_s: float = 2.0
    instances_s: float = 0.5
    worker_s: float = 0.5
    stop_s: float = 20.0


class Entry(NamedTuple):
    """A running entry instance and the exit stack that ends its process."""

    id: str
    domain: str
    address: str
    control_address: str
    child: ChildProcess
    stack: ExitStack


@dataclass
class Site:
    """All processes of a site and their addresses."""

    deployment: Deployment
    timings: SiteTimings
    directory: Path
    stack: ExitStack
    has_links: bool = True
    log: str = ""
    instances: str = ""
    links: str = ""
    domains: dict[str, str] = field(default_factory=dict)
    platform: dict[str, tuple[str, str]] = field(default_factory=dict)
    entries: dict[str, Entry] = field(default_factory=dict)
    numbers: dict[str, Iterator[int]] = field(default_factory=dict)
    token: str = TOKEN


def post_json(address: str, path: str, body: Mapping[str, Any]) -> dict[str, Any]:
    """Post `body` to a stand-in and return its response.

    Raises
    ------
    RuntimeError
        If the status of the response isn't 200.
    """
    response = urllib3.request("POST", address + path, json=body, retries=False)
    if response.status != 200:
        raise RuntimeError(f"{path}: {response.status} {response.data[:200]!r}")
    return dict(response.json())


def read_json(address: str, path: str, token: str = "") -> dict[str, Any]:
    """Return the JSON object at `path`, whatever the status."""
    headers = {"Authorization": f"Bearer {token}"} if token else {}
    response = urllib3.request("GET", address + path, headers=headers, retries=False)
    return dict(response.json())


@contextmanager
def start_site(
    deployment: Deployment,
    timings: SiteTimings = SiteTimings(),  # noqa: B008
    has_links: bool = True,
) -> Iterator[Site]:
    """Start a whole site and stop all of its processes on exit.

    Parameters
    ----------
    deployment : Deployment
        Names and sizes of the site.
    timings : SiteTimings
        Times in the instances' settings.
    has_links : bool
        Whether instances of different failure domains reach each other over links.

    Notes
    -----
    A link accepts a connection before it knows whether its target does. Over a link, a
    terminated instance therefore looks like one whose response was lost. Tests that
    depend on the difference must not use links.
    """
    with ExitStack() as stack:
        directory = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        site = Site(deployment, timings, directory, stack, has_links)
        _start_platform(site)
        _register_workers(site)
        domains = [d for d in deployment.domains for _ in range(d.entries)]
        try:
            add_entries(site, domains)
            yield site
        finally:
            _kill_entries(site)


def add_entries(site: Site, domains: Sequence[DomainPlan]) -> list[Entry]:
    """Start an entry instance in each of `domains` and add it to the instance list."""
    names = [_make_entry_name(site, plan.name) for plan in domains]
    with ThreadPoolExecutor(START_THREADS) as pool:
        entries = list(pool.map(partial(_start_entry, site), names, domains))
    site.entries.update({entry.id: entry for entry in entries})
    _register_entries(site, entries)
    return entries


def add_entry(site: Site, domain: str) -> Entry:
    """Start one more entry instance in `domain` and add it to the instance list."""
    (plan,) = [d for d in site.deployment.domains if d.name == domain]
    return add_entries(site, [plan])[0]


def kill_entry(site: Site, name: str) -> None:
    """Kill an entry instance without warning; the instance list shows it as gone."""
    entry = site.entries.pop(name)
    entry.child.process.kill()
    entry.stack.close()
    post_json(site.instances, "/faults", {"states": {name: "gone"}})


def retire_entry(site: Site, name: str) -> int:
    """Stop an entry instance gracefully and return its exit status.

    Its address is removed first, so that the load balancer no longer chooses it. The
    instance list shows it as leaving, and as gone once it has ended.
    """
    entry = site.entries.pop(name)
    post_json(site.instances, "/faults", {"states": {name: "leaving"}})
    entry.child.process.terminate()
    status = entry.child.process.wait(site.timings.stop_s * 2)
    entry.stack.close()
    post_json(site.instances, "/faults", {"states": {name: "gone"}})
    return status


def cut_links(site: Site, domain: str, healed: bool = False) -> None:
    """Cut `domain` off from all others and from the platform, or heal its links."""
    post_json(site.links, "/faults", {"heal" if healed else "cut": [[domain]]})


def list_addresses(site: Site, domain: str = "") -> list[str]:
    """Return the addresses for callers of all entry instances, or of one domain's."""
    entries = list(site.entries.values())
    return [e.address for e in entries if not domain or e.domain == domain]


def list_control_addresses(site: Site, domain: str = "") -> list[str]:
    """Return the control addresses of all entry instances, or of one domain's."""
    entries = list(site.entries.values())
    return [e.control_address for e in entries if not domain or e.domain == domain]


def wait_ready(site: Site, limit_s: float = READY_TIMEOUT_S) -> None:
    """Wait until each entry instance reports that it is ready.

    Raises
    ------
    TimeoutError
        If one doesn't within `limit_s`; the message contains the reported reasons.
    """
    for entry in list(site.entries.values()):
        try:
            wait_until(partial(_is_ready, entry), f"{entry.id} ready", limit_s)
        except TimeoutError as error:
            reasons = read_json(entry.control_address, "/readyz")
            raise TimeoutError(f"{error}; {reasons}") from None


def find_site_violations(site: Site) -> Violations:
    """Return the violations that the site's workers and runners recorded."""
    return find_violations(describe_site(site))


def describe_site(site: Site) -> list[dict[str, Any]]:
    """Return the evidence of the workers and runners of each failure domain."""
    return [read_json(address, "/counts") for address in site.domains.values()]


def _kill_entries(site: Site) -> None:
    # No state has to be kept, and a graceful shutdown of each would take long.
    for entry in site.entries.values():
        entry.child.process.kill()


def _is_ready(entry: Entry) -> bool:
    url = f"{entry.control_address}/readyz"
    try:
        return urllib3.request("GET", url, retries=False).status == 200
    except urllib3.exceptions.HTTPError:
        return False


def _start_platform(site: Site) -> None:
    plan = site.deployment
    by_domain = {
        d.name: [
            {"id": w.id, "capacity": w.capacity._asdict()}
            for w in list_workers(plan)
            if w.domain == d.name
        ]
        for d in plan.domains
    }
    names = ["log", "instances", "link"] + ["workers"] * len(by_domain)
    worker_lists = [json.dumps(workers) for workers in by_domain.values()]
    arguments = [[], [], [], *([f"--workers={text}"] for text in worker_lists)]
    with ThreadPoolExecutor(START_THREADS) as pool:
        started = list(pool.map(partial(_start_child, site), names, arguments))
    site.log, site.instances, site.links, *workers = [
        child.ready["address"] for child in started
    ]
    site.domains = dict(zip(by_domain, workers, strict=True))
    site.platform = {d.name: _open_platform_links(site, d.name) for d in plan.domains}


def _start_child(site: Site, name: str, arguments: list[str]) -> ChildProcess:
    log = site.directory / f"{name}.log"
    return site.stack.enter_context(start_standin(name, arguments, log))


def _open_platform_links(site: Site, domain: str) -> tuple[str, str]:
    delay_ms = find_delay(site.deployment, domain, site.deployment.store_domain)
    ends = [domain, PLATFORM]
    targets = [site.log, f"{site.instances}/views/{domain}"]
    log, instances = _open_links(site, ends, delay_ms, targets)
    return log, instances


def _open_links(
    site: Site, ends: list[str], delay_ms: float, targets: Sequence[str]
) -> list[str]:
    items = [{"ends": ends, "delay_ms": delay_ms, "target": t} for t in targets]
    return list(post_json(site.links, "/links", {"links": items})["addresses"])


def _register_workers(site: Site) -> None:
    workers = [
        _format_worker(site.domains[w.domain], w) for w in list_workers(site.deployment)
    ]
    post_json(site.instances, "/instances", {"instances": workers})


def _format_worker(address: str, worker: WorkerInfo) -> dict[str, Any]:
    return {
        **worker._asdict(),
        "kind": "worker",
        "address": f"{address}/workers/{worker.id}",
        "capacity": worker.capacity._asdict(),
        "state": "live",
    }


def _make_entry_name(site: Site, domain: str) -> str:
    numbers = site.numbers.setdefault(domain, count(1))
    return f"{domain}-{next(numbers)}"


def _start_entry(site: Site, name: str, plan: DomainPlan) -> Entry:
    settings = site.directory / f"{name}.toml"
    settings.write_text(_format_settings(site, name, plan))
    stack = site.stack.enter_context(ExitStack())
    child = stack.enter_context(start_daemon(settings, site.directory / f"{name}.log"))
    return Entry(
        name,
        plan.name,
        _format_url(child.ready["address"]),
        _format_url(child.ready["control_address"]),
        child,
        stack,
    )


def _format_url(address: str) -> str:
    return address if "://" in address else f"http://{address}"


def _format_settings(site: Site, name: str, plan: DomainPlan) -> str:
    log, instances = site.platform[plan.name]
    timings = site.timings
    return f"""
[instance]
id = "{name}"
region = "{plan.region}"
domain = "{plan.name}"
address = "127.0.0.1:0"
control_address = "127.0.0.1:0"

[platform]
log = "{log}"
instances = "{instances}"
worker_lease_s = {timings.lease_s}
trust_gone = true

[requests]
default_deadline_ms = 2000
request_max_s = {timings.request_max_s}
credit_s = {timings.credit_s}

[intervals]
tick_s = {timings.tick_s}
heartbeat_s = {timings.heartbeat_s}
silence_s = {timings.silence_s}
instances_s = {timings.instances_s}
worker_s = {timings.worker_s}
stop_s = {timings.stop_s}

[security]
token = "{site.token}"
"""


def _register_entries(site: Site, entries: Sequence[Entry]) -> None:
    regions = {d.name: d.region for d in site.deployment.domains}
    for entry in entries if site.has_links else ():
        _open_entry_links(site, entry)
    items = [
        {
            "id": entry.id,
            "kind": "entry",
            "region": regions[entry.domain],
            "domain": entry.domain,
            "address": entry.address,
            "control_address": entry.control_address,
            "state": "live",
        }
        for entry in entries
    ]
    post_json(site.instances, "/instances", {"instances": items})


def _open_entry_links(site: Site, entry: Entry) -> None:
    others = [d.name for d in site.deployment.domains if d.name != entry.domain]
    for other in others:
        delay_ms = find_delay(site.deployment, entry.domain, other)
        address, control_address = _open_links(
            site,
            [entry.domain, other],
            delay_ms,
            [entry.address, entry.control_address],
        )
        fields = {"address": address, "control_address": control_address}
        post_json(site.instances, "/views", {other: {entry.id: fields}})
