"""Versioned documents relayed between entry hosts: settings subtrees, host lists, plans.

A few *watchers* of a data centre read the store; everybody else learns from peers. A document only
moves up in revision, whichever way news comes, so that an older copy of the store or a peer with
old news can never take a setting back.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

import xxhash

from ..ownership import rendezvous

WATCHERS = 2
"""Entry hosts of a data centre that watch the store; the second covers a dead first."""

WANTS_PER_MESSAGE = 8


class Document(NamedTuple):
    """One document.

    :param key: such as ``settings/yard``
    :param revision: raised by one with each accepted change
    :param body: JSON text
    """

    key: str
    revision: int
    body: bytes


class Digest(NamedTuple):
    """What a peer holds, as a fingerprint; the rows follow only where it differs.

    :param scope: prefix of the keys it is about; data centres share the settings only
    :param revisions: revision by key, empty when only the fingerprint is offered
    """

    scope: str
    fingerprint: int
    revisions: dict[str, int]


class Notice(NamedTuple):
    """News that there are documents of these revisions; those who lack them ask."""

    revisions: dict[str, int]


class Want(NamedTuple):
    """A request for documents newer than these revisions."""

    revisions: dict[str, int]


class Have(NamedTuple):
    """Documents sent to a peer that asked or is behind."""

    documents: tuple[Document, ...]


class Documents:
    """The documents that one entry host holds."""

    def __init__(self) -> None:
        self.by_key: dict[str, Document] = {}
        self.learned_at_by_key: dict[str, float] = {}

    def offer(self, document: Document, now: float) -> bool:
        """Take a document if it is newer than the one held; return whether it was taken.

        The comparison is the whole safeguard against reverting: a store that was set back to an
        older copy, or a peer that was cut off for an hour, offers lower revisions only.
        """
        held = self.by_key.get(document.key)
        if held is not None and document.revision <= held.revision:
            return False
        self.by_key[document.key] = document
        self.learned_at_by_key[document.key] = now
        return True

    def revision(self, key: str) -> int:
        """Return the revision held for a key, 0 for none."""
        held = self.by_key.get(key)
        return 0 if held is None else held.revision

    def under(self, prefix: str) -> dict[str, Document]:
        """Return the documents whose key starts with ``prefix``."""
        return {k: d for k, d in self.by_key.items() if k.startswith(prefix)}

    def fingerprint(self, scope: str = "") -> int:
        """Return a hash over the keys under ``scope`` and their revisions."""
        text = "|".join(f"{k}={d.revision}" for k, d in sorted(self.under(scope).items()))
        return xxhash.xxh64_intdigest(text.encode())

    def digest(self, scope: str = "", full: bool = False) -> Digest:
        """Return what to tell a peer: the fingerprint, with all revisions if ``full``."""
        revisions = {k: d.revision for k, d in self.under(scope).items()} if full else {}
        return Digest(scope, self.fingerprint(scope), revisions)

    def answer(self, digest: Digest) -> list[Digest | Want | Have]:
        """Return the replies to a peer's digest: nothing when both hold the same."""
        if digest.fingerprint == self.fingerprint(digest.scope):
            return []
        if not digest.revisions:
            return [self.digest(digest.scope, full=True)]
        replies: list[Digest | Want | Have] = []
        behind = {k: self.revision(k) for k, r in digest.revisions.items() if r > self.revision(k)}
        if behind:
            replies.append(Want(dict(list(behind.items())[:WANTS_PER_MESSAGE])))
        ahead = [
            d
            for k, d in self.under(digest.scope).items()
            if d.revision > digest.revisions.get(k, 0)
        ]
        if ahead:
            replies.append(Have(tuple(ahead[:WANTS_PER_MESSAGE])))
        return replies

    def noticed(self, notice: Notice) -> list[Want]:
        """Return what to ask for after a peer's notice."""
        behind = {k: self.revision(k) for k, r in notice.revisions.items() if r > self.revision(k)}
        return [Want(behind)] if behind else []

    def serve(self, want: Want) -> Have:
        """Return the documents asked for that are newer than what the asker holds."""
        found = (self.by_key.get(k) for k in want.revisions)
        return Have(tuple(d for d in found if d and d.revision > want.revisions[d.key]))


def is_watcher(me: str, data_centre: str, live: Iterable[str]) -> bool:
    """Tell whether this entry host should watch the store for its data centre."""
    return me in rendezvous(f"watch/{data_centre}", {*live, me}, WATCHERS)


def to_write_back(held: Mapping[str, Document], stored: Mapping[str, int]) -> list[Document]:
    """Return the documents that the store holds in an older revision, or has lost.

    A store that was set back to an older copy would otherwise hand old settings to every entry
    host that starts after it.

    :param held: the documents in force here
    :param stored: revision by key as the store holds it
    """
    return [d for k, d in sorted(held.items()) if stored.get(k, 0) < d.revision]
