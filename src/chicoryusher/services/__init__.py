"""Tasks that are clients of the platform and of the group agents."""

from __future__ import annotations

from chicoryusher.services import group_agent
from chicoryusher.services import platform_client
from chicoryusher.services.group_agent import *  # noqa: F403
from chicoryusher.services.platform_client import *  # noqa: F403

__all__ = group_agent.__all__ + platform_client.__all__
