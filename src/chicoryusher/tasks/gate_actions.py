"""Actions of the chart ``gate``."""

from __future__ import annotations

from chicoryusher import charts
from chicoryusher.tasks import gate as gate_module

__all__: list[str] = []
Gate = gate_module.Gate


@charts.action('gate.claim')
def _claim(gate: Gate, arg: object) -> None:
    gate.lock.claim()


@charts.action('gate.claim_later')
def _claim_later(gate: Gate, arg: object) -> None:
    gate.lock.claim_later()


@charts.action('gate.serve')
def _serve(gate: Gate, arg: object) -> None:
    gate.start_serving()


@charts.action('gate.close_all')
def _close_all(gate: Gate, arg: object) -> None:
    gate.close_connections()


@charts.action('gate.release_lock')
def _release_lock(gate: Gate, arg: object) -> None:
    gate.lock.release()


@charts.action('gate.move_queued')
def _move_queued(gate: Gate, arg: object) -> None:
    gate.move_queued()


@charts.action('gate.wait_until_idle')
def _wait_until_idle(gate: Gate, arg: object) -> None:
    """Do nothing; the gate fires ``empty`` once no work remains."""
