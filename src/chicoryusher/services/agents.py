"""Client of one instance's group agent: status, fence, promote."""

from __future__ import annotations

from typing import Any

from chicoryusher import core
from chicoryusher import runtime
from chicoryusher import wire

__all__ = ['GroupAgent', 'parse_status']

AGENT_TIMEOUT = 0.40


def parse_status(
    instance: core.InstanceName, sequence: int, document: Any
) -> core.ProbeAnswer:
    """Return the probe answer in a status document."""
    applied, starts = wire.parse_gtid_set(document['applied'])
    received, _ = wire.parse_gtid_set(document['received'])
    return core.ProbeAnswer(
        instance,
        sequence,
        True,
        core.Role(document['role']),
        core.Term(int(document['term'])),
        received,
        applied,
        float(document['source_age']),
        bool(document['leaving']),
        starts,
    )


class GroupAgent(runtime.HttpClient):
    """Turn probes, fences and promotions into calls of the group API."""

    def __init__(
        self,
        loop: runtime.Runtime,
        vm: core.VmName,
        instance: core.InstanceName,
        address: runtime.Address,
        group: core.TaskName,
    ) -> None:
        super().__init__(loop, vm, f'agent/{instance}', address, AGENT_TIMEOUT)
        self._instance = instance
        self._group = group

    @runtime.handles(core.Probe)
    def _on_probe(self, probe: core.Probe) -> None:
        self.call(runtime.HttpCall('GET', '/status', probe))

    @runtime.handles(core.Fence)
    def _on_fence(self, fence: core.Fence) -> None:
        self.call(self._order('/fence', fence))

    @runtime.handles(core.Promote)
    def _on_promote(self, promote: core.Promote) -> None:
        self.call(self._order('/promote', promote))

    @staticmethod
    def _order(
        path: str, order: core.Fence | core.Promote
    ) -> runtime.HttpCall:
        body = {'term': order.term, 'candidate': order.candidate}
        return runtime.json_call('POST', path, order, body)

    def finished(
        self, call: runtime.HttpCall, result: runtime.HttpResult
    ) -> None:
        """Answer the group's watch."""
        self.send(self._group, self._answer(call.context, result))

    def _answer(
        self, context: core.Message, result: runtime.HttpResult
    ) -> core.Message:
        good = result.error is None and result.status == 200
        name = self._instance
        if isinstance(context, core.Probe):
            if not good:
                return core.ProbeAnswer(name, context.sequence, False)
            return parse_status(name, context.sequence, result.document)
        if isinstance(context, core.Fence):
            accepted = good and bool(result.document['accepted'])
            received = core.ORIGIN
            if accepted:
                received, _ = wire.parse_gtid_set(result.document['received'])
            return core.FenceAnswer(name, context.term, accepted, received)
        assert isinstance(context, core.Promote)
        accepted = good and bool(result.document['accepted'])
        return core.PromoteAnswer(name, context.term, accepted)
