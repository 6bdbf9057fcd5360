"""Who changes a group's primary, when, and which instance follows."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping

import xxhash

from chicoryusher import core

__all__ = [
    'Candidates',
    'best_successor',
    'caught_up',
    'missed_by_most',
    'rank_of',
]


def rank_of(
    vm: core.VmName, live: Iterable[core.VmName], service: core.ServiceName
) -> int:
    """Return the place of a VM in the order of who acts first."""

    def digest(one: core.VmName) -> int:
        return xxhash.xxh64_intdigest(f'{service} {one}'.encode())

    order = sorted({*live, vm}, key=digest)
    return order.index(vm)


def missed_by_most(
    opinions: Mapping[core.VmName, bool], voters: Iterable[core.VmName]
) -> bool:
    """Tell whether over half of the voters miss an instance.

    ``opinions`` has True for a VM that reached it.
    """
    voters = set(voters)
    missed = sum(
        1 for vm, reached in opinions.items() if vm in voters and not reached
    )
    return 2 * missed > len(voters)


def best_successor(
    states: Mapping[core.InstanceName, core.InstanceState],
    leaving: frozenset[core.InstanceName],
) -> core.InstanceName | None:
    """Return the instance that has received most, None without any.

    One that is leaving is taken only if no other answers.
    """
    names = [one for one in states if one not in leaving] or list(states)
    return max(
        names,
        key=lambda one: (states[one].term, states[one].received, one),
        default=None,
    )


def caught_up(
    states: Mapping[core.InstanceName, core.InstanceState],
    old: core.InstanceName,
    successor: core.InstanceName | None,
) -> bool:
    """Tell whether the successor has all that the old primary has."""
    if successor is None or old not in states:
        return False
    return states[successor].received >= states[old].received


class Candidates:
    """The instances of a group while its primary is replaced."""

    def __init__(
        self,
        entries: Iterable[core.InstanceEntry],
        old: core.InstanceName,
    ) -> None:
        self.entries = {one.name: one for one in entries}
        self.old = old
        self.successor: core.InstanceName | None = None
        self._states: dict[core.InstanceName, core.InstanceState] = {}
        self._refused: set[core.InstanceName] = set()
        self._asked: set[core.InstanceName] = set()

    def ask(self) -> tuple[core.InstanceEntry, ...]:
        """Forget what was answered; return the instances to ask."""
        self._states = {}
        self._asked = set(self.entries)
        return tuple(self.entries.values())

    def answered(self, status: core.InstanceStatus) -> bool:
        """Take an answer; tell whether it was the last, and choose."""
        if status.instance not in self._asked:
            return False
        self._asked.discard(status.instance)
        if status.state is not None:
            self._states[status.instance] = status.state
        if self._asked:
            return False
        self.successor = best_successor(self._others(), self._leaving())
        return True

    def refuse(self) -> None:
        """Pass the successor over: the platform refused it."""
        if self.successor is not None:
            self._refused.add(self.successor)

    def nobody_left(self) -> bool:
        """Tell whether none can follow; none is passed over then."""
        if self.successor is None:
            self._refused.clear()
        return self.successor is None

    def _others(self) -> dict[core.InstanceName, core.InstanceState]:
        return {
            name: state
            for name, state in self._states.items()
            if name != self.old and name not in self._refused
        }

    def _leaving(self) -> frozenset[core.InstanceName]:
        return frozenset(
            one.name for one in self.entries.values() if one.leaving
        )

    def newest_term(self) -> int:
        """Return the newest term that an instance has shown."""
        return max((one.term for one in self._states.values()), default=0)

    def one_leads(self) -> bool:
        """Tell whether another instance leads the newest term already.

        It is the successor then.
        """
        newest = self.newest_term()
        for name, state in self._others().items():
            if state.role is core.Role.PRIMARY and state.term == newest:
                self.successor = name
                return True
        return False

    def old_leads(self) -> bool:
        """Tell whether the old primary answers, and as the primary."""
        state = self._states.get(self.old)
        return state is not None and state.role is core.Role.PRIMARY

    def has_all(self) -> bool:
        """Tell whether the successor has all that the old primary has."""
        return caught_up(self._states, self.old, self.successor)
