"""Test doubles for pooled sessions: groups, links, a store, peers."""

from __future__ import annotations

from chicoryusher_standins.pool.callers import Caller
from chicoryusher_standins.pool.group import Group
from chicoryusher_standins.pool.group import Instance
from chicoryusher_standins.pool.site import CONFIG
from chicoryusher_standins.pool.site import REVOCATION_S
from chicoryusher_standins.pool.site import SERVICE
from chicoryusher_standins.pool.site import Site
from chicoryusher_standins.pool.site import Vm
from chicoryusher_standins.pool.store import Store
from chicoryusher_standins.pool.store import StoreCopy

__all__ = [
    'CONFIG',
    'REVOCATION_S',
    'SERVICE',
    'Caller',
    'Group',
    'Instance',
    'Site',
    'Store',
    'StoreCopy',
    'Vm',
]
