"""Claims of terms in the platform's table."""

from __future__ import annotations

import json

from chicoryusher import core
from chicoryusher import decisions
from chicoryusher import runtime
from chicoryusher.tasks import names

__all__ = ['TermClaims']


class TermClaims:
    """The record of one group's newest claim, and this VM's own claims.

    ``attempt`` counts the own claims; ``term`` is the one that was claimed
    last.
    """

    def __init__(
        self, monitor: runtime.Task, database: core.DatabaseName
    ) -> None:
        self._monitor = monitor
        self._database = database
        self._key = f'lead/{database}'
        self.attempt = 0
        self.term = core.Term(0)
        self._recorded_term = core.Term(0)
        self._record_version = 0

    def read(self) -> None:
        """Ask the platform for the record."""
        self._monitor.send(
            names.platform_client(self._monitor.vm),
            core.TableGet(self._monitor.task_name, self._key),
        )

    def claim(self, health: decisions.GroupHealth) -> None:
        """Claim the next term by a conditional write to the table."""
        self.attempt += 1
        self.term = decisions.next_term(health, self._recorded_term)
        monitor = self._monitor
        monitor.log.emit(
            core.LogEvent.TERM_CLAIMED,
            database=str(self._database),
            term=self.term,
        )
        value = json.dumps({'term': self.term, 'candidate': monitor.vm})
        monitor.send(
            names.platform_client(monitor.vm),
            core.TablePut(
                monitor.task_name,
                self._key,
                value.encode(),
                self._record_version,
            ),
        )

    def record_answer(self, answer: core.TableAnswer) -> bool | None:
        """Record the platform's answer to a read or a claim.

        Return whether the record now has this VM's claim, None if the
        platform has not said so.
        """
        refused = isinstance(answer.error, core.PlatformRefused)
        if answer.error is not None and not refused:
            return None
        self._record_version = answer.version
        document = json.loads(answer.value or b'{}')
        if answer.value:
            self._recorded_term = core.Term(int(document.get('term', 0)))
        if not refused:
            return True
        candidate = str(document.get('candidate', ''))
        return self._recorded_term == self.term and (
            candidate == self._monitor.vm
        )
