"""Entry point of ``chicoryusher``, the command line for operators."""

from __future__ import annotations

import dataclasses
import datetime
import getpass
import json
import pathlib
import sys
from typing import Annotated

import typer

from chicoryusher import core
from chicoryusher import decisions
from chicoryusher.cli import check as check_module
from chicoryusher.cli import client as client_module
from chicoryusher.cli import explain as explain_module
from chicoryusher.cli import options
from chicoryusher.cli import output

__all__ = ['app']

ExitCode = output.ExitCode

app = typer.Typer(help='Operate chicoryusher.', no_args_is_help=True)
register_app = typer.Typer(help='The asset register and its rules.')
app.add_typer(register_app, name='register')
app.command()(check_module.check)


def _print_state(admin: str, token: str, path: str, as_json: bool) -> None:
    try:
        result_rows = client_module.AdminClient(admin, token).result_rows(path)
    except core.AdminError as exc:
        output.fail(exc, as_json)
    output.print_rows(result_rows, as_json)


@app.command()
def status(
    token: options.TokenOption = '',
    admin: options.AdminOption = options.DEFAULT_ADMIN,
    as_json: options.JsonOption = False,
) -> None:
    """Show the state of one daemon."""
    _print_state(admin, token, '/status', as_json)


@app.command()
def sessions(
    token: options.TokenOption = '',
    admin: options.AdminOption = options.DEFAULT_ADMIN,
    as_json: options.JsonOption = False,
) -> None:
    """List the sessions of one daemon."""
    _print_state(admin, token, '/sessions', as_json)


@app.command()
def teams(
    token: options.TokenOption = '',
    admin: options.AdminOption = options.DEFAULT_ADMIN,
    as_json: options.JsonOption = False,
) -> None:
    """List the teams with their sessions and refusals at one daemon."""
    _print_state(admin, token, '/teams', as_json)


@app.command()
def databases(
    token: options.TokenOption = '',
    admin: options.AdminOption = options.DEFAULT_ADMIN,
    as_json: options.JsonOption = False,
) -> None:
    """List the instances that one daemon monitors."""
    _print_state(admin, token, '/databases', as_json)


@app.command()
def gates(
    token: options.TokenOption = '',
    admin: options.AdminOption = options.DEFAULT_ADMIN,
    as_json: options.JsonOption = False,
) -> None:
    """List the gates of one daemon with their queues."""
    _print_state(admin, token, '/gates', as_json)


@app.command()
def vms(
    token: options.TokenOption = '',
    admin: options.AdminOption = options.DEFAULT_ADMIN,
    as_json: options.JsonOption = False,
) -> None:
    """List the VMs and their status as one daemon sees it."""
    _print_state(admin, token, '/vms', as_json)


@app.command()
def audit(
    token: options.TokenOption = '',
    admin: options.AdminOption = options.DEFAULT_ADMIN,
    who: Annotated[str, typer.Option(help='Only this operator.')] = '',
    outcome: Annotated[str, typer.Option(help='Only this outcome.')] = '',
    since: Annotated[
        str, typer.Option(help='Only from this time on (ISO 8601).')
    ] = '',
    as_json: options.JsonOption = False,
) -> None:
    """List accepted and refused changes of the register."""
    client = client_module.AdminClient(admin, token)
    try:
        result_rows = client.result_rows('/audit')
    except core.AdminError as exc:
        output.fail(exc, as_json)
    matching = [
        row
        for row in result_rows
        if (not who or row.get('who') == who)
        and (not outcome or row.get('outcome') == outcome)
        and (not since or str(row.get('when', '')) >= since)
    ]
    output.print_rows(matching, as_json)


@app.command()
def drain(
    token: options.TokenOption = '',
    admin: options.AdminOption = options.DEFAULT_ADMIN,
    as_json: options.JsonOption = False,
) -> None:
    """Let one daemon finish its requests and stop."""
    try:
        answer = client_module.AdminClient(admin, token).call('POST', '/drain')
    except core.AdminError as exc:
        output.fail(exc, as_json)
    output.print_rows([answer], as_json)


