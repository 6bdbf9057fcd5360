"""Event loop on circuits, tasks, timers, streams, meters and logs."""

from __future__ import annotations

from chicoryusher.runtime import http_client
from chicoryusher.runtime import logs
from chicoryusher.runtime import loop
from chicoryusher.runtime import meters
from chicoryusher.runtime import poller
from chicoryusher.runtime import streams
from chicoryusher.runtime import task
from chicoryusher.runtime import timers
from chicoryusher.runtime.http_client import *  # noqa: F403
from chicoryusher.runtime.logs import *  # noqa: F403
from chicoryusher.runtime.loop import *  # noqa: F403
from chicoryusher.runtime.meters import *  # noqa: F403
from chicoryusher.runtime.poller import *  # noqa: F403
from chicoryusher.runtime.streams import *  # noqa: F403
from chicoryusher.runtime.task import *  # noqa: F403
from chicoryusher.runtime.timers import *  # noqa: F403

__all__ = (
    http_client.__all__
    + logs.__all__
    + loop.__all__
    + meters.__all__
    + poller.__all__
    + streams.__all__
    + task.__all__
    + timers.__all__
)
