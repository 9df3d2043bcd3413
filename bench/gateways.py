"""Discrete-event simulation of gateways, lenders and runners, to measure routing.

The daemon's decision functions run here; delays and service times are drawn at random,
and no real time passes. Runners count their requests in progress; a run fails if a
runner exceeds its slots.
"""

import heapq
import itertools
import math
import random
from collections import Counter
from collections.abc import Callable
from functools import partial
from typing import Any, NamedTuple

import numpy as np

from plantainyard.protocol import RunnerInfo, encode_message
from plantainyard.routing import (
    Answer,
    AttemptEnded,
    AuthorityGained,
    CreditAnswerReceived,
    Event,
    Forward,
    ForwardEnded,
    GatewayState,
    LateAttemptEnded,
    LenderState,
    LenderStep,
    Location,
    Outcome,
    Owner,
    OwnersChanged,
    Peer,
    PeersChanged,
    Request,
    RequestArrived,
    RequestCredits,
    Response,
    RoutingSettings,
    RunnerUp,
    Send,
    SendResult,
    Tick,
    build_fixed_lender,
    build_leased_lender,
    build_single_lender,
    count_free_credits,
    step,
)

__all__ = [
    "CAPACITY",
    "EVEN",
    "FAILING",
    "LOADS",
    "UNEVEN",
    "Scenario",
    "SharingMethods",
    "run_scenario",
]

RUNNERS = 30
SLOTS = 8
SERVICE_MEDIAN_S = 0.15
SERVICE_SIGMA = 1.0
SERVICE_MAX_S = 20.0
FAILURE_S = 0.005
DEADLINE_S = 3.0
BODY_BYTES = 2_000
CLIENT_DELAY_S = 0.003
DELAYS_S = (0.0002, 0.001, 0.010)
TICK_S = 0.05
HEARTBEAT_S = 0.2
WARM_UP_S = 3.0
DISPATCHER_CREDITS = 10**6
REGIONS = {"d1": "r1", "d2": "r1", "d3": "r2"}
GATEWAYS = {
    "i1": "d1",
    "i2": "d1",
    "i3": "d1",
    "i4": "d2",
    "i5": "d2",
    "i6": "d2",
    "i7": "d3",
    "i8": "d3",
}
EVEN = dict.fromkeys(GATEWAYS, 1.0)
UNEVEN = {**EVEN, "i1": 4.0, "i4": 2.0, "i7": 2.0}
LOADS = (0.5, 1.0, 2.0, 4.0)
FAILING = (0.0, 0.1, 0.5)
SETTINGS = RoutingSettings(
    credit_s=2.0, request_max_s=SERVICE_MAX_S, queue_count=200, forward_max=10_000
)
CAPACITY = RUNNERS * SLOTS / (SERVICE_MEDIAN_S * math.exp(SERVICE_SIGMA**2 / 2))


class SharingMethods:
    """Names of the methods of sharing slots between gateways."""

    FIXED = "fixed split"
    LEASED = "leased credits"
    SINGLE = "one dispatcher a rack"


class Scenario(NamedTuple):
    """Parameters of one simulation.

    Attributes
    ----------
    method : str
        One of the names in `SharingMethods`.
    load : float
        Load offered by callers, as a multiple of the capacity with all runners
        healthy.
    failing : float
        Share of the runners that fail every request.
    length_s : float
        Length of the simulation after the warm-up, in seconds.
    ramp : bool
        Whether the load increases from zero to `load` over the simulation.
    weights : dict of str to float
        Relative share of the load that each gateway receives.
    """

    method: str
    load: float
    failing: float = 0.0
    length_s: float = 6.0
    ramp: bool = False
    weights: dict[str, float] = UNEVEN


