"""STALE: VMs that are cut off use a primary that has been replaced.

Two VMs of one zone serve callers. They are cut off from the store and from the
VMs that are added in the other zones at the same moment; they still reach each
other and the instances. The primary is then to be replaced, as planned work;
the new VMs do that.
"""

import asyncio
import pathlib

from standins import callers
from standins import scene as scene_module

CUT_S = 12.0
DRAIN_AFTER_S = 2.0
DATABASE = 'sachet1-batch-log'
VM_ZONES = ('kigali-a', 'kigali-a', 'kigali-b', 'kigali-b', 'musanze-a',
            'musanze-a')


async def play(scene):
    await scene.set_up(
        ['sachet1'], vm_count=2, spare=4, vm_zones=VM_ZONES
    )
    group = scene.groups['sachet1']
    old, added = scene.vms[:2], scene.vms[2:]
    await asyncio.sleep(5.0)
    loop = asyncio.get_running_loop()
    acknowledged, reads = [], []
    end = loop.time() + CUT_S + 3.0
    tasks = [
        asyncio.ensure_future(use(scene, vm, end, acknowledged, reads, number))
        for vm in old for number in range(4)
    ]
    await asyncio.sleep(1.0)
    if scene_module.TROUBLE:
        names = [vm.name for vm in old]
        scene.record.add('cut off', vms=names)
        scene.network_links.set_cut(names, True)
        loop.call_later(CUT_S, scene.network_links.set_cut, names, False)
    scene.record.add('added', vms=[vm.name for vm in added])
    for vm in added:
        vm.start()
    await asyncio.sleep(DRAIN_AFTER_S)
    scene.record.add('draining', instance=group.primary.name)
    group.drain(group.primary)
    for vm in added:
        await vm.until_ready()
        tasks += [
            asyncio.ensure_future(
                use(scene, vm, end, acknowledged, reads, number)
            )
            for number in range(3)
        ]
    await asyncio.gather(*tasks)
    print('acknowledged', len(acknowledged), 'reads', len(reads),
          'promotions', len(group.promotions))
    return list(violations(group, acknowledged, reads))


async def use(scene, vm, end, acknowledged, reads, number):
    """Read and write in turn; start again after an error."""
    loop = asyncio.get_running_loop()
    session = scene.session(vm, DATABASE)
    count = 0
    while loop.time() < end:
        try:
            if session.state != 'I':
                await session.start()
            count += 1
            sent_at = loop.time()
            writes = count % 5 == number % 5
            verb = f'WRITE item{count} data' if writes else f'READ item{count}'
            answer = await session.query(verb)
            if callers.succeeded(answer):
                (acknowledged if writes else reads).append(
                    (sent_at, loop.time(), answer['id'], vm.name)
                )
        except OSError:
            pass
        await asyncio.sleep(0.03)
    session.close()


def violations(group, acknowledged, reads):
    """Yield reads whose log lacks a commit acknowledged before they were sent.

    Commits that a promotion has rolled back don't count.
    """
    rolled_back = set()
    for _, _, log, promoted_at in group.promotions:
        rolled_back |= {
            request_id
            for _, at, request_id, _ in acknowledged
            if at < promoted_at and request_id not in log
        }
    for sent_at, _, request_id, vm in reads:
        instance, log, applied = group.reads[request_id]
        contained = {commit for _, commit in log[:applied]}
        lacking = [
            (round(sent_at - at, 3), commit, through)
            for _, at, commit, through in acknowledged
            if at < sent_at
            and commit not in contained
            and commit not in rolled_back
        ]
        if lacking:
            yield {'rule': 'STALE', 'read': request_id, 'through': vm,
                   'instance': instance, 'lacks': len(lacking),
                   'oldest': max(lacking)}


if __name__ == '__main__':
    scene_module.main(play, pathlib.Path(__file__).parent)
