"""Output as tables or JSON, and the exit codes of the command line."""

from __future__ import annotations

import enum
import json
from collections.abc import Iterable
from typing import Any

import typer

__all__ = ['ExitCode', 'print_rows']


class ExitCode(enum.IntEnum):
    """Exit codes of ``chicoryusher``."""

    OK = 0
    FAILED = 1
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
