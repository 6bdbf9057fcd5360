"""The store in memory, and each VM's rows in it."""

from __future__ import annotations

import dataclasses

from chicoryusher import core
from chicoryusher import runtime
from chicoryusher.tasks import names

__all__ = ['SimRows', 'Store']

TRIP = 0.005
POLL = 1.0
WRITE_RETRY = 0.2
WRITE_TRIES = 6


class Store:
    """Lead rows and entry VMs; ``shut`` names VMs that it turns away.

    While it is ``read_only`` it takes no rows of entry VMs.
    """

    def __init__(self) -> None:
        self.version = 0
        self.leads: dict[core.ServiceName, core.LeadRow] = {}
        self.nodes: dict[core.VmName, core.NodeRow] = {}
        self.shut: set[core.VmName] = set()
        self.down = False
        self.read_only = False
        self.lose_answers = False
        self.config: core.PoolConfig | None = None

    def serves(self, vm: core.VmName) -> bool:
        """Tell whether a VM's calls are answered."""
        return not self.down and vm not in self.shut

    def write(self, row: core.LeadRow, expected: int) -> core.LeadRow | None:
        """Write under a condition; return the row as it is then."""
        known = self.leads.get(row.service)
        if (0 if known is None else known.revision) == expected:
            self.version += 1
            self.leads[row.service] = dataclasses.replace(
                row, revision=self.version
            )
        return self.leads.get(row.service)


class _Poll(core.Message):
    """Time to read the store."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Read(core.Message):
    """A read on its way."""

    reply_to: core.TaskName


@dataclasses.dataclass(frozen=True, slots=True)
class _Write(core.Message):
    """A write on its way, and how often it was tried."""

    wanted: core.WriteLead
    tries: int


@dataclasses.dataclass(frozen=True, slots=True)
class _NodeAgain(core.Message):
    """Time to repeat the write of an entry VM's row."""

    write: core.WriteNode


class SimRows(runtime.Task):
    """One VM's client of the store, feeds included."""

    def __init__(
        self,
        loop: runtime.Runtime,
        vm: core.VmName,
        store: Store,
        entries: list[core.InstanceEntry],
    ) -> None:
        super().__init__(loop, vm, 'rows')
        self._clock = loop.clock
        self._store = store
        self._entries = entries
        self._follows = True
        self._newest: dict[core.VmName, core.WriteNode] = {}
        self.after(TRIP, _Poll())

    @runtime.handles(_Poll)
    def _on_poll(self, poll: _Poll) -> None:
        """Read everything; sooner where something may have changed."""
        self.after(POLL if not self._store.serves(self.vm) else 0.1, poll)
        if not self._store.serves(self.vm):
            return
        exchange = names.exchange(self.vm)
        store = self._store
        if store.config is not None:
            self.send(exchange, core.PoolConfigInForce(store.config))
        if not self._follows:
            return
        self.send(
            exchange,
            core.RegisteredInstances(tuple(self._entries), store.version),
        )
        self.send(exchange, core.LeadsInStore(tuple(store.leads.values())))
        nodes = tuple(store.nodes.values())
        self.send(exchange, core.NodesInStore(nodes, store.version))
        now = self._clock.running_on()
        for kind in core.StoreView:
            self.send(exchange, core.StoreSeen(kind, now))

    @runtime.handles(core.FollowStore)
    def _on_follow(self, message: core.FollowStore) -> None:
        self._follows = message.follow

    @runtime.handles(core.WriteNode)
    def _on_node(self, message: core.WriteNode) -> None:
        self._newest[message.row.vm] = message
        self._write_node(message)

    @runtime.handles(_NodeAgain)
    def _on_node_again(self, again: _NodeAgain) -> None:
        if self._newest[again.write.row.vm] is again.write:
            self._write_node(again.write)

    def _write_node(self, message: core.WriteNode) -> None:
        if not self._store.serves(self.vm) or self._store.read_only:
            self.after(WRITE_RETRY, _NodeAgain(message))
            return
        known = self._store.nodes.get(message.row.vm)
        if message.expected not in (None, known and known.revision):
            return
        self._store.version += 1
        self._store.nodes[message.row.vm] = dataclasses.replace(
            message.row, revision=self._store.version
        )

    @runtime.handles(core.ReadNodes)
    def _on_read(self, message: core.ReadNodes) -> None:
        if self._store.serves(self.vm):
            self.after(TRIP, _Read(message.reply_to))

    @runtime.handles(_Read)
    def _on_read_due(self, read: _Read) -> None:
        rows = core.NodesInStore(tuple(self._store.nodes.values()))
        self.send(read.reply_to, rows)

    @runtime.handles(core.WriteLead)
    def _on_lead(self, wanted: core.WriteLead) -> None:
        self.after(TRIP, _Write(wanted, 1))

    @runtime.handles(_Write)
    def _on_write(self, write: _Write) -> None:
        wanted = write.wanted
        row = None
        answered = self._store.serves(self.vm)
        if answered:
            row = self._store.write(wanted.row, wanted.expected)
            answered = not self._store.lose_answers
        if not answered and write.tries < WRITE_TRIES:
            self.after(WRITE_RETRY, _Write(wanted, write.tries + 1))
            return
        self.send(
            wanted.reply_to,
            core.RowWritten(wanted.row.service, row if answered else None),
        )
