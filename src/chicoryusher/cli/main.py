"""Entry point of ``chicoryusher``, the operators' tool."""

from __future__ import annotations

import dataclasses
import datetime
import getpass
import json
import pathlib
import sys
from typing import Annotated
from typing import Any
from typing import NoReturn

import typer

from chicoryusher import core
from chicoryusher import decisions
from chicoryusher.cli import client as client_module
from chicoryusher.cli import explain as explain_module
from chicoryusher.cli import output
from chicoryusher.daemon import settings

__all__ = ['app']

DEFAULT_ADMIN = '127.0.0.1:7070'
CONFLICT_STATUS = 409
BAD_REQUEST_STATUS = 400
ExitCode = output.ExitCode

app = typer.Typer(help='Operate chicoryusher.', no_args_is_help=True)
register_app = typer.Typer(help='The asset register and its rules.')
app.add_typer(register_app, name='register')

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
    bool, typer.Option('--json', help='Print JSON in place of a table.')
]
FileArgument = Annotated[pathlib.Path, typer.Argument(help='A JSON file.')]


def _fail(error: core.AdminError, as_json: bool = False) -> NoReturn:
    code = ExitCode.FAILED
    if error.status == 0:
        code = ExitCode.UNREACHABLE
    elif error.status == CONFLICT_STATUS:
        code = ExitCode.CONFLICT
    elif error.status == BAD_REQUEST_STATUS:
        code = ExitCode.BAD_FILE
    if as_json:
        typer.echo(
            json.dumps({'status': error.status, 'problem': error.detail})
        )
    else:
        typer.echo(str(error), err=True)
    raise typer.Exit(code)


def _ask(admin: str, token: str, path: str, as_json: bool) -> None:
    try:
        rows = client_module.AdminClient(admin, token).rows(path)
    except core.AdminError as exc:
        _fail(exc, as_json)
    output.show(rows, as_json)


def _refuse(error: core.SettingsError, as_json: bool) -> NoReturn:
    rows = [{'path': one.path, 'problem': one.what} for one in error.problems]
    output.show(rows, as_json)
    raise typer.Exit(ExitCode.BAD_FILE)


def _read(path: pathlib.Path, as_json: bool) -> Any:
    try:
        return json.loads(path.read_text(encoding='utf-8'))
    except (OSError, ValueError) as exc:
        problem = core.ConfigError('$', str(exc))
        _refuse(core.SettingsError((problem,)), as_json)


@app.command()
def check(path: FileArgument, as_json: JsonOption = False) -> None:
    """Check a settings file or a register file; list every defect."""
    document = _read(path, as_json)
    try:
        if isinstance(document, dict) and 'register' in document:
            decisions.compile_document(document, core.ConfigVersion(0))
        else:
            settings.load(path)
    except core.SettingsError as exc:
        _refuse(exc, as_json)
    output.show([{'file': str(path), 'problems': 0}], as_json)


@app.command()
def status(
    token: TokenOption = '',
    admin: AdminOption = DEFAULT_ADMIN,
    as_json: JsonOption = False,
) -> None:
    """Show how one daemon stands."""
    _ask(admin, token, '/status', as_json)


@app.command()
def sessions(
    token: TokenOption = '',
    admin: AdminOption = DEFAULT_ADMIN,
    as_json: JsonOption = False,
) -> None:
    """List the sessions of one daemon."""
    _ask(admin, token, '/sessions', as_json)


@app.command()
def databases(
    token: TokenOption = '',
    admin: AdminOption = DEFAULT_ADMIN,
    as_json: JsonOption = False,
) -> None:
    """List the instances that one daemon watches."""
    _ask(admin, token, '/databases', as_json)


@app.command()
def gates(
    token: TokenOption = '',
    admin: AdminOption = DEFAULT_ADMIN,
    as_json: JsonOption = False,
) -> None:
    """List the gates of one daemon with their queues."""
    _ask(admin, token, '/gates', as_json)


@app.command()
def vms(
    token: TokenOption = '',
    admin: AdminOption = DEFAULT_ADMIN,
    as_json: JsonOption = False,
) -> None:
    """List the VMs as one daemon judges them."""
    _ask(admin, token, '/vms', as_json)


