"""The two deployments at their sizes of today, as register documents."""

from __future__ import annotations

import dataclasses
from typing import Any

__all__ = ['DEPLOYMENTS', 'Deployment', 'document']


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """Names and sizes of one deployment.

    ``zones`` maps availability zones to regions; the store is in the
    region named by ``store``.  Instances have ``slots`` and
    ``connections``; ``vms`` is how many entry VMs there are.  Databases
    are numbered from ``first``.
    """

    name: str
    group: str
    zones: tuple[tuple[str, str], ...]
    store: str
    slots: int
    connections: int
    vms: int = 7
    databases: int = 3
    first: int = 1


DEPLOYMENTS = {
    one.name: one
    for one in (
        Deployment(
            'nile-grain',
            'spoonbook',
            (
                ('akhmim-yard', 'upper-nile'),
                ('qena-mill', 'upper-nile'),
                ('alex-depot', 'delta'),
            ),
            'upper-nile',
            3,
            20,
        ),
        Deployment(
            'inzovu',
            'sachet-core',
            (
                ('kigali-a', 'kigali'),
                ('kigali-b', 'kigali'),
                ('musanze-a', 'musanze'),
            ),
            'kigali',
            5,
            55,
        ),
    )
}


def document(deployment: Deployment, host: str, port: int) -> dict[str, Any]:
    """Return a register document; ports count up from ``port``."""
    zones = [zone for zone, _ in deployment.zones]
    ports = iter(range(port, port + 10_000))
    return {
        'register': {
            'zones': [
                {'name': zone, 'region': region}
                for zone, region in deployment.zones
            ],
            'vms': [
                {
                    'name': f'vm{index + 1}',
                    'zone': zones[index % len(zones)],
                    'host': host,
                    'port': next(ports),
                }
                for index in range(deployment.vms)
            ],
            'databases': [
                {
                    'name': f'{deployment.group}_{number + 1}',
                    'instances': [
                        {
                            'name': f'{deployment.group}_{number + 1}-{at}',
                            'zone': zone,
                            'host': host,
                            'port': next(ports),
                            'control_port': next(ports),
                            'slots': deployment.slots,
                            'connections': deployment.connections,
                        }
                        for at, zone in enumerate(zones)
                    ],
                }
                for number in range(
                    deployment.first - 1,
                    deployment.first - 1 + deployment.databases,
                )
            ],
        },
        'rules': {'default_deadline': 10.0, 'default_staleness': 5.0},
    }
