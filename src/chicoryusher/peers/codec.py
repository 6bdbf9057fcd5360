"""Encode typed messages for peers with msgpack.

A message is an array: the number of its type, then its fields in order.
A decoder ignores additional fields and gives missing ones their default,
so that VMs of different versions can exchange messages.
"""

from __future__ import annotations

import dataclasses
import enum
import math
import types
import typing
from collections.abc import Callable
from typing import Any

import msgpack

from chicoryusher import core

__all__ = ['TYPE_BY_NUMBER', 'decode', 'encode', 'unpack_frame']

# A malformed value is quoted in the log no further than this.
MAX_DETAIL_CHARACTERS = 200
# Largest integer that the messages' fields hold.
MAX_INTEGER = 2**63 - 1
MIN_INTEGER = -(2**63)
MAX_DIGEST = 2**64 - 1

_Converter = Callable[[Any], Any]

TYPE_BY_NUMBER: dict[int, type[core.Message]] = {
    1: core.Submit,
    2: core.Answer,
    3: core.ResultChunk,
    4: core.AnswerConsumed,
    5: core.RequestMoved,
    6: core.AbortTransaction,
    7: core.Heartbeat,
    8: core.FetchConfig,
    9: core.ConfigOffer,
    10: core.Ping,
    11: core.Pong,
    12: core.FetchView,
    13: core.LeaderRowsRead,
    14: core.ReachabilityQuery,
    15: core.ReachabilityReply,
    16: core.FencePrimary,
    17: core.PrimaryFenced,
    18: core.PrimaryReopened,
    19: core.PoolConfigUpdate,
    20: core.RegisteredInstances,
    21: core.EntryVmRowsRead,
    22: core.RelayWork,
    23: core.RelayEnded,
    24: core.RelayCancel,
    25: core.RelayRollback,
    26: core.FollowLimitKeeper,
    27: core.LimitKeeperStamp,
    28: core.AskAllowance,
    29: core.GrantAllowance,
    30: core.StatusQuery,
    31: core.StatusReport,
    32: core.PrimaryExpected,
    36: core.RelayPing,
    37: core.RelayPong,
    40: core.AskConfigAge,
    41: core.ConfigAge,
}
_NUMBER_BY_TYPE = {kind: number for number, kind in TYPE_BY_NUMBER.items()}
_ERROR_BY_NAME = {
    kind.__name__: kind
    for kind in vars(core).values()
    if isinstance(kind, type) and issubclass(kind, core.CallerError)
}


def encode(message: core.Message) -> bytes:
    """Return the encoded message.

    Raises FrameError if it has no number or a value without an encoding.
    """
    kind = type(message)
    number = _NUMBER_BY_TYPE.get(kind)
    if number is None:
        raise core.FrameError(f'{kind.__name__} is not a peer message')
    try:
        return msgpack.packb([number, *_encoder(kind)(message)])
    except (OverflowError, UnicodeEncodeError) as exc:
        raise core.FrameError(f'{kind.__name__}: {exc}') from exc


def decode(value: Any) -> core.Message:
    """Return the message in an unpacked array; FrameError if malformed."""
    if type(value) is not list or not value:
        raise core.FrameError('a message is not an array')
    number, *fields = value
    kind = TYPE_BY_NUMBER.get(number) if type(number) is int else None
    if kind is None:
        raise core.FrameError('a message of an unknown type')
    try:
        return typing.cast(core.Message, _decoder(kind)(fields))
    except (KeyError, TypeError, ValueError) as exc:
        detail = repr(exc)[:MAX_DETAIL_CHARACTERS]
        raise core.FrameError(f'malformed {kind.__name__}: {detail}') from exc


def unpack_frame(body: bytes) -> list[core.Message]:
    """Return the messages in one frame; FrameError if malformed."""
    unpacker = msgpack.Unpacker(max_buffer_size=len(body) + 1)
    unpacker.feed(body)
    try:
        values = list(unpacker)
    except (ValueError, msgpack.exceptions.UnpackException) as exc:
        raise core.FrameError('malformed frame') from exc
    return [decode(value) for value in values]


def _identity(value: Any) -> Any:
    return value


_ENCODERS: dict[Any, _Converter] = {}
_DECODERS: dict[Any, _Converter] = {}


def _encoder(kind: Any) -> _Converter:
    """Return the cached function that encodes values of a type."""
    if kind not in _ENCODERS:
        _ENCODERS[kind] = _make_encoder(kind)
    return _ENCODERS[kind]


def _decoder(kind: Any) -> _Converter:
    """Return the cached function that decodes values of a type."""
    if kind not in _DECODERS:
        _DECODERS[kind] = _make_decoder(kind)
    return _DECODERS[kind]


def _optional_inner(kind: Any) -> Any | None:
    """Return X for ``X | None``, else None."""
    if typing.get_origin(kind) not in (typing.Union, types.UnionType):
        return None
    inner = [arg for arg in typing.get_args(kind) if arg is not types.NoneType]
    return inner[0]


def _base_type(kind: Any) -> Any:
    """Return the type that a NewType is based on."""
    while hasattr(kind, '__supertype__'):
        kind = kind.__supertype__
    return kind


