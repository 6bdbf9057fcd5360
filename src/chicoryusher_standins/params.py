"""Decode the parameters of a prepared statement."""

from __future__ import annotations

import io
from collections.abc import Callable
from collections.abc import Mapping
from typing import Any

from mysql_mimic import results
from mysql_mimic import types

from chicoryusher import core

__all__ = ['READERS', 'read_params']

HEADER_BYTES = 10
UNSIGNED = 0x80
Reader = Callable[[io.BytesIO], Any]
READERS: core.Registry[Reader] = core.Registry('parameter type')
_TYPE = types.ColumnType


def _register_reader(*kinds: types.ColumnType) -> Callable[[Reader], Reader]:
    def store(reader: Reader) -> Reader:
        for kind in kinds:
            READERS.register(kind.name)(reader)
        return reader

    return store


@_register_reader(
    _TYPE.VARCHAR, _TYPE.VAR_STRING, _TYPE.STRING, _TYPE.NEWDECIMAL
)
def _text(data: io.BytesIO) -> Any:
    return types.read_str_len(data).decode()


@_register_reader(
    _TYPE.BLOB, _TYPE.TINY_BLOB, _TYPE.MEDIUM_BLOB, _TYPE.LONG_BLOB
)
def _blob(data: io.BytesIO) -> Any:
    return types.read_str_len(data)


@_register_reader(_TYPE.TINY)
def _tiny(data: io.BytesIO) -> Any:
    return types.read_int_1(data)


@_register_reader(_TYPE.SHORT, _TYPE.YEAR)
def _short(data: io.BytesIO) -> Any:
    return types.read_int_2(data)


@_register_reader(_TYPE.LONG, _TYPE.INT24)
def _long(data: io.BytesIO) -> Any:
    return types.read_int_4(data)


@_register_reader(_TYPE.LONGLONG)
def _longlong(data: io.BytesIO) -> Any:
    return types.read_int_8(data)


@_register_reader(_TYPE.FLOAT)
def _float(data: io.BytesIO) -> Any:
    return types.read_float(data)


@_register_reader(_TYPE.DOUBLE)
def _double(data: io.BytesIO) -> Any:
    return types.read_double(data)


@_register_reader(_TYPE.NULL)
def _null(data: io.BytesIO) -> Any:
    return None


def read_params(
    payload: bytes, count: int, long_data: Mapping[int, bytearray]
) -> tuple[Any, ...]:
    """Return the parameter values of an execute command."""
    if not count:
        return ()
    data = io.BytesIO(payload[HEADER_BYTES:])
    nulls = results.NullBitmap.from_buffer(data, count)
    types.read_uint_1(data)
    kinds = []
    for _ in range(count):
        kinds.append(types.ColumnType(types.read_uint_1(data)))
        types.read_uint_1(data)
    values: list[Any] = []
    for index, kind in enumerate(kinds):
        if index in long_data:
            values.append(long_data[index].decode())
        elif nulls.is_flipped(index):
            values.append(None)
        else:
            values.append(READERS.get(kind.name)(data))
    return tuple(values)
