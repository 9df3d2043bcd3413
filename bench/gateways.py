"""Gateways, lenders and runners under one event clock, for measurements of routing.

The daemon's own deciding parts run here: delays and service times are drawn, nothing
waits. Runners count their requests in progress; a run stops if one exceeds its slots.
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
    "Ways",
    "run_scenario",
]

RUNNERS = 30
SLOTS = 8
SERVICE_MEDIAN_S = 0.15
SERVICE_SIGMA = 1.0
SERVICE_LONGEST_S = 20.0
FAILURE_S = 0.005
DEADLINE_S = 3.0
BODY_BYTES = 2_000
CLIENT_DELAY_S = 0.003
DELAYS_S = (0.0002, 0.001, 0.010)
TICK_S = 0.05
HEARTBEAT_S = 0.2
WARM_UP_S = 3.0
DISPATCHER_ROOM = 10**6
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
    credit_s=2.0, request_max_s=SERVICE_LONGEST_S, queue_count=200, forward_max=10_000
)
CAPACITY = RUNNERS * SLOTS / (SERVICE_MEDIAN_S * math.exp(SERVICE_SIGMA**2 / 2))


class Ways:
    """Names of the ways of sharing slots."""

    FIXED = "fixed split"
    LEASED = "leased credits"
    SINGLE = "one dispatcher a rack"


class Scenario(NamedTuple):
    """One run.

    Attributes
    ----------
    way : str
        One of the names in `Ways`.
    load : float
        Load offered by callers, as a multiple of the capacity with all runners well.
    failing : float
        Share of the runners that answer every request with a failure.
    length_s : float
        Length of the run after the warm-up.
    ramp : bool
        Whether the load rises from zero to `load` over the run.
    weights : dict of str to float
        Part of the load that each gateway gets.
    """

    way: str
    load: float
    failing: float = 0.0
    length_s: float = 6.0
    ramp: bool = False
    weights: dict[str, float] = UNEVEN


class _World:
    """Gateways, lenders and runners under one event clock."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self.scenario = scenario
        self.rng = random.Random(seed)
        self.now = 0.0
        self.heap: list[tuple[float, int, Callable[[], None]]] = []
        self.numbers = itertools.count()
        self.runners = [_place_runner(number) for number in range(RUNNERS)]
        failing = self.rng.sample(self.runners, round(scenario.failing * RUNNERS))
        self.failing = {runner.id for runner in failing}
        self.gateways = {
            name: GatewayState(Location(name, domain, REGIONS[domain]), name, SETTINGS)
            for name, domain in GATEWAYS.items()
        }
        self.owners = {
            f"k-{domain}": Owner(_find_first(domain), domain, region)
            for domain, region in REGIONS.items()
        }
        self.lenders = {rack: LenderState(rack) for rack in self.owners}
        self.steps = {
            rack: _build_step(scenario.way, owner)
            for rack, owner in self.owners.items()
        }
        self.busy: Counter[str] = Counter()
        self.arrived: dict[str, float] = {}
        self.forwards: dict[str, tuple[str, str]] = {}
        self.latencies: list[float] = []
        self.outcomes: Counter[str] = Counter()
        self.sent = 0
        self.link_bytes = 0
        self.credit_bytes = 0
        self.first_wait = math.nan
        self.first_refusal = math.nan

    def later(self, delay_s: float, act: Callable[[], None]) -> None:
        """Do `act` after `delay_s`."""
        heapq.heappush(self.heap, (self.now + delay_s, next(self.numbers), act))

    def feed(self, name: str, event: Event) -> None:
        """Give an event to a gateway and do what it decides."""
        for action in step(self.gateways[name], event, self.now):
            match action:
                case Answer():
                    self.take_answer(name, action)
                case Send():
                    delay_s = self.measure_delay(name, action.runner.domain)
                    self.later(delay_s, partial(self.run, name, action))
                case Forward():
                    self.forward(name, action)
                case RequestCredits():
                    self.ask(name, action)

    def measure_delay(self, name: str, domain: str) -> float:
        """Return the one-way delay from a gateway to a domain."""
        own = GATEWAYS[name]
        if own == domain:
            return DELAYS_S[0]
        return DELAYS_S[1] if REGIONS[own] == REGIONS[domain] else DELAYS_S[2]

    def ask(self, name: str, action: RequestCredits) -> None:
        """Carry an ask to the owner and its answer back."""
        rack = action.ask.rack
        delay_s = self.measure_delay(name, self.owners[rack].domain)

        def act() -> None:
            answers = self.steps[rack](self.lenders[rack], action.ask, self.now)
            self.credit_bytes += len(encode_message(action.ask))
            self.credit_bytes += sum(len(encode_message(a)) for a in answers)
            for event in map(CreditAnswerReceived, answers):
                self.later(delay_s, partial(self.feed, name, event))

        self.later(delay_s, act)

    def forward(self, name: str, action: Forward) -> None:
        """Carry a request to a peer."""
        peer = action.peer
        delay_s = self.measure_delay(name, peer.domain)
        key = f"{action.key}>{next(self.numbers)}"
        self.forwards[key] = (name, action.key)
        if REGIONS[GATEWAYS[name]] != peer.region:
            self.link_bytes += action.request.size_bytes
        request = action.request._replace(key=key)
        event = RequestArrived(request, self.now)
        self.later(delay_s, lambda: self.feed(peer.instance, event))

    def run(self, name: str, action: Send) -> None:
        """Let a runner take a request."""
        runner = action.runner.id
        self.busy[runner] += 1
        self.sent += action.request.deadline - DEADLINE_S >= WARM_UP_S
        if self.busy[runner] > SLOTS:
            raise AssertionError(f"{runner} holds more than {SLOTS} requests")
        failed = runner in self.failing
        drawn = SERVICE_MEDIAN_S * math.exp(SERVICE_SIGMA * self.rng.gauss(0, 1))
        service_s = FAILURE_S if failed else min(drawn, SERVICE_LONGEST_S)
        delay_s = self.measure_delay(name, action.runner.domain)
        result = SendResult.FAILED if failed else SendResult.ANSWERED
        response = Response(500 if failed else 200, b"")
        latency_s = service_s + 2 * delay_s
        ended = AttemptEnded(action.key, result, latency_s, response)
        lost = AttemptEnded(action.key, SendResult.LOST, action.timeout_s)
        late = latency_s > action.timeout_s

        def end() -> None:
            self.busy[runner] -= 1
            if late:
                answered = LateAttemptEnded(action.key, runner, latency_s)
                self.later(delay_s, partial(self.feed, name, answered))

        self.later(service_s, end)
        wait_s = action.timeout_s if late else service_s + delay_s
        self.later(wait_s, lambda: self.feed(name, lost if late else ended))

    def take_answer(self, name: str, action: Answer) -> None:
        """Give an answer to the caller, or to the gateway that forwarded."""
        if action.key in self.forwards:
            sender, key = self.forwards.pop(action.key)
            delay_s = self.measure_delay(name, GATEWAYS[sender])
            event = ForwardEnded(key, SendResult.ANSWERED, action.answer)
            self.later(delay_s, lambda: self.feed(sender, event))
            return
        begun = self.arrived.pop(action.key)
        if begun < WARM_UP_S:
            return
        self.outcomes[action.answer.outcome] += 1
        if action.answer.outcome == Outcome.DONE:
            self.latencies.append(self.now - begun + 2 * CLIENT_DELAY_S)
        refused = action.answer.outcome == Outcome.REFUSED
        if refused and math.isnan(self.first_refusal):
            self.first_refusal = self.measure_utilisation()

    def measure_utilisation(self) -> float:
        """Return the share of all slots that are in use now."""
        return sum(self.busy.values()) / (RUNNERS * SLOTS)

    def arrive(self) -> None:
        """Let a caller come, and the next one later."""
        scenario = self.scenario
        part = (self.now - WARM_UP_S) / scenario.length_s if scenario.ramp else 1.0
        share = max(0.02, part)
        end = WARM_UP_S + scenario.length_s
        if self.now < end:
            rate = scenario.load * CAPACITY * share
            self.later(self.rng.expovariate(rate), self.arrive)
        names, weights = zip(*scenario.weights.items(), strict=True)
        name = self.rng.choices(names, weights)[0]
        key = str(next(self.numbers))
        deadline = self.now + DEADLINE_S
        request = Request(key, key, "billing", "t", deadline, False, True, BODY_BYTES)
        self.arrived[key] = self.now
        self.feed(name, RequestArrived(request, self.now))
        waits = any(g.queue.count for g in self.gateways.values())
        if waits and self.now > WARM_UP_S and math.isnan(self.first_wait):
            self.first_wait = self.measure_utilisation()

    def tick(self, name: str) -> None:
        """Let time pass at a gateway."""
        self.feed(name, Tick())
        self.later(TICK_S, lambda: self.tick(name))

    def beat(self) -> None:
        """Let all gateways hear each other's free credits."""
        peers = [
            Peer(name, domain, REGIONS[domain], "", self.read_room(name))
            for name, domain in GATEWAYS.items()
        ]
        for name in GATEWAYS:
            others = tuple(peer for peer in peers if peer.instance != name)
            self.feed(name, PeersChanged(others))
        self.later(HEARTBEAT_S, self.beat)

    def read_room(self, name: str) -> dict[str, int]:
        """Return what a gateway tells of its free credits."""
        if self.scenario.way != Ways.SINGLE:
            return count_free_credits(self.gateways[name], self.now)
        dispatches = name in {owner.instance for owner in self.owners.values()}
        return {"billing": DISPATCHER_ROOM} if dispatches else {}

    def start(self) -> None:
        """Set everything going."""
        for rack, lender in self.lenders.items():
            gained = AuthorityGained(math.inf, 1)
            self.steps[rack](lender, gained, self.now)
            for runner in self.runners:
                if runner.rack == rack:
                    self.steps[rack](lender, RunnerUp(runner, True), self.now)
        self.beat()
        for name in GATEWAYS:
            self.feed(name, OwnersChanged(self.owners))
            self.later(self.rng.uniform(0, TICK_S), partial(self.tick, name))
        self.later(0.5, self.arrive)

    def play(self) -> None:
        """Run to the end, until the last deadline has passed."""
        self.start()
        end = WARM_UP_S + self.scenario.length_s + DEADLINE_S + 1.0
        while self.heap and self.now < end:
            self.now, _, act = heapq.heappop(self.heap)
            act()


