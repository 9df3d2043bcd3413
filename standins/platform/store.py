"""State of a stand-in store: topics, newest records, conditional appends, groups."""

import base64
import struct
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

__all__ = ["Partition", "StoreFaults", "StoreState"]

HEADER = struct.Struct(">QQ")
LENGTH = struct.Struct(">I")
MAX_PAGE_ITEMS = 500
MAX_REMEMBERED_APPENDS = 5


@dataclass(slots=True)
class StoreFaults:
    """Injected faults of the store.

    Attributes
    ----------
    down : bool
        All calls are refused without effect.
    lose_answers : int
        Number of further appends that are carried out without a response.
    """

    down: bool = False
    lose_answers: int = 0


@dataclass(slots=True)
class Partition:
    """One partition of a topic.

    Attributes
    ----------
    records : list of bytes
        All records that were ever appended.
    first : int
        Offset of the earliest record that isn't dropped.
    producers : dict
        By producer: its epoch, its last sequence number, and its last responses by
        sequence number.
    """

    records: list[bytes] = field(default_factory=list)
    first: int = 0
    producers: dict[str, tuple[int, int, dict[int, dict]]] = field(default_factory=dict)


@dataclass(slots=True)
class Member:
    """A member of a group."""

    last_joined_at: float
    ttl_s: float
    generation: int


@dataclass(slots=True)
class Group:
    """A group that assigns one topic's partitions to its members."""

    topic: str = ""
    generation: int = 0
    members: dict[str, Member] = field(default_factory=dict)
    owners: dict[int, str] = field(default_factory=dict)


