"""The task that owns the streams to other VMs."""

from __future__ import annotations

import dataclasses

from chicoryusher import core
from chicoryusher import runtime
from chicoryusher import tasks
from chicoryusher.peers import stream as stream_module

__all__ = ['PeerWatchers', 'Peers', 'receiver_of']

HANDSHAKE_TIMEOUT = 1.0
CALL_DELAY = 0.25
RECONNECT_DELAY = 0.25
MAX_UNSENT = 4096
MAX_STREAMS = 2048
PeerStream = stream_module.PeerStream
StreamRole = stream_module.StreamRole


@dataclasses.dataclass(frozen=True, slots=True)
class _HandshakeLate(core.Message):
    """A stream may not have authenticated in time."""

    fileno: int
    opened_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class _CallTurn(core.Message):
    """Time to call a VM that has not called meanwhile."""

    vm: core.VmName


@dataclasses.dataclass(frozen=True, slots=True)
class PeerWatchers:
    """Tasks that hear of streams and of messages that never left."""

    up: tuple[core.TaskName, ...] = ()
    down: tuple[core.TaskName, ...] = ()
    unreachable: tuple[core.TaskName, ...] = ()
    undelivered: tuple[core.TaskName, ...] = ()


def _usual_watchers(vm: core.VmName) -> PeerWatchers:
    router = tasks.names.router(vm)
    membership = tasks.names.membership(vm)
    return PeerWatchers(
        up=(membership,),
        down=(router, membership, tasks.names.node(vm)),
        unreachable=(membership,),
        undelivered=(router,),
    )


