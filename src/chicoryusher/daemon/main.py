"""Entry point of ``chicoryusherd``."""

from __future__ import annotations

import enum
import pathlib
import sys
from typing import Annotated

import typer

from chicoryusher import core
from chicoryusher import runtime
from chicoryusher.daemon import app as app_module
from chicoryusher.daemon import settings

__all__ = ['main', 'run']


class ExitCode(enum.IntEnum):
    """Exit codes of the daemon."""

    OK = 0
    BAD_SETTINGS = 2
    CANNOT_LISTEN = 3
    BAD_CHART = 4


def run(daemon_settings: settings.Settings) -> None:
    """Run a daemon until it stops."""
    loop = runtime.Runtime()
    app_module.Daemon(loop, daemon_settings)
    loop.run()
    loop.close()


def _run_command(
    path: Annotated[
        pathlib.Path, typer.Argument(help='Settings file (JSON).')
    ],
) -> None:
    """Run the proxy daemon on this VM."""
    log = runtime.Log('', 'daemon')
    with runtime.json_handler(core.LogLevel.INFO).applicationbound():
        daemon_settings = _load_settings(path, log)
    with runtime.json_handler(daemon_settings.log_level).applicationbound():
        try:
            run(daemon_settings)
        except core.ChartError as exc:
            for problem in exc.problems:
                log.emit(
                    core.LogEvent.CHART_BAD, chart=exc.chart, why=str(problem)
                )
            raise typer.Exit(ExitCode.BAD_CHART) from None
        except OSError as exc:
            log.emit(core.LogEvent.CANNOT_LISTEN, why=str(exc))
            raise typer.Exit(ExitCode.CANNOT_LISTEN) from None


def _load_settings(path: pathlib.Path, log: runtime.Log) -> settings.Settings:
    try:
        return settings.load(path)
    except core.SettingsError as exc:
        for problem in exc.problems:
            log.emit(
                core.LogEvent.SETTINGS_BAD,
                path=problem.path,
                why=problem.defect,
            )
        raise typer.Exit(ExitCode.BAD_SETTINGS) from None


def main() -> None:
    """Run ``chicoryusherd`` with the arguments of the command line."""
    typer.run(_run_command)


if __name__ == '__main__':
    sys.exit(main())
