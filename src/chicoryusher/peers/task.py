"""The task that owns the streams to other VMs."""

from __future__ import annotations

import dataclasses
import secrets

from chicoryusher import core
from chicoryusher import decisions
from chicoryusher import runtime
from chicoryusher import tasks
from chicoryusher.peers import receivers
from chicoryusher.peers import stream as stream_module
from chicoryusher.peers import subscribers
from chicoryusher.peers.subscribers import PeerSubscribers

__all__ = ['PeerSubscribers', 'Peers']

HANDSHAKE_TIMEOUT_S = 1.0
CONNECT_DELAY_S = 0.25
RECONNECT_DELAY_S = 0.25
MAX_QUEUED_MESSAGES_PER_VM = 4096
MAX_STREAMS = 2048
# Limit of accepted streams whose other end has not proved its key.
MAX_UNAUTHENTICATED_STREAMS = 128
# Bytes that may wait for a VM that does not take them, besides a document.
MAX_UNSENT_BYTES = 24 * 1024 * 1024
PROCESS_ID_BYTES = 16
# Bytes per second of a VM's link without a setting: 1 Gbit/s.
DEFAULT_LINK_BYTES_PER_S = 125e6
# Messages that may be large and that many peers request at the same time.
_DOCUMENTS = (core.PoolConfigUpdate, core.ConfigOffer)
PeerStream = stream_module.PeerStream
StreamRole = stream_module.StreamRole


@dataclasses.dataclass(frozen=True, slots=True)
class _HandshakeTimeout(core.Message):
    """The time for the handshake on a stream has passed.

    The number of a descriptor is reused after it is closed; ``opened_at``
    distinguishes the stream from a later one with the same number.
    """

    fileno: int
    opened_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class _ConnectDelayOver(core.Message):
    """The delay that lets another VM connect first has passed."""

    vm: core.VmName


class _DocumentDue(core.Message):
    """The next document may be sent."""


