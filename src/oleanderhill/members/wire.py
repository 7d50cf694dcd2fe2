"""Messages between entry hosts on their way, and their codec.

A message travels as MessagePack: an envelope with the sender and its clock, and the body as an
array whose type is named. Which types travel is told to the codec, so that it depends on none.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple

import msgspec

from ..clients.packing import grow, shrink
from ..kernel import Received

Decoders = Mapping[str, "msgspec.msgpack.Decoder[Any]"]


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


_ENVELOPE_DECODER = msgspec.msgpack.Decoder(Envelope)
_ENCODER = msgspec.msgpack.Encoder()


def make_decoders(kinds: Iterable[type]) -> Decoders:
    """Return decoders of the types of message that travel, by the types' names."""
    return {kind.__name__: msgspec.msgpack.Decoder(kind) for kind in kinds}


def pack(sender: str, address: str, incarnation: int, stamp: float, body: Any) -> bytes:
    """Return a message as bytes."""
    raw = msgspec.Raw(_ENCODER.encode(body))
    kind = type(body).__name__
    return shrink(_ENCODER.encode(Envelope(kind, sender, address, incarnation, stamp, raw)))


def unpack(data: bytes, arrived: float, decoders: Decoders) -> Received | None:
    """Return the message of some bytes, ``None`` for one of an unknown kind.

    :raises msgspec.DecodeError: if the bytes are malformed
    """
    envelope = _ENVELOPE_DECODER.decode(grow(data))
    decoder = decoders.get(envelope.kind)
    if decoder is None:
        return None
    body = decoder.decode(envelope.body)
    return Received(
        envelope.sender, envelope.address, envelope.incarnation, envelope.stamp, arrived, body
    )
