"""Which VM replaces a group's primary, when, and by which instance."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping

import xxhash

from chicoryusher import core

__all__ = [
    'SuccessorCandidates',
    'RecentMembers',
    'best_successor',
    'has_caught_up',
    'unreachable_for_majority',
    'failover_rank',
]

# Seconds after which an instance that is no longer registered is treated as
# gone.  Entries that expired in an outage of the store are back within 2 s.
GONE_AFTER_S = 2.5
# Seconds for which an instance that is no longer registered counts as one
# that may have been promoted: longer than a dark primary stays so.
RECENT_S = 60.0


def failover_rank(
    vm: core.VmName, live: Iterable[core.VmName], service: core.ServiceName
) -> int:
    """Return a VM's rank in the order in which VMs start a failover.

    The order is rendezvous hashing by the group, so that the groups'
    failovers are spread over the VMs.  Rank 0 acts first.
    """

    def digest(name: core.VmName) -> int:
        return xxhash.xxh64_intdigest(f'{service} {name}'.encode())

    order = sorted({*live, vm}, key=digest)
    return order.index(vm)


def unreachable_for_majority(
    reachable: Mapping[core.VmName, bool], voters: Iterable[core.VmName]
) -> bool:
    """Return whether over half of the voters cannot reach an instance.

    ``reachable`` has, for each VM that replied, whether it could reach
    the instance.
    """
    voters = set(voters)
    unreachable_count = sum(
        1 for vm, reached in reachable.items() if vm in voters and not reached
    )
    return 2 * unreachable_count > len(voters)


def best_successor(
    states: Mapping[core.InstanceName, core.InstanceState],
    leaving: frozenset[core.InstanceName],
) -> core.InstanceName | None:
    """Return the instance with the newest term and longest log, or None.

    A leaving instance is chosen only if no other has answered.
    """
    names = [name for name in states if name not in leaving] or list(states)
    return max(
        names,
        key=lambda name: (states[name].term, states[name].received, name),
        default=None,
    )


def has_caught_up(
    states: Mapping[core.InstanceName, core.InstanceState],
    old: core.InstanceName,
    successor: core.InstanceName | None,
) -> bool:
    """Return whether the successor has the old primary's whole log."""
    if successor is None or old not in states:
        return False
    return states[successor].received >= states[old].received


class RecentMembers:
    """The instances that a VM has lately seen registered, by group."""

    def __init__(self) -> None:
        self._listed: dict[core.InstanceName, core.ServiceName] = {}
        self._unlisted: dict[
            core.InstanceName, tuple[core.ServiceName, float]
        ] = {}

    def update(
        self, entries: Iterable[core.InstanceEntry], now: float
    ) -> None:
        """Adopt the instances that are registered now."""
        before = self._listed
        self._listed = {entry.name: entry.service for entry in entries}
        self._drop_old(now)
        for name, service in before.items():
            if self._listed.get(name) != service:
                self._unlisted[name] = (service, now)

    def of(
        self, service: core.ServiceName, now: float
    ) -> frozenset[core.InstanceName]:
        """Return a group's instances, and those that it had lately."""
        self._drop_old(now)
        groups = [(name, of) for name, (of, _) in self._unlisted.items()]
        groups += self._listed.items()
        return frozenset(name for name, of in groups if of == service)

    def _drop_old(self, now: float) -> None:
        self._unlisted = {
            name: (service, at)
            for name, (service, at) in self._unlisted.items()
            if now - at <= RECENT_S
        }


