"""Authenticated streams that carry messages between entry VMs."""

from __future__ import annotations

from chicoryusher.peers.receivers import receiving_task
from chicoryusher.peers.stream import Traffic
from chicoryusher.peers.task import Peers
from chicoryusher.peers.task import PeerSubscribers

__all__ = ['PeerSubscribers', 'Peers', 'Traffic', 'receiving_task']
