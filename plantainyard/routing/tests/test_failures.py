"""Gateways, lenders and runners under failures, with messages in any order.

The state machines run in a model of three instances: messages are delivered late, out
of order or never; processes pause, die and are replaced; the owner of a rack changes;
clocks differ. The model runners count their requests.
"""

import itertools
import random
from collections import Counter, defaultdict

import hypothesis.strategies as st
from hypothesis import settings
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)

from plantainyard.routing import (
    Answer,
    AttemptEnded,
    AuthorityChanged,
    AuthorityExtended,
    AuthorityGained,
    CreditAnswerReceived,
    Forward,
    ForwardEnded,
    LateAttemptEnded,
    Outcome,
    Owner,
    OwnersChanged,
    Peer,
    PeersChanged,
    Reason,
    Request,
    RequestArrived,
    RequestCredits,
    Response,
    RunnerUp,
    Send,
    SendResult,
    Tick,
    check_credit,
    step,
)
from plantainyard.routing.tests.processes import (
    AUTHORITY_S,
    DOMAINS,
    RACKS,
    ROUTING,
    RUNNERS,
    SLOTS,
    WALL,
    Message,
    Process,
    Run,
)
from plantainyard.routing.tests.test_gateway import issue_id


class World(RuleBasedStateMachine):
    """Model of three instances; each rule is one event or fault."""

    @initialize()
    def start(self):
        self.now = 100.0
        self.numbers = itertools.count()
        self.messages: list[Message] = []
        self.runs: list[Run] = []
        self.running: Counter[str] = Counter()
        self.runs_of_id: Counter[str] = Counter()
        self.run_keys: list[str] = []
        self.requests: dict[str, Request] = {}
        self.receivers: dict[str, Process] = {}
        self.answers = defaultdict(list)
        self.relayed: dict[str, tuple[Process, str]] = {}
        self.processes: dict[str, Process] = {}
        self.owners = dict.fromkeys(RACKS, "")
        self.until = dict.fromkeys(RACKS, 0.0)
        for instance in DOMAINS:
            self.replace(instance)
        self.change_owner("k1", "i1", fresh=True)
        self.change_owner("k2", "i3")
        self.settle()
        self.wait(1.0)
        self.settle()

    def read_clock(self, process):
        return self.now * process.rate

    def feed(self, process, event):
        actions = step(process.gateway, event, self.read_clock(process))
        for action in actions:
            match action:
                case Answer(key, answer):
                    self.record_answer(process, key, answer)
                case RequestCredits(owner, ask):
                    self.messages.append(Message("ask", process, (owner, ask)))
                case Send(key) | Forward(key):
                    process.threads[key] = (self.now + action.timeout_s, action)
                    self.messages.append(Message("thread", process, action, key))

    def record_answer(self, process, key, answer):
        request = self.requests[key]
        self.answers[key].append(answer)
        assert len(self.answers[key]) == 1, "two answers to one request"
        runs_of_this_id = self.runs_of_id[request.id]
        if answer.outcome == Outcome.DONE:
            assert runs_of_this_id, "done, but it never ran"
            body = answer.response.body if answer.response else None
            assert body in (None, request.id.encode()), "another request's answer"
        if answer.outcome == Outcome.FAILED:
            assert runs_of_this_id, "failed, but it never ran"
        if answer.outcome == Outcome.REFUSED and answer.reason != Reason.MALFORMED:
            # The key of a forwarded request is its sender's key followed by ">" and a
            # number: all requests that result from one key have it as their prefix.
            descendants = [k for k in self.run_keys if f"{k}>".startswith(f"{key}>")]
            ran = descendants if request.idempotent else runs_of_this_id
            assert not ran, "refused as not run, but it ran"
        if key in self.relayed:
            sender, sent_key = self.relayed[key]
            self.messages.append(Message("relayed", sender, answer, sent_key))

    def arrive(self, process, request):
        self.requests[request.key] = request
        self.receivers[request.key] = process
        self.feed(process, RequestArrived(request, WALL + self.now))

    @rule(seed=st.integers(0, 2**32), count=st.integers(20, 200))
    def run_load(self, seed, count):
        """Run the system under load, with occasional losses, repeats and faults."""
        rng = random.Random(seed)
        steps = {
            self.deliver_some: 50,
            self.send_request: 16,
            self.finish_one: 10,
            self.pass_time: 12,
            self.lose_or_duplicate: 4,
            self.fail_process: 2,
        }
        for action in rng.choices(list(steps), list(steps.values()), k=count):
            action(rng)

    def fail_process(self, rng):
        instance = rng.choice(sorted(DOMAINS))
        if rng.random() < 0.2:
            self.replace(instance)
        elif rng.random() < 0.2:
            self.change_owner("k1", rng.choice(["i1", "i2"]))
        else:
            self.pause(instance, rng.random() < 0.3)

    def send_request(self, rng):
        process = self.processes[rng.choice(sorted(DOMAINS))]
        old = [r for r in self.requests.values() if r.key not in self.relayed]
        key = str(next(self.numbers))
        name, idempotent = issue_id(WALL + self.now, int(key)), rng.random() < 0.5
        if old and rng.random() < 0.3:
            again = rng.choice(old[-8:])
            name, idempotent = again.id, again.idempotent
        deadline = self.read_clock(process) + rng.uniform(0.2, 3.0)
        fresh = Request(key, name, "billing", "t", deadline, idempotent=idempotent)
        if process.alive and not process.paused:
            self.arrive(process, fresh)

    def deliver_some(self, rng):
        for _ in range(rng.randint(1, 6)):
            ready = [m for m in self.messages if not m.process.paused]
            if ready:
                self.handle(rng.choice(ready))

    def finish_one(self, rng):
        if self.runs:
            result = rng.choices(["ok", "fail", "lost"], [8, 1, 1])[0]
            self.end_run(rng.choice(self.runs), result)

    def pass_time(self, rng):
        self.wait(rng.uniform(0.01, 0.1))

    def lose_or_duplicate(self, rng):
        lossy = [m for m in self.messages if m.kind in ("ask", "answer", "relayed")]
        if not lossy:
            return
        message = rng.choice(lossy)
        if rng.random() < 0.5:
            self.messages.remove(message)
        elif message.kind != "relayed":
            self.messages.append(message)

    def handle(self, message):
        self.messages.remove(message)
        process = message.process
        match message.kind:
            case "ask":
                self.handle_ask(process, *message.content)
            case "answer" if process.alive:
                self.feed(process, CreditAnswerReceived(message.content))
            case "relayed" if message.key in process.threads:
                del process.threads[message.key]
                ended = ForwardEnded(message.key, SendResult.ANSWERED, message.content)
                self.feed(process, ended)
            case "thread" if message.key in process.threads and process.alive:
                self.run_thread(process, message.content)

    def handle_ask(self, sender, owner, ask):
        process = self.processes.get(owner)
        if process is None or not process.alive:
            return
        if process.paused:
            self.messages.append(Message("ask", sender, (owner, ask)))
            return
        now = self.read_clock(process)
        for answer in process.lend(process.lenders[ask.rack], ask, now):
            self.messages.append(Message("answer", sender, answer))

    def run_thread(self, process, action):
        if isinstance(action, Forward):
            self.forward(process, action)
            return
        if not check_credit(action.not_after, self.read_clock(process)):
            del process.threads[action.key]
            self.feed(process, AttemptEnded(action.key, SendResult.NOT_SENT))
            return
        runner = action.runner.id
        self.running[runner] += 1
        assert self.running[runner] <= SLOTS, "more requests than the runner can hold"
        self.runs_of_id[action.request.id] += 1
        self.run_keys.append(action.key)
        if not action.request.idempotent:
            assert self.runs_of_id[action.request.id] == 1, "charged twice"
        until = self.now + ROUTING.request_max_s
        self.runs.append(Run(process, action, until))

    def forward(self, process, action):
        peer = self.processes[action.peer.instance]
        if not peer.alive:
            del process.threads[action.key]
            self.feed(process, ForwardEnded(action.key, SendResult.NOT_RUN))
        elif not peer.paused:
            key = f"{action.key}>{next(self.numbers)}"
            self.relayed[key] = (process, action.key)
            left = action.request.deadline - self.read_clock(process)
            deadline = self.read_clock(peer) + left
            request = action.request._replace(key=key, deadline=deadline)
            self.arrive(peer, request)

    def end_run(self, run, result):
        self.runs.remove(run)
        self.running[run.send.runner.id] -= 1
        process, key = run.process, run.send.key
        if result == "lost" or not process.alive:
            return
        _, current = process.threads.get(key, (0.0, None))
        if current is not run.send:
            self.feed(process, LateAttemptEnded(key, run.send.runner.id, 0.1))
            return
        del process.threads[key]
        ok = result == "ok"
        kind = SendResult.ANSWERED if ok else SendResult.FAILED
        body = run.send.request.id.encode()
        response = Response(200 if ok else 500, body)
        self.feed(process, AttemptEnded(key, kind, 0.1, response))

    @rule(instance=st.sampled_from(sorted(DOMAINS)), on=st.just(True))
    def pause(self, instance, on):
        self.processes[instance].paused = on

    @rule(instance=st.sampled_from(sorted(DOMAINS)))
    def replace(self, instance):
        """Kill the process and start another one in its place."""
        old = self.processes.get(instance)
        if old is not None:
            old.alive = old.paused = False
            old.threads.clear()
        number = next(self.numbers)
        rate = 1.0 + ROUTING.drift * (number % 3 - 1)
        self.processes[instance] = Process(instance, f"{instance}.{number}", rate)
        self.send_views()

    @rule(rack=st.sampled_from(sorted(RACKS)), instance=st.sampled_from(["i1", "i2"]))
    def change_owner(self, rack, instance, fresh=False):
        """Give the rack another owner, once the former authority has expired."""
        instance = instance if RACKS[rack] == "d1" else "i3"
        process = self.processes[instance]
        if process.paused or self.now < self.until[rack]:
            return
        self.owners[rack] = instance
        self.until[rack] = self.now + AUTHORITY_S
        self.send_views()
        now, until = self.send_authority(process, rack, True)
        lender = process.lenders[rack]
        process.lend(lender, AuthorityGained(until, next(self.numbers)), now)
        for runner in RUNNERS:
            if runner.rack == rack:
                process.lend(lender, RunnerUp(runner, fresh), now)

    def renew_authority(self):
        """Renew the unexpired authorities of live owners, as their workers do."""
        for rack, instance in self.owners.items():
            process = self.processes[instance]
            has_term = process.lenders[rack].term and self.now < self.until[rack]
            if has_term and not process.paused:
                self.until[rack] = self.now + AUTHORITY_S
                now, until = self.send_authority(process, rack, False)
                process.lend(process.lenders[rack], AuthorityExtended(until), now)

    def send_authority(self, process, rack, gained):
        now = self.read_clock(process)
        until = now + AUTHORITY_S * (1 - 2 * ROUTING.drift)
        wall = WALL + self.now
        self.feed(process, AuthorityChanged(rack, until, gained, wall))
        return now, until

    @rule(span=st.sampled_from([0.2, 1.0, 3.5]))
    def wait(self, span):
        """Let time pass: requests of the longest duration end, and waits time out."""
        self.now += span
        for run in [r for r in self.runs if r.until <= self.now]:
            self.end_run(run, "ok")
        for process in self.processes.values():
            if not process.paused:
                self.time_out(process)
                self.feed(process, Tick())
        self.renew_authority()

    def time_out(self, process):
        late = [k for k, (until, _) in process.threads.items() if until <= self.now]
        for key in late:
            del process.threads[key]
            pending = process.gateway.pending[key]
            lost = SendResult.LOST
            kind = AttemptEnded if pending.runner_id else ForwardEnded
            self.feed(process, kind(key, lost))

    def send_views(self):
        owners = {
            rack: Owner(self.owners[rack], domain, "reg")
            for rack, domain in RACKS.items()
        }
        for process in self.processes.values():
            peers = tuple(
                Peer(i, d, "reg", "", {"billing": 1} if d == "d1" else {})
                for i, d in DOMAINS.items()
                if i != process.instance
            )
            self.feed(process, OwnersChanged(owners))
            self.feed(process, PeersChanged(peers))

    @rule()
    def settle(self):
        """Deliver all messages and end all requests, with all processes running."""
        for process in self.processes.values():
            process.paused = False
        self.renew_authority()
        for _ in range(200):
            if self.messages:
                self.handle(self.messages[0])
            elif self.runs:
                self.end_run(self.runs[0], "ok")
            else:
                break

    @invariant()
    def check_threads_have_requests(self):
        for process in self.processes.values():
            pending = process.gateway.pending.keys()
            assert process.threads.keys() <= pending

    def teardown(self):
        if not hasattr(self, "now"):
            return
        for _ in range(4):
            self.settle()
            self.wait(3.5)
        for key, process in self.receivers.items():
            if process.alive:
                assert len(self.answers[key]) == 1, "a request without an answer"


def test_slots_ids_and_answers_hold_under_failure():
    """Guards against overfilled runners, double charges and false outcomes.

    Instances die, pause and lose each other's messages while the owner of a rack
    changes. A gateway sends under a credit that another gateway holds by then; a repeat
    reaches an instance that doesn't know of the first arrival; a retry that can't be
    sent is reported as "refused" although the first attempt ran.
    """
    run_state_machine_as_test(
        World,
        settings=settings(
            derandomize=True,
            deadline=None,
            max_examples=60,
            stateful_step_count=20,
        ),
    )
