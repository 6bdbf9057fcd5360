"""Streams between the entry VMs."""

from __future__ import annotations

from chicoryusher.peers.stream import Traffic
from chicoryusher.peers.task import Peers

__all__ = ['Peers', 'Traffic']
