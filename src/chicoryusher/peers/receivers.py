"""Which task of a VM handles a message of a peer."""

from __future__ import annotations

from chicoryusher import core
from chicoryusher import tasks

__all__ = ['has_receiver', 'receiving_task']

_RECEIVER_BY_TYPE = {
    core.RelayWork: tasks.names.relay,
    core.RelayCancel: tasks.names.relay,
    core.RelayRollback: tasks.names.relay,
    core.RelayPing: tasks.names.relay,
    core.RelayEnded: tasks.names.forwarder,
    core.RelayPong: tasks.names.forwarder,
    core.Ping: tasks.names.view_exchange,
    core.Pong: tasks.names.view_exchange,
    core.FetchView: tasks.names.view_exchange,
    core.LeaderRowsRead: tasks.names.view_exchange,
    core.PoolConfigUpdate: tasks.names.view_exchange,
    core.RegisteredInstances: tasks.names.view_exchange,
    core.EntryVmRowsRead: tasks.names.view_exchange,
    core.FollowLimitKeeper: tasks.names.limit_keeper,
    core.AskAllowance: tasks.names.limit_keeper,
    core.LimitKeeperStamp: tasks.names.limiter,
    core.GrantAllowance: tasks.names.limiter,
    core.ReachabilityQuery: tasks.names.reachability_monitor,
    core.ReachabilityReply: tasks.names.reachability_monitor,
    core.FencePrimary: tasks.names.primary_manager,
    core.PrimaryFenced: tasks.names.primary_manager,
    core.PrimaryReopened: tasks.names.primary_manager,
    core.PrimaryExpected: tasks.names.primary_manager,
    core.StatusQuery: tasks.names.evidence_collector,
    core.StatusReport: tasks.names.evidence_collector,
    core.Submit: tasks.names.node,
    core.AbortTransaction: tasks.names.node,
    core.AnswerConsumed: tasks.names.node,
    core.Answer: tasks.names.router,
    core.ResultChunk: tasks.names.router,
    core.RequestMoved: tasks.names.router,
    core.Heartbeat: tasks.names.membership,
    core.FetchConfig: tasks.names.configurator,
    core.ConfigOffer: tasks.names.configurator,
    core.AskConfigAge: tasks.names.config_evidence,
    core.ConfigAge: tasks.names.config_evidence,
}


def has_receiver(message: core.Message) -> bool:
    """Return whether a task handles messages of this type."""
    return type(message) in _RECEIVER_BY_TYPE


def receiving_task(vm: core.VmName, message: core.Message) -> core.TaskName:
    """Return the task of this VM that handles a peer's message."""
    return _RECEIVER_BY_TYPE[type(message)](vm)
