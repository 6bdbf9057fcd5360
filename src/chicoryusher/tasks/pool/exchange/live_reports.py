"""Reports on which entry VMs are live, to the tasks that use them."""

from __future__ import annotations

from chicoryusher import core
from chicoryusher import runtime
from chicoryusher.tasks import names
from chicoryusher.tasks.pool.exchange import exchange_peers

__all__ = ['LiveReports']


class LiveReports:
    """Tells the tasks of a VM about its peers, once for each change."""

    def __init__(
        self, exchange: runtime.Task, peers: exchange_peers.ExchangePeers
    ) -> None:
        self._exchange = exchange
        self._peers = peers
        self._peer_sets: core.PeerSets | None = None

    def send(self) -> None:
        """Update the live VMs, and report them if they have changed.

        The streams to VMs that are no longer live are closed; new streams
        may work.
        """
        exchange, vm = self._exchange, self._exchange.vm
        now = exchange.now()
        lost = self._peers.update_live(now)
        if lost:
            gone = tuple((peer, core.VmState.GONE) for peer in lost)
            exchange.send(names.peers(vm), core.LiveVms((), gone))
        exchange.meters.show(core.Metric.LIVE_VMS, len(self._peers.live) + 1)
        message = self._peers.peer_sets(now)
        if message == self._peer_sets:
            return
        self._peer_sets = message
        exchange.send(names.primary_manager(vm), message)
        exchange.send(names.reachability_monitor(vm), message)
        exchange.send(names.limiter(vm), message)
        exchange.send(names.limit_keeper(vm), message)
        live = core.LiveEntryVms(self._peers.live_nodes())
        exchange.send(names.dispatcher(vm), live)
