"""Encode typed messages for peers with msgpack.

A message is an array: its number, then its fields in order.  A reader
ignores fields it does not know and gives missing ones their default,
so that versions can be mixed.
"""

from __future__ import annotations

import dataclasses
import enum
import types
import typing
from collections.abc import Callable
from typing import Any

import msgpack

from chicoryusher import core

__all__ = ['NUMBERS', 'decode', 'encode', 'unpack_frame']

_Convert = Callable[[Any], Any]

NUMBERS: dict[int, type[core.Message]] = {
    1: core.Submit,
    2: core.Answer,
    3: core.ResultChunk,
    4: core.Consumed,
    5: core.GateMoved,
    6: core.AbortTransaction,
    7: core.Heartbeat,
    8: core.ConfigFetch,
    9: core.ConfigOffer,
    10: core.Ping,
    11: core.Pong,
    12: core.ViewFetch,
    13: core.LeadsInStore,
    14: core.Suspicion,
    15: core.Opinion,
    16: core.FencePrimary,
    17: core.PrimaryFenced,
    18: core.Reopened,
    19: core.PoolConfigInForce,
    20: core.RegisteredInstances,
    21: core.NodesInStore,
    22: core.RelayWork,
    23: core.RelayEnded,
    24: core.RelayCancel,
    25: core.RelayRollback,
}
_BY_TYPE = {kind: number for number, kind in NUMBERS.items()}
_ERRORS = {
    kind.__name__: kind
    for kind in vars(core).values()
    if isinstance(kind, type) and issubclass(kind, core.CallerError)
}


def encode(message: core.Message) -> bytes:
    """Return the encoded message; FrameError if it is not for peers."""
    kind = type(message)
    number = _BY_TYPE.get(kind)
    if number is None:
        raise core.FrameError(f'{kind.__name__} is not a peer message')
    return msgpack.packb([number, *_packer(kind)(message)])


def decode(value: Any) -> core.Message:
    """Return the message in an unpacked array; FrameError if bad."""
    try:
        number, *fields = value
        return typing.cast(core.Message, _reader(NUMBERS[number])(fields))
    except (
        AttributeError,
        IndexError,
        KeyError,
        TypeError,
        ValueError,
    ) as exc:
        raise core.FrameError(f'malformed message: {exc!r}') from exc


def unpack_frame(body: bytes) -> list[core.Message]:
    """Return the messages in one frame; FrameError if any is bad."""
    unpacker = msgpack.Unpacker(max_buffer_size=len(body) + 1)
    unpacker.feed(body)
    try:
        values = list(unpacker)
    except (ValueError, msgpack.exceptions.UnpackException) as exc:
        raise core.FrameError('malformed frame') from exc
    return [decode(value) for value in values]


def _identity(value: Any) -> Any:
    return value


_PACKERS: dict[Any, _Convert] = {}
_READERS: dict[Any, _Convert] = {}


def _packer(kind: Any) -> _Convert:
    if kind not in _PACKERS:
        _PACKERS[kind] = _make_packer(kind)
    return _PACKERS[kind]


def _reader(kind: Any) -> _Convert:
    if kind not in _READERS:
        _READERS[kind] = _make_reader(kind)
    return _READERS[kind]


def _optional(kind: Any) -> Any | None:
    """Return X for ``X | None``, else None."""
    if typing.get_origin(kind) not in (typing.Union, types.UnionType):
        return None
    inner = [one for one in typing.get_args(kind) if one is not types.NoneType]
    return inner[0]


def _plain(kind: Any) -> Any:
    """Return the type below a NewType."""
    while hasattr(kind, '__supertype__'):
        kind = kind.__supertype__
    return kind


def _make_packer(kind: Any) -> _Convert:
    kind = _plain(kind)
    inner = _optional(kind)
    if inner is not None:
        pack = _packer(inner)
        return lambda value: None if value is None else pack(value)
    if typing.get_origin(kind) is tuple:
        item = _packer(typing.get_args(kind)[0])
        return lambda value: [item(one) for one in value]
    if isinstance(kind, type) and issubclass(kind, enum.Enum):
        return lambda value: value.value
    if kind is core.CallerError:
        return _pack_error
    if dataclasses.is_dataclass(kind):
        return _record_packer(kind)
    return _identity


def _record_packer(kind: Any) -> _Convert:
    hints = typing.get_type_hints(kind)
    parts = [
        (one.name, _packer(hints[one.name]))
        for one in dataclasses.fields(kind)
    ]
    return lambda value: [pack(getattr(value, name)) for name, pack in parts]


def _make_reader(kind: Any) -> _Convert:
    kind = _plain(kind)
    inner = _optional(kind)
    if inner is not None:
        read = _reader(inner)
        return lambda value: None if value is None else read(value)
    if typing.get_origin(kind) is tuple:
        item = _reader(typing.get_args(kind)[0])
        return lambda value: tuple(item(one) for one in value)
    if isinstance(kind, type) and issubclass(kind, enum.Enum):
        return kind
    if kind is core.CallerError:
        return _read_error
    if kind is core.Position:
        return lambda value: core.Position(int(value[0]), int(value[1]))
    if dataclasses.is_dataclass(kind):
        return _record_reader(kind)
    return _checked(kind)


def _checked(kind: Any) -> _Convert:
    if kind not in (bool, bytes, float, int, str):
        return _identity

    def read(value: Any) -> Any:
        if kind is float and isinstance(value, int):
            return float(value)
        if not isinstance(value, kind):
            raise TypeError(f'{kind.__name__} expected')
        return value

    return read


def _record_reader(kind: Any) -> _Convert:
    hints = typing.get_type_hints(kind)
    readers = [_reader(hints[one.name]) for one in dataclasses.fields(kind)]

    def read(values: Any) -> Any:
        return kind(
            *(one(value) for one, value in zip(readers, values, strict=False))
        )

    return read


def _pack_error(error: core.CallerError) -> Any:
    return [type(error).__name__, [str(one) for one in _details(error)]]


def _details(error: core.CallerError) -> tuple[Any, ...]:
    if isinstance(error, core.NotRunError):
        return error.reason, error.retry_after
    if isinstance(error, core.UnknownOutcomeError):
        return (error.reason,)
    return error.args


def _read_error(value: Any) -> core.CallerError:
    name, details = value
    kind = _ERRORS[name]
    if kind is core.NotRunError:
        return core.NotRunError(str(details[0]), float(details[1]))
    return kind(*(str(one) for one in details))
