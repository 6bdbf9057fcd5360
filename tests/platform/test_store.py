from __future__ import annotations

import base64
import dataclasses
import json

import pytest

import stand_ins
from chicoryusher import core
from chicoryusher import runtime
from fleet import duty
from fleet import entries
from fleet import rows
from fleet import store

VM = core.VmName('vm0')
SERVICE = core.ServiceName('spoonbook')
PARTS = entries.OWN_PARTS
ROW = core.LeadRow(
    SERVICE, 0, core.LeadRowState.CLOSING, core.InstanceName('i-1'), VM
)
ENTRY = {
    'service': 'spoonbook',
    'address': '10.1.0.9:8080',
    'zone': 'akhmim-yard',
    'slots': 3,
    'state': 'ready',
    'dbRole': 'replica',
    'seq': 1,
    'born': 1700000000000,
}


def encoded(document):
    return base64.b64encode(json.dumps(document).encode()).decode()


@pytest.fixture
def loop():
    made = runtime.Runtime()
    yield made
    made.close()


@pytest.fixture
def server(loop):
    return stand_ins.StoreServer(loop)


@pytest.fixture
def keeper(loop):
    return stand_ins.Inbox(loop, 'vm0', 'exchange')


def feed(loop, server, table, wait=0.1, parts=entries.ONE_PART):
    chosen = store.FeedSettings(table, wait, parts)
    return store.Feed(loop, VM, server.address, chosen)


def instances(keeper):
    found = keeper.of(core.RegisteredInstances)
    return [one.name for one in found[-1].entries] if found else None


def test_a_feed_reads_whole_and_follows(loop, server, keeper):
    server.put('servers', 'i-1', encoded(ENTRY))
    feed(loop, server, 'servers')
    stand_ins.run_until(loop, lambda: instances(keeper) == ['i-1'])
    server.put('servers', 'i-2', encoded(ENTRY))
    stand_ins.run_until(loop, lambda: instances(keeper) == ['i-1', 'i-2'])
    server.drop('servers', 'i-1')
    stand_ins.run_until(loop, lambda: instances(keeper) == ['i-2'])


def waits(server):
    return [
        float(args['waitMs']) / 1000
        for path, args, _ in server.calls
        if path == '/api/rows-feed'
    ]


def test_a_feed_that_others_follow_too_waits_longer_and_hears_at_once(
    loop, server, keeper
):
    chosen = store.FeedSettings('servers', 0.1, relaxed=7.0)
    task = store.Feed(loop, VM, server.address, chosen)
    loop.post(task.task_name, core.FollowStore(False))
    stand_ins.run_until(loop, lambda: 7.0 in waits(server))
    server.put('servers', 'i-1', encoded(ENTRY))
    stand_ins.run_until(loop, lambda: instances(keeper) == ['i-1'])


def test_a_feed_that_is_needed_again_does_not_sit_a_long_wait_out(
    loop, server, keeper
):
    """Its connection may have gone silent in that wait."""
    chosen = store.FeedSettings('servers', 0.1, relaxed=7.0)
    task = store.Feed(loop, VM, server.address, chosen)
    loop.post(task.task_name, core.FollowStore(False))
    stand_ins.run_until(loop, lambda: 7.0 in waits(server))
    loop.post(task.task_name, core.FollowStore(True))
    stand_ins.run_until(loop, lambda: waits(server)[-1] == 0.1)
    server.put('servers', 'i-1', encoded(ENTRY))
    stand_ins.run_until(loop, lambda: instances(keeper) == ['i-1'])


def test_pages_are_put_together(loop, server, keeper):
    server.page = 2
    for number in range(5):
        server.put('servers', f'i-{number}', encoded(ENTRY))
    feed(loop, server, 'servers')
    stand_ins.run_until(loop, lambda: len(instances(keeper) or ()) == 5)


def test_a_forgotten_history_is_read_again_whole(loop, server, keeper):
    server.put('servers', 'i-1', encoded(ENTRY))
    feed(loop, server, 'servers')
    stand_ins.run_until(loop, lambda: instances(keeper) == ['i-1'])
    server.rows.clear()
    server.version += 5
    server.forgotten = server.version
    server._put('servers', 'i-9', encoded(ENTRY))
    stand_ins.run_until(loop, lambda: instances(keeper) == ['i-1', 'i-9'])
    stand_ins.run_until(loop, lambda: instances(keeper) == ['i-9'])


def test_rows_that_cannot_be_read_name_nothing(loop, server, keeper):
    server.put('servers', 'i-0', encoded({**ENTRY, 'state': 'asleep'}))
    server.put('servers', 'i-1', encoded({**ENTRY, 'born': 1.5}))
    server.put('servers', 'i-2', 'bm90IGpzb24=')
    server.put('servers', 'i-3', '!!')
    server.put('servers', 'i-4', encoded([1]))
    server.put('servers', 'i-5', encoded(ENTRY))
    feed(loop, server, 'servers')
    stand_ins.run_until(loop, lambda: instances(keeper) == ['i-5'])


@pytest.mark.parametrize('left', PARTS)
def test_any_part_shows_all_while_the_others_are_lost(
    loop, server, keeper, left
):
    task = rows.Rows(loop, VM, server.address, PARTS)
    loop.post(task.task_name, core.WriteLead(ROW, 0, keeper.task_name))
    stand_ins.run_until(loop, lambda: keeper.of(core.RowWritten))
    server.shut = {one for one in PARTS if one != left}
    feed(loop, server, entries.OWN_TABLE, parts=PARTS)
    stand_ins.run_until(loop, lambda: keeper.of(core.LeadsInStore))
    found = keeper.of(core.LeadsInStore)[0].rows
    assert [one.service for one in found] == [SERVICE]
    stand_ins.run_until(loop, lambda: keeper.of(core.StoreSeen))


