"""Identity of a request across retries.

A caller gives each retry a new request id, so ids can't be used to recognise a retry. Whether a
request crashes a target depends on its method, host, path, client account and body, so these form
its identity. Headers are left out because they differ between retries (timeout, last event id,
shared parts of a prompt). Bodies are the same only if all bytes are, including white space.
"""

from __future__ import annotations

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
