"""Scenarios: engines, load and faults of a simulation, read from JSON files and validated."""

from __future__ import annotations

from pathlib import Path

import msgspec


class ScenarioError(Exception):
    """A scenario file is missing, malformed or invalid; the message names the place."""


class EngineTiming(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Durations of an engine in milliseconds, before the pace of the model is applied.

    :param step: time of a decoding step of the batch
    :param per_writer: time added to a step for each request of the batch
    :param per_context: time added to a step for each 1,000 tokens of context in the batch
    :param read_per_ms: prompt tokens that are prefilled in a millisecond
    :param stride: decoding steps of a pass; each request sends one event a pass
    """

    step: float = 5.95
    per_writer: float = 0.089
    per_context: float = 0.016
    read_per_ms: float = 50.7
    stride: int = 7


class Model(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A model and its groups.

    :param groups: number of groups that serve at the start
    :param pace: factor on all durations of the engine
    :param slots: requests that a group runs concurrently
    """

    name: str
    groups: int
    pace: float = 1.0
    slots: int = 13


class RequestKind(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A kind of request.

    :param per_second: callers per second, over all entry hosts
    :param prompt: mean number of prompt tokens, which are log-normally distributed
    :param events: mean number of events of an answer, which are log-normally distributed
    :param goal: seconds to the first event within which an answer is on time
    :param pause: longest gap between two events, in seconds, of an answer on time
    :param patience: timeout of a caller in seconds, over all attempts
    :param worth: value of an answer on time
    :param late_worth: value of a late answer
    :param spread: coefficient of variation of ``prompt`` and ``events``
    :param priority: 0 is the most urgent
    :param account: client account of the callers, empty for none
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
    priority: int = 0
    account: str = ""


class Burst(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A load peak: ``factor`` times as many callers from ``at`` for ``seconds``.

    :param kind: kind of request, empty for all
    """

    at: float
    seconds: float
    factor: float
    kind: str = ""


class GroupLoss(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A random group stalls at a time.

    :param seconds: time after which the group serves again
    :param seen: time after which entry hosts detect the stall and drop the group
    """

    at: float
    model: str
    seconds: float
    seen: float = 1.5


class LimitPeriod(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A period in which the first groups of a model state a rate limit.

    :param rate: requests per second, from all entry hosts together
    """

    at: float
    model: str
    groups: int
    rate: float
    seconds: float


class BackoffPeriod(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A period in which the first groups of a model reject all requests and ask for back-off.

    :param backoff: seconds that each entry host is asked to back off
    """

    at: float
    model: str
    groups: int
    backoff: float
    seconds: float


class Scenario(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A deployment with its load and faults.

    :param needs: rate limits that groups state
    :param sheds: periods in which groups ask for back-off
    :param retry_ratio: retries allowed for each request, as a fraction
    :param retry_slack: retries allowed in addition, over all entry hosts
    :param report_loss: fraction of the reports among entry hosts that are lost
    """

    name: str
    models: list[Model]
    kinds: list[RequestKind]
    entry_hosts: int = 8
    seconds: float = 46.0
    engine: EngineTiming = EngineTiming()
    bursts: list[Burst] = []
    losses: list[GroupLoss] = []
    needs: list[LimitPeriod] = []
    sheds: list[BackoffPeriod] = []
    retry_ratio: float = 0.2
    retry_slack: float = 134.0
    report_loss: float = 0.01


def read_scenario(path: Path) -> Scenario:
    """Read and validate a scenario file.

    :raises ScenarioError: if the file cannot be read or the scenario is invalid
    """
    try:
        scenario = msgspec.json.decode(path.read_bytes(), type=Scenario)
    except (OSError, msgspec.DecodeError) as error:
        raise ScenarioError(f"{path}: {error}") from error
    validate(scenario)
    return scenario


def validate(scenario: Scenario) -> None:
    """Raise :class:`ScenarioError` if a scenario is invalid."""
    model_names = {m.name for m in scenario.models}
    for kind in scenario.kinds:
        if kind.model not in model_names:
            raise ScenarioError(f"kind {kind.name}: no model is named {kind.model}")
        if min(kind.per_second, kind.prompt, kind.events, kind.goal, kind.patience) <= 0:
            raise ScenarioError(f"kind {kind.name}: rates, sizes and durations must be above 0")
    for loss in scenario.losses:
        if loss.model not in model_names:
            raise ScenarioError(f"loss at {loss.at}: no model is named {loss.model}")
    for limit_period in scenario.needs:
        if limit_period.model not in model_names:
            raise ScenarioError(
                f"need at {limit_period.at}: no model is named {limit_period.model}"
            )
        if limit_period.rate < 0 or limit_period.groups < 1:
            raise ScenarioError(
                f"need at {limit_period.at}: rate must be at least 0 and groups at least 1"
            )
    for backoff_period in scenario.sheds:
        if backoff_period.model not in model_names:
            raise ScenarioError(
                f"shed at {backoff_period.at}: no model is named {backoff_period.model}"
            )
        if backoff_period.backoff < 0 or backoff_period.groups < 1:
            raise ScenarioError(
                f"shed at {backoff_period.at}: backoff must be at least 0 and groups at least 1"
            )
    if scenario.entry_hosts < 1 or scenario.seconds <= 0:
        raise ScenarioError("a scenario needs at least one entry host and a duration above 0")
