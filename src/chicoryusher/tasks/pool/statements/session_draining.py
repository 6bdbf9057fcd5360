"""What sessions may still do while their VM shuts down."""

from __future__ import annotations

from chicoryusher import core
from chicoryusher import runtime
from chicoryusher.tasks.pool.statements import sessions

__all__ = ['SessionDraining']


class SessionDraining:
    """The stage of the shutdown; closes the sessions of the dispatcher.

    ``stage`` is None while the VM does not shut down.
    """

    def __init__(self, dispatcher: runtime.Task) -> None:
        self._dispatcher = dispatcher
        self.stage: core.DrainStage | None = None

    def close_if_unused(self, session: sessions.PoolSession) -> None:
        """Close a session that is idle; at the end also in a transaction.

        The front end keeps it open while a statement waits for its answer.
        """
        if self.stage is core.DrainStage.ANSWERING:
            self._close(session)
        elif self.stage is not None:
            self.close_if_idle(session)

    def close_if_idle(self, session: sessions.PoolSession) -> None:
        """Close a session that is between two operations."""
        if session.state is core.PoolSessionState.IDLE:
            self._close(session)

    def _close(self, session: sessions.PoolSession) -> None:
        close = core.CloseSession(session.session_id)
        self._dispatcher.send(session.frontend, close)

    def refusal_of(
        self, session: sessions.PoolSession, message: core.PoolStatement
    ) -> core.Refusal | None:
        """Return the refusal of a statement that is not run any more.

        It has not been run, and its transaction is rolled back.
        """
        stage = self.stage
        if stage is None:
            return None
        transaction = session.transaction
        if transaction is None or transaction.instance is None:
            return core.Refusal.BUSY
        commits = message.statement.verb is core.Verb.COMMIT
        may_run = stage is core.DrainStage.CLOSING or (
            commits and stage is core.DrainStage.ENDING
        )
        return None if may_run else core.Refusal.ABORTED
