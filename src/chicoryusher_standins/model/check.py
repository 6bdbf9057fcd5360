"""Run the model checker on the specifications.

The tests check small bounds; ``make model`` runs this module with larger
ones.
"""

from __future__ import annotations

import collections
import dataclasses
import sys
import time

import minicheck

from chicoryusher_standins.model import authority
from chicoryusher_standins.model import evidence
from chicoryusher_standins.model import joining
from chicoryusher_standins.model import limits
from chicoryusher_standins.model import registration
from chicoryusher_standins.model import restored
from chicoryusher_standins.model import restored_rules
from chicoryusher_standins.model import terms
from chicoryusher_standins.model import work

__all__ = ['Finding', 'check', 'labels', 'main']

MAX_DEEP_STATES = 6_000_000


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """Result of a search.

    ``broken`` names the violated invariants; ``shortest`` is the length of
    the shortest counterexample, 0 if there is none.
    """

    states: int
    exhaustive: bool
    broken: tuple[str, ...]
    shortest: int


def check(protocol: minicheck.Protocol, max_states: int) -> Finding:
    """Search the reachable states, at most ``max_states`` of them."""
    result = minicheck.check_safety(protocol, max_states=max_states)
    broken = {
        name: len(outcome['counterexample'])
        for name, outcome in result['properties'].items()
        if outcome['holds'] is False
    }
    return Finding(
        result['reachable_states'],
        bool(result['exhaustive']),
        tuple(sorted(broken)),
        min(broken.values(), default=0),
    )


def labels(protocol: minicheck.Protocol, max_states: int) -> frozenset[str]:
    """Return the ``chart.event`` part of every reachable transition label."""
    seen = {protocol.initial}
    frontier = collections.deque(seen)
    reached: set[str] = set()
    while frontier and len(seen) < max_states:
        for label, after in protocol.transitions(frontier.popleft()):
            reached.add(label.split(' ', 1)[0])
            if after not in seen:
                seen.add(after)
                frontier.append(after)
    return frozenset(reached)


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
