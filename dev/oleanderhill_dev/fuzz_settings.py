"""Stateful fuzzing of settings: racing operators, lost answers, old news, a store set back.

Entry hosts hold documents and relay them; operators write subtrees through any of them into a fake
store whose calls end in any way at any time. The oracle: a revision is one tree for ever, an entry
host never goes back, and what an operator was told was accepted is in force everywhere in the end.
"""

from __future__ import annotations

import json
import random
from typing import Any, NamedTuple

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from oleanderhill.settings import writes
from oleanderhill.settings.documents import (
    Digest,
    Document,
    Documents,
    Have,
    Notice,
    Want,
    missing_in_store,
)
from oleanderhill.settings.writes import (
    SETTINGS_PREFIX,
    Change,
    SettingsInForce,
    SubtreeWrite,
    WriteResult,
    WriteState,
    decode_subtree,
)

NODES = 3
TEAMS = ("yard", "desk")


class Node:
    """One entry host's settings."""

    documents_class: type[Documents] = Documents

    def __init__(self) -> None:
        self.documents = self.documents_class()
        self.in_force = SettingsInForce()
        self.highest: dict[str, int] = {}

    def offer(self, document: Document) -> None:
        """Take a document as the product's task does."""
        if self.documents.store_if_newer(document, 0.0):
            self.in_force.apply(document, 0.0)


class Writing(NamedTuple):
    """An operator's write on its way."""

    write: SubtreeWrite
    team: str
    tree: dict[str, Any]
    node: int
    effect: list[writes.WriteEffect]


