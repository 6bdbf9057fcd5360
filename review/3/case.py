"""LOST: an acknowledged commit isn't in the log of the promoted instance.

One database with ``syncReplicas`` 1: a commit is acknowledged once one of its
two replicas has received it. One replica receives nothing for a while, and the
primary crashes meanwhile. The other replica, which has every acknowledged
commit, is slow, and answers its STATUS late because its slots are taken.
"""

import asyncio
import pathlib

from standins import callers
from standins import scene as scene_module

DEAF_S = 6.0
SLOW_X = 5.0
SLOW_S = 6.5
READ_WORK_S = 0.047
WRITE_WORK_S = 0.0093
READERS = 40
WRITERS = 6


async def play(scene):
    sync = 1
    await scene.set_up(['sachet1'], vm_count=2, sync_replicas=sync)
    group = scene.groups['sachet1']
    first, second, third = group.instances.values()
    slow = set()

    def work_s(instance, word, rest, request_id):
        work = READ_WORK_S if word == 'READ' else WRITE_WORK_S
        return work * SLOW_X if instance.name in slow else work

    group.work_s = work_s
    await asyncio.sleep(6.0)
    loop = asyncio.get_running_loop()
    end = loop.time() + 12.0
    acknowledged = []
    tasks = []
    for number in range(READERS):
        vm = scene.vms[number % 2]
        session = await scene.session(vm, 'sachet1-stock-look').start()
        tasks.append(read(session, end))
    for number in range(WRITERS):
        vm = scene.vms[number % 2]
        session = await scene.session(vm, 'sachet1-batch-log').start()
        tasks.append(write(session, end, acknowledged))
    running = [asyncio.ensure_future(task) for task in tasks]
    await asyncio.sleep(1.0)
    if scene_module.TROUBLE:
        scene.record.add('receives nothing', instance=third.name)
        third.deaf = True
        loop.call_later(DEAF_S, setattr, third, 'deaf', False)
        await asyncio.sleep(0.5)
        scene.record.add('slow', instance=second.name)
        slow.add(second.name)
        loop.call_later(SLOW_S, slow.clear)
        await asyncio.sleep(0.5)
        scene.record.add('crash', instance=first.name)
        first.crash()
        running.append(asyncio.ensure_future(come_back(first, DEAF_S - 1.0)))
    await asyncio.gather(*running)
    return list(violations(group, acknowledged))


async def come_back(instance, after):
    await asyncio.sleep(after)
    await instance.restart()


async def read(session, end):
    loop = asyncio.get_running_loop()
    number = 0
    while loop.time() < end and session.state == 'I':
        number += 1
        await session.query(f'READ item{number}')
        await asyncio.sleep(0.05)


async def write(session, end, acknowledged):
    loop = asyncio.get_running_loop()
    number = 0
    while loop.time() < end and session.state == 'I':
        number += 1
        answer = await session.query(f'WRITE item{number} data{number}')
        if callers.succeeded(answer):
            acknowledged.append((loop.time(), answer['id']))
        await asyncio.sleep(0.1)


def violations(group, acknowledged):
    """Yield the commits of the old primary that a promotion has lost."""
    for name, term, log, promoted_at in group.promotions:
        lost = [
            request_id
            for at, request_id in acknowledged
            if at < promoted_at and request_id not in log
        ]
        if lost:
            yield {'rule': 'LOST', 'promoted': name, 'term': term,
                   'lost commits': lost}


if __name__ == '__main__':
    scene_module.main(play, pathlib.Path(__file__).parent)
