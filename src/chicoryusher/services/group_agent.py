"""HTTP client of the group agent of one instance.

The group agent reports the replication status of its instance, and fences
or promotes the instance.
"""

from __future__ import annotations

from typing import Any

from chicoryusher import core
from chicoryusher import runtime
from chicoryusher import wire

__all__ = ['GroupAgent', 'probe_answer']

AGENT_TIMEOUT_S = 0.40


def probe_answer(
    instance: core.InstanceName, sequence: int, document: Any
) -> core.ProbeAnswer:
    """Convert a status document of the agent into a probe answer."""
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
    """Send probes, fences and promotions as HTTP calls to the group agent."""

    def __init__(
        self,
        loop: runtime.Runtime,
        vm: core.VmName,
        instance: core.InstanceName,
        address: runtime.Address,
        group: core.TaskName,
    ) -> None:
        super().__init__(
            loop, vm, f'agent/{instance}', address, AGENT_TIMEOUT_S
        )
        self._instance = instance
        self._group = group

    @runtime.handles(core.Probe)
    def _on_probe(self, probe: core.Probe) -> None:
        self.call(runtime.HttpCall('GET', '/status', probe))

    @runtime.handles(core.Fence)
    def _on_fence(self, fence: core.Fence) -> None:
        self.call(self._command_call('/fence', fence))

    @runtime.handles(core.Promote)
    def _on_promote(self, promote: core.Promote) -> None:
        self.call(self._command_call('/promote', promote))

    @staticmethod
    def _command_call(
        path: str, order: core.Fence | core.Promote
    ) -> runtime.HttpCall:
        body = {'term': order.term, 'candidate': order.candidate}
        return runtime.json_call('POST', path, order, body)

    def finished(
        self, call: runtime.HttpCall, result: runtime.HttpResult
    ) -> None:
        """Send the answer to the group monitor."""
        self.send(self._group, self._answer(call.context, result))

    def _answer(
        self, context: core.Message, result: runtime.HttpResult
    ) -> core.Message:
        succeeded = result.error is None and result.status == 200
        name = self._instance
        if isinstance(context, core.Probe):
            if not succeeded:
                return core.ProbeAnswer(name, context.sequence, False)
            return probe_answer(name, context.sequence, result.document)
        if isinstance(context, core.Fence):
            accepted = succeeded and bool(result.document['accepted'])
            received = core.ORIGIN
            if accepted:
                received, _ = wire.parse_gtid_set(result.document['received'])
            return core.FenceAnswer(name, context.term, accepted, received)
        assert isinstance(context, core.Promote)
        accepted = succeeded and bool(result.document['accepted'])
        return core.PromoteAnswer(name, context.term, accepted)
