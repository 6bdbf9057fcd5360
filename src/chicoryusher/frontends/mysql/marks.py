"""Marks: attributes of a statement that its caller sets.

They are read from SQL comments in the format of sqlcommenter and, for all
statements of a session, from the connection attributes. An example:
``/*max_staleness='0.5',idempotency_key='lot-17'*/``.
"""

from __future__ import annotations

import re
import urllib.parse
from collections.abc import Callable
from collections.abc import Iterable
from typing import Any

from chicoryusher import core

__all__ = ['MARK_PARSERS', 'marks_from_comments', 'marks_from_pairs']

_COMMENT_PATTERN = re.compile(r'/\*(.*?)\*/', re.DOTALL)
_MARK_PATTERN = re.compile(r"([a-z_]+)='((?:[^'\\]|\\.)*)'")
MAX_KEY_CHARS = 128

MarkParser = Callable[[str], Any]
MARK_PARSERS: core.Registry[MarkParser] = core.Registry('mark')


class MarkError(core.CallerError):
    """The value of a mark is invalid."""

    code = 29005
    sqlstate = '22023'


@MARK_PARSERS.register('max_staleness')
@MARK_PARSERS.register('deadline')
def _parse_seconds(text: str) -> float:
    try:
        value = float(text)
    except ValueError:
        raise MarkError(f'{text!r} is not a number of seconds') from None
    if not 0 <= value < float('inf'):
        raise MarkError(f'{text!r} is not a number of seconds')
    return value


@MARK_PARSERS.register('non_idempotent')
@MARK_PARSERS.register('may_wait')
def _parse_flag(text: str) -> bool:
    if text.lower() not in ('1', '0', 'true', 'false'):
        raise MarkError(f'{text!r} is not a truth value')
    return text.lower() in ('1', 'true')


@MARK_PARSERS.register('idempotency_key')
def _parse_idempotency_key(text: str) -> core.IdempotencyKey:
    if not 0 < len(text) <= MAX_KEY_CHARS:
        raise MarkError(f'a key has 1 to {MAX_KEY_CHARS} characters')
    return core.IdempotencyKey(text)


@MARK_PARSERS.register('token')
def _parse_token(text: str) -> str:
    return text


def marks_from_pairs(pairs: Iterable[tuple[str, str]]) -> core.Marks | None:
    """Return the marks among pairs of names and texts, None without any.

    Raises MarkError if a value is invalid. Other names are ignored.
    """
    values = {
        name: MARK_PARSERS.get(name)(text)
        for name, text in pairs
        if name in MARK_PARSERS
    }
    return core.Marks(**values) if values else None


def marks_from_comments(sql: str) -> core.Marks | None:
    """Return the marks in a statement's comments, None without any.

    Raises MarkError if a value is invalid. Other names are ignored.
    """
    if '/*' not in sql:
        return None
    pairs = [
        (name, urllib.parse.unquote(text))
        for comment in _COMMENT_PATTERN.findall(sql)
        for name, text in _MARK_PATTERN.findall(comment)
    ]
    return marks_from_pairs(pairs)
