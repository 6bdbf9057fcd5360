"""Evidence that an answer may be given: a majority in the term.

A commit at (term, offset) survives every later term once a majority of
the group holds it while still in that term: a later term needs a fence
taken by a majority, and takes the longest log among it.
"""

from __future__ import annotations

import dataclasses
import enum

from chicoryusher import core

__all__ = ['Claim', 'EvidenceBook', 'Verdict']


class Verdict(enum.Enum):
    """What the evidence says of one claim."""

    OPEN = 'open'
    PROVED = 'proved'
    DISPROVED = 'disproved'


@dataclasses.dataclass(slots=True)
class Claim:
    """A commit, or a read of the primary, that waits for evidence.

    ``offset`` 0 in ``position`` marks a read: it needs answers to probes
    that began after it, and the log the primary had by then.
    """

    ask: core.ProveCommit
    asked_at: float
    target: core.Position | None = None
    holders: set[core.InstanceName] = dataclasses.field(default_factory=set)
    replaced: set[core.InstanceName] = dataclasses.field(default_factory=set)

    @property
    def is_barrier(self) -> bool:
        """Tell whether the claim is a read's, without a commit."""
        return self.ask.position.offset == 0


class EvidenceBook:
    """Open claims of one group and the probes that decide them."""

    def __init__(self, size: int) -> None:
        self.majority = size // 2 + 1
        self._claims: dict[core.RequestId, Claim] = {}

    def __len__(self) -> int:
        return len(self._claims)

    def ask(self, claim: core.ProveCommit, now: float) -> None:
        """Open a claim."""
        self._claims[claim.request_id] = Claim(claim, now)

    def drop_before(self, when: float) -> None:
        """Forget claims asked before ``when``: their time is over."""
        late = [
            key for key, one in self._claims.items() if one.asked_at < when
        ]
        for key in late:
            del self._claims[key]

    def heard(
        self, probe: core.ProbeAnswer, began_at: float
    ) -> list[tuple[core.ProveCommit, Verdict]]:
        """Take in one probe; return the claims that it decides."""
        if not probe.alive:
            return []
        decided = []
        for key, claim in tuple(self._claims.items()):
            verdict = self._judge(claim, probe, began_at)
            if verdict is not Verdict.OPEN:
                del self._claims[key]
                decided.append((claim.ask, verdict))
        return decided

    def _judge(
        self, claim: Claim, probe: core.ProbeAnswer, began_at: float
    ) -> Verdict:
        term = claim.ask.position.term
        if probe.term > term:
            claim.holders.discard(probe.instance)
            claim.replaced.add(probe.instance)
            if len(claim.replaced) >= self.majority:
                return Verdict.DISPROVED
            return Verdict.OPEN
        if probe.term != term or probe.instance in claim.replaced:
            return Verdict.OPEN
        if claim.is_barrier:
            self._judge_barrier(claim, probe, began_at)
        elif _holds(probe, claim.ask.position):
            claim.holders.add(probe.instance)
        if len(claim.holders) >= self.majority:
            return Verdict.PROVED
        return Verdict.OPEN

    @staticmethod
    def _judge_barrier(
        claim: Claim, probe: core.ProbeAnswer, began_at: float
    ) -> None:
        if began_at < claim.asked_at:
            return
        if probe.role is core.Role.PRIMARY and claim.target is None:
            claim.target = probe.applied
            claim.holders.add(probe.instance)
        elif claim.target is not None and _holds(probe, claim.target):
            claim.holders.add(probe.instance)


def _holds(probe: core.ProbeAnswer, position: core.Position) -> bool:
    """Tell whether an instance in the claim's term has ``position``.

    Within one term all logs are prefixes of the primary's, so comparing
    (term, offset) is enough.
    """
    return probe.received >= position
