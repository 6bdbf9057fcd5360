"""The kinds of faults, each registered under its name.

A fault function injects the fault into a running site.  It returns a
function that ends the fault, to be called after ``FAULT_SECONDS``, or None
if the fault is permanent.
"""

from __future__ import annotations

from collections.abc import Callable

from chicoryusher import core
from chicoryusher_standins.lab import site as site_module

__all__ = ['FAULTS', 'FAULT_SECONDS', 'Fault']

FAULT_SECONDS = 4.0
SLOWDOWN_FACTOR = 20.0
SLOW_STORE_DELAY_S = 0.8
Site = site_module.Site
End = Callable[[], None]
Fault = Callable[[Site, str], End | None]
FAULTS: core.Registry[Fault] = core.Registry('fault')


def _gate_vm(site: Site, database: str) -> core.VmName:
    """Return the VM that is the gate of the primary."""
    owner = site.primary(database).lock_owner
    assert owner is not None
    return core.VmName(owner)


@FAULTS.register('primary_killed')
def _primary_killed(site: Site, database: str) -> End | None:
    site.kill_instance(site.primary(database).model.name)
    return None


@FAULTS.register('primary_cut_off')
def _primary_cut(site: Site, database: str) -> End | None:
    site.network.cut_place(site.primary(database).place.name)
    return site.network.heal


@FAULTS.register('primary_paused')
def _primary_paused(site: Site, database: str) -> End | None:
    server = site.primary(database)
    server.model.paused = True
    return server.resume


@FAULTS.register('primary_slow')
def _primary_slow(site: Site, database: str) -> End | None:
    server = site.primary(database)
    server.slowdown = SLOWDOWN_FACTOR

    def end() -> None:
        server.slowdown = 1.0

    return end


@FAULTS.register('store_down')
def _store_down(site: Site, database: str) -> End | None:
    site.platform.down = True

    def end() -> None:
        site.platform.down = False

    return end


@FAULTS.register('store_slow_and_primary_killed')
def _store_slow(site: Site, database: str) -> End | None:
    site.platform.slow = SLOW_STORE_DELAY_S
    _primary_killed(site, database)

    def end() -> None:
        site.platform.slow = 0.0

    return end


@FAULTS.register('store_down_and_primary_killed')
def _both_down(site: Site, database: str) -> End | None:
    end = _store_down(site, database)
    _primary_killed(site, database)
    return end


@FAULTS.register('answer_lost_and_primary_killed')
def _answer_lost(site: Site, database: str) -> End | None:
    site.platform.lose_answers = 1
    _primary_killed(site, database)
    return None


@FAULTS.register('gate_vm_killed')
def _gate_killed(site: Site, database: str) -> End | None:
    site.kill_vm(_gate_vm(site, database))
    return None


@FAULTS.register('gate_vm_paused')
def _gate_paused(site: Site, database: str) -> End | None:
    name = _gate_vm(site, database)
    site.pause_vm(name)
    return lambda: site.resume_vm(name)


@FAULTS.register('zone_of_primary_cut_off')
def _zone_cut(site: Site, database: str) -> End | None:
    site.network.cut_zone(site.primary(database).place.zone)
    return site.network.heal


@FAULTS.register('primary_and_gate_vm_killed')
def _primary_and_gate(site: Site, database: str) -> End | None:
    name = _gate_vm(site, database)
    _primary_killed(site, database)
    site.kill_vm(name)
    return None


@FAULTS.register('platform_cut_off_and_primary_paused')
def _platform_cut(site: Site, database: str) -> End | None:
    site.network.cut_place(site.platform_place.name)
    end_pause = _primary_paused(site, database)

    def end() -> None:
        site.network.heal()
        if end_pause is not None:
            end_pause()

    return end
