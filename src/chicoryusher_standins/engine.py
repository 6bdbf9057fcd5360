"""Rows of one simulated instance, stored by sqlite3 in memory."""

from __future__ import annotations

import dataclasses
import functools
import itertools
import re
import sqlite3
from typing import Any

import sqlglot

from chicoryusher import core
from chicoryusher_standins import group

__all__ = ['Engine', 'EngineSession', 'Locked', 'Rows', 'SqlError']

MAX_CACHED_TRANSLATIONS = 4096
DUPLICATE_KEY = 1062
NO_SUCH_TABLE = 1146
SYNTAX_ERROR = 1064
_DATABASE_NUMBERS = itertools.count(1)
_READ_PATTERN = re.compile(r'\s*(select|with|values|pragma|explain)\b', re.I)


class SqlError(core.ChicoryusherError):
    """A statement failed, with a MySQL error number."""

    def __init__(self, code: int, sqlstate: str, text: str) -> None:
        super().__init__(text)
        self.code = code
        self.sqlstate = sqlstate


class Locked(core.ChicoryusherError):
    """Another transaction has locked the rows; the caller may retry."""


@dataclasses.dataclass(frozen=True, slots=True)
class Rows:
    """Result of a statement: columns and rows, or a count."""

    columns: tuple[str, ...] = ()
    rows: tuple[tuple[Any, ...], ...] = ()
    affected: int = 0
    last_id: int = 0


@functools.lru_cache(maxsize=MAX_CACHED_TRANSLATIONS)
def translate(sql: str) -> str:
    """Translate a MySQL statement to sqlite; raise SqlError if invalid."""
    try:
        translations = sqlglot.transpile(sql, read='mysql', write='sqlite')
    except sqlglot.errors.SqlglotError as exc:
        raise SqlError(SYNTAX_ERROR, '42000', str(exc)) from exc
    return translations[0]


def is_read(sql: str) -> bool:
    """Return whether a statement only reads."""
    return _READ_PATTERN.match(sql) is not None


class Engine:
    """One instance's rows.

    The in-memory database exists as long as ``_owner_conn`` is open.
    """

    def __init__(self) -> None:
        self._owner_conn = self._connect(next(_DATABASE_NUMBERS))

    def _connect(self, number: int) -> sqlite3.Connection:
        self._number = number
        return self._open()

    def _open(self) -> sqlite3.Connection:
        name = f'file:standin{self._number}?mode=memory&cache=shared'
        return sqlite3.connect(
            name, uri=True, isolation_level=None, check_same_thread=False
        )

    def session(self) -> EngineSession:
        """Open a new session on the rows."""
        return EngineSession(self._open())

    def apply(self, statements: tuple[group.Command, ...]) -> None:
        """Run a replicated transaction."""
        if not statements:
            return
        self._owner_conn.execute('BEGIN')
        for sql, values in statements:
            self._owner_conn.execute(translate(sql), values)
        self._owner_conn.execute('COMMIT')

    def rebuild(self) -> None:
        """Drop all rows; the log is applied again from its start."""
        self._owner_conn = self._connect(next(_DATABASE_NUMBERS))


class EngineSession:
    """One connection's transaction at an engine."""

    def __init__(self, conn: sqlite3.Connection) -> None:
        self._conn = conn
        self._written: list[group.Command] = []

    @property
    def in_transaction(self) -> bool:
        """Return whether a transaction is open."""
        return self._conn.in_transaction

    def begin(self) -> None:
        """Open a transaction."""
        if not self.in_transaction:
            self._conn.execute('BEGIN')
        self._written.clear()

    @property
    def has_written(self) -> bool:
        """Return whether the transaction has run a write."""
        return bool(self._written)

    def execute(self, sql: str, values: tuple[Any, ...] = ()) -> Rows:
        """Run one statement; raise SqlError or Locked if it fails."""
        try:
            cursor = self._conn.execute(translate(sql), values)
            rows = tuple(cursor.fetchall())
        except sqlite3.OperationalError as exc:
            raise _convert_operational_error(exc) from exc
        except sqlite3.IntegrityError as exc:
            raise SqlError(DUPLICATE_KEY, '23000', str(exc)) from exc
        except sqlite3.Error as exc:
            raise SqlError(SYNTAX_ERROR, '42000', str(exc)) from exc
        if cursor.description is not None:
            columns = tuple(column[0] for column in cursor.description)
            return Rows(columns, rows)
        if not is_read(sql):
            self._written.append(group.Command(sql, values))
        return Rows(
            affected=max(0, cursor.rowcount), last_id=cursor.lastrowid or 0
        )

    def written(self) -> tuple[group.Command, ...]:
        """Return the statements to replicate, and clear them."""
        statements = tuple(self._written)
        self._written.clear()
        return statements

    def commit(self) -> None:
        """Commit the open transaction, if any."""
        if self.in_transaction:
            self._conn.execute('COMMIT')

    def rollback(self) -> None:
        """Roll back the open transaction, if any."""
        if self.in_transaction:
            self._conn.execute('ROLLBACK')
        self._written.clear()

    def close(self) -> None:
        """Roll back and close."""
        self.rollback()
        self._conn.close()


def _convert_operational_error(
    exc: sqlite3.OperationalError,
) -> core.ChicoryusherError:
    text = str(exc)
    if 'locked' in text:
        return Locked(text)
    if 'no such table' in text:
        return SqlError(NO_SUCH_TABLE, '42S02', text)
    return SqlError(SYNTAX_ERROR, '42000', text)
