"""Messages between entry hosts and between tasks, and the codec for those that travel.

A message travels as MessagePack: an envelope with the sender and its clock, and the body as an
array whose type is named. :data:`DESTINATION_BY_TYPE` says which task takes which message.
"""

from __future__ import annotations

import zlib
from typing import Any, NamedTuple

import msgspec

from .documents import Digest, Have, Notice, Want
from .fleet import Fleet
from .kernel import Received
from .limits import Demand
from .membership import Gossip
from .once import Row, Verdict
from .types import GroupRecord, HostEntry, WantedGroup


class GroupState(NamedTuple):
    """The part of a :class:`~.types.GroupView` that changes often; about 8 bytes on the wire.

    States come in the order of the records of the same version, so they need no names.

    :param flags: 2 for whole, 1 for accepting
    """

    flags: int
    age_ms: int
    running: int
    waiting: int
    capacity: int


class DomainEvidence(NamedTuple):
    """What the owner of a domain found at its hosts.

    :param version: of the ledger whose groups the states are about
    :param records: the groups in the order of the states, sent when they changed and to those who
        ask; else empty
    :param usable: hosts of the domain that are present and staying
    """

    domain: str
    data_centre: str
    owner_epoch: int
    version: int
    states: tuple[GroupState, ...]
    records: tuple[GroupRecord, ...]
    usable: int


class RecordsWanted(NamedTuple):
    """Ask the owner of a domain for the records that its states are about."""

    domain: str


class ClaimAsk(NamedTuple):
    """Ask the home of a journal shard to record a row."""

    shard: int
    row: Row


class ClaimAnswer(NamedTuple):
    """What became of a claim."""

    nonce: bytes
    verdict: Verdict
    row: Row | None


class Envelope(NamedTuple):
    """A message on its way.

    :param incarnation: of the sender's process
    :param stamp: the sender's monotonic clock when it sent the message, in seconds
    """

    kind: str
    sender: str
    address: str
    incarnation: int
    stamp: float
    body: msgspec.Raw


class SendTo(NamedTuple):
    """Ask the peers task to send a message to an address."""

    address: str
    body: Any


class FleetChanged(NamedTuple):
    """The settings in force changed."""

    fleet: Fleet


class HostsChanged(NamedTuple):
    """The host list of this data centre changed."""

    hosts: tuple[HostEntry, ...]


class PlanChanged(NamedTuple):
    """The plan of this data centre changed, or what the settings want."""

    wanted_by_domain: dict[str, tuple[WantedGroup, ...]]


class LocalEvidence(NamedTuple):
    """Evidence of this entry host's own stewards, with its records.

    :param at: local monotonic time to which the ages refer
    """

    evidence: DomainEvidence
    at: float


DESTINATION_BY_TYPE: dict[type, str] = {
    Gossip: "membership",
    Digest: "documents",
    Notice: "documents",
    Want: "documents",
    Have: "documents",
    Demand: "limits",
    DomainEvidence: "router",
    RecordsWanted: "stewards",
    ClaimAsk: "claims",
    ClaimAnswer: "claims",
}

PLAIN = b"P"
COMPRESSED = b"Z"
COMPRESS_OVER = 400
"""Bytes over which a message is compressed; below, little is won."""

LONGEST = 4 * 1024 * 1024
"""Bytes of a message at most, however small it was made on its way."""

_DECODER_BY_KIND: dict[str, tuple[type, msgspec.msgpack.Decoder[Any]]] = {
    kind.__name__: (kind, msgspec.msgpack.Decoder(kind)) for kind in DESTINATION_BY_TYPE
}
_ENVELOPE_DECODER = msgspec.msgpack.Decoder(Envelope)
_ENCODER = msgspec.msgpack.Encoder()


def pack(sender: str, address: str, incarnation: int, stamp: float, body: Any) -> bytes:
    """Return a message as bytes."""
    raw = msgspec.Raw(_ENCODER.encode(body))
    kind = type(body).__name__
    data = _ENCODER.encode(Envelope(kind, sender, address, incarnation, stamp, raw))
    if len(data) <= COMPRESS_OVER:
        return PLAIN + data
    return COMPRESSED + zlib.compress(data)


def _plain(data: bytes) -> bytes:
    mark, rest = data[:1], data[1:]
    if mark == PLAIN:
        return rest
    if mark != COMPRESSED:
        raise msgspec.DecodeError("unknown first byte")
    try:
        return zlib.decompressobj().decompress(rest, LONGEST)
    except zlib.error as error:
        raise msgspec.DecodeError(str(error)) from error


def unpack(data: bytes, arrived: float) -> Received | None:
    """Return the message of some bytes, ``None`` for one of an unknown kind.

    :raises msgspec.DecodeError: if the bytes are malformed
    """
    envelope = _ENVELOPE_DECODER.decode(_plain(data))
    known = _DECODER_BY_KIND.get(envelope.kind)
    if known is None:
        return None
    body = known[1].decode(envelope.body)
    return Received(
        envelope.sender, envelope.address, envelope.incarnation, envelope.stamp, arrived, body
    )
