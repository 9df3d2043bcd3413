"""Paths, headers and limits of the protocol between instances and with callers."""

__all__ = [
    "CREDITS_PATH",
    "DEADLINE_HEADER",
    "FORWARD_PATH",
    "HEARTBEAT_PATH",
    "IDEMPOTENT_HEADER",
    "INSTANCES_PATH",
    "MAX_HOPS",
    "OUTCOME_HEADER",
    "PROTOCOL_VERSION",
    "REASON_HEADER",
    "RECORDS_PATH",
    "REQUEST_ID_HEADER",
    "TEAM_HEADER",
    "UPSTREAM_STATUS_HEADER",
    "URGENT_HEADER",
    "VERSION_HEADER",
]

PROTOCOL_VERSION = 1

HEARTBEAT_PATH = "/peer/heartbeat"
INSTANCES_PATH = "/peer/instances"
CREDITS_PATH = "/peer/credits"
RECORDS_PATH = "/peer/records"
FORWARD_PATH = "/peer/forward"

VERSION_HEADER = "Plantainyard-Version"
REQUEST_ID_HEADER = "Plantainyard-Request-Id"
DEADLINE_HEADER = "Plantainyard-Deadline-Ms"
IDEMPOTENT_HEADER = "Plantainyard-Idempotent"
TEAM_HEADER = "Plantainyard-Team"
URGENT_HEADER = "Plantainyard-Urgent"
OUTCOME_HEADER = "Plantainyard-Outcome"
REASON_HEADER = "Plantainyard-Reason"
UPSTREAM_STATUS_HEADER = "Plantainyard-Upstream-Status"

MAX_HOPS = 2
"""Greatest number of times that a request may be forwarded between instances."""
