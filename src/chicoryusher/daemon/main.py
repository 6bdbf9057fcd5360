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


def run(chosen: settings.Settings) -> None:
    """Run one daemon until it is told to stop."""
    loop = runtime.Runtime()
    app_module.Daemon(loop, chosen)
    loop.run()
    loop.close()


def _command(
    path: Annotated[
        pathlib.Path, typer.Argument(help='Settings file (JSON).')
    ],
) -> None:
    """Run the proxy daemon on this VM."""
    log = runtime.Log('', 'daemon')
    with runtime.to_stream(core.LogLevel.INFO).applicationbound():
        chosen = _load(path, log)
    with runtime.to_stream(chosen.log_level).applicationbound():
        try:
            run(chosen)
        except core.ChartError as exc:
            for problem in exc.problems:
                log.emit(
                    core.LogEvent.CHART_BAD, chart=exc.chart, why=str(problem)
                )
            raise typer.Exit(ExitCode.BAD_CHART) from None
        except OSError as exc:
            log.emit(core.LogEvent.CANNOT_LISTEN, why=str(exc))
            raise typer.Exit(ExitCode.CANNOT_LISTEN) from None


def _load(path: pathlib.Path, log: runtime.Log) -> settings.Settings:
    try:
        return settings.load(path)
    except core.SettingsError as exc:
        for problem in exc.problems:
            log.emit(
                core.LogEvent.SETTINGS_BAD, path=problem.path, why=problem.what
            )
        raise typer.Exit(ExitCode.BAD_SETTINGS) from None


def main() -> None:
    """Run ``chicoryusherd`` with the command line's arguments."""
    typer.run(_command)


if __name__ == '__main__':
    sys.exit(main())
