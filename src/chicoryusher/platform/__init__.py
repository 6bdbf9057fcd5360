"""The platform's services, each behind one task."""

from __future__ import annotations

from chicoryusher.platform import agents
from chicoryusher.platform import http
from chicoryusher.platform import table
from chicoryusher.platform.agents import *  # noqa: F403
from chicoryusher.platform.http import *  # noqa: F403
from chicoryusher.platform.table import *  # noqa: F403

__all__ = agents.__all__ + http.__all__ + table.__all__
