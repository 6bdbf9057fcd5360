"""The two known deployments at their present sizes."""

from __future__ import annotations

import dataclasses
from typing import Any

__all__ = ['DEPLOYMENTS', 'Deployment', 'document']


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """Names and sizes of one deployment.

    ``zones`` lists availability zones with their regions; ``store`` is the
    region of the store.  ``slots`` is how many statements an instance runs
    at once, ``connections`` its connection limit, ``vms`` the number of
    entry VMs.  Databases are numbered from ``first``.
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
    deployment.name: deployment
    for deployment in (
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
    """Return a register document, with ports assigned from ``port`` on."""
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
                            'name': f'{deployment.group}_{number + 1}-{i}',
                            'zone': zone,
                            'host': host,
                            'port': next(ports),
                            'control_port': next(ports),
                            'slots': deployment.slots,
                            'connections': deployment.connections,
                        }
                        for i, zone in enumerate(zones)
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
