"""The safeguards around a store that is restored from a backup, each with its proof."""

from __future__ import annotations

from oleanderhill.clients import freshness, keyed, storage
from oleanderhill.groups import inventory, plans
from oleanderhill.platform import configuration, host_list, store
from oleanderhill.serving import quarantine

from ..proving import Mutant, testing


def mutants() -> list[Mutant]:
    """Return the mutants."""
    site = "test_store_restored.RestoredTest"
    settings, copies, hosts, calls = (
        f"test_generations.{c}"
        for c in ("ConfigurationTest", "KeyedCopyTest", "HostListTest", "StoreTest")
    )
    return [
        Mutant(
            "a revision counts within its generation",
            [(store, "_generation", lambda reply: 0)],
            testing(f"{calls}.test_generation_rises_by_any_answer_and_never_falls"),
        ),
        Mutant(
            "leases of an ended generation are not renewed",
            [(storage.Lease, "generation", 9)],
            testing(
                f"{calls}.test_nothing_is_written_by_a_revision_or_lease_of_an_ended_generation"
            ),
        ),
        Mutant(
            "an older configuration suspends the proofs",
            [
                (
                    configuration.ConfigurationCopy,
                    "_record_older",
                    lambda self, catalog, revision: None,
                )
            ],
            testing(
                f"{settings}.test_older_one_of_a_backup_proves_nothing_until_it_is_written_again"
            ),
        ),
        Mutant(
            "a restored store proves nothing at once",
            [(freshness.Freshness, "ignore_checks_before", lambda self, until: None)],
            testing(f"{settings}.test_proof_of_before_the_store_settled_is_not_taken"),
        ),
        Mutant(
            "plans outlast a backup",
            [(keyed.KeyedCopy, "restored", lambda self, now: None)],
            testing(f"{copies}.test_plan_that_the_backup_lacks_is_kept_until_its_time_is_over"),
        ),
        Mutant(
            "terms and epochs are left out",
            [(plans, "SKIPPED_TERMS", 0), (plans, "SKIPPED_EPOCHS", 0)],
            testing(f"{copies}.test_renewed_plan_repeats_neither_terms_nor_epochs"),
        ),
        Mutant(
            "hosts are known better than by a backup",
            [(host_list.HostList, "restored", lambda self, now: None)],
            testing(
                f"{hosts}.test_group_that_the_backup_does_not_know_stands_until_its_host_writes_again"
            ),
        ),
        Mutant(
            "hosts that are gone stay gone",
            [(host_list.HostList, "_has_ended", lambda self, host, now: False)],
            testing(f"{hosts}.test_host_that_was_gone_does_not_come_back_by_the_backup"),
        ),
        Mutant(
            "who leaves by its entry leaves until its life ends",
            [(inventory.Inventory, "_record_leaving", lambda self, instance: None)],
            testing(f"{hosts}.test_host_that_leaves_still_leaves_whatever_the_backup_says"),
        ),
        Mutant(
            "a lost quarantine is no release",
            [(quarantine.QuarantineTask, "restored", lambda self, now: None)],
            testing(f"{site}.test_quarantine_that_the_backup_lacks_holds_and_is_written_again"),
        ),
    ]
