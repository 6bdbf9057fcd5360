"""One daemon: its edges, its node, and its life by the chart."""

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

__all__ = ['Daemon', 'SocketEdges']

BOOT_BYTES = 4
FLUSH_DELAY = 0.05
DRAIN_POLL = 0.1


class SocketEdges:
    """Ports of a node that are met with sockets."""

    def __init__(
        self, loop: runtime.Runtime, chosen: settings_module.Settings
    ) -> None:
        self._loop = loop
        self._settings = chosen
        self.peers_task: peers.Peers | None = None

    def platform(self, vm: core.VmName) -> None:
        """Start the client of the table and the list of VMs."""
        services.PlatformClient(
            self._loop,
            vm,
            self._settings.platform,
            self._settings.platform_token,
        )

    def peers(self, vm: core.VmName) -> None:
        """Start the streams to other VMs."""
        self.peers_task = peers.Peers(
            self._loop, vm, self._settings.peers, self._settings.cluster_key
        )

    def link(
        self, vm: core.VmName, spec: decisions.InstanceSpec
    ) -> runtime.Task:
        """Start the connections to one instance."""
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
            tasks.names.group(vm, spec.database),
        )


@dataclasses.dataclass(frozen=True, slots=True)
class _DrainPoll(core.Message):
    """Time to see whether the drain has finished."""

    until: float


class _Stop(core.Message):
    """Time to leave the loop."""


class Daemon(runtime.Task):
    """A whole daemon on one loop; lives by the chart ``daemon``."""

    def __init__(
        self,
        loop: runtime.Runtime,
        chosen: settings_module.Settings,
        owns_loop: bool = True,
    ) -> None:
        super().__init__(loop, chosen.vm, 'daemon')
        self.state = core.DaemonState.STARTING
        self.settings = chosen
        self._loop = loop
        self._owns_loop = owns_loop
        self._chart = charts.compiled('daemon')
        boot = secrets.token_hex(BOOT_BYTES)
        self.edges = SocketEdges(loop, chosen)
        router = tasks.RouterSettings(
            chosen.zone, chosen.cluster_key, (), chosen.routing_policy
        )
        self.node = tasks.Node(
            loop, chosen.vm, self.edges, router, chosen.queue_policy
        )
        self.frontend = mysql_frontend.MysqlFrontend(
            loop,
            chosen.vm,
            boot,
            chosen.mysql,
            chosen.users,
            chosen.limits,
            tasks.names.router(chosen.vm),
        )
        self.admin = admin.Admin(
            loop,
            chosen.vm,
            chosen.admin,
            chosen.admin_token,
            self.node,
            self.task_name,
        )
        sources = metrics.Sources(self.node, lambda: self.frontend.statements)
        self.meters = metrics.start(chosen.metrics, sources)
        if loop.running:
            self._chart.fire(self, 'listening')

    @circuits.handler('started', channel='*')
    def _on_started(self, *args: object) -> None:
        """Tell that the daemon runs, now that signals are handled."""
        self._chart.fire(self, 'listening')

    def log_running(self) -> None:
        """Tell where the daemon listens."""
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
        """Finish what is in flight and take nothing new."""
        budget = self.settings.drain_seconds
        self.log.emit(core.LogEvent.DAEMON_DRAINING, budget_s=budget)
        message = core.Drain(budget)
        self.send(self.frontend.task_name, message)
        self.send(self.node.task_name, message)
        self.after(DRAIN_POLL, _DrainPoll(self.now() + budget))

    @runtime.handles(_DrainPoll)
    def _on_poll(self, poll: _DrainPoll) -> None:
        busy = self.frontend.callers > 0 or any(
            one.state is not core.GateState.STANDBY
            for one in self.node.gates.values()
        )
        if not busy:
            self._chart.fire(self, 'drained')
        elif self.now() >= poll.until:
            self.log.emit(core.LogEvent.DRAIN_TIMED_OUT)
            self._chart.fire(self, 'timed_out')
        else:
            self.after(DRAIN_POLL, poll)

    def finish(self) -> None:
        """Leave the loop once the last messages have gone out."""
        self.log.emit(core.LogEvent.DAEMON_STOPPED)
        if self._owns_loop:
            self.after(FLUSH_DELAY, _Stop())

    @runtime.handles(_Stop)
    def _on_stop(self, stop: _Stop) -> None:
        if self.meters is not None:
            self.meters.shutdown()
        self._loop.stop()


@charts.action('daemon.log_running')
def _log_running(daemon: Daemon, arg: object) -> None:
    daemon.log_running()


@charts.action('daemon.drain')
def _drain(daemon: Daemon, arg: object) -> None:
    daemon.drain()


@charts.action('daemon.stop')
def _stop(daemon: Daemon, arg: object) -> None:
    daemon.finish()
