"""``make matrix``: every fault at every step, each cell held, violated or not covered.

A cell brings a world to a step, strikes it with a fault, lets time pass, undoes the fault and waits
until all is well; the oracles of the worlds judge on the way. Domain cells run for engines that
check fencing numbers and for those that ignore them.
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from typing import Any

import defopt

from oleanderhill.types import EngineState

from .domain_world import DomainWorld, Node, wanted_groups
from .fuzz_requests import RequestsMachine, Submission
from .fuzz_settings import SettingsMachine

SEEDS = (1, 2)
STRUCK_SECONDS = 12.0
RECOVERY_LIMIT = 700.0
UNTIL_STEP = 60.0

Cells = dict[tuple[str, str], str]


class NotReachedError(Exception):
    """The world did not come to the step."""


# Steps of a domain


def owner(world: DomainWorld) -> Node | None:
    """Return the entry host that owns the domain."""
    owners = [n for n in world.nodes.values() if n.alive and n.steward.owned]
    return owners[0] if owners else None


def until(world: DomainWorld, condition: Callable[[], bool]) -> None:
    """Run until a condition holds."""
    ends = world.now + UNTIL_STEP
    while not condition():
        if world.now > ends:
            raise NotReachedError
        world.step()


def loading(world: DomainWorld) -> bool:
    """Tell whether some engine loads."""
    return any(e.state == EngineState.LOADING for e in world.engines.values())


def forming(world: DomainWorld) -> None:
    """Groups are being formed: engines load for the first time."""
    until(world, lambda: loading(world))


def serving(world: DomainWorld) -> None:
    """All groups serve."""
    world.until_all_serve(UNTIL_STEP)


def repairing(world: DomainWorld) -> None:
    """A member was lost and its replacement loads."""
    serving(world)
    held = owner(world)
    assert held is not None
    record = next(iter(held.steward.ledger.groups.values()))
    world.engines[record.members[1].host].alive = False
    until(world, lambda: loading(world))


def rolling_out(world: DomainWorld) -> None:
    """A new version is being loaded beside the old one."""
    serving(world)
    world.wanted = wanted_groups("v2", 2)
    until(world, lambda: loading(world))


def handing_over(world: DomainWorld) -> None:
    """The owner died and another has just taken the domain."""
    serving(world)
    held = owner(world)
    assert held is not None
    world.kill_node(held.name)
    until(world, lambda: owner(world) is not None)


def draining(world: DomainWorld) -> None:
    """A host is leaving and its group lets requests end."""
    serving(world)
    held = owner(world)
    assert held is not None
    record = next(iter(held.steward.ledger.groups.values()))
    world.mark_leaving(record.members[0].host)
    world.run(1.0)


STEPS = (forming, serving, repairing, rolling_out, handing_over, draining)

# Faults of a domain


def member(world: DomainWorld, rank: int) -> str:
    """Return a host of the first group, or any host where there is none."""
    held = owner(world)
    groups = list(held.steward.ledger.groups.values()) if held is not None else []
    return groups[0].members[rank].host if groups else f"h{rank}"


def owner_name(world: DomainWorld) -> str:
    """Return the owner's name, or any entry host's."""
    held = owner(world)
    return held.name if held is not None else world.names[0]


def _engine(rank: int, **changes: Any) -> Callable[[DomainWorld], None]:
    def strike(world: DomainWorld) -> None:
        engine = world.engines[member(world, rank)]
        for name, value in changes.items():
            setattr(engine, name, value)

    return strike


def _reboot(hollow: bool) -> Callable[[DomainWorld], None]:
    return lambda world: world.reboot(member(world, 1), hollow)


def _dark(world: DomainWorld) -> None:
    for engine in world.engines.values():
        engine.paused = True


def _dark_and_back(world: DomainWorld) -> None:
    _dark(world)
    world.run(6.0)
    for host in world.engines:
        world.reboot(host)


def _pause_owner(world: DomainWorld) -> None:
    name = owner_name(world)
    world.pause_node(name)
    world.run(9.0)
    world.wake_node(name)


def _cut_owner(*parties: str) -> Callable[[DomainWorld], None]:
    def strike(world: DomainWorld) -> None:
        name = owner_name(world)
        for party in parties:
            others = [n for n in world.names if n != name] if party == "peers" else [party]
            for other in others:
                world.cut(name, member(world, 0) if other == "head" else other)

    return strike


def _store(**changes: Any) -> Callable[[DomainWorld], None]:
    def strike(world: DomainWorld) -> None:
        for name, value in changes.items():
            setattr(world.store, name, value)

    return strike


def _member_and_owner(world: DomainWorld) -> None:
    world.engines[member(world, 1)].alive = False
    world.kill_node(owner_name(world))


def _store_and_member(world: DomainWorld) -> None:
    world.store.down = True
    world.engines[member(world, 1)].alive = False


def _change_wishes(world: DomainWorld) -> None:
    world.wanted = wanted_groups("v3", 1)
    world.run(0.7)
    world.wanted = wanted_groups("v2", 2)


def _twice(world: DomainWorld) -> None:
    world.engines[member(world, 0)].alive = False
    world.run(2.0)
    world.reboot(member(world, 1))


FAULTS: dict[str, Callable[[DomainWorld], None]] = {
    "member dies": _engine(1, alive=False),
    "head dies": _engine(0, alive=False),
    "member reboots": _reboot(False),
    "member returns hollow": _reboot(True),
    "member pauses": _engine(1, paused=True),
    "two losses in one group": _twice,
    "domain dark": _dark,
    "domain dark and back empty": _dark_and_back,
    "host leaves by its word": lambda w: w.mark_leaving(member(w, 1)),
    "host leaves by the list": lambda w: w.list_leaving(member(w, 1)),
    "owner dies": lambda w: w.kill_node(owner_name(w)),
    "owner pauses and wakes": _pause_owner,
    "owner restarts": lambda w: w.start_node(owner_name(w)),
    "owner cut from peers": _cut_owner("peers"),
    "owner cut from store": _cut_owner("store"),
    "owner cut from peers and store": _cut_owner("peers", "store"),
    "owner cut from a head": _cut_owner("head"),
    "store down": _store(down=True),
    "store slow": _store(delay=1.5),
    "store loses answers": _store(lose="answer"),
    "store writes land late": _store(lose="late"),
    "member and owner die": _member_and_owner,
    "store down, member dies": _store_and_member,
    "operators change wishes": _change_wishes,
}


def domain_cell(step: Callable[[DomainWorld], None], fault: str) -> str:
    """Return what became of one cell."""
    for seed in SEEDS:
        for fencing in (True, False):
            world = DomainWorld(seed, fencing=fencing)
            try:
                step(world)
                FAULTS[fault](world)
                world.run(STRUCK_SECONDS)
                world.recover()
                world.until_all_serve(RECOVERY_LIMIT)
            except NotReachedError:
                return "uncovered: the step was not reached"
            except AssertionError as error:
                return f"violated: {error}"
    return "held"


def domain_cells() -> Cells:
    """Return all cells of a domain."""
    return {
        (step.__name__.replace("_", " "), fault): domain_cell(step, fault)
        for step in STEPS
        for fault in FAULTS
    }


# A request's life: steps and faults over the machine of the fuzzer


def _requests_at(step: str) -> RequestsMachine:
    world = RequestsMachine()
    world.begin()
    then = {"arrived": "wait", "claimed": "claim", "sent": "send"}.get(step, "run")
    world.caller_sends(0, 0, 1, then, None)
    if step == "recorded":
        world.attempt_ends(0, "finished")
        world.store_is_well_for_a_while()
    return world


def _first(world: RequestsMachine) -> Submission:
    return world.submissions[0]


REQUEST_STEPS = ("arrived", "claimed", "sent", "running", "recorded")
REQUEST_FAULTS: dict[str, Callable[[RequestsMachine], None]] = {
    "entry host restarts": lambda w: w.entry_restarts(0, 0),
    "connection lost": lambda w: w.attempt_ends(0, "lost"),
    "target refuses": lambda w: w.attempt_ends(0, "refused"),
    "deadline passes": lambda w: w.attempt_ends(0, "deadline"),
    "caller leaves": lambda w: w.attempt_ends(0, "gone"),
    "claim times out": lambda w: w.claim_times_out(0),
    "store fails": lambda w: w.store_call_fails(0, "lost"),
    "store loses the answer": lambda w: w.store_call_fails(0, "landed"),
    "write lands late": lambda w: (w.store_call_fails(0, "late"), w.late_write_lands(0))[0],
    "bytes are lost": lambda w: w.bytes_arrive(0, True),
    "bytes arrive after all": lambda w: w.bytes_arrive(0, False),
    "same key at another host": lambda w: w.caller_sends(0, 1, 1, "run", 2),
    "same key, other body": lambda w: w.caller_sends(0, 1, 0, "run", None),
}


def request_cell(step: str, fault: str) -> str:
    """Return what became of one cell."""
    world = _requests_at(step)
    try:
        REQUEST_FAULTS[fault](world)
        # The caller comes back with its key, through each entry host, before all is well again.
        for entry in range(3):
            world.caller_sends(0, entry, 1, "run", None)
            _check_requests(world)
        while world.deliveries:
            world.bytes_arrive(0, False)
        world.teardown()
        _check_requests(world)
    except AssertionError as error:
        return f"violated: {error}"
    return "held"


def _check_requests(world: RequestsMachine) -> None:
    world.key_runs_at_most_once()
    world.not_run_is_true()
    world.one_final_answer()


def request_cells() -> Cells:
    """Return all cells of a request's life."""
    return {
        (f"request {step}", fault): request_cell(step, fault)
        for step in REQUEST_STEPS
        for fault in REQUEST_FAULTS
    }


