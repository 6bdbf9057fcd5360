"""Findings in a configuration, and the registries of checks that give them."""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
from typing import Any
from typing import Generic
from typing import TypeVar

from chicoryusher import core

__all__ = [
    'ConfigCheck',
    'ConfigFinding',
    'FindingKind',
    'Place',
    'POOL_CHECKS',
    'REGISTER_CHECKS',
    'RegisterDocument',
    'Section',
    'pool_check',
    'register_check',
]

Document = dict[str, Any]
# The path of an entry, and what is wrong with it.
Place = tuple[str, str]
Subject = TypeVar('Subject')


class FindingKind(enum.Enum):
    """What a finding says about a configuration.

    ERROR: it is refused.  NEVER_MATCHES: an entry has no effect.
    CONTRADICTION: two limits exclude each other.
    """

    ERROR = 'error'
    NEVER_MATCHES = 'never_matches'
    CONTRADICTION = 'contradiction'


class Section(enum.Enum):
    """Part of a register document; the value is its JSON path."""

    ZONES = '$.register.zones'
    VMS = '$.register.vms'
    DATABASES = '$.register.databases'
    TEAMS = '$.register.teams'
    RULES = '$.rules'


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigFinding:
    """A finding at the entry with this path."""

    kind: FindingKind
    path: str
    text: str


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigCheck(Generic[Subject]):
    """Check for one kind of finding.

    It reads only ``sections``, and runs only if they have the right format.
    """

    kind: FindingKind
    find: Callable[[Subject], Iterable[Place]]
    sections: tuple[Section, ...] = ()

    def run(self, subject: Subject) -> Iterator[ConfigFinding]:
        """Yield the findings in a configuration."""
        for path, text in self.find(subject):
            yield ConfigFinding(self.kind, path, text)


class RegisterDocument:
    """The entries of a register document with their paths.

    ``logins`` maps the users of the daemons' settings to their callers; it
    is None if the settings are not known.
    """

    def __init__(
        self, document: Document, logins: Mapping[str, str] | None = None
    ) -> None:
        self.logins = logins
        register = document.get('register')
        if not isinstance(register, dict):
            register = {}
        self.zones: list[Document] = register.get('zones', [])
        self.vms: list[Document] = register.get('vms', [])
        self.databases: list[Document] = register.get('databases', [])
        self.teams: list[Document] = register.get('teams', [])
        self.rules: Document = document.get('rules', {})

    @property
    def statement_rules(self) -> list[Document]:
        """Return the rules that mark statements."""
        statements: list[Document] = self.rules.get('statements', [])
        return statements

    def instances(self) -> Iterator[tuple[str, Document]]:
        """Yield the path and the entry of every instance."""
        for i, database in enumerate(self.databases):
            for j, instance in enumerate(database['instances']):
                yield (
                    f'{Section.DATABASES.value}[{i}].instances[{j}]',
                    instance,
                )


REGISTER_CHECKS: core.Registry[ConfigCheck[RegisterDocument]] = core.Registry(
    'check of a register'
)
POOL_CHECKS: core.Registry[ConfigCheck[core.PoolConfig]] = core.Registry(
    'check of routes'
)
RegisterFinder = Callable[[RegisterDocument], Iterable[Place]]
PoolFinder = Callable[[core.PoolConfig], Iterable[Place]]


def register_check(
    name: str, kind: FindingKind, *sections: Section
) -> Callable[[RegisterFinder], RegisterFinder]:
    """Return a decorator that adds a check of register documents."""

    def store(find: RegisterFinder) -> RegisterFinder:
        REGISTER_CHECKS.register(name)(ConfigCheck(kind, find, sections))
        return find

    return store


def pool_check(
    name: str, kind: FindingKind
) -> Callable[[PoolFinder], PoolFinder]:
    """Return a decorator that adds a check of routes, services and teams."""

    def store(find: PoolFinder) -> PoolFinder:
        POOL_CHECKS.register(name)(ConfigCheck(kind, find))
        return find

    return store