class Peers(runtime.Task):
    """Exchange messages with other VMs over one stream to each.

    Messages for a VM without a stream are queued until one is open.  If
    it cannot be opened or the queue is full, they are reported as
    undelivered.
    """

    def __init__(
        self,
        loop: runtime.Runtime,
        vm: core.VmName,
        address: runtime.Address,
        key: bytes,
        watchers: PeerSubscribers | None = None,
        link_bytes_per_s: float = DEFAULT_LINK_BYTES_PER_S,
    ) -> None:
        super().__init__(loop, vm, 'peers')
        self._reports = subscribers.StreamReports(self, watchers)
        self._poller = loop.poller
        self._key = key
        self._process = core.PeerProcessId(
            secrets.token_bytes(PROCESS_ID_BYTES)
        )
        self._listener = runtime.Listener(address, loop.poller, self.task_name)
        self.address = self._listener.address
        self._addresses: dict[core.VmName, runtime.Address] = {}
        self._streams_by_fileno: dict[int, PeerStream] = {}
        # Accepted streams, in the order in which they were accepted.
        self._unauthenticated: dict[int, PeerStream] = {}
        self._streams_by_vm: dict[core.VmName, PeerStream] = {}
        self._connecting: dict[core.VmName, PeerStream] = {}
        self._queued: dict[core.VmName, list[core.Message]] = {}
        self._no_connect_before: dict[core.VmName, float] = {}
        self._delayed_connects: set[core.VmName] = set()
        self._streams_to_flush: set[PeerStream] = set()
        self._closed_sent_bytes: dict[stream_module.Traffic, int] = {}
        self._documents = decisions.BulkQueue(link_bytes_per_s)
        self._document_scheduled = False

    def sent_bytes(self, traffic: stream_module.Traffic) -> int:
        """Return the uncompressed message bytes sent for a purpose."""
        open_stream_bytes = sum(
            peer.bytes_sent[traffic]
            for peer in self._streams_by_fileno.values()
        )
        return open_stream_bytes + self._closed_sent_bytes.get(traffic, 0)

    @runtime.handles(tasks.ConfigUpdate)
    def _on_config(self, message: tasks.ConfigUpdate) -> None:
        self._addresses = {
            entry.name: (entry.host, entry.port)
            for entry in message.config.vms
        }

    @runtime.handles(core.PeerAddresses)
    def _on_addresses(self, message: core.PeerAddresses) -> None:
        self._addresses = {
            entry.vm: (entry.host, entry.port) for entry in message.peers
        }

    @runtime.handles(core.LiveVms)
    def _on_live_vms(self, live: core.LiveVms) -> None:
        """Close the streams to VMs that membership reports as gone.

        Nothing else shows that the other end of such a stream no longer
        exists.
        """
        for name, state in live.states:
            peer = self._streams_by_vm.get(name)
            if state is core.VmState.GONE and peer is not None:
                self._close_stream(peer)

    @runtime.handles(core.SendToPeer)
    def _on_send(self, message: core.SendToPeer) -> None:
        vm = message.vm
        peer = self._streams_by_vm.get(vm)
        if peer is not None:
            self._send_to_stream(vm, peer, message.message)
            return
        queued = self._queued.setdefault(vm, [])
        queued.append(message.message)
        if len(queued) > MAX_QUEUED_MESSAGES_PER_VM:
            self._give_up_queued(vm)
        elif vm not in self._connecting:
            self._connect_soon(vm)

    def _send_to_stream(
        self, vm: core.VmName, peer: PeerStream, message: core.Message
    ) -> None:
        """Send a message now; a document waits for its share of the link."""
        if isinstance(message, _DOCUMENTS):
            self._documents.add(vm, message)
            self._send_documents()
            return
        if peer.stream.pending > MAX_UNSENT_BYTES:
            self.log.emit(core.LogEvent.PEER_SLOW, peer=str(vm))
            self._close_stream(peer)
            self._reports.report_undelivered(vm, message)
            return
        peer.send(message)
        self._streams_to_flush.add(peer)

    def _send_documents(self) -> None:
        """Send the documents that may be sent now.

        A peer whose stream has closed meanwhile requests its document again.
        """
        while (waiting := self._documents.pop_next(self.now())) is not None:
            peer = self._streams_by_vm.get(waiting[0])
            if peer is None:
                continue
            size = peer.send_document(waiting[1])
            self._streams_to_flush.add(peer)
            self._documents.record_sent(size, self.now())
        if len(self._documents) and not self._document_scheduled:
            self._document_scheduled = True
            self.after(self._documents.delay(self.now()), _DocumentDue())

    @runtime.handles(_DocumentDue)
    def _on_document_due(self, due: _DocumentDue) -> None:
        self._document_scheduled = False
        self._send_documents()

    def _connect_soon(self, vm: core.VmName) -> None:
        """Connect now, or after a delay that lets the other VM connect first.

        The VM whose name sorts first connects at once.  Without this rule,
        two VMs that send to each other at the same time would open two
        streams.
        """
        if self.vm < vm:
            self._connect_or_give_up(vm)
        elif vm not in self._delayed_connects:
            self._delayed_connects.add(vm)
            self.after(CONNECT_DELAY_S, _ConnectDelayOver(vm))

    @runtime.handles(_ConnectDelayOver)
    def _on_connect_delay_over(self, delay_over: _ConnectDelayOver) -> None:
        self._delayed_connects.discard(delay_over.vm)
        if (
            delay_over.vm in self._queued
            and delay_over.vm not in self._connecting
        ):
            self._connect_or_give_up(delay_over.vm)

    def _connect_or_give_up(self, vm: core.VmName) -> None:
        if not self._connect(vm):
            self._give_up_queued(vm)

    def _connect(self, vm: core.VmName) -> bool:
        """Start to connect; return whether that was possible.

        It is not if the address is unknown, or within the reconnect delay
        after a failure.
        """
        address = self._addresses.get(vm)
        if address is None or self.now() < self._no_connect_before.get(
            vm, 0.0
        ):
            return False
        stream = runtime.connect(address, self._poller, self.task_name)
        if stream is None:
            self._no_connect_before[vm] = self.now() + RECONNECT_DELAY_S
            return False
        self._connecting[vm] = self._add_stream(stream, StreamRole.INITIATOR)
        return True

    def _add_stream(
        self, stream: runtime.Stream, role: StreamRole
    ) -> PeerStream:
        peer = PeerStream(
            stream, self.vm, self._process, self._key, role, self.now()
        )
        self._streams_by_fileno[stream.fileno] = peer
        self._streams_to_flush.add(peer)
        self.after(
            HANDSHAKE_TIMEOUT_S,
            _HandshakeTimeout(stream.fileno, peer.opened_at),
        )
        return peer

    @runtime.handles(_HandshakeTimeout)
    def _on_handshake_timeout(self, timeout: _HandshakeTimeout) -> None:
        peer = self._streams_by_fileno.get(timeout.fileno)
        if (
            peer is None
            or peer.authenticated
            or peer.opened_at != timeout.opened_at
        ):
            return
        self._close_stream(peer)

    @runtime.handles(runtime.SocketReady)
    def _on_ready(self, ready: runtime.SocketReady) -> None:
        if ready.fileno == self._listener.fileno:
            self._accept()
            return
        peer = self._streams_by_fileno.get(ready.fileno)
        if peer is None:
            return
        if peer.stream.connecting:
            if not peer.stream.finish_connect():
                self._close_stream(peer)
            else:
                self._streams_to_flush.add(peer)
            return
        if ready.writable:
            self._streams_to_flush.add(peer)
        if ready.readable:
            self._receive(peer)

    def _accept(self) -> None:
        while (stream := self._listener.accept()) is not None:
            if len(self._streams_by_fileno) >= MAX_STREAMS:
                stream.close()
                continue
            peer = self._add_stream(stream, StreamRole.ACCEPTOR)
            self._unauthenticated[stream.fileno] = peer
            if len(self._unauthenticated) > MAX_UNAUTHENTICATED_STREAMS:
                # A VM proves its key at once: the oldest is none.
                self._close_stream(next(iter(self._unauthenticated.values())))

    def _receive(self, peer: PeerStream) -> None:
        was_authenticated = peer.authenticated
        data = peer.stream.read()
        try:
            messages = peer.receive(data) if data else []
        except core.AuthError as exc:
            self.log.emit(core.LogEvent.PEER_REFUSED, why=str(exc))
            self._close_stream(peer)
            return
        except core.FrameError as exc:
            self.log.emit(core.LogEvent.PEER_FRAME_BAD, why=str(exc))
            self._close_stream(peer)
            return
        if peer.authenticated and not was_authenticated:
            self._on_authenticated(peer)
        self._streams_to_flush.add(peer)
        for message in messages:
            self._dispatch(message)
        if peer.stream.closed:
            self._close_stream(peer)

    def _on_authenticated(self, peer: PeerStream) -> None:
        vm = peer.peer
        assert vm is not None
        self._unauthenticated.pop(peer.stream.fileno, None)
        self._connecting.pop(vm, None)
        for earlier in self._streams_of_earlier_process(peer):
            self._close_stream(earlier)
        self._streams_by_vm[vm] = peer
        self._no_connect_before.pop(vm, None)
        self.log.emit(core.LogEvent.PEER_CONNECTED, peer=str(vm))
        for message in self._queued.pop(vm, []):
            self._send_to_stream(vm, peer, message)
        self._reports.report_up(vm)

    def _streams_of_earlier_process(
        self, peer: PeerStream
    ) -> list[PeerStream]:
        """Return the open streams to a process that ``peer``'s replaced.

        Their end may come late or never.  It is reported before any message
        of the new process is passed on, so that only work of the earlier one
        is cancelled.  Two streams of one process, which both VMs opened at the
        same moment, stay open.
        """
        return [
            other
            for other in self._streams_by_fileno.values()
            if other.peer == peer.peer
            and None not in (other.peer_process, peer.peer_process)
            and other.peer_process != peer.peer_process
        ]

    def _dispatch(self, message: core.Message) -> None:
        """Pass a message on to its task; ignore those without one."""
        if receivers.has_receiver(message):
            receiver = receivers.receiving_task(self.vm, message)
            self.send(receiver, message)

    def _close_stream(self, peer: PeerStream) -> None:
        """Close a stream and notify the tasks that depend on it.

        If a second stream to the same VM is open, it takes over.
        """
        self._streams_by_fileno.pop(peer.stream.fileno, None)
        self._unauthenticated.pop(peer.stream.fileno, None)
        peer.stream.close()
        for traffic, count in peer.bytes_sent.items():
            self._closed_sent_bytes[traffic] = (
                self._closed_sent_bytes.get(traffic, 0) + count
            )
        for vm, connecting in tuple(self._connecting.items()):
            if connecting is peer:
                del self._connecting[vm]
                self._no_connect_before[vm] = self.now() + RECONNECT_DELAY_S
                self._give_up_queued(vm)
        lost_vm = peer.peer
        if lost_vm is None or self._streams_by_vm.get(lost_vm) is not peer:
            return
        del self._streams_by_vm[lost_vm]
        other = next(
            (
                remaining
                for remaining in self._streams_by_fileno.values()
                if remaining.peer == lost_vm
            ),
            None,
        )
        if other is not None:
            self._streams_by_vm[lost_vm] = other
        self.log.emit(core.LogEvent.PEER_LOST, peer=str(lost_vm))
        self._reports.report_down(lost_vm)

    def _give_up_queued(self, vm: core.VmName) -> None:
        """Report the queued messages as undelivered, and the VM as down."""
        for message in self._queued.pop(vm, []):
            self._reports.report_undelivered(vm, message)
        self._reports.report_unreachable(vm)

    def settled(self) -> None:
        """Flush the streams to which the handled messages wrote."""
        streams, self._streams_to_flush = self._streams_to_flush, set()
        for peer in streams:
            if peer.stream.fileno < 0:
                continue
            peer.flush()
            if peer.stream.closed:
                self._close_stream(peer)
