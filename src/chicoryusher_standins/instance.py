"""Test double of one instance: MySQL server, group agent and rows."""

from __future__ import annotations

import dataclasses

from chicoryusher import core
from chicoryusher_standins import agent
from chicoryusher_standins import engine as engine_module
from chicoryusher_standins import group as group_module
from chicoryusher_standins import server as server_module

__all__ = ['Standin']


@dataclasses.dataclass(slots=True)
class Standin:
    """Test double of one instance."""

    name: core.InstanceName
    model: group_module.GroupModel
    server: server_module.InstanceServer
    agent: agent.AgentServer
    engine: engine_module.Engine

    def kill(self) -> None:
        """Kill the instance and its agent."""
        self.server.kill()
        self.agent.kill()

    def pause(self) -> None:
        """Stop answering, and keep every socket open."""
        self.server.pause()

    def resume(self) -> None:
        """Resume after a pause."""
        self.server.resume()
        self.agent.resume()