# Changing settings

SETTINGS_STEPS = ("asked", "read", "accepted", "relayed")
SETTINGS_FAULTS: dict[str, Callable[[SettingsMachine], None]] = {
    "store fails": lambda w: w.store_call_ends(0, "lost"),
    "store loses the answer": lambda w: w.store_call_ends(0, "landed"),
    "write lands late": lambda w: (w.store_call_ends(0, "late"), w.late_write_lands(0))[0],
    "another operator races": lambda w: _race(w),
    "operator gives up": lambda w: w.operator_waits_no_longer(0),
    "entry host restarts": lambda w: w.entry_restarts(1),
    "old news from a peer": lambda w: w.peers_talk(2, 0),
    "nonsense in the store": lambda w: w.somebody_writes_nonsense("yard"),
    "store set back": lambda w: w.store_is_set_back(None),
    "store set back and read": lambda w: w.store_is_set_back(2),
}


def _race(world: SettingsMachine) -> None:
    world.operator_writes("yard", 1, False)
    for pick in (1, 0, 1, 0):
        world.store_call_ends(pick, "done")


def _settings_at(step: str) -> SettingsMachine:
    world = SettingsMachine()
    world.begin(1)
    world.operator_writes("yard", 2, False)
    while world.writing:
        world.store_call_ends(0, "done")
    world.copy_of_the_store_is_kept()
    world.operator_writes("yard", 0, False)
    if step in ("read", "accepted", "relayed"):
        world.store_call_ends(0, "done")
    if step in ("accepted", "relayed"):
        world.store_call_ends(0, "done")
    if step == "relayed":
        world.peers_talk(0, 1)
    return world


