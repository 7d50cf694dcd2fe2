"""Stateful fuzzing of one domain: any fault at any step, against the oracle of the world."""

from __future__ import annotations

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from .domain_world import DomainWorld, wanted_groups

RECOVERY_LIMIT = 700.0
"""Seconds: the longest wait of a displaced owner, and a repair."""

SHORT = st.sampled_from((0.1, 0.3, 0.7, 1.2, 2.5))
LONG = st.sampled_from((1.0, 3.0, 6.0, 12.0))
HOST = st.integers(0, 5).map(lambda n: f"h{n}")
NODE = st.integers(0, 2).map(lambda n: f"e{n}")


class DomainMachine(RuleBasedStateMachine):
    """Faults of hosts, entry hosts, links and the store, singly, together and twice."""

    steps_run = 0
    world_class: type[DomainWorld] = DomainWorld

    @initialize(seed=st.integers(0, 2**32), fencing=st.booleans(), ready=st.booleans())
    def begin(self, seed: int, fencing: bool, ready: bool) -> None:
        self.world = self.world_class(seed, fencing=fencing)
        if ready:
            self.world.until_all_serve(60.0)

    @rule(seconds=LONG)
    def time_passes(self, seconds: float) -> None:
        self._then(seconds)

    @rule(host=HOST, seconds=SHORT)
    def host_dies(self, host: str, seconds: float) -> None:
        self.world.engines[host].alive = False
        self._then(seconds)

    @rule(host=HOST, hollow=st.booleans(), seconds=SHORT)
    def host_reboots(self, host: str, hollow: bool, seconds: float) -> None:
        self.world.reboot(host, hollow)
        self._then(seconds)

    @rule(host=HOST, seconds=SHORT)
    def host_pauses(self, host: str, seconds: float) -> None:
        self.world.engines[host].paused = True
        self._then(seconds)

    @rule(host=HOST, seconds=SHORT)
    def host_wakes(self, host: str, seconds: float) -> None:
        self.world.engines[host].paused = False
        self._then(seconds)

    @rule(host=HOST, listed=st.booleans(), seconds=SHORT)
    def host_leaves(self, host: str, listed: bool, seconds: float) -> None:
        if listed:
            self.world.list_leaving(host)
        else:
            self.world.mark_leaving(host)
        self._then(seconds)

    @rule(host=HOST, seconds=SHORT)
    def host_stays(self, host: str, seconds: float) -> None:
        self.world.stay(host)
        self._then(seconds)

    @rule(seconds=LONG)
    def domain_goes_dark(self, seconds: float) -> None:
        for engine in self.world.engines.values():
            engine.paused = True
        self._then(seconds)

    @rule(rebooted=st.booleans(), seconds=SHORT)
    def domain_comes_back(self, rebooted: bool, seconds: float) -> None:
        for host, engine in self.world.engines.items():
            engine.paused = False
            if rebooted:
                self.world.reboot(host)
        self._then(seconds)

    @rule(node=NODE, seconds=SHORT)
    def entry_dies(self, node: str, seconds: float) -> None:
        self.world.kill_node(node)
        self._then(seconds)

    @rule(node=NODE, seconds=SHORT)
    def entry_starts(self, node: str, seconds: float) -> None:
        self.world.start_node(node)
        self._then(seconds)

    @rule(node=NODE, seconds=LONG)
    def entry_pauses(self, node: str, seconds: float) -> None:
        self.world.pause_node(node)
        self._then(seconds)

    @rule(node=NODE, seconds=SHORT)
    def entry_wakes(self, node: str, seconds: float) -> None:
        self.world.wake_node(node)
        self._then(seconds)

    @rule(a=NODE, b=NODE, seconds=LONG)
    def entries_cut(self, a: str, b: str, seconds: float) -> None:
        if a != b:
            self.world.cut(a, b)
        self._then(seconds)

    @rule(node=NODE, host=HOST, seconds=SHORT)
    def entry_cut_from_host(self, node: str, host: str, seconds: float) -> None:
        self.world.cut(node, host)
        self._then(seconds)

    @rule(node=NODE, seconds=LONG)
    def entry_cut_from_store(self, node: str, seconds: float) -> None:
        self.world.cut(node, "store")
        self._then(seconds)

    @rule(seconds=LONG)
    def store_goes_down(self, seconds: float) -> None:
        self.world.store.down = True
        self._then(seconds)

    @rule(lose=st.sampled_from(("answer", "late")), seconds=LONG)
    def store_loses(self, lose: str, seconds: float) -> None:
        self.world.store.lose = lose
        self._then(seconds)

    @rule(delay=st.sampled_from((0.3, 1.5)), seconds=LONG)
    def store_is_slow(self, delay: float, seconds: float) -> None:
        self.world.store.delay = delay
        self._then(seconds)

    @rule(seconds=LONG)
    def all_heals(self, seconds: float) -> None:
        self.world.heal()
        self._then(seconds)

    @rule(version=st.sampled_from(("v1", "v2", "v3")), count=st.integers(1, 3), seconds=LONG)
    def operators_change_their_mind(self, version: str, count: int, seconds: float) -> None:
        self.world.wanted = wanted_groups(version, count)
        self._then(seconds)

    def teardown(self) -> None:
        """After the last fault everything wanted serves again, at every entry host."""
        if hasattr(self, "world"):
            self.world.recover()
            self.world.until_all_serve(RECOVERY_LIMIT)

    def _then(self, seconds: float) -> None:
        type(self).steps_run += 1
        self.world.run(seconds)
