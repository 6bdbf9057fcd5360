"""The store in memory, and each VM's client of it."""

from __future__ import annotations

import dataclasses

from chicoryusher import core
from chicoryusher import runtime
from chicoryusher.tasks import names

__all__ = ['POLLED_VIEWS', 'SimRows', 'Store', 'StoreCopy']

CALL_DELAY_S = 0.005
UNREACHABLE_POLL_INTERVAL_S = 1.0
# Views that VMs poll; the rows of the entry VMs come with the leader rows.
POLLED_VIEWS = (
    core.StoreView.LEADERS,
    core.StoreView.INSTANCES,
    core.StoreView.CONFIG,
)
WRITE_RETRY_S = 0.2
MAX_WRITE_ATTEMPTS = 6


@dataclasses.dataclass(frozen=True, slots=True)
class StoreCopy:
    """The rows that the store had at a version."""

    version: int
    leads: dict[core.ServiceName, core.LeaderRow]
    nodes: dict[core.VmName, core.EntryVmRow]


class Store:
    """Leader rows and rows of entry VMs.

    Calls of the VMs in ``shut`` are not answered, and no call is while the
    store is ``down``.  While it is ``read_only`` it accepts no rows of
    entry VMs.  ``restore`` makes it continue from an older ``copy``, in the
    next ``era``.  With ``lose_answers`` leader rows are written but the
    replies are lost.  ``poll_count`` counts the polls that it answered,
    ``leader_writes`` the writes of leader rows that it received.
    """

    def __init__(self) -> None:
        self.version = 0
        self.era = core.FIRST_ERA
        self.leads: dict[core.ServiceName, core.LeaderRow] = {}
        self.nodes: dict[core.VmName, core.EntryVmRow] = {}
        self.shut: set[core.VmName] = set()
        self.down = False
        self.read_only = False
        self.lose_answers = False
        self.config: core.PoolConfig | None = None
        self.poll_count = 0
        self.leader_writes = 0

    def serves(self, vm: core.VmName) -> bool:
        """Return whether a VM's calls are answered."""
        return not self.down and vm not in self.shut

    def node_rows(self) -> core.EntryVmRowsRead:
        """Return the rows of the entry VMs, as a read returns them."""
        rows = tuple(
            dataclasses.replace(
                row, revision=core.revision_in(self.era, row.revision)
            )
            for row in self.nodes.values()
        )
        return core.EntryVmRowsRead(
            rows, core.revision_in(self.era, self.version)
        )

    def copy(self) -> StoreCopy:
        """Return a copy of the rows."""
        return StoreCopy(self.version, dict(self.leads), dict(self.nodes))

    def restore(self, copy: StoreCopy) -> None:
        """Lose what was written since the copy was made."""
        self.era = core.StoreEra(self.era + 1)
        self.version = copy.version
        self.leads = dict(copy.leads)
        self.nodes = dict(copy.nodes)

    def write(
        self, row: core.LeaderRow, expected: int
    ) -> core.LeaderRow | None:
        """Write a leader row if its version is that of ``expected``.

        The row carries the era of ``expected``.  Return the row that the
        store has afterwards.
        """
        self.leader_writes += 1
        current = self.leads.get(row.service)
        revision = 0 if current is None else current.revision
        if core.version_of(revision) == core.version_of(expected):
            self.version += 1
            revision = core.revision_in(core.era_of(expected), self.version)
            self.leads[row.service] = dataclasses.replace(
                row, revision=revision
            )
        return self.leads.get(row.service)


class _Poll(core.Message):
    """The poll interval is over: read the store."""


@dataclasses.dataclass(frozen=True, slots=True)
class _ReadDone(core.Message):
    """The delay of a read is over; its result goes to ``reply_to``."""

    reply_to: core.TaskName


@dataclasses.dataclass(frozen=True, slots=True)
class _LeaderWrite(core.Message):
    """A write of a leader row arrives at the store for the nth time."""

    request: core.WriteLeaderRow
    attempts: int


@dataclasses.dataclass(frozen=True, slots=True)
class _NodeWriteRetry(core.Message):
    """The write of an entry VM's row failed and is to be repeated."""

    write: core.WriteEntryVmRow


