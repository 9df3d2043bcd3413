"""Events and actions of the gateway's deciding part."""

from typing import NamedTuple

from plantainyard.protocol.messages import CreditAnswer, CreditAsk, RunnerInfo
from plantainyard.routing.outcomes import FinalAnswer, Response
from plantainyard.routing.values import Request

__all__ = [
    "Action",
    "Answer",
    "RequestCredits",
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
    "RunnersChanged",
    "Send",
    "Tick",
]


class Owner(NamedTuple):
    """The owner of a rack; `instance` is empty where there is none."""

    instance: str
    domain: str
    region: str


class Peer(NamedTuple):
    """Another instance, with the free credits that it told for each service."""

    instance: str
    domain: str
    region: str
    address: str
    free_credits: dict[str, int] = {}


class RequestArrived(NamedTuple):
    """A caller's or a peer's request came in; `wall_s` is the wall-clock time."""

    request: Request
    wall_s: float


class AttemptEnded(NamedTuple):
    """A `Send` has ended.

    Attributes
    ----------
    key : str
        Key of the request.
    result : str
        One of the names in `retries.SendResult`.
    latency_s : float
        Duration of the sending.
    response : Response or None
        The runner's answer, where there is one.
    leaving : bool
        Whether the runner said that it is leaving.
    retry_after_s : float
        The runner's wish; zero where it named none.
    """

    key: str
    result: str
    latency_s: float = 0.0
    response: Response | None = None
    leaving: bool = False
    retry_after_s: float = 0.0


class LateAttemptEnded(NamedTuple):
    """A sending that was given up as lost has ended at its runner after all.

    `latency_s` is its whole duration.
    """

    key: str
    runner_id: str
    latency_s: float


class ForwardEnded(NamedTuple):
    """A `Forward` has ended: with the peer's answer, or with a `SendResult`."""

    key: str
    result: str
    answer: FinalAnswer | None = None


class CreditAnswerReceived(NamedTuple):
    """A rack's owner answered an ask."""

    answer: CreditAnswer


class RunnersChanged(NamedTuple):
    """News about runners from the platform's list or their workers.

    Runners that ended are in `gone`, those that take nothing new in `leaving`.
    """

    leaving: tuple[str, ...] = ()
    terminated: tuple[str, ...] = ()


class OwnersChanged(NamedTuple):
    """The owner of each rack, all domains included."""

    owners: dict[str, Owner]


class PeersChanged(NamedTuple):
    """All instances that are heard from, this one left out."""

    peers: tuple[Peer, ...]


class AuthorityChanged(NamedTuple):
    """The instance may judge the ids of `rack` until `until`.

    `gained` is True at the beginning of an authority and False for its renewal.
    """

    rack: str
    until: float
    gained: bool
    wall_s: float


class Tick(NamedTuple):
    """Time has passed."""


class Drain(NamedTuple):
    """The instance is to stop once `grace_s` has passed and nothing is in progress."""

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

    After every wait and just before the send `credits.check_credit` must hold for
    `not_after`; else the attempt ends as ``NOT_SENT``.
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
    """Give the caller of `key` its one answer, at once."""

    key: str
    answer: FinalAnswer


class RequestCredits(NamedTuple):
    """Send `ask` to the owner of its rack."""

    owner: str
    ask: CreditAsk


class Drained(NamedTuple):
    """Nothing is in progress any more: the instance may stop."""


Action = Send | Forward | Answer | RequestCredits | Drained
