"""The daemon task: starts the tasks of one VM and drains them at the end.

Its states follow the chart ``daemon``.
"""

from __future__ import annotations

import dataclasses
import secrets

import circuits

from chicoryusher import charts
from chicoryusher import core
from chicoryusher import decisions
from chicoryusher import peers
from chicoryusher import runtime
from chicoryusher import services
from chicoryusher import tasks
from chicoryusher.backends import mysql as mysql_backend
from chicoryusher.daemon import admin
from chicoryusher.daemon import metrics
from chicoryusher.daemon import settings as settings_module
from chicoryusher.frontends import mysql as mysql_frontend

__all__ = ['Daemon', 'SocketTaskFactory']

INCARNATION_BYTES = 4
FLUSH_DELAY_S = 0.05
DRAIN_CHECK_INTERVAL_S = 0.1


class SocketTaskFactory:
    """Starts the tasks of a node that own sockets (``tasks.TaskFactory``)."""

    def __init__(
        self, loop: runtime.Runtime, daemon_settings: settings_module.Settings
    ) -> None:
        self._loop = loop
        self._settings = daemon_settings
        self.peers_task: peers.Peers | None = None

    def platform(self, vm: core.VmName) -> None:
        """Start the client of the platform: table, object store, VM list."""
        services.PlatformClient(
            self._loop,
            vm,
            self._settings.platform,
            self._settings.platform_token,
        )

    def peers(self, vm: core.VmName) -> None:
        """Start the task with the streams to other VMs."""
        self.peers_task = peers.Peers(
            self._loop, vm, self._settings.peers, self._settings.cluster_key
        )

    def link(
        self, vm: core.VmName, spec: decisions.InstanceSpec
    ) -> runtime.Task:
        """Start the task with the connections to one instance."""
        return mysql_backend.MysqlLink(
            self._loop,
            vm,
            spec.name,
            spec.database,
            (spec.host, spec.port),
            self._settings.backend_user,
            tasks.names.gate(vm, spec.name),
        )

    def agent(
        self, vm: core.VmName, spec: decisions.InstanceSpec
    ) -> runtime.Task:
        """Start the client of one instance's group agent."""
        return services.GroupAgent(
            self._loop,
            vm,
            spec.name,
            (spec.host, spec.control_port),
            tasks.names.group_monitor(vm, spec.database),
        )


@dataclasses.dataclass(frozen=True, slots=True)
class _DrainCheck(core.Message):
    """Timer: check whether the drain is complete.

    At ``deadline`` the daemon stops even if it is not.
    """

    deadline: float


class _Stop(core.Message):
    """Timer: stop the loop."""


class Daemon(runtime.Task):
    """All tasks of one daemon on one loop.

    With ``owns_loop`` the daemon reacts to signals and stops the loop when it
    stops; otherwise several daemons can share a loop.
    """

    def __init__(
        self,
        loop: runtime.Runtime,
        daemon_settings: settings_module.Settings,
        owns_loop: bool = True,
    ) -> None:
        super().__init__(loop, daemon_settings.vm, 'daemon')
        self.state = core.DaemonState.STARTING
        self.settings = daemon_settings
        self._loop = loop
        self._owns_loop = owns_loop
        self._chart = charts.load_machine('daemon')
        incarnation = secrets.token_hex(INCARNATION_BYTES)
        self.edges = SocketTaskFactory(loop, daemon_settings)
        router = tasks.RouterSettings(
            daemon_settings.zone,
            daemon_settings.cluster_key,
            (),
            daemon_settings.routing_policy,
        )
        self.node = tasks.Node(
            loop,
            daemon_settings.vm,
            self.edges,
            router,
            daemon_settings.queue_policy,
        )
        self.frontend = mysql_frontend.MysqlFrontend(
            loop,
            daemon_settings.vm,
            incarnation,
            daemon_settings.mysql,
            daemon_settings.users,
            daemon_settings.limits,
            tasks.names.router(daemon_settings.vm),
        )
        self.admin = admin.AdminServer(
            loop,
            daemon_settings.vm,
            daemon_settings.admin,
            daemon_settings.admin_token,
            self.node,
            self.task_name,
        )
        sources = metrics.MetricSources(
            self.node, lambda: self.frontend.statement_count
        )
        self.metrics_provider = metrics.start_export(
            daemon_settings.metrics, sources
        )
        if loop.running:
            self._chart.fire(self, 'listening')

    @circuits.handler('started', channel='*')
    def _on_started(self, *args: object) -> None:
        """Enter the running state once the loop handles signals."""
        self._chart.fire(self, 'listening')

    def log_running(self) -> None:
        """Log the addresses on which the daemon listens."""
        self.log.emit(
            core.LogEvent.DAEMON_RUNNING,
            mysql=str(self.frontend.address),
            admin=str(self.admin.address),
        )

    @circuits.handler('signal', channel='*')
    def _on_signal(self, event: circuits.Event, *args: object) -> None:
        if self._owns_loop:
            self._chart.fire(self, 'terminate')

    @runtime.handles(core.Drain)
    def _on_drain(self, drain: core.Drain) -> None:
        self._chart.fire(self, 'terminate')

    def drain(self) -> None:
        """Accept no new work, and finish the requests in flight."""
        timeout_s = self.settings.drain_seconds
        self.log.emit(core.LogEvent.DAEMON_DRAINING, budget_s=timeout_s)
        message = core.Drain(timeout_s)
        self.send(self.frontend.task_name, message)
        self.send(self.node.task_name, message)
        self.after(DRAIN_CHECK_INTERVAL_S, _DrainCheck(self.now() + timeout_s))

    @runtime.handles(_DrainCheck)
    def _on_drain_check(self, check: _DrainCheck) -> None:
        is_busy = self.frontend.callers > 0 or any(
            gate.state is not core.GateState.STANDBY
            for gate in self.node.gates.values()
        )
        if not is_busy:
            self._chart.fire(self, 'drained')
        elif self.now() >= check.deadline:
            self.log.emit(core.LogEvent.DRAIN_TIMED_OUT)
            self._chart.fire(self, 'timed_out')
        else:
            self.after(DRAIN_CHECK_INTERVAL_S, check)

    def stop_loop(self) -> None:
        """Stop the loop after a delay in which the last messages are sent."""
        self.log.emit(core.LogEvent.DAEMON_STOPPED)
        if self._owns_loop:
            self.after(FLUSH_DELAY_S, _Stop())

    @runtime.handles(_Stop)
    def _on_stop(self, stop: _Stop) -> None:
        if self.metrics_provider is not None:
            self.metrics_provider.shutdown()
        self._loop.stop()


@charts.action('daemon.log_running')
def _log_running(daemon: Daemon, arg: object) -> None:
    daemon.log_running()


@charts.action('daemon.drain')
def _drain(daemon: Daemon, arg: object) -> None:
    daemon.drain()


@charts.action('daemon.stop')
def _stop(daemon: Daemon, arg: object) -> None:
    daemon.stop_loop()
