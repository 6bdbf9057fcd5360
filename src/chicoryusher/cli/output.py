"""Tables and JSON for operators, and the exit codes of the tool."""

from __future__ import annotations

import enum
import json
from collections.abc import Iterable
from typing import Any

import typer

__all__ = ['ExitCode', 'show']


class ExitCode(enum.IntEnum):
    """Exit codes of ``chicoryusher``."""

    OK = 0
    FAILED = 1
    BAD_FILE = 2
    CONFLICT = 3
    DIFFERENT = 4
    UNREACHABLE = 5


def show(rows: Iterable[dict[str, Any]], as_json: bool) -> None:
    """Print rows as an aligned table, or as one JSON array."""
    table = list(rows)
    if as_json:
        typer.echo(json.dumps(table))
        return
    if not table:
        typer.echo('nothing to show')
        return
    names = list(table[0])
    widths = {
        name: max(len(name), *(len(str(row.get(name, ''))) for row in table))
        for name in names
    }
    typer.echo('  '.join(f'{name:<{widths[name]}}' for name in names).rstrip())
    for row in table:
        cells = (f'{row.get(name, "")!s:<{widths[name]}}' for name in names)
        typer.echo('  '.join(cells).rstrip())
