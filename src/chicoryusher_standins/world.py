"""Groups, platform and daemons together on the loopback interface."""

from __future__ import annotations

import json
from typing import Any

from chicoryusher import core
from chicoryusher import runtime
from chicoryusher.daemon import app
from chicoryusher.daemon import settings
from chicoryusher_standins import agent
from chicoryusher_standins import deployments
from chicoryusher_standins import engine as engine_module
from chicoryusher_standins import faults
from chicoryusher_standins import group as group_module
from chicoryusher_standins import instance
from chicoryusher_standins import platform as platform_module
from chicoryusher_standins import server as server_module

__all__ = ['ENVIRONMENT', 'HOST', 'World', 'settings_document']

HOST = '127.0.0.1'
REPLICA_LAGS_S = (0.0, 0.020, 0.080)
BACKEND_USER = ('chicoryusher', 'backend-password')
ENVIRONMENT = {
    'CHICORYUSHER_CLUSTER_KEY': 'cluster-key-for-tests',
    'CHICORYUSHER_ADMIN_TOKEN': 'admin-token-for-tests',
    'CLERK_PASSWORD': 'clerk-password',
    'BACKEND_PASSWORD': BACKEND_USER[1],
}


def settings_document(
    vm: str, zone: str, platform_port: int, peers_port: int = 0
) -> dict[str, Any]:
    """Return the settings document of a daemon on loopback."""

    def address(port: int) -> dict[str, Any]:
        return {'host': HOST, 'port': port}

    return {
        'vm': vm,
        'zone': zone,
        'mysql': address(0),
        'peers': address(peers_port),
        'admin': address(0),
        'platform': address(platform_port),
        'users': [
            {
                'name': 'clerk',
                'caller': 'order-desk',
                'password_env': 'CLERK_PASSWORD',
            }
        ],
        'backend_user': {
            'name': BACKEND_USER[0],
            'password_env': 'BACKEND_PASSWORD',
        },
        'drain_seconds': 5.0,
    }


class World:
    """Test doubles, and daemons that use them, on one event loop."""

    def __init__(
        self,
        deployment: deployments.Deployment,
        loop: runtime.Runtime | None = None,
        limits: server_module.ServerLimits | None = None,
    ) -> None:
        self.loop = loop or runtime.Runtime()
        self.deployment = deployment
        self.register = deployments.document(deployment, HOST, 1)
        self.platform = platform_module.PlatformModel()
        self.platform_server = platform_module.PlatformServer(
            self.loop, self.platform
        )
        self.instances: dict[core.InstanceName, instance.Standin] = {}
        self.groups: dict[core.DatabaseName, group_module.GroupModel] = {}
        self.daemons: dict[core.VmName, app.Daemon] = {}
        self._limits = limits or server_module.ServerLimits(
            deployment.slots, deployment.connections
        )
        for database in self.register['register']['databases']:
            self._add_group(database)
        self.faults = faults.FaultTask(self.loop)
        self.replicator = agent.Replicator(
            self.loop, tuple(self.groups.values())
        )

    def _add_group(self, database: dict[str, Any]) -> None:
        names = [
            core.InstanceName(member['name'])
            for member in database['instances']
        ]
        model = group_module.GroupModel(
            core.DatabaseName(database['name']), names
        )
        self.groups[model.database] = model
        engines = {name: engine_module.Engine() for name in names}
        model.on_apply = lambda member, entry: engines[member.name].apply(
            entry.statements
        )
        model.on_rebuild = lambda member: engines[member.name].rebuild()
        for lag, spec in zip(
            REPLICA_LAGS_S, database['instances'], strict=False
        ):
            name = core.InstanceName(spec['name'])
            model.instances[name].lag = lag
            server = server_module.InstanceServer(
                self.loop,
                model,
                name,
                engines[name],
                self._limits,
                BACKEND_USER,
            )
            agent_server = agent.AgentServer(self.loop, model, name)
            spec['port'] = server.address[1]
            spec['control_port'] = agent_server.address[1]
            self.instances[name] = instance.Standin(
                name, model, server, agent_server, engines[name]
            )

    def add_daemon(self, vm: str, zone: str, **changes: Any) -> app.Daemon:
        """Start a daemon on this world's event loop."""
        document = settings_document(vm, zone, self.platform_server.address[1])
        document.update(changes)
        parsed = settings.parse(document, ENVIRONMENT)
        daemon = app.Daemon(self.loop, parsed, owns_loop=False)
        self.daemons[parsed.vm] = daemon
        self.platform.vms[vm] = False
        return daemon

    def configure(self) -> None:
        """Write the register to the platform as its first version."""
        zones = dict(self.deployment.zones)
        vms = []
        for name, daemon in self.daemons.items():
            peers_task = daemon.edges.peers_task
            assert peers_task is not None
            assert daemon.settings.zone in zones
            vms.append(
                {
                    'name': name,
                    'zone': daemon.settings.zone,
                    'host': HOST,
                    'port': peers_task.address[1],
                }
            )
        self.register['register']['vms'] = vms
        self.platform.put_config(json.dumps(self.register).encode())

    def primary_of(self, database: str) -> instance.Standin:
        """Return the test double of the primary of a database's group."""
        model = self.groups[core.DatabaseName(database)]
        leader = model.primary()
        assert leader is not None
        return self.instances[leader.name]
