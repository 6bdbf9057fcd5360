"""Specification of whom the keepers of a limit count.

One VM follows one of two keepers.  Each of the three may restart, be silent
or freeze; messages are lost, delayed and overtake each other.  A keeper that
counts the VM fills a bucket for its share.  Labels of transitions are
``chart.event`` names; ``time.passes`` is a clock tick.
"""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Iterator
from typing import NamedTuple

import minicheck

__all__ = ['MUTANTS', 'MUTANTS_WITH_RESTART', 'Rules', 'limits']

KEEPERS = (0, 1)
NONE = -1
# Ticks after a stamp for which the keeper counts the VM that returned it.
COUNTED_TICKS = 2
# Messages and stamps are older than that only if they have no effect.
MAX_AGE_TICKS = 2 * COUNTED_TICKS
MAX_MESSAGES = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Rules:
    """The rules of the protocol; each mutant drops one of them.

    A keeper counts from its stamp.  The VM follows another keeper only when
    the time since the receipt of the stamp is over, also after its own start,
    or when the keeper has answered that it released it by the last stamp that
    the VM returned.  A keeper that has released the VM accepts no stamp from
    before.  It counts suspended time, and holds nothing for a VM that it does
    not count.
    """

    counts_from_stamp: bool = True
    waits_for_hold: bool = True
    held_after_start: bool = True
    release_names_stamp: bool = True
    release_ends_stamps: bool = True
    keeper_counts_suspension: bool = True
    loss_empties_bucket: bool = True


MUTANTS = {
    'counted_from_the_receipt': Rules(counts_from_stamp=False),
    'followed_at_once': Rules(waits_for_hold=False),
    'started_unheld': Rules(held_after_start=False),
    'any_release': Rules(release_names_stamp=False),
    'stamp_after_release': Rules(release_ends_stamps=False),
    'keeper_without_suspended_time': Rules(keeper_counts_suspension=False),
    'bucket_kept': Rules(loss_empties_bucket=False),
}


# What a restart is needed for.
MUTANTS_WITH_RESTART = ('started_unheld',)


class _Kind(enum.IntEnum):
    """Kinds of messages; the first and last are a keeper's."""

    STAMP = 0
    ECHO = 1
    LEAVE = 2
    RELEASED = 3


class _Message(NamedTuple):
    """A message from or to a keeper, with the age of the stamp in it."""

    kind: int
    keeper: int
    age: int


class _Keeper(NamedTuple):
    """A keeper.

    ``counted`` is for how many ticks it still counts the VM, ``refused_from``
    the age from which on it refuses stamps.  ``full`` is whether its bucket
    has filled.
    """

    counted: int = 0
    refused_from: int = NONE
    full: bool = False


class _State(NamedTuple):
    """The VM, the keepers, and the messages under way.

    ``keeper`` is the one followed or left; ``stamp`` and ``received`` are the
    ages of the last stamp and of its receipt, ``echoed`` that of the stamp
    that was returned last; ``held`` is for how long the VM must wait.
    """

    state: str = 'leaving'
    keeper: int = NONE
    stamp: int = NONE
    received: int = NONE
    echoed: int = NONE
    held: int = 0
    keepers: tuple[_Keeper, ...] = (_Keeper(), _Keeper())
    messages: tuple[_Message, ...] = ()
    restarts: int = 0


_Step = tuple[str, _State]


def _older(age: int) -> int:
    return age if age == NONE else min(age + 1, MAX_AGE_TICKS)


def _send(state: _State, kind: int, keeper: int, age: int) -> _State | None:
    """Return the state with another message, None if there are too many."""
    message = _Message(int(kind), keeper, age)
    if message in state.messages or len(state.messages) >= MAX_MESSAGES:
        return None
    return state._replace(messages=tuple(sorted((*state.messages, message))))


