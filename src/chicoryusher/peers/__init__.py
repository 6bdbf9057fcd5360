"""Authenticated streams that carry messages between entry VMs."""

from __future__ import annotations

from chicoryusher.peers.stream import Traffic
from chicoryusher.peers.task import Peers
from chicoryusher.peers.task import PeerWatchers
from chicoryusher.peers.task import receiver_of

__all__ = ['PeerWatchers', 'Peers', 'Traffic', 'receiver_of']
