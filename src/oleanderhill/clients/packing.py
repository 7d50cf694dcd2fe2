"""Bytes on their way between entry hosts, compressed where that gains something."""

from __future__ import annotations

import zlib

import msgspec

PLAIN = b"P"
COMPRESSED = b"Z"
COMPRESS_OVER = 400
"""Bytes over which data is compressed; below, little is won."""

LEVEL = 1
"""Effort of the compression, the least: it takes processor time of the host that all ask."""

LONGEST = 4 * 1024 * 1024
"""Bytes of a message at most, however small it was made on its way."""


def shrink(data: bytes) -> bytes:
    """Return bytes as they travel."""
    if len(data) <= COMPRESS_OVER:
        return PLAIN + data
    return COMPRESSED + zlib.compress(data, LEVEL)


def grow(data: bytes) -> bytes:
    """Return the bytes that :func:`shrink` took.

    :raises msgspec.DecodeError: if they are malformed
    """
    mark, rest = data[:1], data[1:]
    if mark == PLAIN:
        return rest
    if mark != COMPRESSED:
        raise msgspec.DecodeError("unknown first byte")
    try:
        return zlib.decompressobj().decompress(rest, LONGEST)
    except zlib.error as error:
        raise msgspec.DecodeError(str(error)) from error
