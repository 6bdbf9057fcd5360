"""Rules of the specification ``restored``, and mutants that drop one."""

from __future__ import annotations

import dataclasses

__all__ = ['Bounds', 'GRANT_MUTANTS', 'LATE_MUTANTS', 'MUTANTS', 'Rules']


@dataclasses.dataclass(frozen=True, slots=True)
class Rules:
    """The rules of the protocol; each mutant drops one of them.

    Rows and tokens are ordered by the era first, and within an era rows by
    the version that their write was conditional on: a VM that does not know
    of a restore writes rows with versions above those that the copy lacks.
    An older row replaces nothing.

    A view with an unconfirmed row extends no lease.  Neither views nor grants
    extend the lease of a VM that has not seen its own row in the newest era.
    A write that is answered in another era than its VM believes, and a list
    of VMs read in another era than the claim's, count for nothing.

    A confirmation needs the grant of every other VM in the lists, each of
    which has polled the store in the era of the row, and knows the same row
    or an older one; two rows can have the same revision.  A VM whose list of
    the era before is older than a lease confirms nothing without such a
    grant, and a change does not end its wait early while the era is younger
    than a lease: a registration may be lost.  A VM that has not seen an
    earlier era begins no change of an unconfirmed row, and a VM that started
    confirms no fence of a later era, before the time of a lease has passed.
    A fence is confirmed once the VM's own promotion has been answered, and is
    in effect.  An instance is adopted only if all have answered.
    """

    revision_has_era: bool = True
    rows_are_ordered_by_condition: bool = True
    token_has_era: bool = True
    older_row_is_ignored: bool = True
    lease_needs_confirmed_row: bool = True
    lease_needs_registration: bool = True
    grant_needs_registration: bool = True
    write_needs_current_era: bool = True
    confirmation_needs_grants: bool = True
    confirmation_needs_recent_list: bool = True
    grant_needs_memory: bool = True
    grant_of_equal_revision_needs_same_row: bool = True
    fresh_vm_waits: bool = True
    fresh_vm_confirms_late: bool = True
    new_era_waits_for_leases: bool = True
    list_is_of_era: bool = True
    fence_waits_for_answer: bool = True
    fence_waits_for_effect: bool = True
    adoption_needs_all_answers: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Bounds that keep the state space finite.

    Promotions are ordered in terms below ``max_term``.  ``other_writes`` is
    whether writes of other rows raise the store's versions in a new era.
    """

    max_version: int = 2
    max_era: int = 1
    max_term: int = 2
    lease_ticks: int = 1
    other_writes: bool = False


MUTANTS = {
    'any_row_of_a_new_era_is_news': Rules(older_row_is_ignored=False),
    'unconfirmed_rows_extend_leases': Rules(lease_needs_confirmed_row=False),
    'claim_of_an_earlier_era_counts': Rules(write_needs_current_era=False),
    'fresh_vm_confirms_a_fence_at_once': Rules(fresh_vm_confirms_late=False),
    'fence_confirmed_while_an_order_is_in_flight': Rules(
        fence_waits_for_answer=False
    ),
    'fence_confirmed_before_the_effect': Rules(fence_waits_for_effect=False),
}
LOST_CHANGE_MUTANTS = {
    'versions_alone_order_rows': Rules(revision_has_era=False),
    'confirmation_without_grants': Rules(confirmation_needs_grants=False),
    'grant_without_memory': Rules(grant_needs_memory=False),
    'versions_alone_as_tokens': Rules(token_has_era=False),
    'adoption_on_incomplete_answers': Rules(adoption_needs_all_answers=False),
}
PAUSED_MUTANTS = {
    'rows_ordered_by_the_version_given': Rules(
        rows_are_ordered_by_condition=False
    ),
}
LATE_MUTANTS = {
    'lost_registration_extends_leases': Rules(lease_needs_registration=False),
    'confirmation_by_an_old_list': Rules(confirmation_needs_recent_list=False),
    'fences_by_an_old_list': Rules(new_era_waits_for_leases=False),
    'list_of_another_era_than_the_claim': Rules(list_is_of_era=False),
}
START_MUTANTS = {'fresh_vm_begins_at_once': Rules(fresh_vm_waits=False)}
GRANT_MUTANTS = {
    'lost_registration_uses_grants': Rules(grant_needs_registration=False),
}