def run_scenario(scenario: Scenario, seed: int) -> dict[str, Any]:
    """Play `scenario` and return its figures.

    Returns
    -------
    dict
        Shares are of the requests after the warm-up; ``goodput`` and ``upstream`` are
        multiples of the capacity with all runners well.
    """
    world = _World(scenario, seed)
    world.play()
    total = world.outcomes.total()
    wanted = scenario.length_s * CAPACITY
    latencies = np.array(world.latencies or [math.nan]) * 1000
    return {
        "way": scenario.way,
        "load": scenario.load,
        "failing": scenario.failing,
        "requests": total,
        "goodput": world.outcomes[Outcome.DONE] / wanted,
        "done": world.outcomes[Outcome.DONE] / total,
        "refused": world.outcomes[Outcome.REFUSED] / total,
        "failed": world.outcomes[Outcome.FAILED] / total,
        "unknown": world.outcomes[Outcome.UNKNOWN] / total,
        "unanswered": len(world.arrived),
        "p50_ms": float(np.percentile(latencies, 50)),
        "p99_ms": float(np.percentile(latencies, 99)),
        "sendings_per_request": world.sent / max(1, total),
        "link_mbit_s": world.link_bytes * 8 / scenario.length_s / 1e6,
        "credits_kb_s": world.credit_bytes / world.now / len(GATEWAYS) / 1000,
        "first_wait": world.first_wait,
        "first_refusal": world.first_refusal,
    }


def _place_runner(number: int) -> RunnerInfo:
    domain = sorted(REGIONS)[number % len(REGIONS)]
    place = (f"k-{domain}", domain, REGIONS[domain])
    return RunnerInfo(f"r{number:02}", "billing", "", *place, SLOTS, 60)


def _find_first(domain: str) -> str:
    return next(name for name, own in GATEWAYS.items() if own == domain)


def _build_step(way: str, owner: Owner) -> LenderStep:
    if way == Ways.FIXED:
        near = [n for n, d in GATEWAYS.items() if d == owner.domain]
        return build_fixed_lender(SETTINGS, near)
    if way == Ways.SINGLE:
        return build_single_lender(SETTINGS, owner.instance)
    return build_leased_lender(SETTINGS)