class SuccessorCandidates:
    """The instances of a group that may follow its old primary.

    They are asked for their state in rounds.  Once all have answered,
    ``successor`` is the one to promote, None if there is none.

    With ``sync_replicas`` above 0 an acknowledged commit is in the logs of
    that many replicas, and the successor must have it.
    """

    def __init__(
        self,
        entries: Iterable[core.InstanceEntry],
        old: core.InstanceName,
        sync_replicas: int = 0,
    ) -> None:
        self._sync_replicas = sync_replicas
        self._gone_at: dict[core.InstanceName, float] = {}
        self.entries = {entry.name: entry for entry in entries}
        self.old_primary = old
        self.successor: core.InstanceName | None = None
        self._states: dict[core.InstanceName, core.InstanceState] = {}
        self._excluded: set[core.InstanceName] = set()
        self._unanswered: set[core.InstanceName] = set()
        self._avoided: frozenset[core.InstanceName] = frozenset()

    def update_entries(
        self, entries: Iterable[core.InstanceEntry], now: float
    ) -> None:
        """Adopt the instances that are registered now.

        One that is no longer registered may be back ``GONE_AFTER_S`` later.
        """
        registered = {entry.name: entry for entry in entries}
        for name in tuple(self.entries):
            if name in registered:
                self._gone_at.pop(name, None)
            elif now - self._gone_at.setdefault(name, now) >= GONE_AFTER_S:
                del self.entries[name]
        self.entries.update(registered)

    def missing_evidence(self) -> tuple[core.InstanceName, ...]:
        """Return the instances whose logs are needed, and not known.

        An acknowledged commit may be in the logs of those only that have not
        answered, if they are as many as the synchronous replicas.  The log of
        the old primary has every commit, so a successor that has that log is
        sufficient.
        """
        if not self._sync_replicas or self.successor is None:
            return ()
        unknown = [
            name
            for name in self.entries
            if name != self.old_primary and name not in self._states
        ]
        if len(unknown) < self._sync_replicas or self.successor_caught_up():
            return ()
        return tuple(unknown)

    def start_round(
        self, avoided: frozenset[core.InstanceName] = frozenset()
    ) -> tuple[core.InstanceEntry, ...]:
        """Start a new round: drop all answers, return whom to ask.

        An instance in ``avoided`` is chosen, like a leaving one, only if no
        other has answered.
        """
        self._avoided = avoided
        self._states = {}
        self._unanswered = set(self.entries)
        return tuple(self.entries.values())

    def record_status(self, status: core.InstanceProbeResult) -> bool:
        """Record an instance's answer; choose a successor after the last.

        Return whether this was the last answer of the round.
        """
        if status.instance not in self._unanswered:
            return False
        self._unanswered.discard(status.instance)
        if status.state is not None:
            self._states[status.instance] = status.state
        if self._unanswered:
            return False
        self.successor = self._choose_successor()
        return True

    def _choose_successor(self) -> core.InstanceName | None:
        """Return the instance to promote, None if there is none.

        One that answers as the primary of the newest term goes first: it
        leads already, or the instance that replaced it does not respond.
        """
        states = self._eligible_states()
        newest = self.newest_term()
        for name, state in states.items():
            if state.role is core.Role.PRIMARY and state.term == newest:
                return name
        # A leaving instance may have a commit that the others lack.
        leaving = frozenset() if self._sync_replicas else self._leaving_names()
        return best_successor(states, leaving)

    def exclude_successor(self) -> None:
        """Exclude the successor, whose promotion the platform refused.

        With synchronous replicas it is kept: the others may lack commits.
        """
        if self.successor is not None and not self._sync_replicas:
            self._excluded.add(self.successor)

    def reset_if_none_left(self) -> bool:
        """Return whether there is no successor.

        If so, readmit the excluded instances for the next round.
        """
        if self.successor is None:
            self._excluded.clear()
        return self.successor is None

    def _eligible_states(
        self,
    ) -> dict[core.InstanceName, core.InstanceState]:
        return {
            name: state
            for name, state in self._states.items()
            if name != self.old_primary and name not in self._excluded
        }

    def _leaving_names(self) -> frozenset[core.InstanceName]:
        leaving = (
            entry.name for entry in self.entries.values() if entry.leaving
        )
        return self._avoided.union(leaving)

    def newest_term(self) -> int:
        """Return the newest term that an instance has answered with."""
        return max((state.term for state in self._states.values()), default=0)

    def successor_leads(
        self, members: frozenset[core.InstanceName] | None
    ) -> bool:
        """Return whether the successor is certainly the present primary.

        That is so if it answers as the primary of the newest term, and all
        instances that may have been promoted have answered: the ``members``,
        None if they are not known.  It holds only when no promotion can be
        under way.
        """
        if members is None or self.successor is None:
            return False
        if not members | set(self.entries) <= set(self._states):
            return False
        state = self._states[self.successor]
        if state.role is not core.Role.PRIMARY:
            return False
        return state.term == self.newest_term()

    def old_primary_leads(self) -> bool:
        """Return whether the old primary has answered as a primary."""
        state = self._states.get(self.old_primary)
        return state is not None and state.role is core.Role.PRIMARY

    def term_to_demote_in(self) -> core.Term:
        """Return a term above that of an old primary that still answers.

        It is not above that of an instance that leads already.
        """
        own_term = self._states[self.old_primary].term
        return core.Term(max(self.newest_term(), own_term + 1))

    def successor_caught_up(self) -> bool:
        """Return whether the successor has the old primary's whole log."""
        return has_caught_up(self._states, self.old_primary, self.successor)
