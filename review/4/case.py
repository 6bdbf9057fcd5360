"""LOST: a statement that an instance runs is cut off by a planned stop.

Three callers have idle sessions on a VM. The VM gets SIGTERM. 2 s later, when
it still takes work, each caller begins a transaction: six statements with
pauses between them, 3.6 s in all, within the time limit of 4 s.

Two more callers connect while the VM takes connections, start their sessions
1 s later, and send one statement each, 5.2 s after SIGTERM.
"""

import asyncio
import pathlib

from standins import callers
from standins import scene as scene_module

GRACE_S = 6.0
BEGIN_S = 2.0
# When the statements after the first are sent, seconds after SIGTERM.
SENT_AT_S = (2.0, 2.7, 3.4, 4.1, 4.7, 5.2)
# The work of the last statement; the longest of ``order-settle`` is 0.3 s.
LAST_WORK_S = 0.3
TIME_LIMIT_S = 4.0
CONNECT_S = 1.9
START_S = 2.9


async def transaction(session, start, last_items):
    """Run one transaction; return its answers with their times."""
    loop = asyncio.get_running_loop()
    steps = []

    async def step(text):
        sent_at = loop.time() - start
        answer = await session.query(text)
        answer.update(text=text, sent_at=sent_at,
                      ended_at=loop.time() - start)
        steps.append(answer)
        return callers.succeeded(answer)

    await asyncio.sleep(max(0.0, start + BEGIN_S - loop.time()))
    if not await step('BEGIN READ'):
        return steps
    for number, at in enumerate(SENT_AT_S):
        await asyncio.sleep(max(0.0, start + at - loop.time()))
        last = number == len(SENT_AT_S) - 1
        item = f'last{session.name}' if last else f'item{number}'
        if last:
            last_items.add(item)
        if not await step(f'READ {item}'):
            return steps
    await step('COMMIT')
    return steps


async def late_statement(session, start, last_items):
    """Connect, start the session later, and send one statement."""
    loop = asyncio.get_running_loop()
    await asyncio.sleep(max(0.0, start + CONNECT_S - loop.time()))
    await session.connect()
    await asyncio.sleep(max(0.0, start + START_S - loop.time()))
    await session.start()
    await asyncio.sleep(max(0.0, start + SENT_AT_S[-1] - loop.time()))
    item = f'late{session.name}'
    last_items.add(item)
    sent_at = loop.time() - start
    answer = await session.query(f'READ {item}')
    answer.update(text=f'READ {item}', sent_at=sent_at,
                  ended_at=loop.time() - start)
    return [answer]


async def play(scene):
    await scene.set_up(['sachet1'], vm_count=2)
    group = scene.groups['sachet1']
    last_items = set()

    def work_s(instance, word, rest, request_id):
        return LAST_WORK_S if rest in last_items else 0.028

    group.work_s = work_s
    await asyncio.sleep(6.0)
    vm = scene.vms[0]
    sessions = [
        await scene.session(vm, 'sachet1-order-settle').start()
        for _ in range(3)
    ]
    for session in sessions:
        await session.query('READ warm')
    loop = asyncio.get_running_loop()
    start = loop.time()
    if scene_module.TROUBLE:
        scene.record.add('SIGTERM', vm=vm.name)
        vm.terminate()
    runs = [transaction(session, start, last_items) for session in sessions]
    runs += [
        late_statement(
            scene.session(vm, 'sachet1-order-settle'), start, last_items
        )
        for _ in range(2)
    ]
    results = await asyncio.gather(*runs)
    await asyncio.sleep(1.0)
    if scene_module.TROUBLE:
        scene.record.add('process ended', vm=vm.name, code=vm.process.poll())
    return list(violations(scene, results))


def violations(scene, results):
    """Yield the statements that were cut off against the rule."""
    if not scene_module.TROUBLE:
        for steps in results:
            if not callers.succeeded(steps[-1]):
                yield {'rule': 'LOST', 'why': 'failed without SIGTERM',
                       'answer': steps[-1]}
        return
    for steps in results:
        last = steps[-1]
        if last['end'] != 'CUT':
            continue
        reached = last['id'] in scene.arrived
        in_time = (
            last['ended_at'] - last['sent_at'] < 1.0
            and last['ended_at'] - steps[0]['sent_at'] < TIME_LIMIT_S
        )
        # Sent later than 3 s after SIGTERM, so that work in the last sixth
        # of graceS is no excuse; cut until 1 s after graceS.
        planned = 3.0 < last['sent_at'] and last['ended_at'] < GRACE_S + 1.0
        if reached and in_time and planned:
            yield {'rule': 'LOST', 'request': last['id'],
                   'text': last['text'],
                   'sent_after_sigterm_s': round(last['sent_at'], 3),
                   'cut_after_sigterm_s': round(last['ended_at'], 3)}


if __name__ == '__main__':
    scene_module.main(play, pathlib.Path(__file__).parent)
