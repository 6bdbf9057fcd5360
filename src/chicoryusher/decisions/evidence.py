"""Evidence that a request may be answered: a majority is in its term.

Commits and reads of the primary are answered only with such evidence.  A
commit at (term, offset) survives every later term once a majority of the
group has it in its log while still in that term.  For a later term to
begin, a majority must accept its fence, and the fenced instance with the
longest log becomes the primary.
"""

from __future__ import annotations

import dataclasses
import enum

from chicoryusher import core

__all__ = ['PendingProofs', 'PendingProof', 'Verdict']


class Verdict(enum.Enum):
    """Whether a request is proved, disproved or still open."""

    OPEN = 'open'
    PROVED = 'proved'
    DISPROVED = 'disproved'


@dataclasses.dataclass(slots=True)
class PendingProof:
    """A commit, or a read of the primary, that waits for evidence.

    ``request.position`` with offset 0 marks a read.  Only probes that
    began after the read was requested count for it.  ``read_position`` is
    the primary's position in the first of them, which a majority must
    have received.  ``confirmed_by`` are the instances that have the
    position while in its term, ``in_later_term`` those that were seen in
    a later one.
    """

    request: core.ProveCommit
    asked_at: float
    read_position: core.Position | None = None
    confirmed_by: set[core.InstanceName] = dataclasses.field(
        default_factory=set
    )
    in_later_term: set[core.InstanceName] = dataclasses.field(
        default_factory=set
    )

    @property
    def is_read(self) -> bool:
        """Return whether this is a read's proof, without a commit."""
        return self.request.position.offset == 0


class PendingProofs:
    """Pending proofs of one group, decided by the probes' answers."""

    def __init__(self, size: int) -> None:
        self.majority = size // 2 + 1
        self._pending: dict[core.RequestId, PendingProof] = {}

    def __len__(self) -> int:
        return len(self._pending)

    def add(self, request: core.ProveCommit, now: float) -> None:
        """Add a request for a proof."""
        self._pending[request.request_id] = PendingProof(request, now)

    def drop_requested_before(self, cutoff: float) -> None:
        """Remove the proofs that were requested before ``cutoff``."""
        expired = [
            key
            for key, proof in self._pending.items()
            if proof.asked_at < cutoff
        ]
        for key in expired:
            del self._pending[key]

    def record_probe(
        self, probe: core.ProbeAnswer, began_at: float
    ) -> list[tuple[core.ProveCommit, Verdict]]:
        """Apply the answer to a probe; return the proofs it decides."""
        if not probe.alive:
            return []
        decided = []
        for key, proof in tuple(self._pending.items()):
            verdict = self._judge(proof, probe, began_at)
            if verdict is not Verdict.OPEN:
                del self._pending[key]
                decided.append((proof.request, verdict))
        return decided

    def _judge(
        self, proof: PendingProof, probe: core.ProbeAnswer, began_at: float
    ) -> Verdict:
        term = proof.request.position.term
        if probe.term > term:
            proof.confirmed_by.discard(probe.instance)
            proof.in_later_term.add(probe.instance)
            if len(proof.in_later_term) >= self.majority:
                return Verdict.DISPROVED
            return Verdict.OPEN
        if probe.term != term or probe.instance in proof.in_later_term:
            return Verdict.OPEN
        if proof.is_read:
            self._judge_read(proof, probe, began_at)
        elif _has_received(probe, proof.request.position):
            proof.confirmed_by.add(probe.instance)
        if len(proof.confirmed_by) >= self.majority:
            return Verdict.PROVED
        return Verdict.OPEN

    @staticmethod
    def _judge_read(
        proof: PendingProof, probe: core.ProbeAnswer, began_at: float
    ) -> None:
        """Add the answer to a read's proof if the probe began after it."""
        if began_at < proof.asked_at:
            return
        if probe.role is core.Role.PRIMARY and proof.read_position is None:
            proof.read_position = probe.applied
            proof.confirmed_by.add(probe.instance)
        elif proof.read_position is not None and _has_received(
            probe, proof.read_position
        ):
            proof.confirmed_by.add(probe.instance)


def _has_received(probe: core.ProbeAnswer, position: core.Position) -> bool:
    """Return whether an instance in the proof's term has ``position``.

    Within one term all logs are prefixes of the primary's log, so
    comparing (term, offset) is enough.
    """
    return probe.received >= position
