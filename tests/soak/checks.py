"""The promises, from what callers and instances saw."""

from __future__ import annotations

import collections

from chicoryusher import core

_NOT_KEPT = (
    core.Refusal.BUSY,
    core.Refusal.ABORTED,
    core.Refusal.NOT_FRESH,
    core.Refusal.READ_ONLY,
)


def broken(seen, group, terms, staleness):
    """Return a line for each broken promise."""
    return [
        *_twice(group),
        *_refused_and_kept(seen, group),
        *_acknowledged_late(seen, group, terms),
        *_not_the_instances(seen, group),
        *_stale(seen, group, staleness),
    ]


def _twice(group):
    counts = collections.Counter(one.request_id for one in group.commits)
    return [f'landed {n} times: {one}' for one, n in counts.items() if n > 1]


def _refused_and_kept(seen, group):
    landed = {one.request_id for one in group.commits}
    return [
        f'{one.reply.refusal.value} though it landed: {one.request_id}'
        for one in seen
        if one.reply is not None
        and one.reply.refusal in _NOT_KEPT
        and one.request_id in landed
    ]


def _acknowledged(seen):
    return {
        one.request_id: one
        for one in seen
        if one.reply is not None and one.reply.refusal is None
    }


def _acknowledged_late(seen, group, terms):
    """Return acknowledged commits of a primary that was replaced."""
    acked = _acknowledged(seen)
    found = []
    for place, one in enumerate(group.commits):
        newest = max(
            (term for before, term in terms if before <= place), default=1
        )
        if one.request_id in acked and one.position.term < newest:
            found.append(f'of term {one.position.term}: {one.request_id}')
    return found


def _not_the_instances(seen, group):
    ran = {one.request_id for one in group.runs}
    found = []
    for request_id, one in _acknowledged(seen).items():
        digest = one.reply.digest
        if one.kind in ('read', 'write') and request_id not in ran:
            found.append(f'success without a run: {one}')
        if one.kind in ('read', 'write') and digest in (None, '-'):
            found.append(f'success without a digest: {request_id}')
    return found + _ran_twice(seen, group)


def _ran_twice(seen, group):
    """Return single writes that ran more than once."""
    single = {one.request_id for one in seen if one.kind == 'write'}
    runs = collections.Counter(
        one.request_id for one in group.runs if one.request_id in single
    )
    return [f'ran {n} times: {one}' for one, n in runs.items() if n > 1]


def _stale(seen, group, staleness):
    """Return reads whose log lacked what they had to see."""
    at = {one.request_id: one.position for one in group.commits}
    acks = sorted(
        (one.done_at, at[request_id], one)
        for request_id, one in _acknowledged(seen).items()
        if request_id in at
    )
    ran = {}
    for one in group.runs:
        ran[one.request_id] = one.position
    found = []
    for request_id, one in _acknowledged(seen).items():
        if one.kind != 'read' or request_id not in ran:
            continue
        where = ran[request_id]
        for done_at, position, writer in acks:
            if done_at >= one.sent_at:
                break
            if not _must_see(one, writer, done_at, staleness):
                continue
            if _lacks(where, position):
                found.append(
                    f'{request_id} at {where} lacks {position} of '
                    f'{writer.request_id}, {one.sent_at - done_at:.3f} s old'
                )
                break
    return found


def _must_see(read, writer, done_at, staleness):
    if read.database == core.Access.PRIMARY.value:
        return True
    if read.sent_at - done_at > staleness:
        return True
    if read.database != core.Access.OWN_WRITES.value:
        return False
    own = read.request_id.partition('.')[0]
    same = writer.request_id.partition('.')[0] == own
    return same and writer.session == read.session


def _lacks(where, position):
    """Tell whether a log lacks a commit that no promotion rolled back.

    Of two terms only the newer acknowledged one is known to be kept.
    """
    if position.term == where.term:
        return position.offset > where.offset
    return position.term > where.term