def test_a_change_is_seen_once_though_every_part_shows_it(
    loop, server, keeper
):
    feed(loop, server, entries.OWN_TABLE, parts=PARTS)
    stand_ins.run_until(loop, lambda: keeper.of(core.NodesInStore))
    value = base64.b64encode(entries.encode_lead(ROW)).decode()
    key = entries.lead_key(SERVICE)
    server.put(entries.OWN_TABLE, key, value, PARTS)
    stand_ins.run_until(loop, lambda: keeper.of(core.LeadsInStore)[-1].rows)
    assert len(keeper.of(core.LeadsInStore)[-1].rows) == 1


def test_a_write_is_done_in_every_part_or_in_none(loop, server, keeper):
    server.shut = {PARTS[1]}
    assert written(loop, server, keeper) is None
    assert server.rows == {}


def test_a_newer_row_of_a_vm_is_not_overwritten_by_a_repeated_older_one(
    loop, server, keeper
):
    task = rows.Rows(loop, VM, server.address, PARTS)
    zone = core.ZoneName('akhmim-yard')
    row = core.NodeRow(VM, '10.0.0.1', 7440, zone, 'b1')
    leaving = dataclasses.replace(row, life=core.NodeLife.LEAVING)
    server.shut = {'all'}
    loop.post(task.task_name, core.WriteNode(row))
    stand_ins.run_until(loop, lambda: server.calls)
    loop.post(task.task_name, core.WriteNode(leaving))
    stand_ins.run_until(loop, lambda: len(server.calls) > 1)
    server.shut = set()
    key = entries.node_key(VM)
    stand_ins.run_until(
        loop,
        lambda: (
            {place for place in server.rows}
            == {(entries.OWN_TABLE, part, key) for part in PARTS}
        ),
    )
    value = base64.b64encode(entries.encode_node(leaving)).decode()
    assert {one['value'] for one in server.rows.values()} == {value}
    writes = [one for one in server.calls if one[0] == '/api/rows-tx']
    assert len(writes) == 3


def written(loop, server, keeper, expected=0, row=ROW):
    task = rows.Rows(loop, VM, server.address, PARTS)
    loop.post(task.task_name, core.WriteLead(row, expected, keeper.task_name))
    stand_ins.run_until(loop, lambda: keeper.of(core.RowWritten))
    return keeper.of(core.RowWritten)[0].row


def test_a_write_that_meets_its_condition_has_a_revision(loop, server, keeper):
    row = written(loop, server, keeper)
    assert row.revision == server.version
    assert row.holder == VM


def test_a_write_that_fails_its_condition_shows_the_row(loop, server, keeper):
    other = core.LeadRow(
        SERVICE,
        0,
        core.LeadRowState.OPEN,
        core.InstanceName('i-2'),
        core.VmName('vm9'),
    )
    value = base64.b64encode(entries.encode_lead(other)).decode()
    key = entries.lead_key(SERVICE)
    server.put(entries.OWN_TABLE, key, value, PARTS)
    row = written(loop, server, keeper)
    assert row.holder == 'vm9'
    assert row.revision == server.version


@pytest.mark.parametrize('losses', [1, 3])
def test_a_lost_answer_is_settled_and_the_write_lands_once(
    loop, server, keeper, losses
):
    server.lose_writes = losses
    row = written(loop, server, keeper)
    assert row.holder == VM
    assert server.version == 1


def test_a_store_that_stays_away_leaves_the_outcome_open(loop, server, keeper):
    server.shut.add('all')
    assert written(loop, server, keeper) is None


@pytest.mark.parametrize(
    ('status', 'result'),
    [
        (200, core.PromoteResult.DONE),
        (409, core.PromoteResult.REFUSED),
        (429, core.PromoteResult.NOT_REACHED),
        (500, core.PromoteResult.UNKNOWN),
    ],
)
def test_promotions_carry_their_holder_and_token(loop, keeper, status, result):
    server = stand_ins.PromoteServer(loop)
    server.status = status
    task = duty.Promotions(loop, VM, server.address)
    order = core.PromoteInstance(
        SERVICE, core.InstanceName('i-2'), VM, 55, keeper.task_name
    )
    loop.post(task.task_name, order)
    stand_ins.run_until(loop, lambda: keeper.of(core.PromoteReplied))
    assert keeper.of(core.PromoteReplied) == [
        core.PromoteReplied(SERVICE, 55, result)
    ]
    assert json.loads(server.calls[0][2]) == {
        'service': 'spoonbook',
        'id': 'i-2',
    }


def test_a_promotion_without_an_answer_is_unknown(loop, keeper):
    server = stand_ins.PromoteServer(loop)
    server.silent = True
    task = duty.Promotions(loop, VM, server.address)
    order = core.PromoteInstance(
        SERVICE, core.InstanceName('i-2'), VM, 55, keeper.task_name
    )
    loop.post(task.task_name, order)
    stand_ins.run_until(loop, lambda: keeper.of(core.PromoteReplied))
    replied = keeper.of(core.PromoteReplied)[0]
    assert replied.result is core.PromoteResult.UNKNOWN
