"""Registry that decorators fill: a name and the thing it stands for."""

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
    """Nothing is registered under a name."""


class Registry(Generic[Thing]):
    """Named things of one kind."""

    def __init__(self, kind: str) -> None:
        self.kind = kind
        self._things: dict[str, Thing] = {}

    def register(self, name: str) -> Callable[[Thing], Thing]:
        """Return a decorator that stores its target under ``name``."""

        def store(thing: Thing) -> Thing:
            if name in self._things:
                raise DuplicateName(f'{self.kind} {name}')
            self._things[name] = thing
            return thing

        return store

    def get(self, name: str) -> Thing:
        """Return the thing called ``name``; UnknownName if none is."""
        try:
            return self._things[name]
        except KeyError:
            raise UnknownName(f'{self.kind} {name}') from None

    def __contains__(self, name: str) -> bool:
        return name in self._things

    def __iter__(self) -> Iterator[str]:
        return iter(sorted(self._things))
