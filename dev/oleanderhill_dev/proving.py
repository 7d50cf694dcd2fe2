"""Mutation testing: mutants that disable a safeguard, and the checks that must then fail."""

from __future__ import annotations

import unittest
from collections.abc import Callable
from typing import Any, NamedTuple

Patch = tuple[Any, str, Any]


class Proof(NamedTuple):
    """A named check; ``run`` raises if it fails."""

    name: str
    run: Callable[[], None]


class Mutant(NamedTuple):
    """A safeguard, the patches that disable it and the check that detects its absence.

    :param patches: objects, the names of their attributes and the values to set
    """

    safeguard: str
    patches: list[Patch]
    proof: Proof


def testing(name: str) -> Proof:
    """Return a check that runs one unit test.

    It raises ``AssertionError`` only if the test fails; any other error is no detection.
    """

    def run() -> None:
        result = unittest.TestResult()
        unittest.defaultTestLoader.loadTestsFromName(f"tests.{name}").run(result)
        if not result.testsRun:
            raise LookupError(f"unit test not found: {name}")
        for _, text in result.errors:
            raise RuntimeError(text)
        for _, text in result.failures:
            raise AssertionError(text)

    return Proof(f"test:{name}", run)
