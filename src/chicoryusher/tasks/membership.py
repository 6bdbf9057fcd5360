"""Membership: which VMs are alive, for the other tasks of this VM.

It exchanges heartbeats with a few other VMs, reads the platform's list
of VMs, and reports the live VMs whenever they change.
"""

from __future__ import annotations

from chicoryusher import core
from chicoryusher import decisions
from chicoryusher import runtime
from chicoryusher.tasks import names
from chicoryusher.tasks import task_messages

__all__ = ['MembershipTask']

HEARTBEAT_INTERVAL_S = 0.5
# Reads of the platform's list by all VMs together.
MAX_LIST_READS_PER_S = 80.0
MIN_LIST_INTERVAL_S = 2.0


class _HeartbeatDue(core.Message):
    """Timer: send heartbeats and check for missing ones."""


class _ListReadDue(core.Message):
    """Timer: read the platform's list of VMs."""


class MembershipTask(runtime.Task):
    """Task that finds out which VMs are alive.

    The number of its heartbeats does not grow with the number of VMs.
    """

    def __init__(self, loop: runtime.Runtime, vm: core.VmName) -> None:
        super().__init__(loop, vm, 'membership')
        self._membership = decisions.Membership(vm)
        self._vms: tuple[core.VmName, ...] = ()
        self._config_version = core.ConfigVersion(0)
        self._leaving = False
        self._reported_live: tuple[core.VmName, ...] = ()
        self.after(HEARTBEAT_INTERVAL_S, _HeartbeatDue())
        self.after(0.0, _ListReadDue())

    @runtime.handles(task_messages.ConfigUpdate)
    def _on_config(self, message: task_messages.ConfigUpdate) -> None:
        self._config_version = message.config.version
        self._vms = tuple(other.name for other in message.config.vms)
        self._membership.set_configured(self._vms, self.now())
        monitored = [
            other
            for other in self._vms
            if other != self.vm
            and self.vm in decisions.choose_heartbeat_targets(other, self._vms)
        ]
        self._membership.set_monitored(monitored, self.now())
        self._report_live(True)
        self._send_heartbeats()

    @runtime.handles(_HeartbeatDue)
    def _on_heartbeat_due(self, timer: _HeartbeatDue) -> None:
        self.after(HEARTBEAT_INTERVAL_S, _HeartbeatDue())
        changed = self._membership.check_timeouts(self.now())
        self._send_heartbeats()
        self._report_live(changed)

    def _send_heartbeats(self) -> None:
        heartbeat = core.Heartbeat(
            self.vm,
            self._leaving,
            self._config_version,
            self._membership.suspected(),
        )
        for vm in decisions.choose_heartbeat_targets(self.vm, self._vms):
            self.send(names.peers(self.vm), core.SendToPeer(vm, heartbeat))

    @runtime.handles(core.Heartbeat)
    def _on_heartbeat(self, heartbeat: core.Heartbeat) -> None:
        now = self.now()
        changed = self._membership.record_contact(
            heartbeat.vm, heartbeat.leaving, now
        )
        for suspect in heartbeat.suspects:
            changed |= self._membership.record_unreachable_report(
                heartbeat.vm, suspect, now
            )
        self._report_live(changed)
        if heartbeat.config_version > self._config_version:
            self.send(
                names.peers(self.vm),
                core.SendToPeer(
                    heartbeat.vm,
                    core.FetchConfig(self.vm, self._config_version),
                ),
            )

    @runtime.handles(core.PeerUp)
    def _on_up(self, up: core.PeerUp) -> None:
        self._report_live(
            self._membership.record_contact(up.vm, False, self.now())
        )

    @runtime.handles(core.PeerDown)
    def _on_down(self, down: core.PeerDown) -> None:
        self._report_live(
            self._membership.record_stream_loss(down.vm, self.now())
        )

    @runtime.handles(_ListReadDue)
    def _on_list_read_due(self, timer: _ListReadDue) -> None:
        interval = max(
            MIN_LIST_INTERVAL_S, len(self._vms) / MAX_LIST_READS_PER_S
        )
        self.after(interval, _ListReadDue())
        self.send(
            names.platform_client(self.vm), core.VmListRequest(self.task_name)
        )

    @runtime.handles(core.VmList)
    def _on_list(self, answer: core.VmList) -> None:
        if answer.error is not None:
            return
        listed = [core.VmName(entry.name) for entry in answer.vms]
        leaving = [
            core.VmName(entry.name) for entry in answer.vms if entry.leaving
        ]
        self._report_live(
            self._membership.apply_vm_list(listed, leaving, self.now())
        )

    @runtime.handles(core.Drain)
    def _on_drain(self, drain: core.Drain) -> None:
        self._leaving = True
        self._send_heartbeats()

    def _report_live(self, changed: bool) -> None:
        """Report the live VMs and the states of all VMs if they changed."""
        if not self._vms:
            return
        live = self._membership.usable()
        if self._leaving:
            live = tuple(member for member in live if member != self.vm)
        if not changed and live == self._reported_live:
            return
        self._reported_live = live
        states = tuple(
            (member.name, member.state)
            for member in self._membership.records()
        )
        message = core.LiveVms(live, states)
        self.send(names.router(self.vm), message)
        self.send(names.node(self.vm), message)
        self.send(names.config_evidence(self.vm), message)
        self.send(names.peers(self.vm), message)
        for name, state in states:
            if state is not core.VmState.LIVE:
                self.log.emit(
                    core.LogEvent.VM_STATE, other=str(name), state=state.value
                )

    @runtime.handles(task_messages.StateQuery)
    def _on_query(self, query: task_messages.StateQuery) -> None:
        rows = tuple(
            (('vm', str(record.name)), ('state', record.state.value))
            for record in self._membership.records()
        )
        own = (('vm', str(self.vm)), ('state', 'live'))
        self.send(
            query.reply_to,
            task_messages.StateReport(
                self.task_name, query.number, (own, *rows)
            ),
        )
