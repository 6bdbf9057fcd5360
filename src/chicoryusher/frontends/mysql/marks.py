"""Marks that a caller sets in a comment or in connection attributes.

A comment looks as sqlcommenter writes it:
``/*max_staleness='0.5',idempotency_key='lot-17'*/``.
"""

from __future__ import annotations

import re
import urllib.parse
from collections.abc import Callable
from collections.abc import Iterable
from typing import Any

from chicoryusher import core

__all__ = ['FIELDS', 'from_comment', 'from_pairs']

_COMMENT = re.compile(r'/\*(.*?)\*/', re.DOTALL)
_PAIR = re.compile(r"([a-z_]+)='((?:[^'\\]|\\.)*)'")
MAX_KEY_CHARS = 128

Reader = Callable[[str], Any]
FIELDS: core.Registry[Reader] = core.Registry('mark')


class MarkError(core.CallerError):
    """A mark has a value that it must not have."""

    code = 29005
    sqlstate = '22023'


@FIELDS.register('max_staleness')
@FIELDS.register('deadline')
def _seconds(text: str) -> float:
    try:
        value = float(text)
    except ValueError:
        raise MarkError(f'{text!r} is not a number of seconds') from None
    if not 0 <= value < float('inf'):
        raise MarkError(f'{text!r} is not a number of seconds')
    return value


@FIELDS.register('non_idempotent')
@FIELDS.register('may_wait')
def _flag(text: str) -> bool:
    if text.lower() not in ('1', '0', 'true', 'false'):
        raise MarkError(f'{text!r} is not a truth value')
    return text.lower() in ('1', 'true')


@FIELDS.register('idempotency_key')
def _key(text: str) -> core.IdempotencyKey:
    if not 0 < len(text) <= MAX_KEY_CHARS:
        raise MarkError(f'a key has 1 to {MAX_KEY_CHARS} characters')
    return core.IdempotencyKey(text)


@FIELDS.register('token')
def _token(text: str) -> str:
    return text


def from_pairs(pairs: Iterable[tuple[str, str]]) -> core.Marks | None:
    """Return the marks among ``pairs``, or None; MarkError if bad."""
    values = {
        name: FIELDS.get(name)(text) for name, text in pairs if name in FIELDS
    }
    return core.Marks(**values) if values else None


def from_comment(sql: str) -> core.Marks | None:
    """Return the marks in the statement's comments, or None."""
    if '/*' not in sql:
        return None
    pairs = [
        (name, urllib.parse.unquote(text))
        for comment in _COMMENT.findall(sql)
        for name, text in _PAIR.findall(comment)
    ]
    return from_pairs(pairs)
