"""Sort statements by what they do, from their text.

Literals are taken out first, so that statements of one shape share one
cache entry and one statement class.
"""

from __future__ import annotations

import dataclasses
import functools
import re
from collections.abc import Callable

import sqlglot
import xxhash
from sqlglot import exp

from chicoryusher import core

__all__ = ['Statement', 'classify', 'shape_of']

CACHE_ENTRIES = 8192
MAX_CLASSIFIED_CHARS = 64 * 1024

_LITERAL = re.compile(
    r"/\*.*?\*/|'(?:[^'\\]|\\.|'')*'|\"(?:[^\"\\]|\\.|\"\")*\""
    r'|\b\d+(?:\.\d+)?(?:[eE][+-]?\d+)?\b',
    re.DOTALL,
)
_LISTS = re.compile(r'\(\s*\?(?:\s*,\s*\?)+\s*\)')
_UTF8 = ('utf8', 'utf8mb3', 'utf8mb4', 'default')
_STATEFUL = frozenset(
    ('GET_LOCK', 'RELEASE_LOCK', 'RELEASE_ALL_LOCKS', 'IS_USED_LOCK')
)
_OF_CONNECTION = frozenset(('LAST_INSERT_ID', 'ROW_COUNT', 'FOUND_ROWS'))

Kind = core.StatementKind


@dataclasses.dataclass(frozen=True, slots=True)
class Statement:
    """Class of a statement: kind, tables and what it leaves behind.

    ``keeps`` says that later statements of the session depend on the
    same backend connection; ``problem`` says why it is refused.
    """

    kind: core.StatementKind
    statement_class: core.StatementClass
    tables: tuple[str, ...] = ()
    keeps: bool = False
    problem: str = ''


_Sorter = Callable[[exp.Expression, str], Statement]
SORTERS: core.Registry[_Sorter] = core.Registry('statement sorter')


def shape_of(sql: str) -> str:
    """Return the text without literals, comments and list lengths."""
    bare = _LITERAL.sub(_placeholder, sql)
    return _LISTS.sub('(?)', bare).strip().rstrip(';').strip()


def _placeholder(match: re.Match[str]) -> str:
    return ' ' if match.group().startswith('/*') else '?'


def classify(sql: str) -> Statement:
    """Return the class of ``sql``; never raises for any text."""
    if len(sql) > MAX_CLASSIFIED_CHARS:
        head = sql[:MAX_CLASSIFIED_CHARS]
        word = head.lstrip().split(None, 1)[0].upper() if head.strip() else ''
        return Statement(Kind.WRITE, core.StatementClass(f'long {word}'))
    return _classify_shape(shape_of(sql))


@functools.lru_cache(maxsize=CACHE_ENTRIES)
def _classify_shape(shape: str) -> Statement:
    name = _class_name(shape)
    word = shape.split(None, 1)[0].upper() if shape else ''
    if not word:
        return Statement(Kind.UNSUPPORTED, name, problem='empty statement')
    if word in _BY_WORD:
        return _BY_WORD[word](shape, name)
    try:
        trees = sqlglot.parse(shape, dialect='mysql')
    except sqlglot.errors.SqlglotError:
        return Statement(Kind.WRITE, name)
    if len(trees) != 1 or trees[0] is None:
        return Statement(
            Kind.UNSUPPORTED, name, problem='several statements in one'
        )
    tree = trees[0]
    sorter = type(tree).__name__
    if sorter in SORTERS:
        return SORTERS.get(sorter)(tree, shape)
    return Statement(Kind.WRITE, name, _tables(tree))


def _class_name(shape: str) -> core.StatementClass:
    digest = xxhash.xxh3_64_hexdigest(shape.lower().encode())
    word = shape.split(None, 1)[0].lower() if shape else 'empty'
    return core.StatementClass(f'{word[:12]}-{digest[:10]}')


def _tables(tree: exp.Expression) -> tuple[str, ...]:
    names = {one.name for one in tree.find_all(exp.Table) if one.name}
    return tuple(sorted(names))


def _functions(tree: exp.Expression) -> frozenset[str]:
    names = {str(one.this).upper() for one in tree.find_all(exp.Anonymous)}
    names |= {
        one.sql_name().upper()
        for one in tree.find_all(exp.Func)
        if not isinstance(one, exp.Anonymous)
    }
    return frozenset(names)


