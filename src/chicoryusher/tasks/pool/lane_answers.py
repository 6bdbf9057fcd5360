"""What a lane does with the answer to each kind of command."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from chicoryusher import core
from chicoryusher.tasks.pool import conns

__all__ = ['ANSWERS']


class LaneLike(Protocol):
    """A lane, as the answers to its commands see it."""

    def begun(self, conn: conns.PoolConn, reply: core.Reply) -> None:
        """Go on with the statement, or give the work back."""

    def ran(self, conn: conns.PoolConn, reply: core.Reply) -> None:
        """Report what the statement gave."""

    def rolled_back(self, conn: conns.PoolConn, reply: core.Reply) -> None:
        """Free the connection of a transaction that was rolled back."""


Answer = Callable[[LaneLike, conns.PoolConn, core.Reply], None]
ANSWERS: core.Registry[Answer] = core.Registry('lane answer')


def _set_up(lane: LaneLike, conn: conns.PoolConn, reply: core.Reply) -> None:
    """Doubt a connection that refused to be set up."""
    if reply.refusal is not None:
        conn.doubtful = True


for _op in (core.Op.SET, core.Op.RESET, core.Op.PREPARE):
    ANSWERS.register(_op)(_set_up)


@ANSWERS.register(core.Op.BEGIN)
@ANSWERS.register(core.Op.BEGIN_READ_ONLY)
def _begun(lane: LaneLike, conn: conns.PoolConn, reply: core.Reply) -> None:
    lane.begun(conn, reply)


@ANSWERS.register(core.Op.RUN)
def _ran(lane: LaneLike, conn: conns.PoolConn, reply: core.Reply) -> None:
    lane.ran(conn, reply)


@ANSWERS.register(core.Op.ROLLBACK)
def _rolled_back(
    lane: LaneLike, conn: conns.PoolConn, reply: core.Reply
) -> None:
    lane.rolled_back(conn, reply)
