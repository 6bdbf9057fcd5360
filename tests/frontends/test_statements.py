from __future__ import annotations

import pytest

from chicoryusher import core
from chicoryusher.frontends import mysql

Kind = core.StatementKind


@pytest.mark.parametrize(
    ('sql', 'kind', 'pins_connection'),
    [
        ('SELECT * FROM lots WHERE id = 1', Kind.READ, False),
        ('select 1 union select 2', Kind.READ, False),
        ('SELECT * FROM lots FOR UPDATE', Kind.WRITE, False),
        ("SELECT GET_LOCK('a', 1)", Kind.WRITE, True),
        ('SELECT @x', Kind.WRITE, True),
        ("INSERT INTO lots VALUES (1, 'a')", Kind.WRITE, False),
        ('CREATE TABLE a (id INT)', Kind.DDL, False),
        ('CREATE TEMPORARY TABLE a (id INT)', Kind.WRITE, True),
        ('DROP TABLE a', Kind.DDL, False),
        ('BEGIN', Kind.BEGIN, False),
        ('START TRANSACTION READ ONLY', Kind.BEGIN_READ_ONLY, False),
        ('COMMIT', Kind.COMMIT, False),
        ('ROLLBACK TO SAVEPOINT a', Kind.WRITE, False),
        ('SET NAMES utf8mb4', Kind.LOCAL, False),
        ('SET NAMES latin1', Kind.UNSUPPORTED, False),
        ('SET autocommit = 0', Kind.LOCAL, False),
        ('SET @a = 1', Kind.SESSION, True),
        ('SET GLOBAL a = 1', Kind.UNSUPPORTED, False),
        ('SELECT 1; DROP TABLE lots', Kind.UNSUPPORTED, False),
        ('THIS IS NOT SQL', Kind.WRITE, False),
        ('', Kind.UNSUPPORTED, False),
    ],
)
def test_statements_are_classified(sql, kind, pins_connection):
    statement = mysql.classify(sql)
    assert (statement.kind, statement.pins_connection) == (
        kind,
        pins_connection,
    )


def test_literals_and_comments_keep_the_statement_class():
    first = mysql.classify("SELECT a FROM t WHERE b = 'x' /*deadline='1'*/")
    second = mysql.classify('SELECT a FROM t WHERE b = 17')
    assert first.statement_class == second.statement_class
    assert first.tables == ('t',)


def test_marks_are_read_from_comments():
    marks = mysql.marks_from_comments(
        "SELECT 1 /*max_staleness='0.5',idempotency_key='a%20b'*/"
    )
    assert marks.max_staleness == 0.5
    assert marks.idempotency_key == 'a b'
    assert mysql.marks_from_comments('SELECT 1') is None
