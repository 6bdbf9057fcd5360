"""Decoding of JSON documents that others have written."""

from __future__ import annotations

import json
import math
from typing import Any

from chicoryusher.core import errors

__all__ = ['decode_json']


def decode_json(data: bytes) -> Any:
    """Return the decoded document; its encoding is UTF-8.

    Raises JsonError for anything else, also for a document that is nested
    too deeply and for numbers that are too long or not finite.
    """
    try:
        return _DECODER.decode(data.decode())
    except (ValueError, RecursionError) as exc:
        raise errors.JsonError(f'not JSON: {exc}') from exc


def _refuse_constant(text: str) -> float:
    """Refuse NaN and Infinity, which are not JSON."""
    raise ValueError(f'{text} is not a number')


def _finite_number(text: str) -> float:
    """Return the number; ValueError if it is too large for a float."""
    number = float(text)
    if not math.isfinite(number):
        raise ValueError('a number is too large')
    return number


_DECODER = json.JSONDecoder(
    parse_constant=_refuse_constant, parse_float=_finite_number
)
