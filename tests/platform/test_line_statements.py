from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from chicoryusher import core
from fleet import lines
from fleet import statements

Verb = core.Verb
Op = core.Op
AFTER = core.Position(core.Term(3), core.LogPosition(1207))


@pytest.mark.parametrize(
    ('text', 'verb', 'name', 'rest'),
    [
        ('BEGIN', Verb.BEGIN, '', ''),
        ('BEGIN READ', Verb.BEGIN_READ_ONLY, '', ''),
        ('COMMIT', Verb.COMMIT, '', ''),
        ('ROLLBACK', Verb.ROLLBACK, '', ''),
        ('READ 1a4', Verb.READ, '1a4', ''),
        ('WRITE 1a4 some data', Verb.WRITE, '1a4', 'some data'),
        ('SET tz a b', Verb.SET, 'tz', 'a b'),
        ('EXECUTE s1 1a4 x y', Verb.EXECUTE, 's1', '1a4 x y'),
        ('DEALLOC s1', Verb.DEALLOCATE, 's1', ''),
    ],
)
def test_statement_texts(text, verb, name, rest):
    statement = statements.decode(text)
    assert (statement.verb, statement.name, statement.arguments) == (
        verb,
        name,
        rest,
    )
    assert statement.text == text


def test_prepare_names_a_kind_and_a_template():
    statement = statements.decode('PREPARE s1 WRITE q2c')
    assert statement.prepared == core.PreparedQuery(
        core.PreparedQueryKind.WRITE, 'q2c'
    )


@pytest.mark.parametrize(
    'text',
    [
        '',
        'begin',
        'BEGIN WRITE',
        'COMMIT now',
        'READ',
        'READ a b',
        'PREPARE s1 DROP x',
        'PREPARE s1 READ',
        'EXECUTE s1',
        'DEALLOC s1 s2',
        'WAITLSN 3.1 READ a',
        'STATUS',
        'RESET',
        'DEMOTE 9',
        f'READ {"x" * 300}',
    ],
)
def test_a_text_that_is_not_a_callers_statement_is_refused(text):
    with pytest.raises(lines.LineError):
        statements.decode(text)


@given(st.text(max_size=60))
def test_any_text_is_a_statement_or_a_typed_error(text):
    try:
        statements.decode(text)
    except lines.LineError:
        return


def test_a_statement_follows_unchanged_after_the_position_to_wait_for():
    read = statements.decode('READ 1a4')
    command = core.Command(
        Op.RUN, core.RequestId('5c0e'), read, min_position=AFTER
    )
    line = b'QUERY 5c0e WAITLSN 3.1207 READ 1a4\r\n'
    assert statements.encode(command) == line


def test_execute_uses_the_connections_name_of_the_prepared_statement():
    execute = statements.decode('EXECUTE s1 1a4 x')
    command = core.Command(Op.RUN, core.RequestId('5c0e'), execute, 'p0')
    assert statements.encode(command) == b'QUERY 5c0e EXECUTE p0 1a4 x\r\n'


@pytest.mark.parametrize(
    ('command', 'text'),
    [
        (core.Command(Op.BEGIN), 'BEGIN'),
        (core.Command(Op.BEGIN_READ_ONLY), 'BEGIN READ'),
        (core.Command(Op.ROLLBACK), 'ROLLBACK'),
        (core.Command(Op.RESET), 'RESET'),
        (core.Command(Op.SET, name='tz', value='a b'), 'SET tz a b'),
        (
            core.Command(
                Op.PREPARE,
                name='p0',
                prepared=core.PreparedQuery(
                    core.PreparedQueryKind.READ, 'q2c'
                ),
            ),
            'PREPARE p0 READ q2c',
        ),
        (core.Command(Op.STATUS), 'STATUS'),
        (core.Command(Op.DEMOTE, value='4'), 'DEMOTE 4'),
    ],
)
def test_commands_that_the_proxy_adds_have_no_request_id(command, text):
    assert statements.encode(command) == f'QUERY - {text}\r\n'.encode()


@pytest.mark.parametrize('text', ['-', '', '3', '3.', '.5', 'a.b', '3.5.7'])
def test_a_text_that_is_not_a_position_is_none(text):
    assert statements.decode_position(text) is None


def test_positions_are_encoded_and_decoded():
    assert (
        statements.decode_position(statements.encode_position(AFTER)) == AFTER
    )
    assert statements.encode_position(None) == '-'