@dataclass(slots=True)
class StoreState:
    """State of the whole store.

    Attributes
    ----------
    parts : int
        Number of partitions of each topic that isn't one of the platform's own.
    record_bytes, call_bytes : int
        Maximum size of a record, and of all records of an append.
    sent_bytes : Counter
        Bytes of records that reads have returned, by topic.
    """

    parts: int = 1
    partitions: dict[tuple[str, int], Partition] = field(default_factory=dict)
    groups: dict[str, Group] = field(default_factory=dict)
    faults: StoreFaults = field(default_factory=StoreFaults)
    appends: int = 0
    record_bytes: int = 262_144
    call_bytes: int = 2_097_152
    sent_bytes: Counter[str] = field(default_factory=Counter)

    def put(self, topic: str, key: str, value: bytes, part: int = 0) -> None:
        """Append one keyed record, as operators and runners do."""
        name = key.encode()
        self._partition(topic, part).records.append(bytes((len(name),)) + name + value)

    def newest(self, topic: str, part: int = 0) -> dict[str, bytes]:
        """Return the newest value of each key, without keys whose newest is empty."""
        found: dict[str, bytes] = {}
        for record in self._partition(topic, part).records:
            size = 1 + record[0]
            key, value = record[1:size].decode(), record[size:]
            found.pop(key, None)
            if value:
                found[key] = value
        return found

    def _find_offsets(self, topic: str, part: int) -> dict[str, int]:
        """Return the offset of the newest record of each key."""
        records = self._partition(topic, part).records
        return {
            record[1 : 1 + record[0]].decode(): offset
            for offset, record in enumerate(records)
        }

    def drop_history(self) -> None:
        """Drop all records from the log; the newest of each key remain readable."""
        for partition in self.partitions.values():
            partition.first = len(partition.records)

    def _partition(self, topic: str, part: int) -> Partition:
        return self.partitions.setdefault((topic, part), Partition())

    def append(
        self, query: Mapping[str, str], body: bytes
    ) -> tuple[int, dict[str, Any]]:
        """Serve ``log-append``."""
        partition = self._partition(query["topic"], int(query.get("part", 0)))
        end = len(partition.records)
        if "at" in query and int(query["at"]) != end:
            return 412, {"end": end}
        records = _split(body)
        longest = max(map(len, records), default=0)
        if longest > self.record_bytes or len(body) > self.call_bytes:
            return 413, {"error": "too large"}
        producer = query.get("producer", "")
        if producer:
            response = self._check_producer(partition, query, producer)
            if response is not None:
                return response
        partition.records += records
        self.appends += 1
        accepted = {"offset": end, "end": len(partition.records)}
        if producer:
            self._record_append(partition, query, producer, accepted)
        return 200, accepted

    def _check_producer(
        self, partition: Partition, query: Mapping[str, str], producer: str
    ) -> tuple[int, dict[str, Any]] | None:
        epoch, sequence = int(query["epoch"]), int(query["sequence"])
        known_epoch, last, responses = partition.producers.get(producer, (-1, 0, {}))
        if epoch < known_epoch:
            return 409, {"reason": "fenced"}
        if epoch > known_epoch:
            return None
        if sequence in responses:
            return 200, responses[sequence]
        if sequence != last + 1:
            return 409, {"reason": "seq", "sequence": last + 1}
        return None

    def _record_append(
        self,
        partition: Partition,
        query: Mapping[str, str],
        producer: str,
        response: dict[str, Any],
    ) -> None:
        epoch, sequence = int(query["epoch"]), int(query["sequence"])
        known_epoch, _, responses = partition.producers.get(producer, (-1, 0, {}))
        kept = dict(responses) if known_epoch == epoch else {}
        kept[sequence] = response
        newest = sorted(kept)[-MAX_REMEMBERED_APPENDS:]
        kept = {number: kept[number] for number in newest}
        partition.producers[producer] = (epoch, sequence, kept)

    def read(self, query: Mapping[str, str]) -> tuple[int, bytes]:
        """Serve ``log-read`` without waiting for new records."""
        partition = self._partition(query["topic"], int(query.get("part", 0)))
        offset = int(query["from"])
        if offset < partition.first:
            return 410, b"{}"
        body = HEADER.pack(len(partition.records), partition.first)
        for record in partition.records[offset:]:
            body += LENGTH.pack(len(record)) + record
        self.sent_bytes[query["topic"]] += len(body) - HEADER.size
        return 200, body

    def read_newest(self, query: Mapping[str, str]) -> tuple[int, dict[str, Any]]:
        """Serve ``log-newest``."""
        topic, part = query["topic"], int(query.get("part", 0))
        after = query.get("after", "")
        values = self.newest(topic, part)
        offsets = self._find_offsets(topic, part)
        keys = sorted(key for key in values if key > after)
        items = [
            {
                "key": key,
                "value": base64.b64encode(values[key]).decode(),
                "offset": offsets[key],
            }
            for key in keys[:MAX_PAGE_ITEMS]
        ]
        end = len(self._partition(topic, part).records)
        return 200, {"items": items, "hasMore": len(keys) > MAX_PAGE_ITEMS, "end": end}

    def join(self, body: Mapping[str, Any], now: float) -> tuple[int, dict[str, Any]]:
        """Serve ``log-join``."""
        group = self.groups.setdefault(body["group"], Group(body["topics"][0]))
        name = body["member"]
        member = group.members.get(name)
        if member is None:
            group.members[name] = Member(now, body["ttlMs"] / 1000, 0)
            group.generation += 1
            group.owners.clear()
        else:
            member.last_joined_at = now
            member.generation = body["generation"]
        self._assign_partitions(group, now)
        rows = [[group.topic, p, 0] for p, m in group.owners.items() if m == name]
        return 200, {"generation": group.generation, "ttlMs": 0, "parts": rows}

    def read_owners(self, query: Mapping[str, str]) -> tuple[int, dict[str, Any]]:
        """Serve ``log-owners``; a lost member stays owner until another one calls."""
        group = self.groups.get(query["group"], Group())
        rows = [[group.topic, p, m, 0] for p, m in sorted(group.owners.items())]
        return 200, {"generation": group.generation, "parts": rows}

    def leave(self, body: Mapping[str, Any], now: float) -> tuple[int, dict[str, Any]]:
        """Serve ``log-leave``."""
        group = self.groups.get(body["group"])
        if group is not None and body["member"] in group.members:
            del group.members[body["member"]]
            group.generation += 1
            self._assign_partitions(group, now)
        return 200, {}

    def _assign_partitions(self, group: Group, now: float) -> None:
        for name, member in list(group.members.items()):
            if now - member.last_joined_at > member.ttl_s:
                del group.members[name]
                group.generation += 1
        for part in range(self.parts):
            if group.owners.get(part) not in group.members and group.members:
                group.owners[part] = sorted(group.members)[part % len(group.members)]


def _split(body: bytes) -> list[bytes]:
    records = []
    offset = 0
    while offset < len(body):
        (size,) = LENGTH.unpack_from(body, offset)
        offset += LENGTH.size
        records.append(body[offset : offset + size])
        offset += size
    return records
