"""Configurator: reads configurations, and accepts changes of operators.

The platform's table has a pointer to the current document under one key,
whose version is the version of the configuration.  The document itself is
in the object store.  A lower version never replaces a higher one, whether
it comes from the platform or from another VM.
"""

from __future__ import annotations

import dataclasses
import json

from chicoryusher import core
from chicoryusher import decisions
from chicoryusher import runtime
from chicoryusher.tasks import names
from chicoryusher.tasks import task_messages

__all__ = [
    'CONFIG_KEY',
    'ApplyDocument',
    'ApplyResult',
    'Configurator',
    'audit_key',
]

CONFIG_KEY = 'config'
AUDIT_KEY_PREFIX = 'audit/'
# Delay before a pointer is read after a write whose result is unknown.
READ_BACK_DELAY_S = 0.25
# Failed reads after which the result of the write stays unknown.
MAX_READ_BACK_FAILURES = 20


def audit_key(version: int, suffix: str = '') -> str:
    """Return the table key of the audit record of a version."""
    return f'{AUDIT_KEY_PREFIX}{version:010d}{suffix}'


@dataclasses.dataclass(frozen=True, slots=True)
class ApplyDocument(core.Message):
    """Ask to replace the configuration with version ``expected``.

    ``number`` pairs the ``ApplyResult`` with the message.  ``operator``
    and ``at``, the time of the change, are written to the audit record.
    """

    reply_to: core.TaskName
    number: int
    document: bytes
    expected: core.ConfigVersion
    operator: core.OperatorName
    at: str


@dataclasses.dataclass(frozen=True, slots=True)
class ApplyResult(core.Message):
    """Result of an ``ApplyDocument``.

    ``version`` is the version in force on this VM.
    """

    number: int
    version: core.ConfigVersion
    error: core.ChicoryusherError | None = None


class _ReadDue(core.Message):
    """Timer: read the pointer to the configuration."""


@dataclasses.dataclass(frozen=True, slots=True)
class _ReadBackDue(core.Message):
    """Timer: read whether a write with unknown result took effect."""


@dataclasses.dataclass(slots=True)
class _PendingChange:
    """Change of the configuration that is being written.

    Only one change is written at a time.  ``outcome_unknown`` is set while
    it is not known whether the write of the pointer took effect;
    ``failed_read_backs`` counts the failed reads that were to find out.
    """

    message: ApplyDocument
    document: bytes
    pointer: bytes
    failed_read_backs: int = 0
    outcome_unknown: bool = False


