"""How many bytes are held for each holder, and which must give way."""

from __future__ import annotations

from typing import Generic
from typing import TypeVar

__all__ = ['HeldBytes']

_Holder = TypeVar('_Holder')


class HeldBytes(Generic[_Holder]):
    """Bytes that are held for each holder, with a limit of their sum."""

    def __init__(self, max_total: int) -> None:
        self._max_total = max_total
        self._held: dict[_Holder, int] = {}
        self.total = 0

    def held_by(self, holder: _Holder) -> int:
        """Return the bytes that are held for a holder."""
        return self._held.get(holder, 0)

    def record(self, holder: _Holder, count: int) -> None:
        """Set the bytes that are held for a holder."""
        self.total += count - self._held.get(holder, 0)
        if count:
            self._held[holder] = count
        else:
            self._held.pop(holder, None)

    def is_above(self, share: float) -> bool:
        """Return whether the sum is above a share of its limit."""
        return self.total > self._max_total * share

    def excess_holders(self) -> list[_Holder]:
        """Return the largest holders without which the sum is in its limit."""
        if self.total <= self._max_total:
            return []
        excess = self.total - self._max_total
        holders = []
        largest_first = sorted(
            self._held.items(), key=lambda item: item[1], reverse=True
        )
        for holder, count in largest_first:
            holders.append(holder)
            excess -= count
            if excess <= 0:
                break
        return holders
