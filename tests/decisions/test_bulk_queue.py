"""Large documents leave room on the link for short messages."""

from __future__ import annotations

import dataclasses

from chicoryusher import core
from chicoryusher import decisions

# 2 Mbit/s.
LINK_BYTES_PER_S = 250_000.0
DOCUMENT_BYTES = 25_000


@dataclasses.dataclass(frozen=True, slots=True)
class Document(core.Message):
    version: int


def vm(number):
    return core.VmName(f'vm{number}')


def test_copies_take_half_of_the_link():
    queue = decisions.BulkQueue(LINK_BYTES_PER_S)
    for number in range(5):
        queue.add(vm(number), Document(1))
    now, sent = 10.0, []
    while len(queue):
        found = queue.pop_next(now)
        if found is None:
            now += queue.delay(now)
            continue
        sent.append((found[0], round(now, 3)))
        queue.record_sent(DOCUMENT_BYTES, now)
    assert sent == [(vm(n), round(10.0 + 0.2 * n, 3)) for n in range(5)]


def test_a_peer_gets_the_newest_document_only():
    queue = decisions.BulkQueue(LINK_BYTES_PER_S)
    queue.add(vm(1), Document(1))
    queue.add(vm(1), Document(2))
    assert queue.pop_next(0.0) == (vm(1), Document(2))
    assert queue.pop_next(0.0) is None


def test_the_first_document_is_sent_at_once():
    queue = decisions.BulkQueue(LINK_BYTES_PER_S)
    queue.add(vm(1), Document(1))
    assert queue.delay(5.0) == 0.0
    assert queue.pop_next(5.0) is not None
