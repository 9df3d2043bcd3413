"""Decoding of the operators' requests to evacuate failure domains."""

from collections.abc import Iterable
from typing import NamedTuple

from plantainyard.decoding import DecodeError, parse_json
from plantainyard.platform.store_messages import Record

__all__ = [
    "EVACUATION_PREFIX",
    "EvacuationRecord",
    "UnreadableRecord",
    "decode_evacuations",
]

EVACUATION_PREFIX = "evacuate/"
"""Prefix of the keys of evacuations in the operators' topic; a domain follows it."""


class EvacuationRecord(NamedTuple):
    """A request that nothing more is started in a failure domain.

    Attributes
    ----------
    domain : str
        The failure domain.
    version : int
        Offset of the record, which grows with each request.
    """

    domain: str
    version: int


class UnreadableRecord(NamedTuple):
    """A record that names no evacuation.

    Attributes
    ----------
    key, version : str, int
        Key and offset of the record.
    why : str
        What is wrong with it.
    """

    key: str
    version: int
    why: str


def decode_evacuations(
    records: Iterable[Record],
) -> tuple[list[EvacuationRecord], list[UnreadableRecord]]:
    """Decode the newest records of the keys that begin with `EVACUATION_PREFIX`.

    Records of other keys are ignored.

    Examples
    --------
    >>> decode_evacuations([Record("evacuate/d1", b"{}", 7), Record("wave/1", b"{}")])
    ([EvacuationRecord(domain='d1', version=7)], [])
    """
    found: list[EvacuationRecord] = []
    unreadable: list[UnreadableRecord] = []
    for record in records:
        if not record.key.startswith(EVACUATION_PREFIX):
            continue
        domain = record.key.removeprefix(EVACUATION_PREFIX)
        why = _find_fault(domain, record.value)
        if why:
            unreadable.append(UnreadableRecord(record.key, record.offset, why))
        else:
            found.append(EvacuationRecord(domain, record.offset))
    return found, unreadable


def _find_fault(domain: str, value: bytes) -> str:
    if not domain:
        return "names no failure domain"
    try:
        body = parse_json(value)
    except DecodeError as error:
        return str(error)
    return "" if isinstance(body, dict) else "expected an object"