def settings_cell(step: str, fault: str) -> str:
    """Return what became of one cell."""
    world = _settings_at(step)
    try:
        SETTINGS_FAULTS[fault](world)
        for node in range(3):
            world.entry_reads_the_store(node)
            _check_settings(world)
        world.operator_writes("yard", 1, True)
        world.teardown()
        _check_settings(world)
    except AssertionError as error:
        return f"violated: {error}"
    return "held"


def _check_settings(world: SettingsMachine) -> None:
    world.entry_hosts_never_go_back()
    world.revision_is_one_tree()
    world.refused_is_never_in_force()


def settings_cells() -> Cells:
    """Return all cells of a change of settings."""
    return {
        (f"settings {step}", fault): settings_cell(step, fault)
        for step in SETTINGS_STEPS
        for fault in SETTINGS_FAULTS
    }


UNCOVERED: Cells = {
    ("membership", "clock steps"): "uncovered: decisions use monotonic time; incarnations do not",
    ("streaming", "piece out of order"): "uncovered: TCP keeps the order within an attempt",
    ("once, home forwarding", "any"): "uncovered: the task is not in a machine, the journal is",
    ("limits", "partition heals"): "uncovered: only the partition itself has a test",
}


def table(cells: Cells) -> str:
    """Return the cells as text."""
    width = max(len(f) for _, f in cells)
    lines = []
    for (step, fault), state in cells.items():
        lines.append(f"{step:<24}{fault:<{width + 2}}{state}")
    return "\n".join(lines)


def main() -> None:
    """Fill the matrix."""
    cells = {**domain_cells(), **request_cells(), **settings_cells(), **UNCOVERED}
    print(table(cells))
    held = sum(1 for s in cells.values() if s == "held")
    violated = sum(1 for s in cells.values() if s.startswith("violated"))
    uncovered = len(cells) - held - violated
    print(f"matrix: cells={len(cells)} held={held} violated={violated} uncovered={uncovered}")
    sys.exit(1 if violated else 0)


if __name__ == "__main__":
    defopt.run(main)
