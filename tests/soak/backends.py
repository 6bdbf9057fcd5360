"""Instances on real sockets, over the group in memory."""

from __future__ import annotations

import dataclasses
import json

import stand_ins
from chicoryusher import core
from chicoryusher import runtime
from chicoryusher_standins.pool import group as group_module
from fleet import lines
from fleet import replies
from fleet import statements

HOST = '127.0.0.1'
Op = core.Op
Verb = core.Verb
_PLAIN = {
    'BEGIN': Op.BEGIN,
    'BEGIN READ': Op.BEGIN_READ_ONLY,
    'ROLLBACK': Op.ROLLBACK,
    'RESET': Op.RESET,
    'STATUS': Op.STATUS,
}


def command_of(request_id, text):
    """Return the command in a query's text, as an instance reads it."""
    after = None
    if text.startswith('WAITLSN '):
        _, where, text = text.split(' ', 2)
        after = statements.read_position(where)
    if text in _PLAIN:
        return core.Command(_PLAIN[text], after=after)
    if text.startswith('DEMOTE '):
        return core.Command(Op.DEMOTE, value=text.split(' ')[1])
    found = statements.decode(text)
    if found.verb is Verb.SET:
        return core.Command(Op.SET, name=found.name, value=found.rest)
    if found.verb is Verb.PREPARE:
        return core.Command(Op.PREPARE, name=found.name, shape=found.shape)
    name = found.name if found.verb is Verb.EXECUTE else ''
    return core.Command(
        Op.RUN,
        request_id=core.RequestId(request_id),
        statement=found,
        name=name,
        after=after,
    )


def encoded(reply):
    """Return the lines of an instance's reply."""
    return replies.answer(
        core.SessionAnswer(
            core.SessionId(''),
            core.RequestId(''),
            reply.block,
            reply.rows,
            reply.digest,
            reply.refusal,
            reply.detail,
            reply.position,
        )
    )


class _Conn:
    def __init__(self, stream):
        self.stream = stream
        self.lines = lines.Lines()
        self.state = group_module.Connection()


class Backend(runtime.Task):
    """One instance; answers at once."""

    def __init__(self, loop, instance):
        super().__init__(loop, 'soak', f'instance/{instance.name}')
        self._listener = runtime.Listener(
            (HOST, 0), loop.poller, self.task_name
        )
        self.address = self._listener.address
        self._instance = instance
        self._conns = {}

    @runtime.handles(runtime.SocketReady)
    def _on_ready(self, ready):
        if ready.fileno == self._listener.fileno:
            while (stream := self._listener.accept()) is not None:
                self._conns[stream.fileno] = _Conn(stream)
            return
        conn = self._conns.get(ready.fileno)
        if conn is None or not ready.readable:
            return
        data = conn.stream.read()
        for line in conn.lines.feed(data) if data else ():
            self._take(conn, line)
        conn.stream.flush()
        if conn.stream.closed:
            del self._conns[ready.fileno]
            conn.stream.close()

    def _take(self, conn, line):
        word, _, rest = line.partition(' ')
        one = self._instance
        if word == 'START':
            where = one.position(one.applied)
            conn.stream.write(replies.ready(core.BlockState.IDLE, where))
            return
        request_id, _, text = rest.partition(' ')
        command = command_of(request_id, text)
        if command.op is Op.DEMOTE and int(command.value) > one.term:
            one.role = core.Role.REPLICA
        reply = one.run(conn.state, command)
        if command.op in (Op.STATUS, Op.DEMOTE):
            role = one.role.value
            where = statements.position(one.position(one.received))
            row = f'{role} {one.term} {where} 0 0 0 0'
            reply = one.reply(conn.state, rows=(row,), digest='-')
        conn.stream.write(encoded(reply))


@dataclasses.dataclass(frozen=True, slots=True)
class _Promote(core.Message):
    """A promotion takes effect."""

    name: core.InstanceName


class Promotions(stand_ins.HttpTask):
    """Promotions that take effect a little later.

    ``terms`` has, for each, the commits before it and the term it began.
    """

    DELAY = 0.3

    def __init__(self, loop, group, told):
        super().__init__(loop, 'promote')
        self._group = group
        self._told = told
        self.terms = []

    def answer(self, conn, path, args, body):
        name = core.InstanceName(json.loads(body)['id'])
        conn.reply(200, {})
        self.after(self.DELAY, _Promote(name))

    @runtime.handles(_Promote)
    def _on_promote(self, message):
        self._group.promote(message.name)
        term = self._group.instances[message.name].term
        self.terms.append((len(self._group.commits), term))
        self._told()
