"""Hooks that set up error logging and close the site of each scenario."""

from __future__ import annotations

from chicoryusher import core
from chicoryusher import runtime


def before_all(context):
    handler = runtime.json_handler(core.LogLevel.ERROR)
    handler.push_application()


def after_scenario(context, scenario):
    site = getattr(context, 'site', None)
    if site is not None:
        site.close()
