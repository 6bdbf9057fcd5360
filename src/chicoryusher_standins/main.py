"""Entry point of ``chicoryusher-standins``: test doubles on loopback."""

from __future__ import annotations

import dataclasses
import json
from typing import Annotated

import typer

from chicoryusher import core
from chicoryusher import runtime
from chicoryusher_standins import deployments
from chicoryusher_standins import server
from chicoryusher_standins import world as world_module

__all__ = ['main']


def _serve(
    deployment: Annotated[
        str, typer.Option(help='Name of the deployment to simulate.')
    ] = 'nile-grain',
    databases: Annotated[int, typer.Option(help='Number of databases.')] = 3,
    first: Annotated[
        int, typer.Option(help='Number of the first database.')
    ] = 1,
    slots: Annotated[
        int, typer.Option(help='Slots per instance; 0: as deployed.')
    ] = 0,
    connections: Annotated[
        int,
        typer.Option(help='Connection limit per instance; 0: as deployed.'),
    ] = 0,
) -> None:
    """Serve test doubles until killed.

    The register and the port of the platform are printed as JSON.
    """
    sized = dataclasses.replace(
        deployments.DEPLOYMENTS[deployment],
        databases=databases,
        first=first,
    )
    limits = server.ServerLimits(
        slots or sized.slots, connections or sized.connections
    )
    with runtime.json_handler(core.LogLevel.WARNING).applicationbound():
        world = world_module.World(sized, limits=limits)
        typer.echo(
            json.dumps(
                {
                    'register': world.register,
                    'platform_port': world.platform_server.address[1],
                }
            )
        )
        world.loop.run()


def main() -> None:
    """Run ``chicoryusher-standins`` with the command line's arguments."""
    typer.run(_serve)


if __name__ == '__main__':
    main()
