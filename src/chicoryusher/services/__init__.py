"""Tasks that are clients of the platform and of the group agents."""

from __future__ import annotations

from chicoryusher.services import agents
from chicoryusher.services import table
from chicoryusher.services.agents import *  # noqa: F403
from chicoryusher.services.table import *  # noqa: F403

__all__ = agents.__all__ + table.__all__