@app.command()
def audit(
    token: TokenOption = '',
    admin: AdminOption = DEFAULT_ADMIN,
    who: Annotated[str, typer.Option(help='Only this operator.')] = '',
    outcome: Annotated[str, typer.Option(help='Only this outcome.')] = '',
    since: Annotated[
        str, typer.Option(help='Only from this time on (ISO 8601).')
    ] = '',
    as_json: JsonOption = False,
) -> None:
    """List accepted and refused changes."""
    caller = client_module.AdminClient(admin, token)
    try:
        rows = caller.rows('/audit')
    except core.AdminError as exc:
        _fail(exc, as_json)
    kept = [
        row
        for row in rows
        if (not who or row.get('who') == who)
        and (not outcome or row.get('outcome') == outcome)
        and (not since or str(row.get('when', '')) >= since)
    ]
    output.show(kept, as_json)


@app.command()
def drain(
    token: TokenOption = '',
    admin: AdminOption = DEFAULT_ADMIN,
    as_json: JsonOption = False,
) -> None:
    """Let one daemon finish its work and stop."""
    try:
        answer = client_module.AdminClient(admin, token).call('POST', '/drain')
    except core.AdminError as exc:
        _fail(exc, as_json)
    output.show([answer], as_json)


@register_app.command('show')
def register_show(
    token: TokenOption = '',
    admin: AdminOption = DEFAULT_ADMIN,
    as_json: JsonOption = False,
) -> None:
    """Print the register and rules in force."""
    try:
        version, document = client_module.AdminClient(admin, token).register()
    except core.AdminError as exc:
        _fail(exc, as_json)
    if as_json:
        typer.echo(json.dumps({'version': version, 'document': document}))
        return
    typer.echo(f'version {version}')
    typer.echo(json.dumps(document, indent=2))


@register_app.command('diff')
def register_diff(
    path: FileArgument,
    token: TokenOption = '',
    admin: AdminOption = DEFAULT_ADMIN,
    as_json: JsonOption = False,
) -> None:
    """Show what applying a file would change; exits 4 if anything."""
    document = _read(path, as_json)
    try:
        decisions.compile_document(document, core.ConfigVersion(0))
        _, known = client_module.AdminClient(admin, token).register()
    except core.SettingsError as exc:
        _refuse(exc, as_json)
    except core.AdminError as exc:
        _fail(exc, as_json)
    before = {
        key: value for key, value in (known or {}).items() if key != 'change'
    }
    found = decisions.differences(before, document)
    output.show([dataclasses.asdict(one) for one in found], as_json)
    if found:
        raise typer.Exit(ExitCode.DIFFERENT)


@register_app.command('apply')
def register_apply(
    path: FileArgument,
    token: TokenOption = '',
    admin: AdminOption = DEFAULT_ADMIN,
    expected: Annotated[
        int | None,
        typer.Option(help='Version to replace; the one in force if not set.'),
    ] = None,
    operator: Annotated[str, typer.Option(help='Who makes the change.')] = '',
    as_json: JsonOption = False,
) -> None:
    """Make a register file the next version."""
    document = _read(path, as_json)
    caller = client_module.AdminClient(admin, token)
    try:
        decisions.compile_document(document, core.ConfigVersion(0))
        if expected is None:
            expected, _ = caller.register()
        at = datetime.datetime.now(datetime.UTC).isoformat()
        version = caller.apply(
            json.dumps(document).encode(),
            expected,
            operator or getpass.getuser(),
            at,
        )
    except core.SettingsError as exc:
        _refuse(exc, as_json)
    except core.AdminError as exc:
        _fail(exc, as_json)
    output.show([{'version': version}], as_json)


@app.command()
def explain(
    request_id: Annotated[str, typer.Argument(help='Id of the request.')],
    logs: Annotated[
        list[pathlib.Path] | None,
        typer.Argument(help='Log files of VMs; standard input without any.'),
    ] = None,
    as_json: JsonOption = False,
) -> None:
    """Tell what became of a request, and what its VM knew by then."""
    texts: list[str] = []
    for path in logs or ():
        try:
            text = path.read_text(encoding='utf-8', errors='replace')
        except OSError as exc:
            typer.echo(f'{path}: {exc.strerror}', err=True)
            raise typer.Exit(ExitCode.BAD_FILE) from None
        texts += text.splitlines()
    if not logs:
        texts = sys.stdin.read().splitlines()
    told = explain_module.story(explain_module.lines_of(texts), request_id)
    if not told:
        typer.echo(
            f'no line names {request_id}: it was answered with success,'
            ' or its VM did not log',
            err=True,
        )
        raise typer.Exit(ExitCode.FAILED)
    output.show(
        (
            {
                'time': one.when,
                'vm': one.vm,
                'event': one.event,
                'message': one.message,
                'with': ' '.join(f'{k}={v}' for k, v in one.fields),
            }
            for one in told
        ),
        as_json,
    )


if __name__ == '__main__':
    app()
