"""Check of a file before it is sent or used."""

from __future__ import annotations

import enum
import pathlib
from typing import Annotated
from typing import Any

import typer

from chicoryusher import core
from chicoryusher.cli import client as client_module
from chicoryusher.cli import options
from chicoryusher.cli import output
from chicoryusher.daemon import settings
from chicoryusher.decisions import config_changes
from chicoryusher.decisions import config_checks

__all__ = ['check']

IN_FORCE = 'in-force'


class OutputFormat(enum.Enum):
    """How findings are printed."""

    TABLE = 'table'
    JSON = 'json'


def check(
    path: options.FileArgument,
    against: Annotated[
        str,
        typer.Option(
            help=f'Also list what differs from this register file, or from'
            f' the version that a daemon has ({IN_FORCE}).'
        ),
    ] = '',
    settings_path: Annotated[
        pathlib.Path | None,
        typer.Option(
            '--settings',
            help="Also compare users and callers with a daemon's settings.",
        ),
    ] = None,
    token: options.TokenOption = '',
    admin: options.AdminOption = options.DEFAULT_ADMIN,
    output_format: Annotated[
        OutputFormat, typer.Option('--output', help='How to print it.')
    ] = OutputFormat.TABLE,
    as_json: options.JsonOption = False,
) -> None:
    """Check a settings file or a register file; list all that is wrong.

    Exit status 0: nothing is; 1: the file would be accepted, but has entries
    without effect or limits that exclude each other; 2: it cannot be read or
    would be refused.  Differences alone do not count.
    """
    as_json = as_json or output_format is OutputFormat.JSON
    document = output.read_json(path, as_json)
    is_register = isinstance(document, dict) and 'register' in document
    if not is_register:
        if against:
            problem = core.ConfigError('$', 'only registers can be compared')
            output.fail_bad_file(core.SettingsError((problem,)), as_json)
        _check_settings(path, as_json)
        return
    logins = None
    if settings_path is not None:
        logins = _read_logins(settings_path, as_json)
    findings = config_checks.check_document(document, logins)
    has_errors = any(
        finding.kind is config_checks.FindingKind.ERROR for finding in findings
    )
    rows = [
        _row(finding.kind.value, finding.path, finding.text)
        for finding in findings
    ]
    if against and not has_errors:
        before = _register_before(against, admin, token, as_json)
        rows += [
            _row(change.kind.value, change.entry, change.detail)
            for change in config_changes.compare_registers(before, document)
        ]
    output.print_rows(rows or [_nothing_wrong(path)], as_json)
    if has_errors:
        raise typer.Exit(output.ExitCode.BAD_FILE)
    if findings:
        raise typer.Exit(output.ExitCode.FINDINGS)


def _row(finding: str, path: str, problem: str) -> dict[str, Any]:
    return {'finding': finding, 'path': path, 'problem': problem}


def _read_logins(path: pathlib.Path, as_json: bool) -> dict[str, str]:
    try:
        return settings.read_logins(output.read_json(path, as_json))
    except core.SettingsError as exc:
        output.fail_bad_file(_in_file(exc, path), as_json)


def _in_file(
    error: core.SettingsError, path: pathlib.Path
) -> core.SettingsError:
    """Return the error with the file's name before each place."""
    return core.SettingsError(
        tuple(
            core.ConfigError(f'{path}: {problem.path}', problem.defect)
            for problem in error.problems
        )
    )


def _check_settings(path: pathlib.Path, as_json: bool) -> None:
    try:
        settings.load(path)
    except core.SettingsError as exc:
        output.fail_bad_file(exc, as_json)
    output.print_rows([_nothing_wrong(path)], as_json)


def _nothing_wrong(path: pathlib.Path) -> dict[str, Any]:
    return {'file': str(path), 'problems': 0}


def _register_before(
    against: str, admin: str, token: str, as_json: bool
) -> Any:
    """Return the register to compare with; exit if it is not valid."""
    if against == IN_FORCE:
        client = client_module.AdminClient(admin, token)
        try:
            return client.fetch_register()[1]
        except core.AdminError as exc:
            output.fail(exc, as_json)
    path = pathlib.Path(against)
    document = output.read_json(path, as_json)
    errors = config_checks.register_errors(document)
    if errors:
        error = _in_file(core.SettingsError(errors), path)
        output.fail_bad_file(error, as_json)
    return document
