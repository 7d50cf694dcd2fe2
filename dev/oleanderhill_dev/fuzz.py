"""``make fuzz``: runs the state machines for a time, from one seed; a failing seed replays."""

from __future__ import annotations

import sys
import time
import traceback

import defopt
from hypothesis import HealthCheck, Phase, seed, settings
from hypothesis.stateful import RuleBasedStateMachine, run_state_machine_as_test

from .fuzz_domain import DomainMachine
from .fuzz_requests import RequestsMachine
from .fuzz_settings import SettingsMachine

MACHINES: tuple[type[RuleBasedStateMachine], ...] = (
    DomainMachine,
    RequestsMachine,
    SettingsMachine,
)
EXAMPLES = 40
STEPS = 30


def run_once(
    machine: type[RuleBasedStateMachine], number: int, examples: int = EXAMPLES, steps: int = STEPS
) -> None:
    """Run a machine from one seed, the same way each time.

    :raises AssertionError: if a promise is broken; the shrunk steps are printed
    """
    run_state_machine_as_test(
        seed(number)(machine),
        settings=settings(
            max_examples=examples,
            stateful_step_count=steps,
            deadline=None,
            database=None,
            derandomize=False,
            print_blob=False,
            phases=(Phase.generate,),
            suppress_health_check=list(HealthCheck),
        ),
    )


def main(
    *, seed_number: int = 1, duration: float = 30.0, rounds: int = 0, machine: str = ""
) -> None:
    """Fuzz the decision code.

    :param seed_number: the first seed; each round takes the next
    :param duration: seconds
    :param machine: only machines whose name holds this
    :param rounds: stop after so many rounds, whatever the time (0: by time alone)
    """
    ends = time.monotonic() + duration
    chosen = [m for m in MACHINES if machine in m.__name__]
    violations, done = 0, 0
    while time.monotonic() < ends and (not rounds or done < rounds):
        for kind in chosen:
            number = seed_number * 10_000 + done
            try:
                run_once(kind, number)
            except Exception:
                violations += 1
                traceback.print_exc()
                print(f"fuzz: {kind.__name__} fails with round {done} of seed {seed_number}")
        done += 1
    steps = sum(getattr(m, "steps_run", 0) for m in chosen)
    print(f"fuzz: seed={seed_number} steps={steps} violations={violations}")
    sys.exit(1 if violations else 0)


if __name__ == "__main__":
    defopt.run(main)