class Peers(runtime.Task):
    """Carry messages between VMs over one stream for each pair."""

    def __init__(
        self,
        loop: runtime.Runtime,
        vm: core.VmName,
        address: runtime.Address,
        key: bytes,
        watchers: PeerWatchers | None = None,
    ) -> None:
        super().__init__(loop, vm, 'peers')
        self._watchers = watchers or _usual_watchers(vm)
        self._poller = loop.poller
        self._key = key
        self._listener = runtime.Listener(address, loop.poller, self.task_name)
        self.address = self._listener.address
        self._addresses: dict[core.VmName, runtime.Address] = {}
        self._by_fileno: dict[int, PeerStream] = {}
        self._streams: dict[core.VmName, PeerStream] = {}
        self._calling: dict[core.VmName, PeerStream] = {}
        self._unsent: dict[core.VmName, list[core.Message]] = {}
        self._refused_until: dict[core.VmName, float] = {}
        self._waiting: set[core.VmName] = set()
        self._dirty: set[PeerStream] = set()
        self._gone: dict[stream_module.Traffic, int] = {}

    def sent_bytes(self, traffic: stream_module.Traffic) -> int:
        """Return how many message bytes were sent for a purpose."""
        live = sum(one.sent[traffic] for one in self._by_fileno.values())
        return live + self._gone.get(traffic, 0)

    @runtime.handles(tasks.ConfigInForce)
    def _on_config(self, message: tasks.ConfigInForce) -> None:
        self._addresses = {
            one.name: (one.host, one.port) for one in message.config.vms
        }

    @runtime.handles(core.PeerAddresses)
    def _on_addresses(self, message: core.PeerAddresses) -> None:
        self._addresses = {
            one.vm: (one.host, one.port) for one in message.peers
        }

    @runtime.handles(core.LiveVms)
    def _on_live(self, live: core.LiveVms) -> None:
        """End the streams to VMs that are gone: nothing else shows it."""
        for name, state in live.states:
            peer = self._streams.get(name)
            if state is core.VmState.GONE and peer is not None:
                self._drop(peer)

    @runtime.handles(core.ToPeer)
    def _on_send(self, message: core.ToPeer) -> None:
        vm = message.vm
        peer = self._streams.get(vm)
        if peer is not None:
            peer.send(message.message)
            self._dirty.add(peer)
            return
        waiting = self._unsent.setdefault(vm, [])
        waiting.append(message.message)
        if len(waiting) > MAX_UNSENT:
            self._give_back(vm)
        elif vm not in self._calling:
            self._call_soon(vm)

    def _call_soon(self, vm: core.VmName) -> None:
        """Call now, or leave the other end time to call first.

        Two ends that begin to talk at once would open two streams.
        """
        if self.vm < vm:
            self._call_or_give_back(vm)
        elif vm not in self._waiting:
            self._waiting.add(vm)
            self.after(CALL_DELAY, _CallTurn(vm))

    @runtime.handles(_CallTurn)
    def _on_call_turn(self, turn: _CallTurn) -> None:
        self._waiting.discard(turn.vm)
        if turn.vm in self._unsent and turn.vm not in self._calling:
            self._call_or_give_back(turn.vm)

    def _call_or_give_back(self, vm: core.VmName) -> None:
        if not self._call(vm):
            self._give_back(vm)

    def _call(self, vm: core.VmName) -> bool:
        address = self._addresses.get(vm)
        if address is None or self.now() < self._refused_until.get(vm, 0.0):
            return False
        sock = runtime.connect(address, self._poller, self.task_name)
        if sock is None:
            self._refused_until[vm] = self.now() + RECONNECT_DELAY
            return False
        self._calling[vm] = self._add(sock, StreamRole.CALLING)
        return True

    def _add(self, sock: runtime.Stream, role: StreamRole) -> PeerStream:
        peer = PeerStream(sock, self.vm, self._key, role, self.now())
        self._by_fileno[sock.fileno] = peer
        self._dirty.add(peer)
        self.after(
            HANDSHAKE_TIMEOUT, _HandshakeLate(sock.fileno, peer.opened_at)
        )
        return peer

    @runtime.handles(_HandshakeLate)
    def _on_late(self, late: _HandshakeLate) -> None:
        peer = self._by_fileno.get(late.fileno)
        if peer is None or peer.ready or peer.opened_at != late.opened_at:
            return
        self._drop(peer)

    @runtime.handles(runtime.SocketReady)
    def _on_ready(self, ready: runtime.SocketReady) -> None:
        if ready.fileno == self._listener.fileno:
            self._accept()
            return
        peer = self._by_fileno.get(ready.fileno)
        if peer is None:
            return
        if peer.stream.connecting:
            if not peer.stream.finish_connect():
                self._drop(peer)
            else:
                self._dirty.add(peer)
            return
        if ready.writable:
            self._dirty.add(peer)
        if ready.readable:
            self._receive(peer)

    def _accept(self) -> None:
        while (sock := self._listener.accept()) is not None:
            if len(self._by_fileno) >= MAX_STREAMS:
                sock.close()
                continue
            self._add(sock, StreamRole.CALLED)

    def _receive(self, peer: PeerStream) -> None:
        was_ready = peer.ready
        data = peer.stream.read()
        try:
            messages = peer.receive(data) if data else []
        except core.AuthError as exc:
            self.log.emit(core.LogEvent.PEER_REFUSED, why=str(exc))
            self._drop(peer)
            return
        except core.FrameError as exc:
            self.log.emit(core.LogEvent.PEER_FRAME_BAD, why=str(exc))
            self._drop(peer)
            return
        if peer.ready and not was_ready:
            self._opened(peer)
        self._dirty.add(peer)
        for message in messages:
            self._received(message)
        if peer.stream.closed:
            self._drop(peer)

    def _opened(self, peer: PeerStream) -> None:
        vm = peer.peer
        assert vm is not None
        self._calling.pop(vm, None)
        self._streams[vm] = peer
        self._refused_until.pop(vm, None)
        self.log.emit(core.LogEvent.PEER_CONNECTED, peer=str(vm))
        for message in self._unsent.pop(vm, []):
            peer.send(message)
        for watcher in self._watchers.up:
            self.send(watcher, core.PeerUp(vm))

    def _received(self, message: core.Message) -> None:
        if type(message) in _RECEIVERS:
            self.send(receiver_of(self.vm, message), message)

    def _drop(self, peer: PeerStream) -> None:
        self._by_fileno.pop(peer.stream.fileno, None)
        peer.stream.close()
        for traffic, count in peer.sent.items():
            self._gone[traffic] = self._gone.get(traffic, 0) + count
        for vm, calling in tuple(self._calling.items()):
            if calling is peer:
                del self._calling[vm]
                self._refused_until[vm] = self.now() + RECONNECT_DELAY
                self._give_back(vm)
        lost = peer.peer
        if lost is None or self._streams.get(lost) is not peer:
            return
        del self._streams[lost]
        other = next(
            (one for one in self._by_fileno.values() if one.peer == lost),
            None,
        )
        if other is not None:
            self._streams[lost] = other
        self.log.emit(core.LogEvent.PEER_LOST, peer=str(lost))
        self._tell_down(lost)

    def _give_back(self, vm: core.VmName) -> None:
        for message in self._unsent.pop(vm, []):
            for watcher in self._watchers.undelivered:
                self.send(watcher, tasks.Undelivered(vm, message))
        for watcher in self._watchers.unreachable:
            self.send(watcher, core.PeerDown(vm))

    def _tell_down(self, vm: core.VmName) -> None:
        down = core.PeerDown(vm)
        for watcher in self._watchers.down:
            self.send(watcher, down)

    def settled(self) -> None:
        """Send what the handled messages queued."""
        dirty, self._dirty = self._dirty, set()
        for peer in dirty:
            if peer.stream.fileno < 0:
                continue
            peer.flush()
            if peer.stream.closed:
                self._drop(peer)