class Configurator(runtime.Task):
    """Task that keeps the configuration that is in force on this VM.

    Each new configuration is sent to the tasks ``receivers``.
    """

    def __init__(
        self,
        loop: runtime.Runtime,
        vm: core.VmName,
        receivers: tuple[core.TaskName, ...],
    ) -> None:
        super().__init__(loop, vm, 'configurator')
        self._receivers = receivers
        self._in_force: decisions.Configuration | None = None
        self._document = b''
        self._pending_change: _PendingChange | None = None
        # Versions of the documents that are being read, by their keys, with
        # the time of the request that showed them as the newest.
        self._requested_versions: dict[
            str, tuple[core.ConfigVersion, float]
        ] = {}
        self._clock = loop.clock
        self._queued_documents: list[ApplyDocument] = []
        self.after(0.0, _ReadDue())

    @property
    def version(self) -> core.ConfigVersion:
        """Return the version in force, 0 if there is none yet."""
        if self._in_force is None:
            return core.ConfigVersion(0)
        return self._in_force.version

    # -- applying new versions --------------------------------------

    @runtime.handles(_ReadDue)
    def _on_read_due(self, timer: _ReadDue) -> None:
        vms = len(self._in_force.vms) if self._in_force is not None else 0
        self.after(decisions.read_interval_s(vms), _ReadDue())
        self._get(CONFIG_KEY)

    def _get(self, key: str) -> None:
        self.send(
            names.platform_client(self.vm),
            core.TableGet(self.task_name, key, self._clock.boottime()),
        )

    def _put(self, key: str, value: bytes, expected: int) -> None:
        self.send(
            names.platform_client(self.vm),
            core.TablePut(self.task_name, key, value, expected),
        )

    @runtime.handles(core.TableAnswer)
    def _on_table(self, answer: core.TableAnswer) -> None:
        if answer.key != CONFIG_KEY:
            self._on_audit_written(answer)
            return
        if answer.value is not None and answer.version > self.version:
            self._fetch(answer)
        elif answer.value is not None and answer.version < self.version:
            self._log_stale(answer.version)
        elif answer.value is not None:
            self._confirm(answer.requested_at)
        if answer.is_put:
            self._on_pointer_written(answer)
        elif (
            self._pending_change is not None
            and self._pending_change.outcome_unknown
        ):
            self._resolve_outcome(answer)

    def _fetch(self, answer: core.TableAnswer) -> None:
        """Read the document that a newer pointer refers to."""
        try:
            key = decisions.decode_config_pointer(answer.value or b'')
        except core.ConfigError as exc:
            self._log_bad(answer.version, exc)
            return
        self._requested_versions[key] = (
            core.ConfigVersion(answer.version),
            answer.requested_at,
        )
        self.send(
            names.platform_client(self.vm), core.ObjectGet(self.task_name, key)
        )

    @runtime.handles(core.ObjectAnswer)
    def _on_object(self, answer: core.ObjectAnswer) -> None:
        if answer.is_put:
            self._write_pointer(answer)
            return
        requested = self._requested_versions.pop(answer.key, None)
        if requested is None or answer.value is None:
            return
        version, requested_at = requested
        self._apply(version, answer.value)
        if self.version == version:
            self._confirm(requested_at)

    def _confirm(self, requested_at: float) -> None:
        """Report that the version in force was the newest at a time."""
        self.send(
            names.config_evidence(self.vm),
            core.ConfigConfirmed(requested_at),
        )

    @runtime.handles(core.ConfigOffer)
    def _on_offer(self, offer: core.ConfigOffer) -> None:
        self._apply(offer.version, offer.document)

    @runtime.handles(core.FetchConfig)
    def _on_fetch(self, fetch: core.FetchConfig) -> None:
        if self.version > fetch.newer_than:
            self.send(
                names.peers(self.vm),
                core.SendToPeer(
                    fetch.vm, core.ConfigOffer(self.version, self._document)
                ),
            )

    def _apply(self, version: core.ConfigVersion, document: bytes) -> None:
        """Put a document in force if it is valid and newer."""
        if version <= self.version:
            if version < self.version:
                self._log_stale(version)
            return
        try:
            parsed = json.loads(document)
            config = decisions.rebuild_document(parsed, version)
        except (ValueError, core.SettingsError) as exc:
            self._log_bad(version, exc)
            return
        self._in_force = config
        self._document = document
        self.log.emit(core.LogEvent.CONFIG_APPLIED, version=version)
        for receiver in self._receivers:
            self.send(receiver, task_messages.ConfigUpdate(config))

    def _log_stale(self, version: int) -> None:
        self.log.emit(
            core.LogEvent.CONFIG_STALE,
            version=version,
            in_force=self.version,
        )

    def _log_bad(self, version: int, exc: Exception) -> None:
        self.log.emit(core.LogEvent.CONFIG_BAD, version=version, why=str(exc))

    # -- accepting a change -----------------------------------------

    @runtime.handles(ApplyDocument)
    def _on_apply(self, message: ApplyDocument) -> None:
        if self._pending_change is not None:
            self._queued_documents.append(message)
            return
        try:
            parsed = json.loads(message.document)
            decisions.compile_document(parsed, core.ConfigVersion(0))
        except ValueError as exc:
            problem = core.ConfigError('$', str(exc))
            self._send_result(message, core.SettingsError((problem,)))
            return
        except core.SettingsError as exc:
            self._send_result(message, exc)
            return
        parsed['change'] = {
            'who': message.operator,
            'when': message.at,
            'from': message.expected,
            'to': message.expected + 1,
            'id': f'{self.vm}:{message.number}:{message.at}',
        }
        document = json.dumps(parsed, sort_keys=True).encode()
        key = decisions.config_object_key(document)
        self._pending_change = _PendingChange(
            message, document, decisions.encode_config_pointer(key)
        )
        self.send(
            names.platform_client(self.vm),
            core.ObjectPut(self.task_name, key, document),
        )

    def _write_pointer(self, answer: core.ObjectAnswer) -> None:
        """Write the pointer to the stored document.

        Only the pointer changes the configuration.  So if the object was
        not stored, the change has certainly not been made.
        """
        change = self._pending_change
        if change is None:
            return
        if answer.error is not None:
            error = core.PlatformUnavailable('the object was not stored')
            self._finish(error)
            return
        self._put(CONFIG_KEY, change.pointer, change.message.expected)

    def _on_pointer_written(self, answer: core.TableAnswer) -> None:
        change = self._pending_change
        if change is None:
            return
        if answer.error is None:
            self._finish_accepted(core.ConfigVersion(answer.version))
        elif isinstance(answer.error, core.PlatformRefused):
            if answer.value == change.pointer:
                self._finish_accepted(core.ConfigVersion(answer.version))
            else:
                self._finish_conflict(answer.version)
        elif isinstance(answer.error, core.PlatformUnavailable):
            self._finish(answer.error)
        else:
            change.outcome_unknown = True
            self.after(READ_BACK_DELAY_S, _ReadBackDue())

    @runtime.handles(_ReadBackDue)
    def _on_read_back_due(self, timer: _ReadBackDue) -> None:
        if self._pending_change is not None:
            self._get(CONFIG_KEY)

    def _resolve_outcome(self, answer: core.TableAnswer) -> None:
        """Find out by a read whether the write has taken effect.

        If it has not, and the version is still the expected one, it is
        written again.
        """
        change = self._pending_change
        assert change is not None
        if answer.error is not None:
            change.failed_read_backs += 1
            if change.failed_read_backs >= MAX_READ_BACK_FAILURES:
                self._finish(core.PlatformUnknown('the write may have landed'))
                return
            self.after(READ_BACK_DELAY_S, _ReadBackDue())
        elif answer.value == change.pointer:
            self._finish_accepted(core.ConfigVersion(answer.version))
        elif answer.version > change.message.expected:
            self._finish_conflict(answer.version)
        else:
            change.outcome_unknown = False
            self._put(CONFIG_KEY, change.document, change.message.expected)

    def _finish_accepted(self, version: core.ConfigVersion) -> None:
        assert self._pending_change is not None
        self._apply(version, self._pending_change.document)
        self.log.emit(core.LogEvent.CONFIG_ACCEPTED, version=version)
        self._write_audit_record(version, 'accepted', '')
        self._finish(None)

    def _finish_conflict(self, found: int) -> None:
        change = self._pending_change
        assert change is not None
        message = change.message
        self.log.emit(core.LogEvent.CONFIG_CONFLICT, found=found)
        self._write_audit_record(
            found, 'conflict', f'-{self.vm}-{message.number}'
        )
        self._finish(core.ConfigConflict(message.expected, found))

    def _write_audit_record(
        self, version: int, outcome: str, suffix: str
    ) -> None:
        change = self._pending_change
        assert change is not None
        record = {
            **json.loads(change.document)['change'],
            'outcome': outcome,
            'what': 'register apply',
        }
        self._put(audit_key(version, suffix), json.dumps(record).encode(), 0)

    def _on_audit_written(self, answer: core.TableAnswer) -> None:
        refused = isinstance(answer.error, core.PlatformRefused)
        if answer.is_put and answer.error is not None and not refused:
            self.log.emit(
                core.LogEvent.AUDIT_FAILED,
                key=answer.key,
                why=str(answer.error),
            )

    def _finish(self, error: core.ChicoryusherError | None) -> None:
        change, self._pending_change = self._pending_change, None
        assert change is not None
        self._send_result(change.message, error)
        if self._queued_documents:
            self._on_apply(self._queued_documents.pop(0))

    def _send_result(
        self, message: ApplyDocument, error: core.ChicoryusherError | None
    ) -> None:
        self.send(
            message.reply_to,
            ApplyResult(message.number, self.version, error),
        )

    @runtime.handles(task_messages.StateQuery)
    def _on_query(self, query: task_messages.StateQuery) -> None:
        row = (
            ('version', str(self.version)),
            ('document', self._document.decode()),
        )
        self.send(
            query.reply_to,
            task_messages.StateReport(self.task_name, query.number, (row,)),
        )
