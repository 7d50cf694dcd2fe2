"""Expected timing of a model's groups, as the configuration of a deployment would give it."""

from __future__ import annotations

from oleanderhill.serving.prediction import Prediction, predict
from oleanderhill.settings import catalog

from .scenario import Model, Scenario


def expected_timing(scenario: Scenario, model: Model) -> Prediction | None:
    """Return the timing that follows from the mean requests of a model."""
    kinds = [k for k in scenario.kinds if k.model == model.name]
    rate = sum(k.per_second for k in kinds)
    if not rate:
        return None
    t = scenario.engine
    timing = catalog.EngineTiming(
        t.step / 1000,
        t.per_writer / 1000,
        t.per_context / 1e6,
        t.stride,
        1 / t.read_per_ms / 1000,
        sum(k.prompt * k.per_second for k in kinds) / rate,
        sum(k.events * k.per_second for k in kinds) / rate * t.stride,
    )
    profile = catalog.ModelProfile(model.name, 1, 1.0, model.pace, 0.0, 0.0)
    return predict(catalog.EngineProfile(model.slots, 0.0, 1, {}, timing), profile)
