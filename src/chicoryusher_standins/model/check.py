"""Run the checker on the specifications; ``make model`` goes deeper."""

from __future__ import annotations

import collections
import dataclasses
import sys
import time

import minicheck

from chicoryusher_standins.model import authority
from chicoryusher_standins.model import registration
from chicoryusher_standins.model import terms
from chicoryusher_standins.model import work

__all__ = ['Finding', 'check', 'labels', 'main']

DEEP_STATES = 6_000_000


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """What a search found: states, broken invariants, shortest trace."""

    states: int
    exhaustive: bool
    broken: tuple[str, ...]
    shortest: int


def check(protocol: minicheck.Protocol, max_states: int) -> Finding:
    """Search every reachable state up to ``max_states``."""
    found = minicheck.check_safety(protocol, max_states=max_states)
    broken = {
        name: len(one['counterexample'])
        for name, one in found['properties'].items()
        if one['holds'] is False
    }
    return Finding(
        found['reachable_states'],
        bool(found['exhaustive']),
        tuple(sorted(broken)),
        min(broken.values(), default=0),
    )


def labels(protocol: minicheck.Protocol, max_states: int) -> frozenset[str]:
    """Return the ``chart.event`` part of every label that is reached."""
    seen = {protocol.initial}
    front = collections.deque(seen)
    found: set[str] = set()
    while front and len(seen) < max_states:
        for label, after in protocol.transitions(front.popleft()):
            found.add(label.split(' ', 1)[0])
            if after not in seen:
                seen.add(after)
                front.append(after)
    return frozenset(found)


def main() -> int:
    """Check the deeper bounds and print states and times."""
    deep = (
        ('terms, 2 terms, 2 writes', terms.protocol(max_term=2, ops=2)),
        ('terms, 3 terms, 1 write', terms.protocol(max_term=3, ops=1)),
        ('terms, 3 terms, 2 writes', terms.protocol(max_term=3, ops=2)),
        ('authority, 3 writes of a row', authority.authority()),
        ('holders, 3 writes of a row', authority.holders()),
        ('authority, 4 writes of a row', authority.authority(max_revision=4)),
        (
            'registration, 3 lives, 6 writes',
            registration.registration(lives=3, revisions=6),
        ),
        ('gate', work.gate()),
        ('ledger', work.ledger()),
    )
    failed = 0
    for name, protocol in deep:
        began = time.monotonic()
        found = check(protocol, DEEP_STATES)
        whole = 'all' if found.exhaustive else 'not all'
        verdict = f'broken: {found.broken}' if found.broken else 'holds'
        seconds = time.monotonic() - began
        print(
            f'{name}: {found.states} states ({whole}), {verdict},'
            f' {seconds:.1f} s',
            flush=True,
        )
        failed += bool(found.broken)
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main())
