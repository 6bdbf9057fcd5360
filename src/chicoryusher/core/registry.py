"""Registry of named objects that decorators fill."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
from typing import Generic
from typing import TypeVar

from chicoryusher.core import errors

__all__ = ['DuplicateName', 'Registry', 'UnknownName']

Thing = TypeVar('Thing')


class DuplicateName(errors.ChicoryusherError):
    """A name was registered twice."""


class UnknownName(errors.ChicoryusherError):
    """No object is registered under a name."""


class Registry(Generic[Thing]):
    """Named objects of one kind.

    ``kind`` says in error messages what the names stand for.
    """

    def __init__(self, kind: str) -> None:
        self.kind = kind
        self._entries: dict[str, Thing] = {}

    def register(self, name: str) -> Callable[[Thing], Thing]:
        """Return a decorator that stores its target under ``name``."""

        def store(entry: Thing) -> Thing:
            if name in self._entries:
                raise DuplicateName(f'{self.kind} {name}')
            self._entries[name] = entry
            return entry

        return store

    def get(self, name: str) -> Thing:
        """Return the object registered as ``name``.

        Raise UnknownName if there is none.
        """
        try:
            return self._entries[name]
        except KeyError:
            raise UnknownName(f'{self.kind} {name}') from None

    def __contains__(self, name: str) -> bool:
        return name in self._entries

    def __iter__(self) -> Iterator[str]:
        return iter(sorted(self._entries))
