"""What a VM answers to the pings of its peers."""

from __future__ import annotations

from chicoryusher import core
from chicoryusher import decisions
from chicoryusher import runtime
from chicoryusher.tasks import names
from chicoryusher.tasks.pool.exchange import exchange_peers
from chicoryusher.tasks.pool.exchange import known_positions
from chicoryusher.tasks.pool.exchange import lease_agreement
from chicoryusher.tasks.pool.exchange import store_polling
from chicoryusher.tasks.pool.exchange import stored_views
from chicoryusher.tasks.pool.groups import leaders as leaders_module

__all__ = ['PingAnswers']


class PingAnswers:
    """Answers with the state of this VM's views, grants and peers.

    The last ping of each peer is kept, so that it can be answered again when
    a view has become newer.  ``clock`` gives the boot-time clock.
    """

    def __init__(
        self,
        exchange: runtime.Task,
        clock: core.Clock,
        eras: decisions.StoreEras,
        views: stored_views.StoredViews,
        leaders: leaders_module.LeaderTable,
        peers: exchange_peers.ExchangePeers,
        polling: store_polling.StorePolling,
        agreement: lease_agreement.LeaseAgreement,
        positions: known_positions.KnownPositions,
    ) -> None:
        self._exchange = exchange
        self._clock = clock
        self._eras = eras
        self._views = views
        self._leaders = leaders
        self._peers = peers
        self._polling = polling
        self._agreement = agreement
        self._positions = positions
        # The last ping of each peer, and when it arrived.
        self._asked_by: dict[core.VmName, tuple[core.Ping, float]] = {}

    def answer(self, ping: core.Ping) -> None:
        """Answer a ping that has arrived now."""
        boot_now = self._clock.boottime()
        self._asked_by[ping.vm] = (ping, boot_now)
        self._send(ping, boot_now, self._positions_for(ping.vm))

    def answer_again(self) -> None:
        """Answer the last ping of each peer again, with the newest views.

        The ages are those at the arrival of the ping, so a view that was
        confirmed since then has a negative age.  The peer counts it from
        when it sent the ping, which was earlier.
        """
        oldest = self._clock.boottime() - decisions.PEER_TIMEOUT_S
        for vm, (ping, asked_at) in tuple(self._asked_by.items()):
            if asked_at < oldest:
                del self._asked_by[vm]
            else:
                self._send(ping, asked_at, ())

    def _positions_for(
        self, vm: core.VmName
    ) -> tuple[core.ObservedPosition, ...]:
        """Return the positions to tell a peer.

        In a large fleet each region has enough traffic of its own.
        """
        meshed = self._peers.role is core.ExchangeRole.MESHED
        if not meshed and not self._peers.is_near(vm):
            return ()
        return self._positions.recent(self._clock.boottime())

    def _send(
        self,
        ping: core.Ping,
        asked_at: float,
        positions: tuple[core.ObservedPosition, ...],
    ) -> None:
        own_vm, now = self._exchange.vm, self._exchange.now()
        grants = self._agreement.grants_lease(ping.vm, now)
        zone_grants = self._agreement.zone_grants(
            ping.vm, grants, asked_at, now, self._clock.boottime()
        )
        digest, live, list_revision, instances_revision = (
            self._peers.live_report(ping, now)
        )
        pong = core.Pong(
            own_vm,
            ping.sequence,
            grants,
            self._views.states(asked_at, self._leaders.digest),
            positions,
            zone_grants,
            digest,
            live,
            not self._polling.is_turned_away(own_vm, now),
            self._eras.era,
            list_revision,
            instances_revision,
        )
        self._exchange.send(
            names.peers(own_vm), core.SendToPeer(ping.vm, pong)
        )
