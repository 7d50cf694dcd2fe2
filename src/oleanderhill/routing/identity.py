"""Identity of a request across retries, and of a part of prompts across requests.

A caller gives each retry a new request id, so ids can't be used to recognise a retry. Whether a
request crashes a target depends on its method, host, path, client account and body, so these form
its identity. Headers are left out because they differ between retries (timeout, last event id,
shared parts of a prompt). Bodies are the same only if all bytes are, including white space.
"""

from __future__ import annotations

from collections.abc import Sequence
from functools import lru_cache
from hashlib import blake2b

IDENTITY_BYTES = 16
"""Length of an identity. Among a million requests, two collide with a probability of 1e-27."""

_KEY = b"oleanderhill request identity"
"""Makes identities differ from other hashes of the same bodies. It is not secret: anyone who can
read peer messages can check a guess of a complete body."""


def identity(method: str, host: str, path: str, account: str, body: bytes) -> str:
    """Return a hash of a request's content, equal on all entry hosts and for all its retries.

    Each part is hashed with its length, so that different splits of the same bytes give different
    identities. Neither the body nor the caller's key can be derived from the result, which is
    written to logs and sent to peers.
    """
    digest = blake2b(digest_size=IDENTITY_BYTES, key=_KEY)
    for part in (method.encode(), host.lower().encode(), path.encode(), account.encode(), body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


PART_PREFIX = "part/"

SCOPE_BYTES = 6
"""Length of the hash of a service and model. A collision lets answers of one count for another."""


def part_identities(service: str, model: str, parts: Sequence[str]) -> tuple[str, ...]:
    """Return the identities of parts of a prompt, equal on all entry hosts and in all requests.

    The same id at another service or model is another part. The ids come from callers, so only
    hashes of them are sent to peers and written to logs.
    """
    return tuple(_part_identity(service, model, part) for part in parts)


def is_part(subject: str) -> bool:
    """Return whether a subject is a part of prompts, and not a request."""
    return subject.startswith(PART_PREFIX)


def scope(service: str, model: str) -> str:
    """Return a hash of a service and model, which the identities of their parts contain."""
    return _hash((service, model), SCOPE_BYTES)


def scope_of(part: str) -> str:
    """Return the scope of the identity of a part."""
    return part.removeprefix(PART_PREFIX).partition("/")[0]


@lru_cache(maxsize=4096)
def _part_identity(service: str, model: str, part: str) -> str:
    digest = _hash((service, model, part), IDENTITY_BYTES)
    return f"{PART_PREFIX}{scope(service, model)}/{digest}"


def _hash(texts: Sequence[str], size: int) -> str:
    digest = blake2b(digest_size=size, key=_KEY)
    for text in texts:
        encoded = text.encode()
        digest.update(len(encoded).to_bytes(8, "big"))
        digest.update(encoded)
    return digest.hexdigest()
