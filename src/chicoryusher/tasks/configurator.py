"""The configuration task: reads, accepts and passes on versions.

The platform's table holds a pointer under one key; the key's version
is the configuration's, and the document itself is an object.  A lower
version never replaces a higher one, wherever it comes from.
"""

from __future__ import annotations

import dataclasses
import json

from chicoryusher import core
from chicoryusher import decisions
from chicoryusher import runtime
from chicoryusher.tasks import names
from chicoryusher.tasks import notices

__all__ = [
    'CONFIG_KEY',
    'ApplyDocument',
    'ApplyResult',
    'Configurator',
    'audit_key',
]

CONFIG_KEY = 'config'
AUDIT_PREFIX = 'audit/'
READS_PER_SECOND = 120.0
MIN_READ_INTERVAL = 1.0
READ_BACK_DELAY = 0.25
MAX_READ_BACKS = 20


def audit_key(version: int, suffix: str = '') -> str:
    """Return the table key of the audit record of a version."""
    return f'{AUDIT_PREFIX}{version:010d}{suffix}'


@dataclasses.dataclass(frozen=True, slots=True)
class ApplyDocument(core.Message):
    """An operator's new document, to replace version ``expected``."""

    reply_to: core.TaskName
    number: int
    document: bytes
    expected: core.ConfigVersion
    operator: core.OperatorName
    at: str


@dataclasses.dataclass(frozen=True, slots=True)
class ApplyResult(core.Message):
    """What became of an operator's document."""

    number: int
    version: core.ConfigVersion
    error: core.ChicoryusherError | None = None


class _Read(core.Message):
    """Time to read the platform's configuration."""


@dataclasses.dataclass(frozen=True, slots=True)
class _ReadBack(core.Message):
    """Time to find out whether a write whose answer was lost landed."""


@dataclasses.dataclass(slots=True)
class _Applying:
    """The change being written; one at a time."""

    message: ApplyDocument
    document: bytes
    pointer: bytes
    read_backs: int = 0
    unsure: bool = False


