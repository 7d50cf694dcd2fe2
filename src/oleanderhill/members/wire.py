"""Wire format of the messages between entry hosts, and its codec.

A message is encoded as compressed MessagePack: an envelope with the sender, its clock and the name
of the body's type, and the body as an array. The caller passes the types of message to the codec,
so that this module does not import them.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple

import msgspec

from ..clients.compression import compress_message, decompress_message
from ..kernel import PeerMessage

Decoders = Mapping[str, "msgspec.msgpack.Decoder[Any]"]


class Envelope(NamedTuple):
    """A message in its wire format.

    :param kind: name of the type of ``body``
    :param incarnation: incarnation of the sender's process
    :param stamp: the sender's monotonic clock at the time of sending, in seconds
    """

    kind: str
    sender: str
    address: str
    incarnation: int
    stamp: float
    body: msgspec.Raw


class SendTo(NamedTuple):
    """Asks the peers task to send a message to an address."""

    address: str
    body: Any


_ENVELOPE_DECODER = msgspec.msgpack.Decoder(Envelope)
_ENCODER = msgspec.msgpack.Encoder()


def make_decoders(kinds: Iterable[type]) -> Decoders:
    """Return a decoder for each type of message, by the name of the type."""
    return {kind.__name__: msgspec.msgpack.Decoder(kind) for kind in kinds}


def encode_message(sender: str, address: str, incarnation: int, stamp: float, body: Any) -> bytes:
    """Return the encoded and compressed message."""
    raw = msgspec.Raw(_ENCODER.encode(body))
    kind = type(body).__name__
    return compress_message(
        _ENCODER.encode(Envelope(kind, sender, address, incarnation, stamp, raw))
    )


def decode_message(data: bytes, arrived: float, decoders: Decoders) -> PeerMessage | None:
    """Decode a message; return ``None`` if its type is unknown.

    :raises msgspec.DecodeError: if the bytes are malformed
    """
    envelope = _ENVELOPE_DECODER.decode(decompress_message(data))
    decoder = decoders.get(envelope.kind)
    if decoder is None:
        return None
    body = decoder.decode(envelope.body)
    return PeerMessage(
        envelope.sender, envelope.address, envelope.incarnation, envelope.stamp, arrived, body
    )