class SimRows(runtime.Task):
    """One VM's client of the store: reads, writes and change feeds."""

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
        self._polled_views = {core.StoreView.LEADERS}
        self._newest_node_writes: dict[core.VmName, core.WriteEntryVmRow] = {}
        self.after(CALL_DELAY_S, _Poll())

    @runtime.handles(_Poll)
    def _on_poll(self, poll: _Poll) -> None:
        """Read the whole store and send it to the view exchange.

        A reachable store is read every 0.1 s, since something may have
        changed; an unreachable one is tried less often.
        """
        self.after(
            UNREACHABLE_POLL_INTERVAL_S
            if not self._store.serves(self.vm)
            else 0.1,
            poll,
        )
        serves = self._store.serves(self.vm)
        if self._polled_views:
            exchange = names.view_exchange(self.vm)
            self.send(exchange, core.StoreReached(serves))
        if not serves:
            return
        self._store.poll_count += bool(self._polled_views)
        for kind in self._polled_views:
            self._send_view(kind)

    def _send_view(self, kind: core.StoreView) -> None:
        exchange = names.view_exchange(self.vm)
        store = self._store
        if kind is core.StoreView.CONFIG:
            if store.config is None:
                return
            self.send(exchange, core.PoolConfigUpdate(store.config))
        elif kind is core.StoreView.INSTANCES:
            entries = tuple(self._entries)
            revision = core.revision_in(store.era, store.version)
            self.send(exchange, core.RegisteredInstances(entries, revision))
        else:
            leads = tuple(store.leads.values())
            self.send(exchange, core.LeaderRowsRead(leads, store.era, True))
            self.send(exchange, store.node_rows())
        self.send(exchange, core.StorePolled(kind, self._clock.boottime()))

    @runtime.handles(core.SetStorePolling)
    def _on_set_polling(self, message: core.SetStorePolling) -> None:
        if message.enabled:
            self._polled_views.add(message.view)
        else:
            self._polled_views.discard(message.view)

    @runtime.handles(core.WriteEntryVmRow)
    def _on_write_node(self, message: core.WriteEntryVmRow) -> None:
        self._newest_node_writes[message.row.vm] = message
        self._write_node(message)

    @runtime.handles(_NodeWriteRetry)
    def _on_node_write_retry(self, retry: _NodeWriteRetry) -> None:
        if self._newest_node_writes[retry.write.row.vm] is retry.write:
            self._write_node(retry.write)

    def _write_node(self, message: core.WriteEntryVmRow) -> None:
        if not self._store.serves(self.vm) or self._store.read_only:
            self.after(WRITE_RETRY_S, _NodeWriteRetry(message))
            return
        current = self._store.nodes.get(message.row.vm)
        if message.expected_revision is not None:
            version = 0 if current is None else current.revision
            if core.version_of(message.expected_revision) != version:
                return
        self._store.version += 1
        self._store.nodes[message.row.vm] = dataclasses.replace(
            message.row, revision=self._store.version
        )

    @runtime.handles(core.ReadEntryVmRows)
    def _on_read_nodes(self, message: core.ReadEntryVmRows) -> None:
        if self._store.serves(self.vm):
            self.after(CALL_DELAY_S, _ReadDone(message.reply_to))

    @runtime.handles(_ReadDone)
    def _on_read_done(self, read: _ReadDone) -> None:
        self.send(read.reply_to, self._store.node_rows())

    @runtime.handles(core.WriteLeaderRow)
    def _on_write_leader(self, request: core.WriteLeaderRow) -> None:
        self.after(CALL_DELAY_S, _LeaderWrite(request, 1))

    @runtime.handles(_LeaderWrite)
    def _on_leader_write_due(self, write: _LeaderWrite) -> None:
        request = write.request
        row = None
        answered = self._store.serves(self.vm)
        if answered:
            row = self._store.write(request.row, request.expected_revision)
            answered = not self._store.lose_answers
        if not answered and write.attempts < MAX_WRITE_ATTEMPTS:
            self.after(
                WRITE_RETRY_S, _LeaderWrite(request, write.attempts + 1)
            )
            return
        self.send(
            request.reply_to,
            core.LeaderRowWritten(
                request.row.service,
                row if answered else None,
                self._store.era if answered else core.StoreEra(0),
            ),
        )
