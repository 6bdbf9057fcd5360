"""Play the soak: ``python -m soak.play --seeds 50`` (see ``make soak``)."""

from __future__ import annotations

import concurrent.futures
import dataclasses
import pathlib
import random
import sys

import typer

from soak import checks
from soak import faults
from soak import world as world_module

# Seconds for processes to start, and to be well again after the last fault.
WARM_UP = 2.5
RECOVERY = 8.0
# Part of the requests after the recovery that must succeed.
SERVED = 0.9
KEPT = pathlib.Path('build') / 'soak'
app = typer.Typer()


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """What one seed showed."""

    seed: int
    requests: int
    served: float
    commits: int
    promotions: int
    broken: tuple[str, ...]


def play(seed, folder, seconds=8.0, vms=3, names=None):
    """Run one seed; its logs are left in ``folder``."""
    chosen = names or tuple(faults.FAULTS)
    world = world_module.World(seed, folder, vms)
    try:
        world.start()
        world.run(WARM_UP)
        chaos = faults.Chaos(world, chosen)
        world.run(seconds)
        chaos.stop()
        world.run(RECOVERY)
        good_from = world.loop.clock.now()
        world.run(2.0)
        for one in world.consumers:
            one.going = False
        world.run(1.0)
        return _verdict(seed, world, chaos, good_from, folder)
    finally:
        world.close()


def _verdict(seed, world, chaos, good_from, folder):
    broken = list(chaos.broken)
    broken += checks.broken(
        world.seen,
        world.group,
        world.promotions.terms,
        world_module.STALENESS,
    )
    late = [one for one in world.seen if one.sent_at >= good_from]
    good = sum(
        one.reply is not None and one.reply.refusal is None for one in late
    )
    served = good / len(late) if late else 0.0
    if served < SERVED:
        broken.append(f'{served:.2f} served after the recovery')
    folder.joinpath('faults.txt').write_text('\n'.join(chaos.log_lines))
    folder.joinpath('broken.txt').write_text('\n'.join(broken))
    return Verdict(
        seed,
        len(world.seen),
        served,
        len(world.group.commits),
        len(world.promotions.terms),
        tuple(broken),
    )


def _play_kept(seed, seconds, vms):
    folder = KEPT / str(seed)
    folder.mkdir(parents=True, exist_ok=True)
    return play(seed, folder, seconds, vms)


@app.command()
def main(
    seeds: int = 5,
    first: int = 0,
    seconds: float = 8.0,
    vms: int = 3,
    jobs: int = 2,
) -> None:
    """Play seeds; without ``first`` they are fresh ones."""
    start = first or random.SystemRandom().randrange(10**6)
    failed = 0
    with concurrent.futures.ProcessPoolExecutor(jobs) as workers:
        runs = [
            workers.submit(_play_kept, start + one, seconds, vms)
            for one in range(seeds)
        ]
        for run in concurrent.futures.as_completed(runs):
            verdict = run.result()
            failed += bool(verdict.broken)
            print(dataclasses.asdict(verdict), flush=True)
    print(f'{seeds - failed} passed, {failed} failed')
    sys.exit(1 if failed else 0)


if __name__ == '__main__':
    app()
