"""Options that several commands have."""

from __future__ import annotations

import pathlib
from typing import Annotated

import typer

__all__ = [
    'DEFAULT_ADMIN',
    'AdminOption',
    'FileArgument',
    'JsonOption',
    'TokenOption',
]

DEFAULT_ADMIN = '127.0.0.1:7070'

AdminOption = Annotated[
    str,
    typer.Option(
        '--admin',
        envvar='CHICORYUSHER_ADMIN',
        help='Admin address of any daemon, HOST:PORT.',
    ),
]
TokenOption = Annotated[
    str,
    typer.Option(
        '--token',
        envvar='CHICORYUSHER_ADMIN_TOKEN',
        help='Bearer token of the admin address.',
    ),
]
JsonOption = Annotated[
    bool, typer.Option('--json', help='Print JSON instead of a table.')
]
FileArgument = Annotated[pathlib.Path, typer.Argument(help='A JSON file.')]
