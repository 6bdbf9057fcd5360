"""How often a monitor probes the instances of its group."""

from __future__ import annotations

__all__ = ['ProbePace']

# Interval of the probes of a group that has had requests recently.
ACTIVE_PROBE_INTERVAL_S = 1.0
IDLE_PROBE_INTERVAL_S = 2.0
# Time of frequent probes after a gate has reported a suspected instance.
SUSPICION_LIFETIME_S = 1.0
# Time after a report of requests for which the group counts as active.
ACTIVE_PERIOD_S = 5.0
# Interval of the probes while requests wait for evidence.
PROOF_PROBE_INTERVAL_S = 0.005
# Interval of the probes while an instance is suspected or a failover runs.
SUSPECT_PROBE_INTERVAL_S = 0.05


class ProbePace:
    """The interval of the probes, by what the group has seen recently."""

    def __init__(self, now: float) -> None:
        self._used_at = now
        self._suspected_until = now

    def record_suspicion(self, now: float) -> None:
        """Probe the group often for a while.

        Requests show a failure before the usual probes do.
        """
        self._suspected_until = now + SUSPICION_LIFETIME_S

    def record_use(self, now: float) -> bool:
        """Record that requests come; return whether the group was idle."""
        was_idle = now - self._used_at > ACTIVE_PERIOD_S
        self._used_at = now
        return was_idle

    def urgent_interval(
        self, now: float, awaits_proof: bool, has_trouble: bool
    ) -> float | None:
        """Return the interval in seconds while something is to be found out.

        ``has_trouble`` is set while an instance fails or is being replaced.
        None means that the usual interval will do.
        """
        if awaits_proof:
            return PROOF_PROBE_INTERVAL_S
        if has_trouble or now < self._suspected_until:
            return SUSPECT_PROBE_INTERVAL_S
        return None

    def usual_interval(self, now: float) -> float:
        """Return the interval in seconds of a group without trouble."""
        is_active = now - self._used_at <= ACTIVE_PERIOD_S
        return ACTIVE_PROBE_INTERVAL_S if is_active else IDLE_PROBE_INTERVAL_S