@SORTERS.register('Select')
@SORTERS.register('Union')
@SORTERS.register('Subquery')
@SORTERS.register('Intersect')
@SORTERS.register('Except')
def _sort_select(tree: exp.Expression, shape: str) -> Statement:
    name = _class_name(shape)
    functions = _functions(tree)
    keeps = bool(functions & _STATEFUL) or bool(tree.find(exp.Parameter))
    if functions & _OF_CONNECTION:
        return Statement(
            Kind.UNSUPPORTED,
            name,
            problem='a function of one connection, outside a transaction',
        )
    locks = bool(tree.find(exp.Lock)) or bool(tree.args.get('into'))
    kind = Kind.WRITE if locks or keeps else Kind.READ
    return Statement(kind, name, _tables(tree), keeps)


@SORTERS.register('Set')
def _sort_set(tree: exp.Expression, shape: str) -> Statement:
    name = _class_name(shape)
    found = re.fullmatch(
        r'set\s+(?:session\s+|@@(?:session\.)?)?autocommit\s*:?=\s*(\S+)',
        shape,
        re.IGNORECASE,
    )
    if found is not None:
        return Statement(Kind.LOCAL, name)
    found = re.match(
        r'set\s+(?:names|character\s+set)\s+(\S+)', shape, re.IGNORECASE
    )
    if found is not None:
        text = found.group(1).strip('\'"').lower()
        if text in _UTF8 or text == '?':
            return Statement(Kind.LOCAL, name)
        return Statement(
            Kind.UNSUPPORTED, name, problem=f'character set {text}'
        )
    if re.match(r'set\s+(global|persist|@@global)', shape, re.IGNORECASE):
        return Statement(Kind.UNSUPPORTED, name, problem='a global setting')
    return Statement(Kind.SESSION, name, keeps=True)


@SORTERS.register('Create')
def _sort_create(tree: exp.Expression, shape: str) -> Statement:
    temporary = bool(tree.find(exp.TemporaryProperty))
    kind = Kind.WRITE if temporary else Kind.DDL
    return Statement(kind, _class_name(shape), _tables(tree), keeps=temporary)


@SORTERS.register('Alter')
@SORTERS.register('Drop')
@SORTERS.register('TruncateTable')
def _sort_ddl(tree: exp.Expression, shape: str) -> Statement:
    return Statement(Kind.DDL, _class_name(shape), _tables(tree))


@SORTERS.register('Show')
def _sort_show(tree: exp.Expression, shape: str) -> Statement:
    name = _class_name(shape)
    if re.match(r'show\s+(warnings|errors)', shape, re.IGNORECASE):
        return Statement(
            Kind.UNSUPPORTED, name, problem='warnings of one connection'
        )
    return Statement(Kind.READ, name)


def _sort_begin(shape: str, name: core.StatementClass) -> Statement:
    read_only = re.search(r'read\s+only', shape, re.IGNORECASE)
    kind = Kind.BEGIN_READ_ONLY if read_only else Kind.BEGIN
    return Statement(kind, name)


def _sort_start(shape: str, name: core.StatementClass) -> Statement:
    if re.match(r'start\s+transaction', shape, re.IGNORECASE):
        return _sort_begin(shape, name)
    return Statement(Kind.UNSUPPORTED, name, problem='this START')


def _sort_commit(shape: str, name: core.StatementClass) -> Statement:
    if re.search(r'\bchain\b', shape, re.IGNORECASE):
        return Statement(Kind.UNSUPPORTED, name, problem='AND CHAIN')
    return Statement(Kind.COMMIT, name)


def _sort_rollback(shape: str, name: core.StatementClass) -> Statement:
    if re.search(r'\bto\b', shape, re.IGNORECASE):
        return Statement(Kind.WRITE, name)
    return Statement(Kind.ROLLBACK, name)


def _sort_lock(shape: str, name: core.StatementClass) -> Statement:
    return Statement(Kind.WRITE, name, keeps=True)


def _sort_read(shape: str, name: core.StatementClass) -> Statement:
    return Statement(Kind.READ, name)


def _sort_refused(shape: str, name: core.StatementClass) -> Statement:
    word = shape.split(None, 1)[0].upper()
    return Statement(Kind.UNSUPPORTED, name, problem=word)


_BY_WORD: dict[str, Callable[[str, core.StatementClass], Statement]] = {
    'BEGIN': _sort_begin,
    'START': _sort_start,
    'COMMIT': _sort_commit,
    'ROLLBACK': _sort_rollback,
    'LOCK': _sort_lock,
    'UNLOCK': _sort_lock,
    'PREPARE': _sort_lock,
    'EXECUTE': _sort_lock,
    'DEALLOCATE': _sort_lock,
    'HANDLER': _sort_lock,
    'EXPLAIN': _sort_read,
    'DESCRIBE': _sort_read,
    'DESC': _sort_read,
    'XA': _sort_refused,
    'KILL': _sort_refused,
    'SHUTDOWN': _sort_refused,
    'LOAD': _sort_refused,
    'USE': _sort_refused,
}
