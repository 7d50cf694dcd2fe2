"""What is played: engines, load and losses, read from a checked JSON file."""

from __future__ import annotations

from pathlib import Path

import msgspec


class ScenarioError(Exception):
    """A scenario file is missing, malformed or makes no sense; the text says where."""


class EngineTimes(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How long an engine takes, in milliseconds, before its model's pace.

    :param step: of a step of all writers, ``per_writer`` more for each of them
    :param per_context: for each 1,000 tokens of context of a writer
    :param read_per_ms: prompt tokens that are read in a millisecond
    :param stride: steps of a pass; each writer shows one event a pass
    """

    step: float = 5.95
    per_writer: float = 0.089
    per_context: float = 0.016
    read_per_ms: float = 50.7
    stride: int = 7


class Model(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A model and its groups.

    :param groups: that serve at the beginning
    :param pace: factor on all times
    """

    name: str
    groups: int
    pace: float = 1.0
    slots: int = 13


class Kind(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A kind of request.

    :param per_second: callers of it, over all entry hosts
    :param prompt: tokens in the mean, log-normal with ``spread``; ``events`` alike
    :param goal: seconds to the first event; ``pause`` between two, for an answer on time
    :param patience: seconds that a caller waits in all
    :param worth: of an answer on time; ``late_worth`` of a later one
    """

    name: str
    model: str
    per_second: float
    prompt: float
    events: float
    goal: float
    pause: float
    patience: float
    worth: float
    late_worth: float
    spread: float = 0.8


class Burst(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A time of more load: ``factor`` times the callers from ``at`` for ``seconds``."""

    at: float
    seconds: float
    factor: float


class Loss(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A group stalls at a time, is known to after ``seen`` seconds and back after ``seconds``."""

    at: float
    model: str
    seconds: float
    seen: float = 1.5


class Need(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Some groups of a model name a limit, in requests a second from all entry hosts together."""

    at: float
    model: str
    groups: int
    rate: float
    seconds: float


class Shed(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Some groups of a model turn all requests away, and ask each entry host to back off."""

    at: float
    model: str
    groups: int
    backoff: float
    seconds: float


class Scenario(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A deployment with its load and faults.

    :param report_loss: part of the reports among entry hosts that are lost on the way
    """

    name: str
    models: list[Model]
    kinds: list[Kind]
    entry_hosts: int = 8
    seconds: float = 46.0
    engine: EngineTimes = EngineTimes()
    bursts: list[Burst] = []
    losses: list[Loss] = []
    needs: list[Need] = []
    sheds: list[Shed] = []
    retry_ratio: float = 0.2
    retry_slack: float = 134.0
    report_loss: float = 0.01


def read_scenario(path: Path) -> Scenario:
    """Return a scenario from a file.

    :raises ScenarioError: if it can't be read, or makes no sense
    """
    try:
        scenario = msgspec.json.decode(path.read_bytes(), type=Scenario)
    except (OSError, msgspec.DecodeError) as error:
        raise ScenarioError(f"{path}: {error}") from error
    check(scenario)
    return scenario


def check(scenario: Scenario) -> None:
    """Raise :class:`ScenarioError` for a scenario that makes no sense."""
    names = {m.name for m in scenario.models}
    for kind in scenario.kinds:
        if kind.model not in names:
            raise ScenarioError(f"kind {kind.name}: no model is named {kind.model}")
        if min(kind.per_second, kind.prompt, kind.events, kind.goal, kind.patience) <= 0:
            raise ScenarioError(f"kind {kind.name}: rates, sizes and times must be above 0")
    for loss in scenario.losses:
        if loss.model not in names:
            raise ScenarioError(f"loss at {loss.at}: no model is named {loss.model}")
    for need in scenario.needs:
        if need.model not in names:
            raise ScenarioError(f"need at {need.at}: no model is named {need.model}")
        if need.rate < 0 or need.groups < 1:
            raise ScenarioError(f"need at {need.at}: a rate of 0 and a group at least")
    for shed in scenario.sheds:
        if shed.model not in names:
            raise ScenarioError(f"shed at {shed.at}: no model is named {shed.model}")
        if shed.backoff < 0 or shed.groups < 1:
            raise ScenarioError(f"shed at {shed.at}: a back-off of 0 and a group at least")
    if scenario.entry_hosts < 1 or scenario.seconds <= 0:
        raise ScenarioError("a scenario needs an entry host and some seconds")