class _Simulation:
    """Simulated gateways, lenders and runners, and the figures of a simulation."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self.scenario = scenario
        self.rng = random.Random(seed)
        self.now = 0.0
        self.heap: list[tuple[float, int, Callable[[], None]]] = []
        self.numbers = itertools.count()
        self.runners = [_make_runner(number) for number in range(RUNNERS)]
        failing = self.rng.sample(self.runners, round(scenario.failing * RUNNERS))
        self.failing = {runner.id for runner in failing}
        self.gateways = {
            name: GatewayState(Location(name, domain, REGIONS[domain]), name, SETTINGS)
            for name, domain in GATEWAYS.items()
        }
        self.owners = {
            f"k-{domain}": Owner(_find_first_gateway(domain), domain, region)
            for domain, region in REGIONS.items()
        }
        self.lenders = {rack: LenderState(rack) for rack in self.owners}
        self.steps = {
            rack: _build_step(scenario.method, owner)
            for rack, owner in self.owners.items()
        }
        self.in_progress: Counter[str] = Counter()
        self.arrived: dict[str, float] = {}
        self.forwards: dict[str, tuple[str, str]] = {}
        self.latencies: list[float] = []
        self.outcomes: Counter[str] = Counter()
        self.sent = 0
        self.link_bytes = 0
        self.credit_bytes = 0
        self.first_wait = math.nan
        self.first_refusal = math.nan

    def schedule(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Schedule `callback` to run after `delay_s`."""
        heapq.heappush(self.heap, (self.now + delay_s, next(self.numbers), callback))

    def deliver(self, name: str, event: Event) -> None:
        """Pass an event to a gateway and execute the resulting actions."""
        for action in step(self.gateways[name], event, self.now):
            match action:
                case Answer():
                    self.handle_answer(name, action)
                case Send():
                    delay_s = self.measure_delay(name, action.runner.domain)
                    self.schedule(delay_s, partial(self.run_request, name, action))
                case Forward():
                    self.forward(name, action)
                case RequestCredits():
                    self.request_credits(name, action)

    def measure_delay(self, name: str, domain: str) -> float:
        """Return the one-way delay from a gateway to a domain."""
        own = GATEWAYS[name]
        if own == domain:
            return DELAYS_S[0]
        return DELAYS_S[1] if REGIONS[own] == REGIONS[domain] else DELAYS_S[2]

    def request_credits(self, name: str, action: RequestCredits) -> None:
        """Deliver a credit request to the owner and its response to the gateway."""
        rack = action.ask.rack
        delay_s = self.measure_delay(name, self.owners[rack].domain)

        def callback() -> None:
            responses = self.steps[rack](self.lenders[rack], action.ask, self.now)
            self.credit_bytes += len(encode_message(action.ask))
            self.credit_bytes += sum(len(encode_message(r)) for r in responses)
            for event in map(CreditAnswerReceived, responses):
                self.schedule(delay_s, partial(self.deliver, name, event))

        self.schedule(delay_s, callback)

    def forward(self, name: str, action: Forward) -> None:
        """Forward a request to a peer."""
        peer = action.peer
        delay_s = self.measure_delay(name, peer.domain)
        key = f"{action.key}>{next(self.numbers)}"
        self.forwards[key] = (name, action.key)
        if REGIONS[GATEWAYS[name]] != peer.region:
            self.link_bytes += action.request.size_bytes
        request = action.request._replace(key=key)
        event = RequestArrived(request, self.now)
        self.schedule(delay_s, lambda: self.deliver(peer.instance, event))

    def run_request(self, name: str, action: Send) -> None:
        """Process a request on a runner."""
        runner = action.runner.id
        self.in_progress[runner] += 1
        self.sent += action.request.deadline - DEADLINE_S >= WARM_UP_S
        if self.in_progress[runner] > SLOTS:
            raise AssertionError(f"{runner} has more than {SLOTS} requests in progress")
        failed = runner in self.failing
        drawn = SERVICE_MEDIAN_S * math.exp(SERVICE_SIGMA * self.rng.gauss(0, 1))
        service_s = FAILURE_S if failed else min(drawn, SERVICE_MAX_S)
        delay_s = self.measure_delay(name, action.runner.domain)
        result = SendResult.FAILED if failed else SendResult.ANSWERED
        response = Response(500 if failed else 200, b"")
        latency_s = service_s + 2 * delay_s
        ended = AttemptEnded(action.key, result, latency_s, response)
        lost = AttemptEnded(action.key, SendResult.LOST, action.timeout_s)
        late = latency_s > action.timeout_s

        def end() -> None:
            self.in_progress[runner] -= 1
            if late:
                late_response = LateAttemptEnded(action.key, runner, latency_s)
                self.schedule(delay_s, partial(self.deliver, name, late_response))

        self.schedule(service_s, end)
        wait_s = action.timeout_s if late else service_s + delay_s
        self.schedule(wait_s, lambda: self.deliver(name, lost if late else ended))

    def handle_answer(self, name: str, action: Answer) -> None:
        """Deliver a response to the caller, or to the gateway that forwarded it."""
        if action.key in self.forwards:
            sender, key = self.forwards.pop(action.key)
            delay_s = self.measure_delay(name, GATEWAYS[sender])
            event = ForwardEnded(key, SendResult.ANSWERED, action.answer)
            self.schedule(delay_s, lambda: self.deliver(sender, event))
            return
        arrived_s = self.arrived.pop(action.key)
        if arrived_s < WARM_UP_S:
            return
        self.outcomes[action.answer.outcome] += 1
        if action.answer.outcome == Outcome.DONE:
            self.latencies.append(self.now - arrived_s + 2 * CLIENT_DELAY_S)
        refused = action.answer.outcome == Outcome.REFUSED
        if refused and math.isnan(self.first_refusal):
            self.first_refusal = self.measure_utilization()

    def measure_utilization(self) -> float:
        """Return the share of all slots that are in use now."""
        return sum(self.in_progress.values()) / (RUNNERS * SLOTS)

    def arrive(self) -> None:
        """Submit a caller's request and schedule the next arrival."""
        scenario = self.scenario
        progress = (self.now - WARM_UP_S) / scenario.length_s if scenario.ramp else 1.0
        share = max(0.02, progress)
        end = WARM_UP_S + scenario.length_s
        if self.now < end:
            rate = scenario.load * CAPACITY * share
            self.schedule(self.rng.expovariate(rate), self.arrive)
        names, weights = zip(*scenario.weights.items(), strict=True)
        name = self.rng.choices(names, weights)[0]
        key = str(next(self.numbers))
        deadline = self.now + DEADLINE_S
        request = Request(key, key, "billing", "t", deadline, False, True, BODY_BYTES)
        self.arrived[key] = self.now
        self.deliver(name, RequestArrived(request, self.now))
        waits = any(g.queue.count for g in self.gateways.values())
        if waits and self.now > WARM_UP_S and math.isnan(self.first_wait):
            self.first_wait = self.measure_utilization()

    def tick(self, name: str) -> None:
        """Deliver a tick to a gateway and schedule the next one."""
        self.deliver(name, Tick())
        self.schedule(TICK_S, lambda: self.tick(name))

    def exchange_heartbeats(self) -> None:
        """Inform all gateways of each other's free credits."""
        peers = [
            Peer(name, domain, REGIONS[domain], "", self.read_free_credits(name))
            for name, domain in GATEWAYS.items()
        ]
        for name in GATEWAYS:
            others = tuple(peer for peer in peers if peer.instance != name)
            self.deliver(name, PeersChanged(others))
        self.schedule(HEARTBEAT_S, self.exchange_heartbeats)

    def read_free_credits(self, name: str) -> dict[str, int]:
        """Return the free credits that a gateway reports in its heartbeat."""
        if self.scenario.method != SharingMethods.SINGLE:
            return count_free_credits(self.gateways[name], self.now)
        dispatches = name in {owner.instance for owner in self.owners.values()}
        return {"billing": DISPATCHER_CREDITS} if dispatches else {}

    def start(self) -> None:
        """Start the lenders, gateways and callers."""
        for rack, lender in self.lenders.items():
            gained = AuthorityGained(math.inf, 1)
            self.steps[rack](lender, gained, self.now)
            for runner in self.runners:
                if runner.rack == rack:
                    self.steps[rack](lender, RunnerUp(runner, True), self.now)
        self.exchange_heartbeats()
        for name in GATEWAYS:
            self.deliver(name, OwnersChanged(self.owners))
            self.schedule(self.rng.uniform(0, TICK_S), partial(self.tick, name))
        self.schedule(0.5, self.arrive)

    def simulate(self) -> None:
        """Run the simulation until the last deadline has passed."""
        self.start()
        end = WARM_UP_S + self.scenario.length_s + DEADLINE_S + 1.0
        while self.heap and self.now < end:
            self.now, _, callback = heapq.heappop(self.heap)
            callback()


