"""Links, probes and promotions against groups in memory."""

from __future__ import annotations

import dataclasses

from chicoryusher import core
from chicoryusher import runtime
from chicoryusher.tasks import names
from chicoryusher_standins.pool import group as group_module

__all__ = ['SimLink', 'SimProber', 'SimPromotions']

# Seconds from a command to its answer.
TRIP = 0.005
CONNECT_TIMEOUT = 0.3
PROMOTE_TIME = 0.3


@dataclasses.dataclass(frozen=True, slots=True)
class _Due(core.Message):
    """A message that has been on its way until now."""

    conn_id: core.ConnId
    message: core.Message


class SimLink(runtime.Task):
    """Connections to one instance in memory."""

    def __init__(
        self,
        loop: runtime.Runtime,
        vm: core.VmName,
        instance: group_module.Instance,
        cut: set[tuple[str, str]],
    ) -> None:
        super().__init__(loop, vm, f'link/{names.life_of(instance.entry)}')
        self._instance = instance
        self._cut = cut
        self._lane = names.pool_lane(vm, instance.entry)
        self._conns: dict[core.ConnId, group_module.Connection] = {}
        self.opened = 0

    def _silent(self) -> bool:
        pair = (str(self.vm), str(self._instance.name))
        return self._instance.dark or pair in self._cut

    def _later(
        self, conn_id: core.ConnId, message: core.Message, delay: float
    ) -> None:
        self.after(delay, _Due(conn_id, message))

    @runtime.handles(_Due)
    def _on_due(self, due: _Due) -> None:
        if due.conn_id in self._conns:
            if isinstance(due.message, core.LinkClosed):
                del self._conns[due.conn_id]
            self.send(self._lane, due.message)

    @runtime.handles(core.OpenLink)
    def _on_open(self, message: core.OpenLink) -> None:
        conn_id = message.conn_id
        self._conns[conn_id] = group_module.Connection()
        self.opened += 1
        end = core.LinkEnd
        if self._silent():
            closed = core.LinkClosed(conn_id, end.SILENT)
            self._later(conn_id, closed, CONNECT_TIMEOUT)
        elif self._instance.crashed:
            self._later(conn_id, core.LinkClosed(conn_id, end.REFUSED), TRIP)
        elif self._instance.full:
            self._later(conn_id, core.LinkClosed(conn_id, end.TOO_MANY), TRIP)
        else:
            self._later(conn_id, core.LinkOpened(conn_id, None), TRIP)

    @runtime.handles(core.SendCommands)
    def _on_send(self, message: core.SendCommands) -> None:
        conn_id = message.conn_id
        conn = self._conns.get(conn_id)
        if conn is None or self._silent():
            return
        if self._instance.crashed:
            closed = core.LinkClosed(conn_id, core.LinkEnd.LOST)
            self._later(conn_id, closed, TRIP)
            return
        for command in message.commands:
            reply = self._instance.run(conn, command)
            if not self._instance.lose_answers:
                self._later(conn_id, core.LinkAnswer(conn_id, reply), TRIP)

    @runtime.handles(core.CloseLink)
    def _on_close(self, message: core.CloseLink) -> None:
        self._conns.pop(message.conn_id, None)

    @runtime.handles(core.StopLane)
    def _on_stop(self, message: core.StopLane) -> None:
        self._conns.clear()
        self.end()


class SimProber(runtime.Task):
    """Probes of instances in memory."""

    def __init__(
        self,
        loop: runtime.Runtime,
        vm: core.VmName,
        groups: tuple[group_module.Group, ...],
        cut: set[tuple[str, str]],
    ) -> None:
        super().__init__(loop, vm, 'prober')
        self._timers = loop.timers
        self._cut = cut
        self._instances = {
            name: one
            for group in groups
            for name, one in group.instances.items()
        }

    @runtime.handles(core.ProbeInstance)
    def _on_probe(self, message: core.ProbeInstance) -> None:
        self._probe(message.entry, message.timeout, message.reply_to)

    @runtime.handles(core.DemoteInstance)
    def _on_demote(self, message: core.DemoteInstance) -> None:
        one = self._instances[message.entry.name]
        if one.reachable and message.term > one.term:
            one.role = core.Role.REPLICA
        self._probe(message.entry, message.timeout, message.reply_to)

    def _probe(
        self,
        entry: core.InstanceEntry,
        timeout: float,
        reply_to: core.TaskName,
    ) -> None:
        one = self._instances[entry.name]
        cut = (str(self.vm), str(entry.name)) in self._cut
        if one.reachable and not cut:
            status = core.InstanceStatus(entry.name, True, one.state())
            self._timers.add(TRIP, reply_to, status)
            return
        status = core.InstanceStatus(entry.name, False)
        wait = TRIP if one.crashed and not cut else timeout
        self._timers.add(wait, reply_to, status)


@dataclasses.dataclass(frozen=True, slots=True)
class _Promoted(core.Message):
    """A promotion takes effect."""

    message: core.PromoteInstance


class SimPromotions(runtime.Task):
    """The platform's promotions, which check no token."""

    def __init__(
        self,
        loop: runtime.Runtime,
        vm: core.VmName,
        groups: tuple[group_module.Group, ...],
        tokens: list[tuple[core.VmName, int]],
    ) -> None:
        super().__init__(loop, vm, 'promotions')
        self._timers = loop.timers
        self._groups = {one.service: one for one in groups}
        self._tokens = tokens
        self.lose_answers = False

    @runtime.handles(core.PromoteInstance)
    def _on_promote(self, message: core.PromoteInstance) -> None:
        self._tokens.append((message.holder, message.token))
        one = self._groups[message.service].instances[message.instance]
        result = core.PromoteResult.DONE
        if not one.reachable:
            result = core.PromoteResult.REFUSED
        else:
            self.after(PROMOTE_TIME, _Promoted(message))
        if self.lose_answers:
            result = core.PromoteResult.UNKNOWN
        reply = core.PromoteReplied(message.service, message.token, result)
        self._timers.add(TRIP, message.reply_to, reply)

    @runtime.handles(_Promoted)
    def _on_promoted(self, promoted: _Promoted) -> None:
        message = promoted.message
        self._groups[message.service].promote(message.instance)
