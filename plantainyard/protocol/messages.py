"""Typed messages between instances.

Each message is a `NamedTuple` of plain values, so that `codec` can check it against
its own annotations. A field added later needs a default: an older peer leaves it
out, and ignores it when it is sent.
"""

from typing import Any, NamedTuple

__all__ = [
    "CreditAnswer",
    "CreditAsk",
    "ForwardAnswer",
    "ForwardAsk",
    "Heartbeat",
    "Holding",
    "InstancesAnswer",
    "InstancesAsk",
    "Message",
    "RecordsAnswer",
    "RecordsAsk",
    "RelayedRecord",
    "RunnerInfo",
]


class RunnerInfo(NamedTuple):
    """A runner as its rack's owner knows it.

    Attributes
    ----------
    id : str
        Unique for each start: a runner that was started again has another id.
    service : str
        Name of the service that it serves.
    address : str
        Host and port that take requests.
    rack, domain, region : str
        Where it runs.
    slots, connections : int
        Requests in progress and connections that it can hold.
    """

    id: str
    service: str
    address: str
    rack: str
    domain: str
    region: str
    slots: int
    connections: int


class Holding(NamedTuple):
    """What a gateway holds of one runner.

    Attributes
    ----------
    limit : int
        Credits under which the gateway still sends; zero once its lease ended.
    in_flight : int
        Requests that may be in progress, the lost ones included.
    """

    limit: int
    in_flight: int


class Heartbeat(NamedTuple):
    """One instance's word about itself, sent to its peers.

    Attributes
    ----------
    instance, domain, region, address, control_address : str
        Who speaks and where it can be reached.
    sequence : int
        Grows with each heartbeat of one process.
    epochs : dict of str to int
        Racks that the sender commands, with the epoch.
    offsets : dict of str to int
        Next offset that the sender has read, for each stream.
    config_version : int
        Offset of the newest configuration in force at the sender.
    config_age_s : float
        Seconds since the sender knew that version to be the newest.
    knows_config : bool
        Whether the sender can tell now that its version is the newest.
    live : bool
        False in a word passed on about an instance that has fallen silent.
    list_digest : str
        Digest of the platform's list as the sender last read it, or was told.
    is_relay : bool
        Whether the sender relays for its domain.
    members : tuple of Heartbeat
        Words about others that are passed on.
    domain_ages : dict of str to float
        For each other domain that the sender knows of, the seconds since its relay
        was heard.
    room : dict of str to int
        Free credits for each service.
    ready, draining : bool
        Whether the sender takes requests; whether it is stopping.
    incarnation : str
        Distinguishes processes that ran under one instance id.
    """

    instance: str
    domain: str
    region: str
    address: str
    control_address: str
    sequence: int
    epochs: dict[str, int] = {}
    offsets: dict[str, int] = {}
    config_version: int = -1
    room: dict[str, int] = {}
    ready: bool = True
    draining: bool = False
    incarnation: str = ""
    config_age_s: float = 0.0
    knows_config: bool = False
    live: bool = True
    list_digest: str = ""
    is_relay: bool = False
    members: tuple["Heartbeat", ...] = ()
    domain_ages: dict[str, float] = {}


class InstancesAsk(NamedTuple):
    """A question for the platform's list as a relay read it."""

    digest: str


class InstancesAnswer(NamedTuple):
    """The list, one JSON object for each instance; empty where nothing is newer."""

    digest: str
    instances: tuple[dict[str, Any], ...] = ()


class CreditAsk(NamedTuple):
    """A gateway's report of what it holds in a rack, and what it wants.

    Attributes
    ----------
    gateway : str
        The asking process; another process of the same instance has another name.
    rack : str
        Rack whose slots are asked for.
    sequence : int
        Grows with each ask of the gateway for the rack.
    demand : dict of str to int
        Slots wanted for each service, those in use included.
    holdings : dict of str to Holding
        For each runner id, what is held at the moment of sending.
    term : str
        The owner's term as its last answer named it; empty at first.
    closing : bool
        Whether the gateway is stopping and wants nothing any more.
    """

    gateway: str
    rack: str
    sequence: int
    demand: dict[str, int]
    holdings: dict[str, Holding]
    term: str = ""
    closing: bool = False


class CreditAnswer(NamedTuple):
    """The owner's answer to a `CreditAsk`.

    Attributes
    ----------
    gateway, rack, sequence
        Those of the ask; an answer to any but the newest ask is ignored.
    granted : bool
        False where the answerer has no authority: nothing changes.
    lease_s : float
        Length of the lease, counted by the gateway from before its sending.
    grants : dict of str to int
        Credits for each runner that takes requests, with zero for none.
    runners : tuple of RunnerInfo
        The rack's runners that the ask doesn't name.
    leaving : tuple of str
        Ids of the runners that take nothing new. What is in neither list has ended.
    reason : str
        Why nothing was granted, for people.
    term : str
        The answerer's present term, to be named in the next ask.
    """

    gateway: str
    rack: str
    sequence: int
    granted: bool
    lease_s: float
    grants: dict[str, int] = {}
    runners: tuple[RunnerInfo, ...] = ()
    leaving: tuple[str, ...] = ()
    reason: str = ""
    term: str = ""


class RecordsAsk(NamedTuple):
    """A request for log records that the peer has read."""

    stream: str
    start: int
    limit: int = 1000


class RelayedRecord(NamedTuple):
    """A record of the log, unchanged."""

    offset: int
    time_s: float
    data: dict[str, Any]


class RecordsAnswer(NamedTuple):
    """Log records as read by a peer; `next` is the offset after the last one."""

    stream: str
    first: int
    next: int
    records: tuple[RelayedRecord, ...] = ()


class ForwardAsk(NamedTuple):
    """A caller's request, sent on to a peer.

    Attributes
    ----------
    request_id, service, team : str
        As the caller gave them.
    urgent, idempotent : bool
        As the caller gave them.
    remaining_s : float
        Time left until the caller's deadline, at the moment of sending.
    hops : int
        Number of times that the request has been forwarded, this one included.
    origin : str
        The instance that the caller reached.
    body : str
        The caller's body in base64.
    content_type : str
        The body's media type.
    judged : bool
        Whether the arbiter of the id, which is the sender, has let it run.
    """

    request_id: str
    service: str
    team: str
    urgent: bool
    idempotent: bool
    remaining_s: float
    hops: int
    origin: str
    body: str = ""
    content_type: str = "application/octet-stream"
    judged: bool = False


class ForwardAnswer(NamedTuple):
    """The final answer to a `ForwardAsk`, to be handed on unchanged.

    `status` is the runner's, or zero where no runner answered.
    """

    request_id: str
    outcome: str
    reason: str = ""
    retry_after_s: float = 0.0
    status: int = 0
    body: str = ""
    content_type: str = "application/octet-stream"
    detail: str = ""


Message = (
    Heartbeat
    | InstancesAsk
    | InstancesAnswer
    | CreditAsk
    | CreditAnswer
    | RecordsAsk
    | RecordsAnswer
    | ForwardAsk
    | ForwardAnswer
)