def _make_encoder(kind: Any) -> _Converter:
    kind = _base_type(kind)
    inner = _optional_inner(kind)
    if inner is not None:
        encode_value = _encoder(inner)
        return lambda value: None if value is None else encode_value(value)
    if typing.get_origin(kind) is tuple:
        convert_element = _encoder(typing.get_args(kind)[0])
        return lambda value: [convert_element(element) for element in value]
    if isinstance(kind, type) and issubclass(kind, enum.Enum):
        return lambda value: value.value
    if kind is core.CallerError:
        return _encode_error
    if dataclasses.is_dataclass(kind):
        return _record_encoder(kind)
    return _identity


def _record_encoder(kind: Any) -> _Converter:
    hints = typing.get_type_hints(kind)
    encoders = [
        (field.name, _encoder(hints[field.name]))
        for field in dataclasses.fields(kind)
    ]
    return lambda value: [
        encode_value(getattr(value, name)) for name, encode_value in encoders
    ]


def _make_decoder(kind: Any) -> _Converter:
    if kind is core.SetDigest:
        return _decode_digest
    kind = _base_type(kind)
    inner = _optional_inner(kind)
    if inner is not None:
        decode_value = _decoder(inner)
        return lambda value: None if value is None else decode_value(value)
    if typing.get_origin(kind) is tuple:
        return _tuple_decoder(typing.get_args(kind))
    if isinstance(kind, type) and issubclass(kind, enum.Enum):
        return {member.value: member for member in kind}.__getitem__
    if kind is core.CallerError:
        return _decode_error
    if kind is core.Position:
        return _decode_position
    if dataclasses.is_dataclass(kind):
        return _record_decoder(kind)
    return _checked_decoder(kind)


def _tuple_decoder(element_kinds: tuple[Any, ...]) -> _Converter:
    """Return a decoder of tuples of any length, or of one per kind."""
    decode_element = _decoder(element_kinds[0])
    length = None if element_kinds[-1] is Ellipsis else len(element_kinds)

    def decode_value(value: Any) -> Any:
        _check_array(value)
        if length is not None and len(value) != length:
            raise ValueError('an array of another length')
        return tuple([decode_element(element) for element in value])

    return decode_value


def _check_array(value: Any) -> None:
    if type(value) is not list:
        raise TypeError('array expected')


def _checked_decoder(kind: Any) -> _Converter:
    """Return a decoder that raises TypeError for another type."""
    if kind is float:
        return _decode_float
    if kind is int:
        return _decode_integer
    if kind not in (bool, bytes, str):
        return _identity

    def decode_value(value: Any) -> Any:
        if type(value) is not kind:
            raise TypeError(f'{kind.__name__} expected')
        return value

    return decode_value


def _decode_integer(value: Any) -> int:
    if not isinstance(value, int):
        raise TypeError('int expected')
    if not MIN_INTEGER <= value <= MAX_INTEGER:
        raise ValueError('an integer out of range')
    return value


def _decode_digest(value: Any) -> int:
    if type(value) is not int:
        raise TypeError('int expected')
    if not 0 <= value <= MAX_DIGEST:
        raise ValueError('a digest out of range')
    return value


def _decode_float(value: Any) -> float:
    """Return the number; an infinite one stands for no limit."""
    if type(value) is int:
        return float(value)
    if type(value) is not float:
        raise TypeError('float expected')
    if math.isnan(value):
        raise ValueError('not a number')
    return value


def _decode_position(value: Any) -> core.Position:
    _check_array(value)
    term, offset = value[:2]
    term, offset = _decode_integer(term), _decode_integer(offset)
    if term < 0 or offset < 0:
        raise ValueError('a position below 0')
    return core.Position(core.Term(term), core.LogPosition(offset))


def _record_decoder(kind: Any) -> _Converter:
    hints = typing.get_type_hints(kind)
    decoders = [
        _decoder(hints[field.name]) for field in dataclasses.fields(kind)
    ]

    def decode_value(values: Any) -> Any:
        _check_array(values)
        return kind(
            *(
                field(value)
                for field, value in zip(decoders, values, strict=False)
            )
        )

    return decode_value


def _encode_error(error: core.CallerError) -> Any:
    return [
        type(error).__name__,
        [str(detail) for detail in _error_args(error)],
    ]


def _error_args(error: core.CallerError) -> tuple[Any, ...]:
    """Return the arguments from which the error can be built again."""
    if isinstance(error, core.NotRunError):
        return error.reason, error.retry_after
    if isinstance(error, core.UnknownOutcomeError):
        return (error.reason,)
    return error.args


def _decode_error(value: Any) -> core.CallerError:
    _check_array(value)
    name, details = value
    _check_array(details)
    if not all(type(detail) is str for detail in details):
        raise TypeError('details of an error are not texts')
    kind = _ERROR_BY_NAME[name]
    if kind is not core.NotRunError:
        return kind(*details)
    reason, retry_after = details
    if not 0.0 <= float(retry_after) < math.inf:
        raise ValueError('a delay out of range')
    return core.NotRunError(reason, float(retry_after))
