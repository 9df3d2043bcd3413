"""Typed messages between instances.

Each message is a `NamedTuple` of plain values, so that `codec` can validate it against
its annotations. The names of the classes and fields are part of the protocol. A field
that is added later needs a default, because older peers neither send nor read it.
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
    """A runner, as known to the owner of its rack.

    Attributes
    ----------
    id : str
        Identifier, unique for each start: a restarted runner has another id.
    service : str
        Name of the service that the runner serves.
    address : str
        Host and port at which the runner accepts requests.
    rack, domain, region : str
        Rack, failure domain and region in which the runner runs.
    slots, connections : int
        Greatest number of concurrent requests and of connections.
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
    """The credits and requests in progress of a gateway at one runner.

    Attributes
    ----------
    limit : int
        Number of credits that the gateway may use; zero after their lease expired.
    in_flight : int
        Number of requests that may be in progress, including lost ones.
    """

    limit: int
    in_flight: int


class Heartbeat(NamedTuple):
    """An instance's report of its own state, sent to its peers.

    Attributes
    ----------
    instance, domain, region, address, control_address : str
        Identity, location and addresses of the sender.
    sequence : int
        Increases with each heartbeat of a process.
    epochs : dict of str to int
        Epoch of the sender's ownership, for each rack that it owns.
    offsets : dict of str to int
        Next offset that the sender will read, for each stream.
    config_version : int
        Offset of the newest configuration that the sender applies.
    config_age_s : float
        Seconds since the sender last confirmed that this version is the newest.
    knows_config : bool
        Whether the sender can currently confirm that its version is the newest.
    live : bool
        False in a relayed heartbeat of an instance that has stopped responding.
    list_digest : str
        Digest of the platform's instance list that the sender last read or received.
    is_relay : bool
        Whether the sender is the relay of its failure domain.
    members : tuple of Heartbeat
        Relayed heartbeats of other instances.
    domain_ages : dict of str to float
        Seconds since a heartbeat of the domain's relay, for each other domain that the
        sender knows.
    room : dict of str to int
        Number of free credits for each service.
    ready, draining : bool
        Whether the sender accepts requests, and whether it is stopping.
    incarnation : str
        Distinguishes successive processes with the same instance id.
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
    """A request for the platform's instance list, as last read by a relay.

    `digest` is that of the list that the sender has.
    """

    digest: str


class InstancesAnswer(NamedTuple):
    """The instance list as JSON objects; empty if the sender's list is current."""

    digest: str
    instances: tuple[dict[str, Any], ...] = ()


class CreditAsk(NamedTuple):
    """A gateway's report of the credits that it holds and requests in a rack.

    Attributes
    ----------
    gateway : str
        Name of the sending process, which differs between processes of an instance.
    rack : str
        Rack whose slots are requested.
    sequence : int
        Increases with each `CreditAsk` of the gateway for the rack.
    demand : dict of str to int
        Number of slots needed for each service, including those in use.
    holdings : dict of str to Holding
        Holdings at the time of sending, by runner id.
    term : str
        The owner's term in its last `CreditAnswer`; empty in the first request.
    closing : bool
        Whether the gateway is stopping and needs no more credits.
    """

    gateway: str
    rack: str
    sequence: int
    demand: dict[str, int]
    holdings: dict[str, Holding]
    term: str = ""
    closing: bool = False


class CreditAnswer(NamedTuple):
    """The owner's response to a `CreditAsk`.

    Attributes
    ----------
    gateway, rack, sequence
        Copied from the request; the gateway ignores responses to outdated requests.
    granted : bool
        False if the sender has no authority; the gateway's credits are unchanged.
    lease_s : float
        Duration of the lease in seconds, which the gateway measures from a time before
        it sent the request.
    grants : dict of str to int
        Number of credits, possibly zero, for each runner that accepts requests.
    runners : tuple of RunnerInfo
        Runners of the rack that the request doesn't name.
    leaving : tuple of str
        Ids of the runners that accept no new requests. A runner in neither `grants` nor
        `leaving` has terminated.
    reason : str
        Human-readable reason for which nothing was granted.
    term : str
        The sender's current term, to be repeated in the next `CreditAsk`.
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
    """A request for log records that the receiver has read."""

    stream: str
    start: int
    limit: int = 1000


class RelayedRecord(NamedTuple):
    """A log record, relayed unchanged."""

    offset: int
    time_s: float
    data: dict[str, Any]


class RecordsAnswer(NamedTuple):
    """Log records that a peer has read; `next` is the offset after the last one."""

    stream: str
    first: int
    next: int
    records: tuple[RelayedRecord, ...] = ()


class ForwardAsk(NamedTuple):
    """A caller's request that is forwarded to a peer.

    Attributes
    ----------
    request_id, service, team : str
        As specified by the caller.
    urgent, idempotent : bool
        As specified by the caller.
    remaining_s : float
        Seconds left until the caller's deadline at the time of sending.
    hops : int
        Number of times that the request has been forwarded, including this time.
    origin : str
        Instance that received the request from the caller.
    body : str
        Body of the caller's request in base64.
    content_type : str
        Media type of the body.
    judged : bool
        Whether the sender is the arbiter of the request id and has admitted it.
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
    """The final response to a `ForwardAsk`, to be returned to the caller unchanged.

    `status` is that of the runner's response, or zero if no runner responded.
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
