"""Tasks: circuits components that decide by messages."""

from __future__ import annotations

from chicoryusher.tasks import configurator
from chicoryusher.tasks import gate
from chicoryusher.tasks import gate_actions  # noqa: F401 - fills a registry
from chicoryusher.tasks import group
from chicoryusher.tasks import group_actions  # noqa: F401 - fills a registry
from chicoryusher.tasks import membership
from chicoryusher.tasks import names
from chicoryusher.tasks import node
from chicoryusher.tasks import notices
from chicoryusher.tasks import router
from chicoryusher.tasks.configurator import *  # noqa: F403
from chicoryusher.tasks.gate import *  # noqa: F403
from chicoryusher.tasks.group import *  # noqa: F403
from chicoryusher.tasks.membership import *  # noqa: F403
from chicoryusher.tasks.node import *  # noqa: F403
from chicoryusher.tasks.notices import *  # noqa: F403
from chicoryusher.tasks.router import *  # noqa: F403

__all__ = [
    *configurator.__all__,
    *gate.__all__,
    *group.__all__,
    *membership.__all__,
    *node.__all__,
    *notices.__all__,
    *router.__all__,
    'names',
]
