"""Simulated edges of a node: instances, agents, platform and peers.

They implement the ports that ``tasks.Node`` needs, on the virtual clock.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from typing import TYPE_CHECKING

from chicoryusher import core
from chicoryusher import decisions
from chicoryusher import peers
from chicoryusher import runtime
from chicoryusher import tasks
from chicoryusher.peers import codec
from chicoryusher_standins import platform as platform_module
from chicoryusher_standins.lab import instance as instance_module
from chicoryusher_standins.lab import network

if TYPE_CHECKING:
    from chicoryusher_standins.lab import site as site_module

__all__ = ['SimEdges', 'SimVm']

CONNECT_DELAY_S = 0.012
MESSAGE_OVERHEAD_BYTES = 120
FRAME_OVERHEAD_BYTES = 71
PROBE_BYTES = 400
PLATFORM_BYTES = 420
VM_ROW_BYTES = 36
PLATFORM_TIMEOUT_S = 1.0
PLATFORM_DELAY_S = 0.002


@dataclasses.dataclass(slots=True)
class SimVm:
    """One entry VM: its place, and since when it is paused, if it is."""

    name: core.VmName
    place: network.Place
    alive: bool = True
    paused_at: float | None = None

    def arrive(self, act: Callable[[], None]) -> None:
        """Call ``act`` unless the VM is dead.

        While the VM is paused the event loop holds back what ``act`` sends.
        """
        if self.alive:
            act()


@dataclasses.dataclass(frozen=True, slots=True)
class _Opened(core.Message):
    """The connect delay of a new connection is over."""

    conn_id: core.ConnId


class SimLink(runtime.Task):
    """The connections of one gate to one simulated instance."""

    def __init__(
        self,
        site: site_module.Site,
        vm: SimVm,
        spec: decisions.InstanceSpec,
    ) -> None:
        super().__init__(site.loop, vm.name, f'link/{spec.name}')
        self._site = site
        self._vm = vm
        self._server = site.servers[spec.name]
        self._gate = tasks.names.gate(vm.name, spec.name)
        self._conns: dict[core.ConnId, instance_module.SimConn] = {}
        self._has_gate_lock = False

    def _send_to_instance(self, size: int, act: Callable[[], None]) -> None:
        self._site.network.carry(self._vm.place, self._server.place, size, act)

    def _send_to_gate(self, size: int, message: core.Message) -> None:
        def arrive() -> None:
            self._vm.arrive(lambda: self.send(self._gate, message))

        self._site.network.carry(
            self._server.place, self._vm.place, size, arrive
        )

    @runtime.handles(core.ClaimGate)
    def _on_claim(self, message: core.ClaimGate) -> None:
        def act() -> None:
            server = self._server
            if not server.model.running:
                if not server.model.alive:
                    self._send_to_gate(
                        MESSAGE_OVERHEAD_BYTES, core.GateClaimed(False)
                    )
                return
            if not self._site.lock_is_free(server, self.vm):
                self._send_to_gate(
                    MESSAGE_OVERHEAD_BYTES, core.GateClaimed(False)
                )
                return
            server.lock_owner = self.vm
            server.close_others(self.vm)
            self._has_gate_lock = True
            self._send_to_gate(MESSAGE_OVERHEAD_BYTES, core.GateClaimed(True))
            self._site.links_broken(server)

        self._send_to_instance(MESSAGE_OVERHEAD_BYTES, act)

    @runtime.handles(core.ReleaseGate)
    def _on_release(self, message: core.ReleaseGate) -> None:
        def act() -> None:
            if self._server.lock_owner == self.vm:
                self._server.lock_owner = None

        self._send_to_instance(MESSAGE_OVERHEAD_BYTES, act)

    @runtime.handles(core.OpenConn)
    def _on_open(self, message: core.OpenConn) -> None:
        def act() -> None:
            conn = self._server.connect(self.vm)
            if conn is None:
                self._send_to_gate(
                    MESSAGE_OVERHEAD_BYTES,
                    core.ConnClosed(message.conn_id, True),
                )
                return
            self._conns[message.conn_id] = conn
            self.after(CONNECT_DELAY_S, _Opened(message.conn_id))

        self._send_to_instance(MESSAGE_OVERHEAD_BYTES, act)

    @runtime.handles(_Opened)
    def _on_opened(self, message: _Opened) -> None:
        if message.conn_id in self._conns:
            self._send_to_gate(
                MESSAGE_OVERHEAD_BYTES, core.ConnOpened(message.conn_id)
            )

    @runtime.handles(core.CloseConn)
    def _on_close(self, message: core.CloseConn) -> None:
        conn = self._conns.pop(message.conn_id, None)
        if conn is not None:
            self._send_to_instance(
                MESSAGE_OVERHEAD_BYTES, lambda: self._server.close(conn)
            )

    @runtime.handles(core.RunOnConn)
    def _on_run(self, message: core.RunOnConn) -> None:
        conn = self._conns.get(message.conn_id)
        if conn is None or conn.closed:
            self.send(self._gate, core.ConnClosed(message.conn_id))
            return

        def reply(result: instance_module.Reply) -> None:
            self._send_to_gate(
                len(result.data) + MESSAGE_OVERHEAD_BYTES,
                core.ConnAnswer(
                    message.conn_id,
                    result.data,
                    True,
                    result.error_code,
                    result.position,
                    result.in_transaction,
                ),
            )

        def act() -> None:
            if conn.closed:
                self._send_to_gate(
                    MESSAGE_OVERHEAD_BYTES, core.ConnClosed(message.conn_id)
                )
                return
            self._server.run(conn, message.payload.command, reply)

        self._send_to_instance(
            message.payload.size() + MESSAGE_OVERHEAD_BYTES, act
        )

    @property
    def server(self) -> instance_module.SimServer:
        """Return the instance that this link connects to."""
        return self._server

    def broken(self) -> None:
        """Report connections and locks that the instance ended to the gate."""
        for conn_id, conn in tuple(self._conns.items()):
            if conn.closed:
                del self._conns[conn_id]
                self._send_to_gate(
                    MESSAGE_OVERHEAD_BYTES, core.ConnClosed(conn_id)
                )
        if self._has_gate_lock and self._server.lock_owner != self.vm:
            self._has_gate_lock = False
            self._send_to_gate(MESSAGE_OVERHEAD_BYTES, core.GateLost())


class SimAgent(runtime.Task):
    """Client of one simulated group agent."""

    def __init__(
        self,
        site: site_module.Site,
        vm: SimVm,
        spec: decisions.InstanceSpec,
    ) -> None:
        super().__init__(site.loop, vm.name, f'agent/{spec.name}')
        self._site = site
        self._vm = vm
        self._server = site.servers[spec.name]
        self._group = tasks.names.group_monitor(vm.name, spec.database)

    def _call(self, act: Callable[[], core.Message]) -> None:
        """Run ``act`` at the instance and return its result to the group."""
        site, server, vm = self._site, self._server, self._vm

        def send_back(message: core.Message) -> None:
            site.network.carry(
                server.place,
                vm.place,
                MESSAGE_OVERHEAD_BYTES,
                lambda: vm.arrive(lambda: self.send(self._group, message)),
                'control',
            )

        def on_arrival() -> None:
            if server.model.running:
                server.group.advance(self.now())
                send_back(act())

        site.network.carry(
            vm.place,
            server.place,
            MESSAGE_OVERHEAD_BYTES,
            on_arrival,
            'control',
        )

    @runtime.handles(core.Probe)
    def _on_probe(self, probe: core.Probe) -> None:
        self._site.control_bytes[self.vm] += PROBE_BYTES
        name = self._server.model.name
        if not self._server.model.alive:
            self.send(
                self._group, core.ProbeAnswer(name, probe.sequence, False)
            )
            return
        group = self._server.group
        self._call(lambda: group.probe(name, probe.sequence, self.now()))

    @runtime.handles(core.Fence)
    def _on_fence(self, fence: core.Fence) -> None:
        group, model = self._server.group, self._server.model

        def act() -> core.Message:
            accepted = group.fence(model.name, fence.term, fence.candidate)
            return core.FenceAnswer(
                model.name, fence.term, accepted, model.received_position()
            )

        self._call(act)

    @runtime.handles(core.Promote)
    def _on_promote(self, promote: core.Promote) -> None:
        group, model = self._server.group, self._server.model

        def act() -> core.Message:
            accepted = group.promote(
                model.name, promote.term, promote.candidate, self.now()
            )
            return core.PromoteAnswer(model.name, promote.term, accepted)

        self._call(act)


@dataclasses.dataclass(frozen=True, slots=True)
class _DelayedAnswer(core.Message):
    """The answer of a platform call, or its time-out, is due."""

    reply_to: core.TaskName
    answer: core.Message


class SimPlatform(runtime.Task):
    """Client of the simulated platform, subject to its faults."""

    def __init__(self, site: site_module.Site, vm: SimVm) -> None:
        super().__init__(site.loop, vm.name, 'platform')
        self._site = site
        self._vm = vm

    def _call(
        self,
        reply_to: core.TaskName,
        act: Callable[[], core.Message],
        timeout_answer: core.Message,
        writes: bool = False,
    ) -> None:
        site, model = self._site, self._site.platform
        site.control_bytes[self.vm] += PLATFORM_BYTES
        is_cut_off = self._vm.place.zone in site.platform_unreachable
        if (
            is_cut_off
            or model.down
            or not site.network.reaches(self._vm.place, site.platform_place)
        ):
            self.after(
                PLATFORM_TIMEOUT_S, _DelayedAnswer(reply_to, timeout_answer)
            )
            return
        answer = act()
        if writes and model.lose_answers > 0:
            model.lose_answers -= 1
            self.after(
                PLATFORM_TIMEOUT_S, _DelayedAnswer(reply_to, timeout_answer)
            )
            return
        delay = site.network.delay(self._vm.place, site.platform_place)
        round_trip_s = 2 * delay + PLATFORM_DELAY_S + model.slow
        if round_trip_s >= PLATFORM_TIMEOUT_S:
            self.after(
                PLATFORM_TIMEOUT_S, _DelayedAnswer(reply_to, timeout_answer)
            )
        else:
            self.after(round_trip_s, _DelayedAnswer(reply_to, answer))

    @runtime.handles(_DelayedAnswer)
    def _on_delayed_answer(self, delayed: _DelayedAnswer) -> None:
        self._vm.arrive(lambda: self.send(delayed.reply_to, delayed.answer))

    @runtime.handles(core.TableGet)
    def _on_get(self, message: core.TableGet) -> None:
        def act() -> core.Message:
            row = self._site.platform.get(message.key)
            return dataclasses.replace(
                _answer(message.key, row), requested_at=message.requested_at
            )

        timeout_answer = core.TableAnswer(
            message.key, error=core.PlatformUnknown('no answer')
        )
        self._call(message.reply_to, act, timeout_answer)

    @runtime.handles(core.TablePut)
    def _on_put(self, message: core.TablePut) -> None:
        def act() -> core.Message:
            model = self._site.platform
            row = model.put(
                message.key, message.value, message.expected_version
            )
            if row is not None:
                return _answer(message.key, row, put=True)
            current = _answer(
                message.key, model.rows.get(message.key), put=True
            )
            return dataclasses.replace(
                current, error=core.PlatformRefused('the version has changed')
            )

        timeout_answer = core.TableAnswer(
            message.key, is_put=True, error=core.PlatformUnknown('no answer')
        )
        self._call(message.reply_to, act, timeout_answer, True)

    @runtime.handles(core.ObjectGet)
    def _on_object_get(self, message: core.ObjectGet) -> None:
        def act() -> core.Message:
            value = self._site.platform.objects.get(message.key)
            self._site.control_bytes[self.vm] += len(value or b'')
            return core.ObjectAnswer(message.key, value)

        timeout_answer = core.ObjectAnswer(
            message.key, error=core.PlatformUnknown('no answer')
        )
        self._call(message.reply_to, act, timeout_answer)

    @runtime.handles(core.ObjectPut)
    def _on_object_put(self, message: core.ObjectPut) -> None:
        def act() -> core.Message:
            self._site.platform.objects[message.key] = message.value
            return core.ObjectAnswer(message.key, is_put=True)

        timeout_answer = core.ObjectAnswer(
            message.key, is_put=True, error=core.PlatformUnknown('no answer')
        )
        self._call(message.reply_to, act, timeout_answer)

    @runtime.handles(core.VmListRequest)
    def _on_list(self, message: core.VmListRequest) -> None:
        def act() -> core.Message:
            vm_count = len(self._site.platform.vms)
            self._site.control_bytes[self.vm] += VM_ROW_BYTES * vm_count
            return core.VmList(
                tuple(
                    core.ListedVm(name, leaving)
                    for name, leaving in self._site.platform.vms.items()
                )
            )

        timeout_answer = core.VmList(error=core.PlatformUnknown('no answer'))
        self._call(message.reply_to, act, timeout_answer)


def _answer(
    key: str, row: platform_module.Row | None, put: bool = False
) -> core.TableAnswer:
    if row is None:
        return core.TableAnswer(key, is_put=put)
    return core.TableAnswer(key, row.version, row.value, put)


class SimPeers(runtime.Task):
    """Streams to other VMs; every message is encoded and decoded."""

    def __init__(self, site: site_module.Site, vm: SimVm) -> None:
        super().__init__(site.loop, vm.name, 'peers')
        self._site = site
        self._vm = vm
        self._gone_vms: set[core.VmName] = set()

    @runtime.handles(tasks.ConfigUpdate)
    def _on_config(self, message: tasks.ConfigUpdate) -> None:
        """Ignore the configuration: every VM of the site is known."""

    @runtime.handles(core.LiveVms)
    def _on_live(self, message: core.LiveVms) -> None:
        gone = {
            name
            for name, state in message.states
            if state is core.VmState.GONE
        }
        for name in gone - self._gone_vms:
            self.peer_down(name)
        self._gone_vms = gone

    @runtime.handles(core.SendToPeer)
    def _on_send(self, message: core.SendToPeer) -> None:
        other = self._site.vms.get(message.vm)
        if other is None or not other.alive:
            router = tasks.names.router(self.vm)
            undelivered = tasks.Undelivered(message.vm, message.message)
            self.send(router, undelivered)
            return
        data = codec.encode(message.message)
        control = isinstance(
            message.message,
            core.Heartbeat
            | core.FetchConfig
            | core.ConfigOffer
            | core.AskConfigAge
            | core.ConfigAge
            | core.FollowLimitKeeper
            | core.LimitKeeperStamp
            | core.AskAllowance
            | core.GrantAllowance,
        )
        received = codec.unpack_frame(data)[0]

        if control:
            self._site.control_bytes[self.vm] += (
                len(data) + FRAME_OVERHEAD_BYTES
            )

        def arrive() -> None:
            other.arrive(lambda: self._receive(other, received))

        self._site.network.carry(
            self._vm.place,
            other.place,
            len(data),
            arrive,
            'control' if control else 'statements',
        )

    def _receive(self, other: SimVm, message: core.Message) -> None:
        receiver = peers.receiving_task(other.name, message)
        self.send(receiver, message)

    def peer_down(self, name: core.VmName) -> None:
        """Report the end of a stream to this VM's tasks."""
        down = core.PeerDown(name)
        names = tasks.names
        for receiver in (
            names.router(self.vm),
            names.membership(self.vm),
            names.node(self.vm),
        ):
            self._vm.arrive(lambda r=receiver: self.send(r, down))


class SimEdges:
    """The ports of ``tasks.Node``, implemented by simulated tasks."""

    def __init__(self, site: site_module.Site) -> None:
        self._site = site
        self.links: list[SimLink] = []
        self.peer_tasks: dict[core.VmName, SimPeers] = {}

    def platform(self, vm: core.VmName) -> None:
        """Start the client of the simulated platform."""
        SimPlatform(self._site, self._site.vms[vm])

    def peers(self, vm: core.VmName) -> None:
        """Start the streams to the site's other VMs."""
        self.peer_tasks[vm] = SimPeers(self._site, self._site.vms[vm])

    def link(
        self, vm: core.VmName, spec: decisions.InstanceSpec
    ) -> runtime.Task:
        """Start the connections to one simulated instance."""
        link = SimLink(self._site, self._site.vms[vm], spec)
        self.links.append(link)
        return link

    def agent(
        self, vm: core.VmName, spec: decisions.InstanceSpec
    ) -> runtime.Task:
        """Start the client of one simulated group agent."""
        return SimAgent(self._site, self._site.vms[vm], spec)
