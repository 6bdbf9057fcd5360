"""Encoding of messages between VMs."""

from __future__ import annotations

import hypothesis
import msgpack
import pytest
from hypothesis import strategies

from chicoryusher import core
from chicoryusher.peers import codec

REQUEST = core.Request(
    core.RequestId('r'),
    core.SessionId('s'),
    core.CallerName('c'),
    core.DatabaseName('d'),
    core.StatementKind.WRITE,
    core.StatementClass('w'),
    core.Payload(b'\x03x', b'p', (b'l',)),
    core.Marks(0.5, core.IdempotencyKey('k'), True, False, 2.0, 't'),
    ('lots',),
    core.TransactionId('t'),
    core.Payload(b'begin'),
    True,
)
MESSAGES = [
    core.Submit(
        core.VmName('v'),
        core.InstanceName('i'),
        REQUEST,
        1.5,
        core.Role.PRIMARY,
        core.Position(core.Term(2), core.LogPosition(9)),
    ),
    core.Answer(
        core.RequestId('r'),
        core.Outcome.NOT_RUN,
        error=core.NotRunError('full', 0.25),
    ),
    core.Answer(
        core.RequestId('r'),
        core.Outcome.UNKNOWN,
        error=core.UnknownOutcomeError('lost'),
    ),
    core.ResultChunk(core.RequestId('r'), b'rows'),
    core.RequestMoved(
        core.RequestId('r'), core.InstanceName('i'), core.MoveReason.DOWN
    ),
    core.Heartbeat(
        core.VmName('v'), False, core.ConfigVersion(3), (core.VmName('w'),)
    ),
    core.ConfigOffer(core.ConfigVersion(3), b'{}'),
    core.FollowLimitKeeper(core.VmName('v'), core.LimitSlot(3)),
    core.FollowLimitKeeper(
        core.VmName('v'), core.LimitSlot(0), 12.5, 1.5, leaves=True
    ),
    core.LimitKeeperStamp(
        core.VmName('v'), core.LimitSlot(0), 12.5, 1.5, 11.0, True, True
    ),
    core.AskAllowance(core.VmName('v'), core.TeamName('t'), 7, 3, 0.5),
    core.GrantAllowance(core.VmName('v'), core.TeamName('t'), 7, 2, 0.1),
    core.GrantAllowance(core.VmName('v'), core.TeamName('t'), 7, 0),
]


@pytest.mark.parametrize(
    'message', MESSAGES, ids=lambda sample: type(sample).__name__
)
def test_decoded_message_equals_the_encoded_one(message):
    (decoded,) = codec.unpack_frame(codec.encode(message))
    assert repr(decoded) == repr(message)


def test_additional_fields_are_ignored_and_missing_ones_defaulted():
    heartbeat = core.Heartbeat(core.VmName('v'), True, core.ConfigVersion(1))
    number, *fields = msgpack.unpackb(codec.encode(heartbeat))
    longer = msgpack.packb([number, *fields, 'new'])
    shorter = msgpack.packb([number, *fields[:-1]])
    assert codec.unpack_frame(longer) == [heartbeat]
    assert codec.unpack_frame(shorter) == [heartbeat]


@hypothesis.settings(derandomize=True, database=None, deadline=None)
@hypothesis.given(strategies.binary(max_size=120))
def test_arbitrary_bytes_decode_or_raise_frame_error(body):
    try:
        codec.unpack_frame(body)
    except core.FrameError:
        return


def test_message_without_a_number_is_not_encoded():
    with pytest.raises(core.FrameError):
        codec.encode(core.ClaimGate())
