"""Safeguards taken out, and the proofs that must then fail."""

from __future__ import annotations

import unittest
from collections.abc import Callable
from typing import Any, NamedTuple

Patch = tuple[Any, str, Any]


class Proof(NamedTuple):
    """A proof by name, and how to run it; it fails by raising."""

    name: str
    run: Callable[[], None]


class Mutant(NamedTuple):
    """A safeguard and how to take it out."""

    safeguard: str
    patches: list[Patch]
    proof: Proof


def testing(name: str) -> Proof:
    """Return the proof by one unit test."""

    def run() -> None:
        result = unittest.TestResult()
        unittest.defaultTestLoader.loadTestsFromName(f"tests.{name}").run(result)
        if not result.testsRun:
            raise LookupError(f"no test {name}")
        for _, text in result.errors:
            raise RuntimeError(text)
        for _, text in result.failures:
            raise AssertionError(text)

    return Proof(f"test:{name}", run)