def run_scenario(scenario: Scenario, seed: int) -> dict[str, Any]:
    """Simulate `scenario` and return its figures.

    Returns
    -------
    dict
        Shares are of the requests after the warm-up; ``goodput`` is a multiple of the
        capacity with all runners healthy.
    """
    simulation = _Simulation(scenario, seed)
    simulation.simulate()
    total = simulation.outcomes.total()
    full_capacity = scenario.length_s * CAPACITY
    latencies = np.array(simulation.latencies or [math.nan]) * 1000
    return {
        "way": scenario.method,
        "load": scenario.load,
        "failing": scenario.failing,
        "requests": total,
        "goodput": simulation.outcomes[Outcome.DONE] / full_capacity,
        "done": simulation.outcomes[Outcome.DONE] / total,
        "refused": simulation.outcomes[Outcome.REFUSED] / total,
        "failed": simulation.outcomes[Outcome.FAILED] / total,
        "unknown": simulation.outcomes[Outcome.UNKNOWN] / total,
        "unanswered": len(simulation.arrived),
        "p50_ms": float(np.percentile(latencies, 50)),
        "p99_ms": float(np.percentile(latencies, 99)),
        "sendings_per_request": simulation.sent / max(1, total),
        "link_mbit_s": simulation.link_bytes * 8 / scenario.length_s / 1e6,
        "credits_kb_s": simulation.credit_bytes / simulation.now / len(GATEWAYS) / 1000,
        "first_wait": simulation.first_wait,
        "first_refusal": simulation.first_refusal,
    }


def _make_runner(number: int) -> RunnerInfo:
    domain = sorted(REGIONS)[number % len(REGIONS)]
    place = (f"k-{domain}", domain, REGIONS[domain])
    return RunnerInfo(f"r{number:02}", "billing", "", *place, SLOTS, 60)


def _find_first_gateway(domain: str) -> str:
    return next(name for name, own in GATEWAYS.items() if own == domain)


def _build_step(method: str, owner: Owner) -> LenderStep:
    if method == SharingMethods.FIXED:
        near = [n for n, d in GATEWAYS.items() if d == owner.domain]
        return build_fixed_lender(SETTINGS, near)
    if method == SharingMethods.SINGLE:
        return build_single_lender(SETTINGS, owner.instance)
    return build_leased_lender(SETTINGS)
