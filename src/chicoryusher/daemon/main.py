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
    try:
        chosen = settings.load(path)
    except core.SettingsError as exc:
        for problem in exc.problems:
            typer.echo(f'{problem.path}: {problem.what}', err=True)
        raise typer.Exit(ExitCode.BAD_SETTINGS) from None
    with runtime.to_stream(chosen.log_level).applicationbound():
        try:
            run(chosen)
        except OSError as exc:
            typer.echo(f'cannot listen: {exc}', err=True)
            raise typer.Exit(ExitCode.CANNOT_LISTEN) from None


def main() -> None:
    """Run ``chicoryusherd`` with the command line's arguments."""
    typer.run(_command)


if __name__ == '__main__':
    sys.exit(main())
