"""Which task of a VM handles a message of a peer."""

from __future__ import annotations

from chicoryusher import core
from chicoryusher import tasks

__all__ = ['has_receiver', 'receiving_task']


def _to_router(vm: core.VmName, message: core.Message) -> core.TaskName:
    return tasks.names.router(vm)


def _to_node(vm: core.VmName, message: core.Message) -> core.TaskName:
    return tasks.names.node(vm)


def _to_membership(vm: core.VmName, message: core.Message) -> core.TaskName:
    return tasks.names.membership(vm)


def _to_configurator(vm: core.VmName, message: core.Message) -> core.TaskName:
    return tasks.names.configurator(vm)


def _to_primary_manager(
    vm: core.VmName, message: core.Message
) -> core.TaskName:
    return tasks.names.primary_manager(vm)


def _to_view_exchange(vm: core.VmName, message: core.Message) -> core.TaskName:
    return tasks.names.view_exchange(vm)


def _to_reachability_monitor(
    vm: core.VmName, message: core.Message
) -> core.TaskName:
    return tasks.names.reachability_monitor(vm)


def _to_forwarder(vm: core.VmName, message: core.Message) -> core.TaskName:
    return tasks.names.forwarder(vm)


def _to_relay(vm: core.VmName, message: core.Message) -> core.TaskName:
    return tasks.names.relay(vm)


_RECEIVER_BY_TYPE = {
    core.RelayWork: _to_relay,
    core.RelayCancel: _to_relay,
    core.RelayRollback: _to_relay,
    core.RelayEnded: _to_forwarder,
    core.Ping: _to_view_exchange,
    core.Pong: _to_view_exchange,
    core.FetchView: _to_view_exchange,
    core.LeaderRowsRead: _to_view_exchange,
    core.PoolConfigUpdate: _to_view_exchange,
    core.RegisteredInstances: _to_view_exchange,
    core.EntryVmRowsRead: _to_view_exchange,
    core.ReachabilityQuery: _to_reachability_monitor,
    core.ReachabilityReply: _to_reachability_monitor,
    core.FencePrimary: _to_primary_manager,
    core.PrimaryFenced: _to_primary_manager,
    core.PrimaryReopened: _to_primary_manager,
    core.Submit: _to_node,
    core.AbortTransaction: _to_node,
    core.AnswerConsumed: _to_node,
    core.Answer: _to_router,
    core.ResultChunk: _to_router,
    core.RequestMoved: _to_router,
    core.Heartbeat: _to_membership,
    core.FetchConfig: _to_configurator,
    core.ConfigOffer: _to_configurator,
}


def has_receiver(message: core.Message) -> bool:
    """Return whether a task handles messages of this type."""
    return type(message) in _RECEIVER_BY_TYPE


def receiving_task(vm: core.VmName, message: core.Message) -> core.TaskName:
    """Return the task of this VM that handles a peer's message."""
    return _RECEIVER_BY_TYPE[type(message)](vm, message)
