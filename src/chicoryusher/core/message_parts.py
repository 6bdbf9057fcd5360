"""The base class of messages, and values that several of them carry."""

from __future__ import annotations

import dataclasses

from chicoryusher.core import ids

__all__ = [
    'Message',
    'Marks',
    'Payload',
]


class Message:
    """Base class of all messages between tasks."""

    __slots__ = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Marks:
    """Attributes that a caller or a rule sets for one statement.

    ``max_staleness`` and ``deadline`` are seconds, the latter from the
    arrival of the statement.  In a gate's queue, a statement with
    ``may_wait`` may give way to statements without it.  ``token`` is a
    session token, whose writes the statement must see.
    """

    max_staleness: float | None = None
    idempotency_key: ids.IdempotencyKey | None = None
    non_idempotent: bool = False
    may_wait: bool = False
    deadline: float | None = None
    token: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Payload:
    """Encoded command, which decisions pass on without decoding it.

    ``prepare`` is the statement text to prepare first (empty for a plain
    command); ``long_data`` are commands to send before ``command``.
    """

    command: bytes
    prepare: bytes = b''
    long_data: tuple[bytes, ...] = ()

    def size(self) -> int:
        """Return the encoded size in bytes."""
        return len(self.command) + sum(len(data) for data in self.long_data)
