"""Choice of the instance that runs a request, and of its gate."""

from __future__ import annotations

import dataclasses

from chicoryusher import core
from chicoryusher import decisions
from chicoryusher.tasks import sessions

__all__ = ['READ_KINDS', 'RequestRouting']

READ_KINDS = (core.StatementKind.READ, core.StatementKind.PREPARE)
_UNLIMITED_STALENESS_S = float('inf')


class RequestRouting:
    """A router's view of the gates, and its hints about each group.

    ``policy`` is the routing policy.
    """

    def __init__(
        self,
        vm: core.VmName,
        directory: decisions.GateDirectory,
        policy: str,
    ) -> None:
        self._vm = vm
        self._directory = directory
        self._policy = decisions.ROUTING_POLICIES.get(policy)()
        self._groups: dict[core.DatabaseName, decisions.GroupHints] = {}

    @property
    def config(self) -> decisions.Configuration | None:
        """Return the configuration in force, None before the first one."""
        return self._directory.config

    def set_config(self, config: decisions.Configuration) -> None:
        """Use the groups and instances of a configuration."""
        self._directory.set_config(config)
        for database in config.databases:
            group = self._groups.get(database.name)
            if group is None:
                group = decisions.GroupHints(database.name)
                self._groups[database.name] = group
            group.retain(frozenset(database.instances))
            for spec in config.group(database.name):
                path = self._directory.round_trip(spec.zone)
                group.put_instance(decisions.InstanceHints(spec, path))
        configured = {entry.name for entry in config.databases}
        for removed in set(self._groups) - configured:
            del self._groups[removed]

    def set_live_vms(self, vms: tuple[core.VmName, ...]) -> None:
        """Use the gates of these VMs only."""
        self._directory.set_live_vms(vms)

    def has_group(self, database: core.DatabaseName) -> bool:
        """Return whether a database is configured."""
        return database in self._groups

    def gate(self, instance: core.InstanceName) -> core.VmName | None:
        """Return the VM to send a request to, None if no VM is the gate."""
        return self._directory.gate(instance)

    def is_primary(self, pending: sessions.PendingRequest) -> bool:
        """Return whether a request's instance is the primary.

        It counts as one if its group is no longer configured.
        """
        group = self._groups.get(pending.request.database)
        return group is None or pending.instance == group.primary

    def apply_report(self, report: core.InstanceReport, now: float) -> None:
        """Use a gate's report about its instance."""
        group = self._groups.get(report.database)
        if group is not None:
            group.apply_report(report, now)

    def record_move(
        self,
        database: core.DatabaseName,
        moved: core.RequestMoved,
        now: float,
    ) -> None:
        """Send less to an instance that has not run a request."""
        self._record_refusal(database, moved.instance, moved.reason, now)
        if moved.report is not None:
            self.apply_report(moved.report, now)

    def _record_refusal(
        self,
        database: core.DatabaseName,
        instance: core.InstanceName,
        reason: core.MoveReason,
        now: float,
    ) -> None:
        group = self._groups.get(database)
        if group is not None:
            group.record_refusal(instance, reason, now)

    def mark_down(self, pending: sessions.PendingRequest, now: float) -> None:
        """Route nothing to the request's instance for a short time."""
        if pending.instance is not None:
            self._record_refusal(
                pending.request.database,
                pending.instance,
                core.MoveReason.DOWN,
                now,
            )

    def choose(
        self,
        session: sessions.Session,
        pending: sessions.PendingRequest,
        now: float,
    ) -> core.Submit:
        """Return the message that asks a gate to run a request.

        A statement in a transaction that has started goes to the
        transaction's instance; for any other the policy chooses one.
        Raises NotRunError if there is none.
        """
        request = pending.request
        if session.transaction is not None:
            request = dataclasses.replace(
                request,
                transaction=session.transaction,
                begin_payload=None if session.started else session.begin,
                pins_connection=session.keeps_pinned,
            )
        if session.team is not None:
            request = dataclasses.replace(request, team=session.team)
        if pending.marks is not request.marks:
            request = dataclasses.replace(request, marks=pending.marks)
        requirement = self._requirement(session, pending, now)
        if session.started and session.instance is not None:
            role = core.Role.PRIMARY
            route = decisions.Route(session.instance, role)
        else:
            group = self._groups.get(request.database)
            if group is None:
                raise core.NotRunError('the database has left the register')
            route = self._policy.choose(group, requirement, now)
        return core.Submit(
            self._vm,
            route.instance,
            request,
            pending.deadline
            - now
            - self._directory.reply_time(route.instance),
            route.role,
            requirement.min_position,
            requirement.max_staleness,
            route.catch_up_timeout,
        )

    def _requirement(
        self,
        session: sessions.Session,
        pending: sessions.PendingRequest,
        now: float,
    ) -> decisions.RouteRequirement:
        """Return what a request needs of the instance that runs it.

        The staleness bound is the statement's own or the configured one.
        It also covers ``session.must_see_before``, so that a session
        without a token sees every write that was answered before it
        opened.
        """
        request = pending.request
        config = self._directory.config
        assert config is not None
        is_read = request.kind in READ_KINDS
        if session.transaction is not None:
            is_read = session.read_only
        staleness_bound = pending.marks.max_staleness
        if staleness_bound is None:
            staleness_bound = config.default_staleness
        if request.kind is core.StatementKind.PREPARE:
            staleness_bound = _UNLIMITED_STALENESS_S
        else:
            staleness_bound = min(
                staleness_bound, now - session.must_see_before
            )
        last_write_at = session.last_write_at.get(
            request.database, float('-inf')
        )
        return decisions.RouteRequirement(
            not is_read or pending.requires_primary,
            session.positions.get(request.database),
            staleness_bound,
            now - last_write_at,
        )
