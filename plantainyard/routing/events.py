"""Events that the gateway's state machine takes, and actions that it returns."""

from typing import NamedTuple

from plantainyard.protocol.messages import CreditAnswer, CreditAsk, RunnerInfo
from plantainyard.routing.outcomes import FinalAnswer, Response
from plantainyard.routing.values import Request

__all__ = [
    "Action",
    "Answer",
    "AttemptEnded",
    "AuthorityChanged",
    "CreditAnswerReceived",
    "Drain",
    "Drained",
    "Event",
    "Forward",
    "ForwardEnded",
    "LateAttemptEnded",
    "Owner",
    "OwnersChanged",
    "Peer",
    "PeersChanged",
    "RequestArrived",
    "RequestCredits",
    "RunnersChanged",
    "Send",
    "Tick",
]


class Owner(NamedTuple):
    """Owner of a rack; `instance` is empty where there is none."""

    instance: str
    domain: str
    region: str


class Peer(NamedTuple):
    """Another instance, with the free credits that it reports for each service."""

    instance: str
    domain: str
    region: str
    address: str
    free_credits: dict[str, int] = {}


class RequestArrived(NamedTuple):
    """A request of a caller or a peer arrived; `wall_s` is the wall-clock time."""

    request: Request
    wall_s: float


class AttemptEnded(NamedTuple):
    """An attempt, started by a `Send`, has ended.

    Attributes
    ----------
    key : str
        Key of the request.
    result : str
        One of the names in `retries.SendResult`.
    latency_s : float
        Duration of the attempt.
    response : Response or None
        The runner's response, where there is one.
    leaving : bool
        Whether the runner reported that it is leaving.
    retry_after_s : float
        Retry delay that the runner asked for; zero where it named none.
    """

    key: str
    result: str
    latency_s: float = 0.0
    response: Response | None = None
    leaving: bool = False
    retry_after_s: float = 0.0


class LateAttemptEnded(NamedTuple):
    """An attempt that was recorded as lost has ended at its runner after all.

    `latency_s` is the total duration of the attempt.
    """

    key: str
    runner_id: str
    latency_s: float


class ForwardEnded(NamedTuple):
    """A `Forward` has ended, with the peer's answer or else just a `SendResult`."""

    key: str
    result: str
    answer: FinalAnswer | None = None


class CreditAnswerReceived(NamedTuple):
    """The owner of a rack has answered a credit request."""

    answer: CreditAnswer


class RunnersChanged(NamedTuple):
    """The platform's list or a worker has reported changes of runners.

    Runners that take no new requests are in `leaving`, those that have ended in
    `terminated`.
    """

    leaving: tuple[str, ...] = ()
    terminated: tuple[str, ...] = ()


class OwnersChanged(NamedTuple):
    """The owners of racks have changed; `owners` has each rack of all domains."""

    owners: dict[str, Owner]


class PeersChanged(NamedTuple):
    """The live peers have changed; `peers` has all of them, without this instance."""

    peers: tuple[Peer, ...]


class AuthorityChanged(NamedTuple):
    """The instance is the arbiter of the ids of `rack` until `until`.

    `gained` is True when the authority was gained and False when it was renewed.
    """

    rack: str
    until: float
    gained: bool
    wall_s: float


class Tick(NamedTuple):
    """Time has passed."""


class Drain(NamedTuple):
    """The instance must stop once `grace_s` has passed and no request is pending."""

    grace_s: float = 0.0


Event = (
    RequestArrived
    | AttemptEnded
    | LateAttemptEnded
    | ForwardEnded
    | CreditAnswerReceived
    | RunnersChanged
    | OwnersChanged
    | PeersChanged
    | AuthorityChanged
    | Tick
    | Drain
)


class Send(NamedTuple):
    """Send a request to a runner, once, within `timeout_s`.

    Just before sending, after every wait, `credits.check_credit` has to be true for
    `not_after`; otherwise the attempt ends as ``NOT_SENT``.
    """

    key: str
    request: Request
    runner: RunnerInfo
    not_after: float
    timeout_s: float


class Forward(NamedTuple):
    """Send a request to a peer, once, within `timeout_s`."""

    key: str
    request: Request
    peer: Peer
    timeout_s: float


class Answer(NamedTuple):
    """Give the caller of request `key` its only answer, at once."""

    key: str
    answer: FinalAnswer


class RequestCredits(NamedTuple):
    """Send `ask` to the owner of its rack."""

    owner: str
    ask: CreditAsk


class Drained(NamedTuple):
    """No request is pending any more: the instance may stop."""


Action = Send | Forward | Answer | RequestCredits | Drained