class SettingsMachine(RuleBasedStateMachine):
    """Operators, entry hosts, relays and the store."""

    steps_run = 0
    node_class: type[Node] = Node
    write_class: type[SubtreeWrite] = SubtreeWrite

    @initialize(seed=st.integers(0, 2**32))
    def begin(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.stored: dict[str, tuple[bytes, int]] = {}
        self.index = 0
        self.nodes = [self.node_class() for _ in range(NODES)]
        self.writing: list[Writing] = []
        self.late: list[tuple[str, bytes, int]] = []
        self.accepted: dict[str, dict[int, Any]] = {t: {} for t in TEAMS}
        self.refused: list[Any] = []
        self.tree_by_revision: dict[tuple[str, int], Any] = {}
        self.number = 0
        self.kept: dict[str, tuple[bytes, int]] = {}

    @rule(team=st.sampled_from(TEAMS), node=st.integers(0, NODES - 1), based=st.booleans())
    def operator_writes(self, team: str, node: int, based: bool) -> None:
        self._count()
        self.number += 1
        tree: dict[str, Any] = {"models": {f"m{self.number}": {"versions": {}}}}
        key = SETTINGS_PREFIX + team

        def known() -> int:
            return self.nodes[node].documents.revision(key)

        change = Change(0, f"w{self.number}", "op", 0.0)
        write = self.write_class(
            json.dumps(tree).encode(), change, known() if based else None, known
        )
        self.writing.append(Writing(write, team, tree, node, write.start()))

    @rule(
        pick=st.integers(0, 999),
        end=st.sampled_from(("done", "done", "done", "lost", "landed", "late")),
    )
    def store_call_ends(self, pick: int, end: str) -> None:
        self._count()
        if not self.writing:
            return
        item = self.writing.pop(pick % len(self.writing))
        effect = item.effect[0]
        key = SETTINGS_PREFIX + item.team
        if isinstance(effect, writes.Read):
            value, index = self.stored.get(key, (b"", 0))
            done = end in ("done", "landed")
            self._go_on(
                item, item.write.on_read(value, index) if done else item.write.on_failed(False)
            )
            return
        assert isinstance(effect, writes.CompareAndSwap)
        if end == "late":
            self.late.append((key, effect.value, effect.modify_index))
        landed = end in ("done", "landed") and self._swap(key, effect.value, effect.modify_index)
        self._go_on(
            item, item.write.on_swapped(landed) if end == "done" else item.write.on_failed(True)
        )

    @rule(pick=st.integers(0, 999))
    def late_write_lands(self, pick: int) -> None:
        self._count()
        if self.late:
            self._swap(*self.late.pop(pick % len(self.late)))

    @rule(pick=st.integers(0, 999))
    def operator_waits_no_longer(self, pick: int) -> None:
        self._count()
        if self.writing:
            self._ended(self.writing.pop(pick % len(self.writing)), None)

    @rule(node=st.integers(0, NODES - 1))
    def entry_reads_the_store(self, node: int) -> None:
        self._count()
        self._watch(self.nodes[node])

    @rule(a=st.integers(0, NODES - 1), b=st.integers(0, NODES - 1))
    def peers_talk(self, a: int, b: int) -> None:
        self._count()
        self._talk(self.nodes[a], self.nodes[b])

    @rule(node=st.integers(0, NODES - 1))
    def entry_restarts(self, node: int) -> None:
        self._count()
        self.nodes[node] = self.node_class()
        self._watch(self.nodes[node])
        for peer in self.nodes:
            self._talk(self.nodes[node], peer)

    @rule(team=st.sampled_from(TEAMS))
    def somebody_writes_nonsense(self, team: str) -> None:
        """An invalid subtree is put into the store behind our back, at the next revision."""
        self._count()
        key = SETTINGS_PREFIX + team
        value, index = self.stored.get(key, (b"", 0))
        if not value:
            return
        held = decode_subtree(value)
        history = (Change(held.revision + 1, f"x{self.number}", "?", 0.0), *held.history)
        nonsense = writes.Subtree(held.revision + 1, writes.msgspec.Raw(b'{"modles": 1}'), history)
        self._swap(key, writes.encode_subtree(nonsense), index)

    @rule()
    def copy_of_the_store_is_kept(self) -> None:
        self._count()
        self.kept = dict(self.stored)

    @rule(node=st.none() | st.integers(0, NODES - 1))
    def store_is_set_back(self, node: int | None) -> None:
        """The store is set back to the copy; perhaps a watcher reads it before anybody writes."""
        self._count()
        for peer in self.nodes:
            self._watch(peer)
        self.index += 1
        # A store that is set back gives its values new indexes; the old ones were used up.
        self.stored = {k: (v, self.index) for k, (v, _) in self.kept.items()}
        if node is not None:
            self._watch(self.nodes[node])

    # The oracle

    @invariant()
    def entry_hosts_never_go_back(self) -> None:
        for node in getattr(self, "nodes", []):
            for team, state in node.in_force.state_by_team.items():
                before = node.highest.get(team, 0)
                assert state.revision >= before, f"{team} went from {before} to {state.revision}"
                node.highest[team] = state.revision

    @invariant()
    def revision_is_one_tree(self) -> None:
        for node in getattr(self, "nodes", []):
            for team, state in node.in_force.state_by_team.items():
                if not state.revision:
                    continue
                tree = node.in_force.tree_by_team[team]
                first = self.tree_by_revision.setdefault((team, state.revision), tree)
                assert first == tree, f"{team} revision {state.revision} is two trees"

    @invariant()
    def refused_is_never_in_force(self) -> None:
        trees = [t for n in getattr(self, "nodes", []) for t in n.in_force.tree_by_team.values()]
        for tree in getattr(self, "refused", []):
            assert tree not in trees, "a refused write is in force"

    def teardown(self) -> None:
        """With the store well again, what was accepted is in force at every entry host."""
        if not hasattr(self, "nodes"):
            return
        while self.writing:
            self.store_call_ends(0, "done")
        self.late.clear()
        for node in self.nodes:
            self._watch(node)
        for a in self.nodes:
            for b in self.nodes:
                self._talk(a, b)
        for team in TEAMS:
            self._check_accepted(team)
        self.revision_is_one_tree()

    def _check_accepted(self, team: str) -> None:
        if not self.accepted[team]:
            return
        newest = max(self.accepted[team])
        for node in self.nodes:
            state = node.in_force.state_by_team[team]
            assert (
                state.latest_revision >= newest
            ), f"{team}: {newest} was accepted, {state.latest_revision} is known"
            if state.revision == newest:
                assert node.in_force.tree_by_team[team] == self.accepted[team][newest]

    # The world

    def _count(self) -> None:
        type(self).steps_run += 1

    def _swap(self, key: str, value: bytes, index: int) -> bool:
        if self.stored.get(key, (b"", 0))[1] != index:
            return False
        self.index += 1
        self.stored[key] = (value, self.index)
        return True

    def _go_on(self, item: Writing, effects: list[writes.WriteEffect]) -> None:
        effect = effects[0]
        if isinstance(effect, WriteResult):
            self._ended(item, effect)
        else:
            self.writing.append(item._replace(effect=effects))

    def _ended(self, item: Writing, effect: WriteResult | None) -> None:
        ended = effect if effect is not None else item.write.on_timeout()
        if ended.state == WriteState.ACCEPTED:
            assert ended.revision not in self.accepted[item.team], "accepted twice"
            self.accepted[item.team][ended.revision] = item.tree
            key = SETTINGS_PREFIX + item.team
            self.nodes[item.node].offer(Document(key, ended.revision, ended.document))
        elif ended.state != WriteState.UNKNOWN:
            self.refused.append(item.tree)

    def _watch(self, node: Node) -> None:
        revisions = {}
        for key, (value, _) in self.stored.items():
            revisions[key] = decode_subtree(value).revision
            node.offer(Document(key, revisions[key], value))
        for document in missing_in_store(node.documents.by_key, revisions):
            index = self.stored.get(document.key, (b"", 0))[1]
            self._swap(document.key, document.body, index)

    def _talk(self, a: Node, b: Node) -> None:
        """Let two peers exchange messages until both have nothing to say."""
        notice = Notice({k: d.revision for k, d in a.documents.by_key.items()})
        messages: list[tuple[Node, Node, Any]] = [(a, b, notice), (a, b, a.documents.digest())]
        for _ in range(20):
            if not messages:
                return
            sender, receiver, body = messages.pop(0)
            replies: list[Any] = []
            if isinstance(body, Digest):
                replies = list(receiver.documents.reply_to_digest(body))
            elif isinstance(body, Notice):
                replies = list(receiver.documents.reply_to_notice(body))
            elif isinstance(body, Want):
                replies = [receiver.documents.reply_to_want(body)]
            elif isinstance(body, Have):
                for document in body.documents:
                    receiver.offer(document)
            messages += [(receiver, sender, r) for r in replies]
