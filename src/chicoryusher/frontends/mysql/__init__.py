"""Front end for callers that speak the MySQL protocol."""

from __future__ import annotations

from chicoryusher.frontends.mysql import caller_conn
from chicoryusher.frontends.mysql import commands
from chicoryusher.frontends.mysql import frontend
from chicoryusher.frontends.mysql import frontend_settings
from chicoryusher.frontends.mysql import marks
from chicoryusher.frontends.mysql import statements
from chicoryusher.frontends.mysql.caller_conn import *  # noqa: F403
from chicoryusher.frontends.mysql.commands import *  # noqa: F403
from chicoryusher.frontends.mysql.frontend import *  # noqa: F403
from chicoryusher.frontends.mysql.frontend_settings import *  # noqa: F403
from chicoryusher.frontends.mysql.marks import *  # noqa: F403
from chicoryusher.frontends.mysql.statements import *  # noqa: F403

__all__ = (
    caller_conn.__all__
    + commands.__all__
    + frontend.__all__
    + frontend_settings.__all__
    + marks.__all__
    + statements.__all__
)
