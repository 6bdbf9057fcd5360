"""Actions of the chart ``gate``."""

from __future__ import annotations

from chicoryusher import charts
from chicoryusher.tasks import gate as gate_module

__all__: list[str] = []
Gate = gate_module.Gate


@charts.action('gate.claim')
def _claim(gate: Gate, arg: object) -> None:
    gate.claim()


@charts.action('gate.claim_later')
def _claim_later(gate: Gate, arg: object) -> None:
    gate.claim_later()


@charts.action('gate.serve')
def _serve(gate: Gate, arg: object) -> None:
    gate.serve()


@charts.action('gate.close_all')
def _close_all(gate: Gate, arg: object) -> None:
    gate.close_all()


@charts.action('gate.unlock')
def _unlock(gate: Gate, arg: object) -> None:
    gate.unlock()


@charts.action('gate.refuse_queue')
def _refuse_queue(gate: Gate, arg: object) -> None:
    gate.refuse_queue()


@charts.action('gate.release')
def _release(gate: Gate, arg: object) -> None:
    """Wait until nothing runs; ``empty`` follows then."""