class Configurator(runtime.Task):
    """Hold the configuration in force on this VM."""

    def __init__(
        self,
        loop: runtime.Runtime,
        vm: core.VmName,
        receivers: tuple[core.TaskName, ...],
    ) -> None:
        super().__init__(loop, vm, 'configurator')
        self._receivers = receivers
        self._config: decisions.Configuration | None = None
        self._document = b''
        self._applying: _Applying | None = None
        self._fetching: dict[str, core.ConfigVersion] = {}
        self._queue: list[ApplyDocument] = []
        self.after(0.0, _Read())

    @property
    def version(self) -> core.ConfigVersion:
        """Return the version in force, 0 before the first."""
        if self._config is None:
            return core.ConfigVersion(0)
        return self._config.version

    # -- taking versions into force ---------------------------------

    @runtime.handles(_Read)
    def _on_read(self, read: _Read) -> None:
        vms = len(self._config.vms) if self._config is not None else 0
        interval = max(MIN_READ_INTERVAL, vms / READS_PER_SECOND)
        self.after(interval, _Read())
        self._get(CONFIG_KEY)

    def _get(self, key: str) -> None:
        self.send(names.table(self.vm), core.TableGet(self.task_name, key))

    def _put(self, key: str, value: bytes, expected: int) -> None:
        self.send(
            names.table(self.vm),
            core.TablePut(self.task_name, key, value, expected),
        )

    @runtime.handles(core.TableAnswer)
    def _on_table(self, answer: core.TableAnswer) -> None:
        if answer.key != CONFIG_KEY:
            self._audited(answer)
            return
        if answer.value is not None and answer.version > self.version:
            self._fetch(answer)
        elif answer.value is not None and answer.version < self.version:
            self._note_stale(answer.version)
        if answer.put:
            self._put_answered(answer)
        elif self._applying is not None and self._applying.unsure:
            self._read_back(answer)

    def _fetch(self, answer: core.TableAnswer) -> None:
        """Read the document that a newer pointer names."""
        try:
            key = decisions.decode_pointer(answer.value or b'')
        except core.ConfigError as exc:
            self._note_bad(answer.version, exc)
            return
        self._fetching[key] = core.ConfigVersion(answer.version)
        self.send(names.table(self.vm), core.ObjectGet(self.task_name, key))

    @runtime.handles(core.ObjectAnswer)
    def _on_object(self, answer: core.ObjectAnswer) -> None:
        if answer.put:
            self._object_stored(answer)
            return
        version = self._fetching.pop(answer.key, None)
        if version is not None and answer.value is not None:
            self._take(version, answer.value)

    @runtime.handles(core.ConfigOffer)
    def _on_offer(self, offer: core.ConfigOffer) -> None:
        self._take(offer.version, offer.document)

    @runtime.handles(core.ConfigFetch)
    def _on_fetch(self, fetch: core.ConfigFetch) -> None:
        if self.version > fetch.above:
            self.send(
                names.peers(self.vm),
                core.ToPeer(
                    fetch.vm, core.ConfigOffer(self.version, self._document)
                ),
            )

    def _take(self, version: core.ConfigVersion, document: bytes) -> None:
        if version <= self.version:
            if version < self.version:
                self._note_stale(version)
            return
        try:
            parsed = json.loads(document)
            config = decisions.rebuild_document(parsed, version)
        except (ValueError, core.SettingsError) as exc:
            self._note_bad(version, exc)
            return
        self._config = config
        self._document = document
        self.log.emit(core.LogEvent.CONFIG_IN_FORCE, version=version)
        for receiver in self._receivers:
            self.send(receiver, notices.ConfigInForce(config))

    def _note_stale(self, version: int) -> None:
        self.log.emit(
            core.LogEvent.CONFIG_STALE,
            version=version,
            in_force=self.version,
        )

    def _note_bad(self, version: int, exc: Exception) -> None:
        self.log.emit(core.LogEvent.CONFIG_BAD, version=version, why=str(exc))

    # -- accepting a change -----------------------------------------

    @runtime.handles(ApplyDocument)
    def _on_apply(self, message: ApplyDocument) -> None:
        if self._applying is not None:
            self._queue.append(message)
            return
        try:
            parsed = json.loads(message.document)
            decisions.compile_document(parsed, core.ConfigVersion(0))
        except ValueError as exc:
            problem = core.ConfigError('$', str(exc))
            self._result(message, core.SettingsError((problem,)))
            return
        except core.SettingsError as exc:
            self._result(message, exc)
            return
        parsed['change'] = {
            'who': message.operator,
            'when': message.at,
            'from': message.expected,
            'to': message.expected + 1,
            'id': f'{self.vm}:{message.number}:{message.at}',
        }
        document = json.dumps(parsed, sort_keys=True).encode()
        key = decisions.object_key(document)
        self._applying = _Applying(
            message, document, decisions.encode_pointer(key)
        )
        self.send(
            names.table(self.vm),
            core.ObjectPut(self.task_name, key, document),
        )

    def _object_stored(self, answer: core.ObjectAnswer) -> None:
        """Point to the stored document, which is the change itself.

        Without the pointer the object has no effect, so a failure here
        is a change that certainly was not made.
        """
        applying = self._applying
        if applying is None:
            return
        if answer.error is not None:
            error = core.PlatformUnavailable('the object was not stored')
            self._done(error)
            return
        self._put(CONFIG_KEY, applying.pointer, applying.message.expected)

    def _put_answered(self, answer: core.TableAnswer) -> None:
        applying = self._applying
        if applying is None:
            return
        if answer.error is None:
            self._accepted(core.ConfigVersion(answer.version))
        elif isinstance(answer.error, core.PlatformRefused):
            if answer.value == applying.pointer:
                self._accepted(core.ConfigVersion(answer.version))
            else:
                self._conflict(answer.version)
        elif isinstance(answer.error, core.PlatformUnavailable):
            self._done(answer.error)
        else:
            applying.unsure = True
            self.after(READ_BACK_DELAY, _ReadBack())

    @runtime.handles(_ReadBack)
    def _on_read_back(self, turn: _ReadBack) -> None:
        if self._applying is not None:
            self._get(CONFIG_KEY)

    def _read_back(self, answer: core.TableAnswer) -> None:
        applying = self._applying
        assert applying is not None
        if answer.error is not None:
            applying.read_backs += 1
            if applying.read_backs >= MAX_READ_BACKS:
                self._done(core.PlatformUnknown('the write may have landed'))
                return
            self.after(READ_BACK_DELAY, _ReadBack())
        elif answer.value == applying.pointer:
            self._accepted(core.ConfigVersion(answer.version))
        elif answer.version > applying.message.expected:
            self._conflict(answer.version)
        else:
            applying.unsure = False
            self._put(CONFIG_KEY, applying.document, applying.message.expected)

    def _accepted(self, version: core.ConfigVersion) -> None:
        assert self._applying is not None
        self._take(version, self._applying.document)
        self.log.emit(core.LogEvent.CONFIG_ACCEPTED, version=version)
        self._audit(version, 'accepted', '')
        self._done(None)

    def _conflict(self, found: int) -> None:
        applying = self._applying
        assert applying is not None
        message = applying.message
        self.log.emit(core.LogEvent.CONFIG_CONFLICT, found=found)
        self._audit(found, 'conflict', f'-{self.vm}-{message.number}')
        self._done(core.ConfigConflict(message.expected, found))

    def _audit(self, version: int, outcome: str, suffix: str) -> None:
        applying = self._applying
        assert applying is not None
        record = {
            **json.loads(applying.document)['change'],
            'outcome': outcome,
            'what': 'register apply',
        }
        self._put(audit_key(version, suffix), json.dumps(record).encode(), 0)

    def _audited(self, answer: core.TableAnswer) -> None:
        refused = isinstance(answer.error, core.PlatformRefused)
        if answer.put and answer.error is not None and not refused:
            self.log.emit(
                core.LogEvent.AUDIT_FAILED,
                key=answer.key,
                why=str(answer.error),
            )

    def _done(self, error: core.ChicoryusherError | None) -> None:
        applying, self._applying = self._applying, None
        assert applying is not None
        self._result(applying.message, error)
        if self._queue:
            self._on_apply(self._queue.pop(0))

    def _result(
        self, message: ApplyDocument, error: core.ChicoryusherError | None
    ) -> None:
        self.send(
            message.reply_to,
            ApplyResult(message.number, self.version, error),
        )

    @runtime.handles(notices.Ask)
    def _on_ask(self, ask: notices.Ask) -> None:
        row = (
            ('version', str(self.version)),
            ('document', self._document.decode()),
        )
        self.send(
            ask.reply_to, notices.Told(self.task_name, ask.number, (row,))
        )
