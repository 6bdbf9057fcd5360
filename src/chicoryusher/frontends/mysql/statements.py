"""Classify SQL statements by their text.

The text is normalized first: literals become placeholders and comments are
removed, so that statements that differ only in these share a cache entry
and a statement class.
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

__all__ = ['ClassifiedStatement', 'classify', 'normalize']

MAX_CACHED_STATEMENTS = 8192
MAX_CLASSIFIED_CHARS = 64 * 1024

_LITERAL_OR_COMMENT = re.compile(
    r"/\*.*?\*/|'(?:[^'\\]|\\.|'')*'|\"(?:[^\"\\]|\\.|\"\")*\""
    r'|\b\d+(?:\.\d+)?(?:[eE][+-]?\d+)?\b',
    re.DOTALL,
)
_VALUE_LIST = re.compile(r'\(\s*\?(?:\s*,\s*\?)+\s*\)')
_UTF8_NAMES = ('utf8', 'utf8mb3', 'utf8mb4', 'default')
_LOCK_FUNCTIONS = frozenset(
    ('GET_LOCK', 'RELEASE_LOCK', 'RELEASE_ALL_LOCKS', 'IS_USED_LOCK')
)
_CONNECTION_FUNCTIONS = frozenset(
    ('LAST_INSERT_ID', 'ROW_COUNT', 'FOUND_ROWS')
)

Kind = core.StatementKind


@dataclasses.dataclass(frozen=True, slots=True)
class ClassifiedStatement:
    """Kind, class and tables of a statement.

    ``pins_connection`` is true if the statement changes the state of its
    backend connection, so that later statements of the session need the
    same one. ``refusal_reason`` is empty if the statement is supported;
    inside a transaction, unsupported statements run all the same.
    """

    kind: core.StatementKind
    statement_class: core.StatementClass
    tables: tuple[str, ...] = ()
    pins_connection: bool = False
    refusal_reason: str = ''


_Classifier = Callable[[exp.Expression, str], ClassifiedStatement]
CLASSIFIERS: core.Registry[_Classifier] = core.Registry('statement classifier')


def normalize(sql: str) -> str:
    """Return the text without comments, with placeholders for literals.

    A list of literals becomes one placeholder, whatever its length.
    """
    without_literals = _LITERAL_OR_COMMENT.sub(_placeholder, sql)
    return _VALUE_LIST.sub('(?)', without_literals).strip().rstrip(';').strip()


def _placeholder(match: re.Match[str]) -> str:
    return ' ' if match.group().startswith('/*') else '?'


def classify(sql: str) -> ClassifiedStatement:
    """Classify a statement.

    A statement that is too long, or that the parser refuses, counts as a
    write.
    """
    if len(sql) > MAX_CLASSIFIED_CHARS:
        prefix = sql[:MAX_CLASSIFIED_CHARS]
        keyword = (
            prefix.lstrip().split(None, 1)[0].upper() if prefix.strip() else ''
        )
        return ClassifiedStatement(
            Kind.WRITE, core.StatementClass(f'long {keyword}')
        )
    return _classify_normalized(normalize(sql))


@functools.lru_cache(maxsize=MAX_CACHED_STATEMENTS)
def _classify_normalized(normalized: str) -> ClassifiedStatement:
    class_name = _class_name(normalized)
    keyword = normalized.split(None, 1)[0].upper() if normalized else ''
    if not keyword:
        return ClassifiedStatement(
            Kind.UNSUPPORTED, class_name, refusal_reason='empty statement'
        )
    if keyword in _CLASSIFIERS_BY_KEYWORD:
        return _CLASSIFIERS_BY_KEYWORD[keyword](normalized, class_name)
    try:
        trees = sqlglot.parse(normalized, dialect='mysql')
    except sqlglot.errors.SqlglotError:
        return ClassifiedStatement(Kind.WRITE, class_name)
    if len(trees) != 1 or trees[0] is None:
        return ClassifiedStatement(
            Kind.UNSUPPORTED,
            class_name,
            refusal_reason='several statements in one',
        )
    tree = trees[0]
    node_type = type(tree).__name__
    if node_type in CLASSIFIERS:
        return CLASSIFIERS.get(node_type)(tree, normalized)
    return ClassifiedStatement(Kind.WRITE, class_name, _table_names(tree))


def _class_name(normalized: str) -> core.StatementClass:
    digest = xxhash.xxh3_64_hexdigest(normalized.lower().encode())
    keyword = normalized.split(None, 1)[0].lower() if normalized else 'empty'
    return core.StatementClass(f'{keyword[:12]}-{digest[:10]}')


def _table_names(tree: exp.Expression) -> tuple[str, ...]:
    names = {node.name for node in tree.find_all(exp.Table) if node.name}
    return tuple(sorted(names))


def _function_names(tree: exp.Expression) -> frozenset[str]:
    names = {str(node.this).upper() for node in tree.find_all(exp.Anonymous)}
    names |= {
        node.sql_name().upper()
        for node in tree.find_all(exp.Func)
        if not isinstance(node, exp.Anonymous)
    }
    return frozenset(names)


@CLASSIFIERS.register('Select')
@CLASSIFIERS.register('Union')
@CLASSIFIERS.register('Subquery')
@CLASSIFIERS.register('Intersect')
@CLASSIFIERS.register('Except')
def _classify_query(
    tree: exp.Expression, normalized: str
) -> ClassifiedStatement:
    class_name = _class_name(normalized)
    function_names = _function_names(tree)
    pins_connection = bool(function_names & _LOCK_FUNCTIONS) or bool(
        tree.find(exp.Parameter)
    )
    if function_names & _CONNECTION_FUNCTIONS:
        return ClassifiedStatement(
            Kind.UNSUPPORTED,
            class_name,
            refusal_reason=(
                'a function of one connection, outside a transaction'
            ),
        )
    takes_locks = bool(tree.find(exp.Lock)) or bool(tree.args.get('into'))
    kind = Kind.WRITE if takes_locks or pins_connection else Kind.READ
    return ClassifiedStatement(
        kind, class_name, _table_names(tree), pins_connection
    )


@CLASSIFIERS.register('Set')
def _classify_set(
    tree: exp.Expression, normalized: str
) -> ClassifiedStatement:
    class_name = _class_name(normalized)
    matched = re.fullmatch(
        r'set\s+(?:session\s+|@@(?:session\.)?)?autocommit\s*:?=\s*(\S+)',
        normalized,
        re.IGNORECASE,
    )
    if matched is not None:
        return ClassifiedStatement(Kind.LOCAL, class_name)
    matched = re.match(
        r'set\s+(?:names|character\s+set)\s+(\S+)', normalized, re.IGNORECASE
    )
    if matched is not None:
        charset = matched.group(1).strip('\'"').lower()
        if charset in _UTF8_NAMES or charset == '?':
            return ClassifiedStatement(Kind.LOCAL, class_name)
        return ClassifiedStatement(
            Kind.UNSUPPORTED,
            class_name,
            refusal_reason=f'character set {charset}',
        )
    if re.match(r'set\s+(global|persist|@@global)', normalized, re.IGNORECASE):
        return ClassifiedStatement(
            Kind.UNSUPPORTED, class_name, refusal_reason='a global setting'
        )
    return ClassifiedStatement(Kind.SESSION, class_name, pins_connection=True)


@CLASSIFIERS.register('Create')
def _classify_create(
    tree: exp.Expression, normalized: str
) -> ClassifiedStatement:
    temporary = bool(tree.find(exp.TemporaryProperty))
    kind = Kind.WRITE if temporary else Kind.DDL
    return ClassifiedStatement(
        kind,
        _class_name(normalized),
        _table_names(tree),
        pins_connection=temporary,
    )


@CLASSIFIERS.register('Alter')
@CLASSIFIERS.register('Drop')
@CLASSIFIERS.register('TruncateTable')
def _classify_ddl(
    tree: exp.Expression, normalized: str
) -> ClassifiedStatement:
    return ClassifiedStatement(
        Kind.DDL, _class_name(normalized), _table_names(tree)
    )


@CLASSIFIERS.register('Show')
def _classify_show(
    tree: exp.Expression, normalized: str
) -> ClassifiedStatement:
    class_name = _class_name(normalized)
    if re.match(r'show\s+(warnings|errors)', normalized, re.IGNORECASE):
        return ClassifiedStatement(
            Kind.UNSUPPORTED,
            class_name,
            refusal_reason='warnings of one connection',
        )
    return ClassifiedStatement(Kind.READ, class_name)


def _classify_begin(
    normalized: str, class_name: core.StatementClass
) -> ClassifiedStatement:
    read_only = re.search(r'read\s+only', normalized, re.IGNORECASE)
    kind = Kind.BEGIN_READ_ONLY if read_only else Kind.BEGIN
    return ClassifiedStatement(kind, class_name)


def _classify_start(
    normalized: str, class_name: core.StatementClass
) -> ClassifiedStatement:
    if re.match(r'start\s+transaction', normalized, re.IGNORECASE):
        return _classify_begin(normalized, class_name)
    return ClassifiedStatement(
        Kind.UNSUPPORTED, class_name, refusal_reason='this START'
    )


def _classify_commit(
    normalized: str, class_name: core.StatementClass
) -> ClassifiedStatement:
    if re.search(r'\bchain\b', normalized, re.IGNORECASE):
        return ClassifiedStatement(
            Kind.UNSUPPORTED, class_name, refusal_reason='AND CHAIN'
        )
    return ClassifiedStatement(Kind.COMMIT, class_name)


def _classify_rollback(
    normalized: str, class_name: core.StatementClass
) -> ClassifiedStatement:
    if re.search(r'\bto\b', normalized, re.IGNORECASE):
        return ClassifiedStatement(Kind.WRITE, class_name)
    return ClassifiedStatement(Kind.ROLLBACK, class_name)


def _classify_stateful(
    normalized: str, class_name: core.StatementClass
) -> ClassifiedStatement:
    return ClassifiedStatement(Kind.WRITE, class_name, pins_connection=True)


def _classify_read(
    normalized: str, class_name: core.StatementClass
) -> ClassifiedStatement:
    return ClassifiedStatement(Kind.READ, class_name)


def _classify_unsupported(
    normalized: str, class_name: core.StatementClass
) -> ClassifiedStatement:
    keyword = normalized.split(None, 1)[0].upper()
    return ClassifiedStatement(
        Kind.UNSUPPORTED, class_name, refusal_reason=keyword
    )


_CLASSIFIERS_BY_KEYWORD: dict[
    str, Callable[[str, core.StatementClass], ClassifiedStatement]
] = {
    'BEGIN': _classify_begin,
    'START': _classify_start,
    'COMMIT': _classify_commit,
    'ROLLBACK': _classify_rollback,
    'LOCK': _classify_stateful,
    'UNLOCK': _classify_stateful,
    'PREPARE': _classify_stateful,
    'EXECUTE': _classify_stateful,
    'DEALLOCATE': _classify_stateful,
    'HANDLER': _classify_stateful,
    'EXPLAIN': _classify_read,
    'DESCRIBE': _classify_read,
    'DESC': _classify_read,
    'XA': _classify_unsupported,
    'KILL': _classify_unsupported,
    'SHUTDOWN': _classify_unsupported,
    'LOAD': _classify_unsupported,
    'USE': _classify_unsupported,
}
