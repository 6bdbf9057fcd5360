"""Links, probes and promotions that act on groups in memory."""

from __future__ import annotations

import dataclasses

from chicoryusher import core
from chicoryusher import runtime
from chicoryusher.tasks import names
from chicoryusher_standins.pool import group as group_module

__all__ = ['SimLink', 'SimProber', 'SimPromotions']

# Time in which a connection is accepted or refused.
REPLY_DELAY_S = 0.005
CONNECT_TIMEOUT_S = 0.3
# Seconds for which a new connection takes a slot, where slots are counted.
OPENING_WORK_S = 0.012
PROMOTE_DELAY_S = 0.3


@dataclasses.dataclass(frozen=True, slots=True)
class _DelayedMessage(core.Message):
    """A message for the instance pool whose network delay is over."""

    conn_id: core.ConnId
    message: core.Message


class SimLink(runtime.Task):
    """Connections of one VM to one instance in memory.

    ``opened`` counts the connections that were requested.  ``cut`` holds
    pairs of names between which no message passes.
    """

    def __init__(
        self,
        loop: runtime.Runtime,
        vm: core.VmName,
        instance: group_module.Instance,
        cut: set[tuple[str, str]],
    ) -> None:
        super().__init__(
            loop, vm, f'link/{names.incarnation_name(instance.entry)}'
        )
        self._instance = instance
        self._cut = cut
        self._instance_pool = names.instance_pool(vm, instance.entry)
        self._conns: dict[core.ConnId, group_module.Connection] = {}
        self.opened = 0

    def _is_unresponsive(self) -> bool:
        pair = (str(self.vm), str(self._instance.name))
        return self._instance.dark or pair in self._cut

    def _send_delayed(
        self, conn_id: core.ConnId, message: core.Message, delay: float
    ) -> None:
        self.after(delay, _DelayedMessage(conn_id, message))

    @runtime.handles(_DelayedMessage)
    def _on_delayed_message(self, delayed: _DelayedMessage) -> None:
        if delayed.conn_id in self._conns:
            if isinstance(delayed.message, core.LinkClosed):
                del self._conns[delayed.conn_id]
            self.send(self._instance_pool, delayed.message)

    @runtime.handles(core.OpenLink)
    def _on_open(self, message: core.OpenLink) -> None:
        conn_id = message.conn_id
        self._conns[conn_id] = group_module.Connection()
        self.opened += 1
        end = core.LinkCloseReason
        if self._is_unresponsive() or self._instance.backlogged:
            closed = core.LinkClosed(conn_id, end.TIMED_OUT)
            self._send_delayed(conn_id, closed, CONNECT_TIMEOUT_S)
        elif self._instance.crashed:
            self._send_delayed(
                conn_id, core.LinkClosed(conn_id, end.REFUSED), REPLY_DELAY_S
            )
        elif self._instance.full:
            self._send_delayed(
                conn_id,
                core.LinkClosed(conn_id, end.TOO_MANY_CONNECTIONS),
                REPLY_DELAY_S,
            )
        else:
            delay = self._instance.delay(self.now(), OPENING_WORK_S)
            self._send_delayed(conn_id, core.LinkOpened(conn_id, None), delay)

    @runtime.handles(core.SendCommands)
    def _on_send(self, message: core.SendCommands) -> None:
        conn_id = message.conn_id
        conn = self._conns.get(conn_id)
        if conn is None or self._is_unresponsive():
            return
        if self._instance.crashed:
            closed = core.LinkClosed(conn_id, core.LinkCloseReason.LOST)
            self._send_delayed(conn_id, closed, REPLY_DELAY_S)
            return
        for command in message.commands:
            reply = self._instance.run(conn, command)
            if not self._instance.lose_answers:
                self._send_delayed(
                    conn_id,
                    core.LinkReply(conn_id, reply),
                    self._instance.statement_delay(self.now(), command.op),
                )

    def lose_connections(self) -> None:
        """Lose all connections, as when the instance restarts."""
        for conn_id in self._conns:
            closed = core.LinkClosed(conn_id, core.LinkCloseReason.LOST)
            self._send_delayed(conn_id, closed, 0.0)

    @runtime.handles(core.CloseLink)
    def _on_close(self, message: core.CloseLink) -> None:
        self._conns.pop(message.conn_id, None)

    def end(self) -> None:
        """Close all connections and end, since the instance has gone."""
        self._conns.clear()
        super().end()


class SimProber(runtime.Task):
    """Probes instances in memory, and demotes them on request."""

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
            name: instance
            for group in groups
            for name, instance in group.instances.items()
        }

    def add(self, instance: group_module.Instance) -> None:
        """Add an instance that was registered later."""
        self._instances[instance.name] = instance

    @runtime.handles(core.ProbeInstance)
    def _on_probe(self, message: core.ProbeInstance) -> None:
        self._probe(message.entry, message.timeout, message.reply_to)

    @runtime.handles(core.DemoteInstance)
    def _on_demote(self, message: core.DemoteInstance) -> None:
        instance = self._instances[message.entry.name]
        if instance.reachable and message.term > instance.term:
            instance.role = core.Role.REPLICA
        self._probe(message.entry, message.timeout, message.reply_to)

    def _probe(
        self,
        entry: core.InstanceEntry,
        timeout: float,
        reply_to: core.TaskName,
    ) -> None:
        instance = self._instances[entry.name]
        is_cut = (str(self.vm), str(entry.name)) in self._cut
        if instance.reachable and not is_cut and not instance.backlogged:
            status = core.InstanceProbeResult(
                entry.name, True, instance.state()
            )
            self._timers.add(REPLY_DELAY_S, reply_to, status)
            return
        status = core.InstanceProbeResult(entry.name, False)
        delay = REPLY_DELAY_S if instance.crashed and not is_cut else timeout
        self._timers.add(delay, reply_to, status)


@dataclasses.dataclass(frozen=True, slots=True)
class _PromotionDone(core.Message):
    """The promotion of an instance takes effect now."""

    message: core.PromoteInstance


class SimPromotions(runtime.Task):
    """The platform's promotion call, without its check of tokens.

    The tokens are recorded, so that tests can check their order.  With
    ``lose_answers`` promotions are done but their result is unknown.
    """

    def __init__(
        self,
        loop: runtime.Runtime,
        vm: core.VmName,
        groups: tuple[group_module.Group, ...],
        tokens: list[tuple[core.VmName, int]],
    ) -> None:
        super().__init__(loop, vm, 'promotions')
        self._timers = loop.timers
        self._groups = {group.service: group for group in groups}
        self._tokens = tokens
        self.lose_answers = False

    @runtime.handles(core.PromoteInstance)
    def _on_promote(self, message: core.PromoteInstance) -> None:
        self._tokens.append((message.coordinator, message.token))
        target = self._groups[message.service].instances[message.instance]
        result = core.PromoteResult.DONE
        if not target.reachable:
            result = core.PromoteResult.REFUSED
        else:
            self.after(PROMOTE_DELAY_S, _PromotionDone(message))
        if self.lose_answers:
            result = core.PromoteResult.UNKNOWN
        reply = core.PromotionReply(message.service, message.token, result)
        self._timers.add(REPLY_DELAY_S, message.reply_to, reply)

    @runtime.handles(_PromotionDone)
    def _on_promoted(self, promoted: _PromotionDone) -> None:
        message = promoted.message
        self._groups[message.service].promote(message.instance)
