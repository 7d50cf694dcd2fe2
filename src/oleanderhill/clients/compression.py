"""Optional compression of messages between entry hosts."""

from __future__ import annotations

import zlib

import msgspec

PLAIN = b"P"
COMPRESSED = b"Z"
COMPRESSION_THRESHOLD = 400
"""Bytes above which data is compressed; smaller messages gain little."""

COMPRESSION_LEVEL = 1
"""The fastest zlib level, as one host compresses the store content for all its peers."""

MAX_MESSAGE_BYTES = 4 * 1024 * 1024
"""Maximum size of a decompressed message."""


def compress_message(data: bytes) -> bytes:
    """Return data as it is sent, compressed if it is large enough."""
    if len(data) <= COMPRESSION_THRESHOLD:
        return PLAIN + data
    return COMPRESSED + zlib.compress(data, COMPRESSION_LEVEL)


def decompress_message(data: bytes) -> bytes:
    """Return the original data of a message made by :func:`compress_message`.

    :raises msgspec.DecodeError: if the message is malformed
    """
    marker, rest = data[:1], data[1:]
    if marker == PLAIN:
        return rest
    if marker != COMPRESSED:
        raise msgspec.DecodeError("unknown compression marker")
    try:
        return zlib.decompressobj().decompress(rest, MAX_MESSAGE_BYTES)
    except zlib.error as error:
        raise msgspec.DecodeError(str(error)) from error
