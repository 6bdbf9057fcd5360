"""Input and output of the command line, and its exit codes."""

from __future__ import annotations

import enum
import json
import pathlib
from collections.abc import Iterable
from typing import Any
from typing import NoReturn

import typer

from chicoryusher import core

__all__ = ['ExitCode', 'fail', 'fail_bad_file', 'print_rows', 'read_json']

STATUS_CONFLICT = 409
STATUS_BAD_REQUEST = 400


class ExitCode(enum.IntEnum):
    """Exit codes of ``chicoryusher``.

    FINDINGS: a check of a file has found something.
    """

    OK = 0
    FAILED = 1
    FINDINGS = 1
    BAD_FILE = 2
    CONFLICT = 3
    DIFFERENT = 4
    UNREACHABLE = 5


def print_rows(rows: Iterable[dict[str, Any]], as_json: bool) -> None:
    """Print rows as an aligned table or as one JSON array."""
    table = list(rows)
    if as_json:
        typer.echo(json.dumps(table))
        return
    if not table:
        typer.echo('nothing to show')
        return
    columns = list(table[0])
    widths = {
        column: max(
            len(column), *(len(str(row.get(column, ''))) for row in table)
        )
        for column in columns
    }
    typer.echo(
        '  '.join(f'{column:<{widths[column]}}' for column in columns).rstrip()
    )
    for row in table:
        cells = (
            f'{row.get(column, "")!s:<{widths[column]}}' for column in columns
        )
        typer.echo('  '.join(cells).rstrip())


def fail(error: core.AdminError, as_json: bool = False) -> NoReturn:
    """Print the error of an admin call, and exit with its code."""
    code = ExitCode.FAILED
    if error.status == 0:
        code = ExitCode.UNREACHABLE
    elif error.status == STATUS_CONFLICT:
        code = ExitCode.CONFLICT
    elif error.status == STATUS_BAD_REQUEST:
        code = ExitCode.BAD_FILE
    if as_json:
        typer.echo(
            json.dumps({'status': error.status, 'problem': error.detail})
        )
    else:
        typer.echo(str(error), err=True)
    raise typer.Exit(code)


def fail_bad_file(error: core.SettingsError, as_json: bool) -> NoReturn:
    """Print the defects of a file, and exit."""
    rows = [
        {'path': entry.path, 'problem': entry.defect}
        for entry in error.problems
    ]
    print_rows(rows, as_json)
    raise typer.Exit(ExitCode.BAD_FILE)


def read_json(path: pathlib.Path, as_json: bool) -> Any:
    """Return the document in a file; exit if it cannot be read."""
    try:
        return core.decode_json(path.read_bytes())
    except (OSError, core.JsonError) as exc:
        problem = core.ConfigError('$', str(exc))
        fail_bad_file(core.SettingsError((problem,)), as_json)
