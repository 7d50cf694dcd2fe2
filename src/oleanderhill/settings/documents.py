"""Versioned documents replicated between entry hosts: settings subtrees, host lists and plans.

A few *watchers* in each data centre read the store; the other entry hosts get documents from their
peers. Whatever the source, a document is only replaced by one with a higher revision, so that
neither a store restored from a backup nor a peer that is out of date can revert a setting.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

import xxhash

from ..ownership import rendezvous

WATCHERS = 2
"""Entry hosts per data centre that watch the store; the second covers a failure of the first."""

MAX_DOCUMENTS_PER_MESSAGE = 8


class Document(NamedTuple):
    """One revision of a document.

    :param key: for example ``settings/yard``
    :param revision: incremented by each accepted change
    :param body: JSON text
    """

    key: str
    revision: int
    body: bytes


class Digest(NamedTuple):
    """A summary of the sender's documents; revisions follow only if the fingerprints differ.

    :param scope: prefix of the keys that it covers; data centres share only the settings
    :param revisions: revision by key, empty if only the fingerprint is sent
    """

    scope: str
    fingerprint: int
    revisions: dict[str, int]


class Notice(NamedTuple):
    """Announces new revisions of documents; peers request those they lack."""

    revisions: dict[str, int]


class Want(NamedTuple):
    """Requests the documents with these keys, if they are newer than these revisions."""

    revisions: dict[str, int]


class Have(NamedTuple):
    """Carries documents to a peer that requested them or has older revisions."""

    documents: tuple[Document, ...]


class Documents:
    """The documents stored on one entry host."""

    def __init__(self) -> None:
        self.by_key: dict[str, Document] = {}
        self.learned_at_by_key: dict[str, float] = {}

    def store_if_newer(self, document: Document, now: float) -> bool:
        """Store a document if it is newer than the current one; return whether it was stored.

        Nothing but this comparison prevents a revert: a store restored from an older backup, or a
        peer that was partitioned for an hour, only has lower revisions.
        """
        current = self.by_key.get(document.key)
        if current is not None and document.revision <= current.revision:
            return False
        self.by_key[document.key] = document
        self.learned_at_by_key[document.key] = now
        return True

    def revision(self, key: str) -> int:
        """Return the current revision of a key, 0 if there is no document."""
        current = self.by_key.get(key)
        return 0 if current is None else current.revision

    def under(self, prefix: str) -> dict[str, Document]:
        """Return the documents with keys that start with ``prefix``."""
        return {k: d for k, d in self.by_key.items() if k.startswith(prefix)}

    def fingerprint(self, scope: str = "") -> int:
        """Return a hash of the keys that start with ``scope`` and of their revisions."""
        text = "|".join(f"{k}={d.revision}" for k, d in sorted(self.under(scope).items()))
        return xxhash.xxh64_intdigest(text.encode())

    def digest(self, scope: str = "", full: bool = False) -> Digest:
        """Return the summary to send to a peer, with all revisions if ``full``."""
        revisions = {k: d.revision for k, d in self.under(scope).items()} if full else {}
        return Digest(scope, self.fingerprint(scope), revisions)

    def reply_to_digest(self, digest: Digest) -> list[Digest | Want | Have]:
        """Return the replies to a peer's digest, none if both have the same documents."""
        if digest.fingerprint == self.fingerprint(digest.scope):
            return []
        if not digest.revisions:
            return [self.digest(digest.scope, full=True)]
        replies: list[Digest | Want | Have] = []
        outdated = {
            k: self.revision(k) for k, r in digest.revisions.items() if r > self.revision(k)
        }
        if outdated:
            replies.append(Want(dict(list(outdated.items())[:MAX_DOCUMENTS_PER_MESSAGE])))
        newer_here = [
            d
            for k, d in self.under(digest.scope).items()
            if d.revision > digest.revisions.get(k, 0)
        ]
        if newer_here:
            replies.append(Have(tuple(newer_here[:MAX_DOCUMENTS_PER_MESSAGE])))
        return replies

    def reply_to_notice(self, notice: Notice) -> list[Want]:
        """Return the request for the announced documents that are newer than the local ones."""
        outdated = {
            k: self.revision(k) for k, r in notice.revisions.items() if r > self.revision(k)
        }
        return [Want(outdated)] if outdated else []

    def reply_to_want(self, want: Want) -> Have:
        """Return the requested documents that are newer than the requester's revisions."""
        found = (self.by_key.get(k) for k in want.revisions)
        return Have(tuple(d for d in found if d and d.revision > want.revisions[d.key]))


def is_watcher(me: str, data_centre: str, live: Iterable[str]) -> bool:
    """Return whether this entry host is one that watches the store for its data centre."""
    return me in rendezvous(f"watch/{data_centre}", {*live, me}, WATCHERS)


def missing_in_store(current: Mapping[str, Document], stored: Mapping[str, int]) -> list[Document]:
    """Return the documents that are missing in the store or have an older revision there.

    A store restored from an older backup would otherwise give old settings to every entry host
    that starts afterwards.

    :param current: the documents in force on this entry host
    :param stored: revision by key in the store
    """
    return [d for k, d in sorted(current.items()) if stored.get(k, 0) < d.revision]
