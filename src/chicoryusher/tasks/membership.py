"""The membership task: heartbeats, the platform's list, live VMs."""

from __future__ import annotations

from chicoryusher import core
from chicoryusher import decisions
from chicoryusher import runtime
from chicoryusher.tasks import names
from chicoryusher.tasks import notices

__all__ = ['MembershipTask']

HEARTBEAT_INTERVAL = 0.5
LIST_READS_PER_SECOND = 80.0
MIN_LIST_INTERVAL = 2.0


class _Beat(core.Message):
    """Time to send heartbeats and judge silence."""


class _List(core.Message):
    """Time to read the platform's list."""


class MembershipTask(runtime.Task):
    """Know which VMs live, with a constant number of heartbeats."""

    def __init__(self, loop: runtime.Runtime, vm: core.VmName) -> None:
        super().__init__(loop, vm, 'membership')
        self._membership = decisions.Membership(vm)
        self._vms: tuple[core.VmName, ...] = ()
        self._config = core.ConfigVersion(0)
        self._leaving = False
        self._told: tuple[core.VmName, ...] = ()
        self.after(HEARTBEAT_INTERVAL, _Beat())
        self.after(0.0, _List())

    @runtime.handles(notices.ConfigInForce)
    def _on_config(self, message: notices.ConfigInForce) -> None:
        self._config = message.config.version
        self._vms = tuple(one.name for one in message.config.vms)
        self._membership.configured(self._vms, self.now())
        watched = [
            one
            for one in self._vms
            if one != self.vm
            and self.vm in decisions.neighbours_of(one, self._vms)
        ]
        self._membership.watch(watched, self.now())
        self._tell(True)
        self._beat()

    @runtime.handles(_Beat)
    def _on_beat(self, beat: _Beat) -> None:
        self.after(HEARTBEAT_INTERVAL, _Beat())
        changed = self._membership.tick(self.now())
        self._beat()
        self._tell(changed)

    def _beat(self) -> None:
        heartbeat = core.Heartbeat(
            self.vm,
            self._leaving,
            self._config,
            self._membership.suspected(),
        )
        for vm in decisions.neighbours_of(self.vm, self._vms):
            self.send(names.peers(self.vm), core.ToPeer(vm, heartbeat))

    @runtime.handles(core.Heartbeat)
    def _on_heartbeat(self, beat: core.Heartbeat) -> None:
        now = self.now()
        changed = self._membership.heard(beat.vm, beat.leaving, now)
        for suspect in beat.suspects:
            changed |= self._membership.witnessed(beat.vm, suspect, now)
        self._tell(changed)
        if beat.config > self._config:
            self.send(
                names.peers(self.vm),
                core.ToPeer(beat.vm, core.ConfigFetch(self.vm, self._config)),
            )

    @runtime.handles(core.PeerUp)
    def _on_up(self, up: core.PeerUp) -> None:
        self._tell(self._membership.heard(up.vm, False, self.now()))

    @runtime.handles(core.PeerDown)
    def _on_down(self, down: core.PeerDown) -> None:
        self._tell(self._membership.lost_stream(down.vm, self.now()))

    @runtime.handles(_List)
    def _on_list_turn(self, turn: _List) -> None:
        interval = max(
            MIN_LIST_INTERVAL, len(self._vms) / LIST_READS_PER_SECOND
        )
        self.after(interval, _List())
        self.send(names.table(self.vm), core.VmListRequest(self.task_name))

    @runtime.handles(core.VmList)
    def _on_list(self, answer: core.VmList) -> None:
        if answer.error is not None:
            return
        listed = [core.VmName(one.name) for one in answer.vms]
        leaving = [core.VmName(one.name) for one in answer.vms if one.leaving]
        self._tell(self._membership.listed(listed, leaving, self.now()))

    @runtime.handles(core.Drain)
    def _on_drain(self, drain: core.Drain) -> None:
        self._leaving = True
        self._beat()

    def _tell(self, changed: bool) -> None:
        if not self._vms:
            return
        live = self._membership.live()
        if self._leaving:
            live = tuple(one for one in live if one != self.vm)
        if not changed and live == self._told:
            return
        self._told = live
        states = tuple(
            (one.name, one.state) for one in self._membership.records()
        )
        message = core.LiveVms(live, states)
        self.send(names.router(self.vm), message)
        self.send(names.node(self.vm), message)
        self.send(names.peers(self.vm), message)
        for name, state in states:
            if state is not core.VmState.LIVE:
                self.log.emit(
                    core.LogEvent.VM_STATE, other=str(name), state=state.value
                )

    @runtime.handles(notices.Ask)
    def _on_ask(self, ask: notices.Ask) -> None:
        rows = tuple(
            (('vm', str(one.name)), ('state', one.state.value))
            for one in self._membership.records()
        )
        own = (('vm', str(self.vm)), ('state', 'live'))
        self.send(
            ask.reply_to,
            notices.Told(self.task_name, ask.number, (own, *rows)),
        )
