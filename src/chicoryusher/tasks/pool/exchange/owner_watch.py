"""Watches whether the VMs that run this VM's forwarded work respond."""

from __future__ import annotations

from collections.abc import Mapping

from chicoryusher import core
from chicoryusher import decisions
from chicoryusher import runtime
from chicoryusher.tasks import names

__all__ = ['OwnerWatch']


class OwnerWatch:
    """Ping the connection owners; tell the dispatcher which are silent.

    ``forwarder`` is the task that sends the work.
    """

    def __init__(self, forwarder: runtime.Task) -> None:
        self._forwarder = forwarder
        self._silence = decisions.OwnerSilence()
        self._reported: frozenset[core.VmName] = frozenset()

    @property
    def silent(self) -> frozenset[core.VmName]:
        """Return the owners that don't respond."""
        return self._reported

    def note_use(self, vm: core.VmName) -> None:
        """Record that work is sent to an owner."""
        self._silence.note_use(vm, self._forwarder.now())

    def record_heard(self, vm: core.VmName) -> None:
        """Record a message of an owner."""
        self._silence.record_heard(vm, self._forwarder.now())
        if vm in self._reported:
            self._report()

    def check(self, waiting: Mapping[core.VmName, float]) -> None:
        """Send the pings that are due, and find the silent owners.

        ``waiting`` has the owners with work, and since when it waits.
        """
        vm, now = self._forwarder.vm, self._forwarder.now()
        for owner in self._silence.pings_due(waiting, now):
            ping = core.SendToPeer(owner, core.RelayPing(vm))
            self._forwarder.send(names.peers(vm), ping)
        self._silence.update(now)
        self._report()

    def _report(self) -> None:
        """Tell the dispatcher which owners are silent, if that changed."""
        silent = self._silence.silent
        if silent == self._reported:
            return
        log = self._forwarder.log
        for owner in sorted(silent - self._reported):
            log.emit(core.LogEvent.OWNER_SILENT, peer=owner)
        for owner in sorted(self._reported - silent):
            log.emit(core.LogEvent.OWNER_RESPONDS, peer=owner)
        self._reported = silent
        dispatcher = names.dispatcher(self._forwarder.vm)
        self._forwarder.send(dispatcher, core.SilentOwners(silent))
