"""Answers of primaries that are held until instances give evidence.

This is so while the primary lease has ended, if the settings ask for it.
"""

from __future__ import annotations

import itertools

from chicoryusher import core
from chicoryusher import decisions
from chicoryusher import runtime
from chicoryusher.tasks import names
from chicoryusher.tasks.pool.groups import group_state as group_state_module
from chicoryusher.tasks.pool.groups import group_table as group_table_module
from chicoryusher.tasks.pool.statements import sessions

__all__ = ['HeldAnswers']

# Seconds after the last evidence for which statements are sent to a primary
# without a lease.
EVIDENCE_HINT_S = 1.0
# Seconds between two requests whether a group's instances give evidence at
# all, after one that had none.
TRIAL_PAUSE_S = 0.1


class HeldAnswers:
    """The held answers of one dispatcher, and where evidence is likely."""

    def __init__(
        self,
        dispatcher: runtime.Task,
        group_table: group_table_module.GroupTable,
        clock: core.Clock,
        mode: core.EvidenceMode,
    ) -> None:
        self._dispatcher = dispatcher
        self._group_table = group_table
        self._clock = clock
        self._in_use = mode is core.EvidenceMode.USE
        self._numbers = itertools.count(1)
        self._held: dict[int, tuple[sessions.Attempt, core.WorkEnded]] = {}
        self._trials: dict[core.ServiceName, int] = {}
        self._proved_at: dict[core.ServiceName, float] = {}
        self._no_trial_until: dict[core.ServiceName, float] = {}

    def may_use_primary(
        self, group: group_state_module.PoolGroup, lease_expires_at: float
    ) -> bool:
        """Return whether to send a statement to a primary without a lease.

        If it is not known whether the instances give evidence, ask them.
        """
        boot_now = self._clock.boottime()
        ended = boot_now > lease_expires_at + decisions.EVIDENCE_S
        if not self._in_use or group.primary is None or ended:
            return False
        now = self._dispatcher.now()
        proved_at = self._proved_at.get(group.service, float('-inf'))
        if now - proved_at < EVIDENCE_HINT_S:
            return True
        newest = group.observations.newest
        pause_ends_at = self._no_trial_until.get(group.service, now)
        is_running = group.service in self._trials
        if newest is not None and not is_running and now >= pause_ends_at:
            self._trials[group.service] = self._ask(
                group, newest.position.term, None
            )
        return False

    def is_asking(self, service: core.ServiceName) -> bool:
        """Return whether it is being asked if instances give evidence."""
        return service in self._trials

    def needs_evidence(
        self,
        attempt: sessions.Attempt,
        ended: core.WorkEnded,
        has_lease: bool,
    ) -> bool:
        """Return whether an answer must be held.

        So must all answers of a statement that was sent without a lease,
        also if there is a lease again: the primary may have been replaced in
        between.  Further statements of a transaction need none, since its
        first one was at the newest primary, but its commit does.
        """
        if not self._in_use or attempt.result_untrusted:
            return False
        if ended.completion is not core.Completion.ANSWERED:
            return False
        if ended.refusal is not None:
            return False
        return attempt.sent_without_lease or (
            attempt.commits_change and not has_lease
        )

    def hold(self, attempt: sessions.Attempt, ended: core.WorkEnded) -> bool:
        """Hold an answer and ask for evidence; return False if it can't."""
        group = self._group_table.groups.get(attempt.route.service)
        if group is None or group.primary != ended.instance:
            return False
        if ended.position is None:
            return False
        position = ended.position if attempt.commits_change else None
        number = self._ask(group, ended.position.term, position)
        self._held[number] = (attempt, ended)
        return True

    def _ask(
        self,
        group: group_state_module.PoolGroup,
        term: core.Term,
        position: core.Position | None,
    ) -> int:
        number = next(self._numbers)
        assert group.primary is not None
        self._dispatcher.send(
            names.evidence_collector(self._dispatcher.vm),
            core.EvidenceWanted(
                number,
                group.service,
                group.primary,
                term,
                position,
                tuple(
                    (name, self._group_table.other_owners(name))
                    for name in group.instances
                ),
            ),
        )
        return number

    def release(
        self, message: core.EvidenceGiven
    ) -> tuple[sessions.Attempt, core.WorkEnded] | None:
        """Return the answer that the evidence is about, None if of none."""
        now = self._dispatcher.now()
        if self._trials.get(message.service) == message.number:
            del self._trials[message.service]
        if message.proved:
            self._proved_at[message.service] = now
        else:
            self._proved_at.pop(message.service, None)
            self._no_trial_until[message.service] = now + TRIAL_PAUSE_S
        return self._held.pop(message.number, None)

    def release_all(
        self, name: core.InstanceName
    ) -> list[tuple[sessions.Attempt, core.WorkEnded]]:
        """Return the held answers of an instance, which get no evidence."""
        numbers = [
            number
            for number, (_, ended) in self._held.items()
            if ended.instance == name
        ]
        return [self._held.pop(number) for number in numbers]