def _canonical_state(state: _State) -> _State:
    """Reset what no transition reads, and order the keepers.

    Equivalent states then become equal, and are searched once.
    """
    if state.state == 'free':
        state = state._replace(keeper=NONE, echoed=NONE)
    return min(state, _mirrored(state))


def _mirrored(state: _State) -> _State:
    """Return the state with the keepers exchanged."""
    messages = tuple(
        sorted(
            message._replace(keeper=1 - message.keeper)
            for message in state.messages
        )
    )
    return state._replace(
        keeper=NONE if state.keeper == NONE else 1 - state.keeper,
        keepers=state.keepers[::-1],
        messages=messages,
    )


class _Spec:
    """The transitions under the given rules."""

    def __init__(self, rules: Rules) -> None:
        self.rules = rules

    def steps(self, raw: tuple[object, ...]) -> list[tuple[str, tuple]]:
        """Return every next state with its label."""
        state = _State(*raw)
        return [
            (label, tuple(_canonical_state(after)))
            for label, after in (
                *self._time(state),
                *self._follower(state),
                *self._stamps(state),
                *self._deliveries(state),
                *self._restarts(state),
            )
        ]

    def _time(self, state: _State) -> Iterator[_Step]:
        """Let a tick pass; a keeper may be suspended in it."""
        yield 'time.passes', self._tick(state, NONE)
        if not self.rules.keeper_counts_suspension:
            for keeper in KEEPERS:
                yield 'time.passes', self._tick(state, keeper)

    def _tick(self, state: _State, suspended: int) -> _State:
        keepers = tuple(
            keeper if number == suspended else self._tick_keeper(keeper)
            for number, keeper in enumerate(state.keepers)
        )
        messages = tuple(
            message._replace(age=_older(message.age))
            for message in state.messages
            if message.age < MAX_AGE_TICKS
        )
        return state._replace(
            stamp=_older(state.stamp),
            received=_older(state.received),
            echoed=_older(state.echoed),
            held=max(0, state.held - 1),
            keepers=keepers,
            messages=messages,
        )

    def _tick_keeper(self, keeper: _Keeper) -> _Keeper:
        counted = max(0, keeper.counted - 1)
        full = keeper.full or keeper.counted > 0
        if not counted and self.rules.loss_empties_bucket:
            full = False
        refused_from = _older(keeper.refused_from)
        if refused_from >= COUNTED_TICKS:
            refused_from = NONE
        return _Keeper(counted, refused_from, full)

    def _follower(self, state: _State) -> Iterator[_Step]:
        if state.state == 'free':
            for number in KEEPERS:
                after = state._replace(
                    state='following',
                    keeper=number,
                    stamp=NONE,
                    received=NONE,
                    echoed=NONE,
                )
                yield 'limit_follower.chosen', after
        elif state.state == 'following':
            yield from self._echo(state)
            leaving = state._replace(
                state='leaving', stamp=NONE, received=NONE
            )
            yield 'limit_follower.silent', leaving
            asking = _send(leaving, _Kind.LEAVE, state.keeper, state.echoed)
            if asking is not None:
                yield 'limit_follower.better', asking
        elif not state.held or not self.rules.waits_for_hold:
            yield 'limit_follower.expired', state._replace(state='free')

    def _echo(self, state: _State) -> Iterator[_Step]:
        """Return the last stamp to the keeper."""
        if state.stamp == NONE:
            return
        after = _send(state, _Kind.ECHO, state.keeper, state.stamp)
        if after is not None:
            held = max(state.held, COUNTED_TICKS - state.received)
            yield 'vm.heard', after._replace(echoed=state.stamp, held=held)

    def _stamps(self, state: _State) -> Iterator[_Step]:
        if state.state == 'following':
            after = _send(state, _Kind.STAMP, state.keeper, 0)
            if after is not None:
                yield 'vm.heard', after

    def _deliveries(self, state: _State) -> Iterator[_Step]:
        """Deliver or lose each message."""
        for message in state.messages:
            rest = tuple(other for other in state.messages if other != message)
            arrived = state._replace(messages=rest)
            yield 'vm.silent', arrived
            if message.kind == _Kind.STAMP:
                yield from self._receive_stamp(arrived, message)
            elif message.kind == _Kind.RELEASED:
                yield from self._receive_release(arrived, message)
            else:
                yield from self._receive_at_keeper(arrived, message)

    def _receive_stamp(
        self, state: _State, message: _Message
    ) -> Iterator[_Step]:
        follows = state.state == 'following' and state.keeper == message.keeper
        is_newer = state.stamp == NONE or message.age < state.stamp
        if follows and is_newer:
            yield 'vm.heard', state._replace(stamp=message.age, received=0)

    def _receive_release(
        self, state: _State, message: _Message
    ) -> Iterator[_Step]:
        if state.state != 'leaving' or state.keeper != message.keeper:
            return
        if (
            message.age == state.echoed or not self.rules.release_names_stamp
        ) and message.age != NONE:
            yield (
                'limit_follower.released',
                state._replace(state='free', held=0),
            )

    def _receive_at_keeper(
        self, state: _State, message: _Message
    ) -> Iterator[_Step]:
        keeper = state.keepers[message.keeper]
        if message.kind == _Kind.LEAVE:
            full = keeper.full and not self.rules.loss_empties_bucket
            released = _Keeper(0, 0, full)
            after = self._with_keeper(state, message.keeper, released)
            answered = _send(
                after, _Kind.RELEASED, message.keeper, message.age
            )
            yield 'vm.heard', answered or after
            return
        counted = COUNTED_TICKS - message.age
        if not self.rules.counts_from_stamp:
            counted = COUNTED_TICKS
        is_refused = (
            keeper.refused_from != NONE
            and message.age >= keeper.refused_from
            and self.rules.release_ends_stamps
        )
        if counted > 0 and not is_refused:
            counting = keeper._replace(counted=max(counted, keeper.counted))
            yield (
                'vm.heard',
                self._with_keeper(state, message.keeper, counting),
            )

    def _with_keeper(
        self, state: _State, number: int, keeper: _Keeper
    ) -> _State:
        keepers = list(state.keepers)
        keepers[number] = keeper
        return state._replace(keepers=tuple(keepers))

    def _restarts(self, state: _State) -> Iterator[_Step]:
        """Restart the VM or a keeper, whose stamps end with its process."""
        if not state.restarts:
            return
        left = state.restarts - 1
        held = COUNTED_TICKS if self.rules.held_after_start else 0
        yield (
            'entry.knows_enough',
            state._replace(
                state='leaving',
                keeper=NONE,
                stamp=NONE,
                received=NONE,
                echoed=NONE,
                held=held,
                restarts=left,
            ),
        )
        for number in KEEPERS:
            started = self._with_keeper(state, number, _Keeper(0, 0, False))
            yield 'entry.knows_enough', started._replace(restarts=left)

    def counted_once(self, fields: dict[str, object]) -> bool:
        """No two keepers count the VM at the same time."""
        state = _State(**fields)
        return sum(keeper.counted > 0 for keeper in state.keepers) <= 1

    def filled_once(self, fields: dict[str, object]) -> bool:
        """No two keepers hold a bucket that was filled for the VM."""
        state = _State(**fields)
        return sum(keeper.full for keeper in state.keepers) <= 1


def limits(
    rules: Rules | None = None, restarts: int = 1
) -> minicheck.Protocol:
    """Return the model of one VM and two keepers.

    The three restart up to ``restarts`` times in all.
    """
    spec = _Spec(rules or Rules())
    return minicheck.Protocol(
        name='limits',
        candidate=False,
        fields=_State._fields,
        initial=tuple(_State(restarts=restarts)),
        transitions=spec.steps,
        invariants={
            'counted_once': spec.counted_once,
            'filled_once': spec.filled_once,
        },
    )
