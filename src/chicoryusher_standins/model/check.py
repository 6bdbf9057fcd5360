"""Run the model checker on the specifications.

The tests check small bounds; ``make model`` runs this module with larger
ones.
"""

from __future__ import annotations

import contextlib
import dataclasses
import functools
import gc
import sys
import time
from collections.abc import Callable
from collections.abc import Iterator

import minicheck

from chicoryusher_standins.model import authority
from chicoryusher_standins.model import evidence
from chicoryusher_standins.model import joining
from chicoryusher_standins.model import limits
from chicoryusher_standins.model import registration
from chicoryusher_standins.model import restored
from chicoryusher_standins.model import restored_rules
from chicoryusher_standins.model import succession
from chicoryusher_standins.model import terms
from chicoryusher_standins.model import work

__all__ = ['Finding', 'check', 'main']

MAX_DEEP_STATES = 6_000_000
_State = tuple[object, ...]
_Step = tuple[str, _State]
_Invariant = Callable[[dict[str, object]], bool]


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """Result of a search.

    ``broken`` names the violated invariants; ``shortest`` is the length of
    the shortest counterexample, 0 if there is none.  ``labels`` are the
    ``chart.event`` parts of the labels of the transitions seen.
    """

    states: int
    exhaustive: bool
    broken: tuple[str, ...]
    shortest: int
    labels: frozenset[str]


def check(
    protocol: minicheck.Protocol, max_states: int, stops: bool = False
) -> Finding:
    """Search the reachable states, at most ``max_states`` of them.

    With ``stops`` the search ends at its first counterexample, which is a
    shortest one, since the states are searched in the order of their depth.
    """
    observed = _Observed(protocol, stops)
    with _collector_paused():
        result = minicheck.check_safety(
            observed.protocol, max_states=max_states
        )
    broken = {
        name: len(outcome['counterexample'])
        for name, outcome in result['properties'].items()
        if outcome['holds'] is False
    }
    return Finding(
        result['reachable_states'],
        bool(result['exhaustive']) and not observed.is_over,
        tuple(sorted(broken)),
        min(broken.values(), default=0),
        frozenset(label.split(' ', 1)[0] for label in observed.labels),
    )


class _Observed:
    """A specification whose search is observed.

    ``labels`` are those of the transitions that the search has seen.  With
    ``stops`` it is over, and sees no more, after the first counterexample.
    """

    def __init__(self, protocol: minicheck.Protocol, stops: bool) -> None:
        self.labels: set[str] = set()
        self._transitions = protocol.transitions
        self.is_over = False
        self.protocol = dataclasses.replace(
            protocol, transitions=self._observed_transitions
        )
        if stops:
            self.protocol.invariants = {
                name: functools.partial(self._holds, invariant)
                for name, invariant in protocol.invariants.items()
            }

    def _observed_transitions(self, state: _State) -> list[_Step]:
        if self.is_over:
            return []
        steps: list[_Step] = self._transitions(state)
        self.labels.update([label for label, _ in steps])
        return steps

    def _holds(self, invariant: _Invariant, fields: dict[str, object]) -> bool:
        holds = invariant(fields)
        self.is_over = self.is_over or not holds
        return holds


@contextlib.contextmanager
def _collector_paused() -> Iterator[None]:
    """Pause the collector of cycles: states are many, and have none."""
    was_enabled = gc.isenabled()
    gc.disable()
    try:
        yield
    finally:
        if was_enabled:
            gc.enable()


def main() -> int:
    """Check the larger bounds; print the number of states and the time."""
    runs = (
        ('terms, 2 terms, 2 writes', terms.protocol(max_term=2, ops=2)),
        ('terms, 3 terms, 1 write', terms.protocol(max_term=3, ops=1)),
        ('terms, 3 terms, 2 writes', terms.protocol(max_term=3, ops=2)),
        ('authority, 3 writes of a row', authority.authority()),
        ('holders, 3 writes of a row', authority.holders()),
        ('authority, 4 writes of a row', authority.authority(max_revision=4)),
        (
            'registration, 3 lives, 6 writes',
            registration.registration(max_incarnations=3, max_writes=6),
        ),
        ('joining, no restart', joining.joining()),
        ('joining, a restart', joining.joining(restarts=1)),
        ('limits, 2 restarts', limits.limits(restarts=2)),
        ('evidence, no restart', evidence.evidence()),
        ('evidence, a restart', evidence.evidence(restarts=1)),
        ('restored, 2 writes of a row', restored.restored()),
        (
            'restored, 3 terms',
            restored.restored(bounds=restored_rules.Bounds(max_term=3)),
        ),
        (
            'lost change, 2 restores',
            restored.lost_change(
                bounds=restored_rules.Bounds(max_term=3, max_era=2)
            ),
        ),
        ('paused coordinator', restored.paused_coordinator()),
        ('late registration', restored.late_registration()),
        ('late grants', restored.late_grants()),
        ('succession, 5 terms', succession.succession(max_term=5)),
        ('gate', work.gate()),
        ('ledger', work.ledger()),
    )
    failed = 0
    for name, protocol in runs:
        began = time.monotonic()
        finding = check(protocol, MAX_DEEP_STATES)
        coverage = 'all' if finding.exhaustive else 'not all'
        verdict = f'broken: {finding.broken}' if finding.broken else 'holds'
        seconds = time.monotonic() - began
        print(
            f'{name}: {finding.states} states ({coverage}), {verdict},'
            f' {seconds:.1f} s',
            flush=True,
        )
        failed += bool(finding.broken)
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main())