def _to_router(vm: core.VmName, message: core.Message) -> core.TaskName:
    return tasks.names.router(vm)


def _to_node(vm: core.VmName, message: core.Message) -> core.TaskName:
    return tasks.names.node(vm)


def _to_membership(vm: core.VmName, message: core.Message) -> core.TaskName:
    return tasks.names.membership(vm)


def _to_configurator(vm: core.VmName, message: core.Message) -> core.TaskName:
    return tasks.names.configurator(vm)


def _to_keeper(vm: core.VmName, message: core.Message) -> core.TaskName:
    return tasks.names.keeper(vm)


def _to_exchange(vm: core.VmName, message: core.Message) -> core.TaskName:
    return tasks.names.exchange(vm)


def _to_watch(vm: core.VmName, message: core.Message) -> core.TaskName:
    return tasks.names.watch(vm)


def _to_forwarder(vm: core.VmName, message: core.Message) -> core.TaskName:
    return tasks.names.forwarder(vm)


def _to_relay(vm: core.VmName, message: core.Message) -> core.TaskName:
    return tasks.names.relay(vm)


_RECEIVERS = {
    core.RelayWork: _to_relay,
    core.RelayCancel: _to_relay,
    core.RelayRollback: _to_relay,
    core.RelayEnded: _to_forwarder,
    core.Ping: _to_exchange,
    core.Pong: _to_exchange,
    core.ViewFetch: _to_exchange,
    core.LeadsInStore: _to_exchange,
    core.PoolConfigInForce: _to_exchange,
    core.RegisteredInstances: _to_exchange,
    core.NodesInStore: _to_exchange,
    core.Suspicion: _to_watch,
    core.Opinion: _to_watch,
    core.FencePrimary: _to_keeper,
    core.PrimaryFenced: _to_keeper,
    core.Reopened: _to_keeper,
    core.Submit: _to_node,
    core.AbortTransaction: _to_node,
    core.Consumed: _to_node,
    core.Answer: _to_router,
    core.ResultChunk: _to_router,
    core.GateMoved: _to_router,
    core.Heartbeat: _to_membership,
    core.ConfigFetch: _to_configurator,
    core.ConfigOffer: _to_configurator,
}


def receiver_of(vm: core.VmName, message: core.Message) -> core.TaskName:
    """Return the task of a VM that a peer's message is for."""
    return _RECEIVERS[type(message)](vm, message)