@register_app.command('show')
def register_show(
    token: options.TokenOption = '',
    admin: options.AdminOption = options.DEFAULT_ADMIN,
    as_json: options.JsonOption = False,
) -> None:
    """Print the current register and rules."""
    try:
        version, document = client_module.AdminClient(
            admin, token
        ).fetch_register()
    except core.AdminError as exc:
        output.fail(exc, as_json)
    if as_json:
        typer.echo(json.dumps({'version': version, 'document': document}))
        return
    typer.echo(f'version {version}')
    typer.echo(json.dumps(document, indent=2))


@register_app.command('diff')
def register_diff(
    path: options.FileArgument,
    token: options.TokenOption = '',
    admin: options.AdminOption = options.DEFAULT_ADMIN,
    as_json: options.JsonOption = False,
) -> None:
    """Show what applying a file would change; exit status 4 if anything."""
    document = output.read_json(path, as_json)
    try:
        decisions.compile_document(document, core.ConfigVersion(0))
        _, current = client_module.AdminClient(admin, token).fetch_register()
    except core.SettingsError as exc:
        output.fail_bad_file(exc, as_json)
    except core.AdminError as exc:
        output.fail(exc, as_json)
    before = {
        key: value for key, value in (current or {}).items() if key != 'change'
    }
    changes = decisions.config_differences(before, document)
    output.print_rows(
        [dataclasses.asdict(entry) for entry in changes], as_json
    )
    if changes:
        raise typer.Exit(ExitCode.DIFFERENT)


@register_app.command('apply')
def register_apply(
    path: options.FileArgument,
    token: options.TokenOption = '',
    admin: options.AdminOption = options.DEFAULT_ADMIN,
    expected: Annotated[
        int | None,
        typer.Option(help='Version to replace; default: the current one.'),
    ] = None,
    operator: Annotated[
        str,
        typer.Option(
            help='Name recorded for the change; default: the login name.'
        ),
    ] = '',
    as_json: options.JsonOption = False,
) -> None:
    """Replace the register by the contents of a file."""
    document = output.read_json(path, as_json)
    client = client_module.AdminClient(admin, token)
    try:
        decisions.compile_document(document, core.ConfigVersion(0))
        if expected is None:
            expected, _ = client.fetch_register()
        at = datetime.datetime.now(datetime.UTC).isoformat()
        version = client.apply_register(
            json.dumps(document).encode(),
            expected,
            operator or getpass.getuser(),
            at,
        )
    except core.SettingsError as exc:
        output.fail_bad_file(exc, as_json)
    except core.AdminError as exc:
        output.fail(exc, as_json)
    output.print_rows([{'version': version}], as_json)


@app.command()
def explain(
    request_id: Annotated[str, typer.Argument(help='Id of the request.')],
    logs: Annotated[
        list[pathlib.Path] | None,
        typer.Argument(help='Log files of VMs; default: standard input.'),
    ] = None,
    as_json: options.JsonOption = False,
) -> None:
    """Show the log lines about a request and the state of its VMs."""
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
    timeline = explain_module.request_timeline(
        explain_module.parse_log_lines(texts), request_id
    )
    if not timeline:
        typer.echo(
            f'no log line names {request_id}: it succeeded,'
            ' or the log of its VM is missing',
            err=True,
        )
        raise typer.Exit(ExitCode.FAILED)
    output.print_rows(
        (
            {
                'time': entry.logged_at,
                'vm': entry.vm,
                'event': entry.event,
                'message': entry.message,
                'with': ' '.join(f'{k}={v}' for k, v in entry.fields),
            }
            for entry in timeline
        ),
        as_json,
    )


if __name__ == '__main__':
    app()
