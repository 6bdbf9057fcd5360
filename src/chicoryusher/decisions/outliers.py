"""Which instances of a group get no first tries of reads for a while.

An instance that fails reads, or is far slower than the other instances of
its group, is ejected, whatever its health answers and the register say of
it.  After a pause a few reads try it again, one at a time; when all of them
went well it serves as before.  One replica always stays.
"""

from __future__ import annotations

import collections
from collections.abc import Iterable
from collections.abc import Set

from chicoryusher import charts
from chicoryusher import core

__all__ = ['InstanceResults', 'Outliers']

# Results of an instance that are compared, and seconds for which they count.
WINDOW_RESULTS = 20
RESULT_LIFETIME_S = 10.0
# Results, and read times, that an instance needs before they are compared.
MIN_RESULTS = 5
MIN_TIMES = 10
# Failed reads, and their share, from which an instance is an outlier.  Its
# peers must fail at less than half of its share: a statement that fails
# everywhere is no fault of an instance.
MIN_FAILURES = 3
FAILURE_SHARE = 0.3
PEER_FAILURE_RATIO = 0.5
# Read times are compared by this quantile, which a few long statements don't
# move.  An outlier takes this many times as long as the slowest of its
# peers, since load makes all of them slow, and this many seconds longer: a
# round trip to another region is none.
QUANTILE = 0.25
SLOW_RATIO = 4.0
SLOW_EXCESS_S = 0.03
# Seconds without reads after an ejection; each one that follows doubles it.
MIN_PAUSE_S = 0.5
MAX_PAUSE_S = 8.0
# Seconds of serving after which an ejection counts as the first.
STEADY_S = 30.0
# Of the reads that an instance on trial could serve, one in so many tries
# it; so many must go well.
READS_PER_TRIAL = 5
TRIAL_READS = 3


class InstanceResults:
    """Results of the reads at one instance; its chart is ``standing``."""

    def __init__(self, name: core.InstanceName) -> None:
        self.name = name
        self.state = core.Standing.SERVING
        self.pause_s = MIN_PAUSE_S
        self.paused_until = 0.0
        self.readmitted_at = float('-inf')
        # Reads that could have tried an instance on trial since the last did.
        self.passed_reads = 0
        # Time, outcome and seconds of each read, None without an answer.
        self._results: collections.deque[tuple[float, bool, float | None]] = (
            collections.deque(maxlen=WINDOW_RESULTS)
        )

    def add(self, failed: bool, seconds: float | None, now: float) -> None:
        """Add the result of one read."""
        oldest = now - RESULT_LIFETIME_S
        while self._results and self._results[0][0] < oldest:
            self._results.popleft()
        self._results.append((now, failed, seconds))

    def clear(self) -> None:
        """Forget all results."""
        self._results.clear()

    @property
    def count(self) -> int:
        """Return the number of results."""
        return len(self._results)

    @property
    def failures(self) -> int:
        """Return the number of failed reads."""
        return sum(failed for _, failed, _ in self._results)

    @property
    def failure_share(self) -> float:
        """Return the share of failed reads."""
        return self.failures / len(self._results) if self._results else 0.0

    def typical_time(self, min_count: int = MIN_TIMES) -> float | None:
        """Return the compared time in seconds, None with too few results."""
        times = sorted(
            seconds
            for _, failed, seconds in self._results
            if seconds is not None and not failed
        )
        if len(times) < min_count:
            return None
        return times[int(len(times) * QUANTILE)]


class Outliers:
    """The standing of each instance of one group."""

    def __init__(self) -> None:
        self._chart = charts.load_machine('standing')
        self._results: dict[core.InstanceName, InstanceResults] = {}

    def _results_of(self, name: core.InstanceName) -> InstanceResults:
        return self._results.setdefault(name, InstanceResults(name))

    def standing(self, name: core.InstanceName) -> core.Standing:
        """Return the standing of an instance."""
        results = self._results.get(name)
        return core.Standing.SERVING if results is None else results.state

    def forget(self, name: core.InstanceName) -> bool:
        """Forget an instance that has gone or has started again.

        Return whether its standing has changed.
        """
        changed = self.standing(name) is not core.Standing.SERVING
        self._results.pop(name, None)
        return changed

    def record(
        self,
        name: core.InstanceName,
        failed: bool,
        seconds: float | None,
        replicas: Set[core.InstanceName],
        now: float,
    ) -> bool:
        """Record a read; return whether the standing has changed.

        A read that was given up after ``seconds`` has not failed: it counts
        as that slow, since load may be the reason.
        ``seconds`` is how long the instance took, None if that is not known.
        ``replicas`` are those that may serve reads.
        """
        results = self._results_of(name)
        results.add(failed, seconds, now)
        if results.state is core.Standing.TRIAL:
            return self._judge_trial(results, failed, now)
        if results.state is core.Standing.EJECTED:
            return False
        if not self._is_outlier(results) or not self._can_spare(
            name, replicas
        ):
            return False
        return self._chart.fire(results, 'outlier', now)

    def _judge_trial(
        self, results: InstanceResults, failed: bool, now: float
    ) -> bool:
        enough = results.count >= TRIAL_READS
        if failed or (enough and self._is_slow(results, TRIAL_READS)):
            return self._chart.fire(results, 'bad', now)
        return self._chart.fire(results, 'good', now)

    def _can_spare(
        self, name: core.InstanceName, replicas: Set[core.InstanceName]
    ) -> bool:
        """Return whether another replica serves reads."""
        return any(
            other != name and self.standing(other) is core.Standing.SERVING
            for other in replicas
        )

    def _is_outlier(self, results: InstanceResults) -> bool:
        if results.count < MIN_RESULTS:
            return False
        return self._fails(results) or self._is_slow(results)

    def _fails(self, results: InstanceResults) -> bool:
        share = results.failure_share
        if results.failures < MIN_FAILURES or share < FAILURE_SHARE:
            return False
        return all(
            peer.failure_share < PEER_FAILURE_RATIO * share
            for peer in self._peers_of(results)
        )

    def _is_slow(
        self, results: InstanceResults, min_count: int = MIN_TIMES
    ) -> bool:
        own = results.typical_time(min_count)
        times = [peer.typical_time() for peer in self._peers_of(results)]
        known = [seconds for seconds in times if seconds is not None]
        if own is None or not known:
            return False
        slowest = max(known)
        return own > max(SLOW_RATIO * slowest, slowest + SLOW_EXCESS_S)

    def _peers_of(self, results: InstanceResults) -> list[InstanceResults]:
        """Return the results of the other instances that serve."""
        return [
            peer
            for peer in self._results.values()
            if peer is not results and peer.state is core.Standing.SERVING
        ]

    def due_trial(
        self, names: Iterable[core.InstanceName], now: float
    ) -> core.InstanceName | None:
        """Return the instance that a read should try, None for none.

        ``names`` are the instances that could serve the read.
        """
        for name in names:
            results = self._results.get(name)
            if results is None:
                continue
            if now >= results.paused_until:
                self._chart.fire(results, 'pause_over', now)
            if results.state is not core.Standing.TRIAL:
                continue
            results.passed_reads += 1
            if results.passed_reads >= READS_PER_TRIAL:
                results.passed_reads = 0
                return name
        return None


@charts.action('standing.begin_pause')
def _begin_pause(results: InstanceResults, now: float) -> None:
    if now - results.readmitted_at > STEADY_S and (
        results.readmitted_at > results.paused_until
    ):
        results.pause_s = MIN_PAUSE_S
    results.paused_until = now + results.pause_s
    results.pause_s = min(2.0 * results.pause_s, MAX_PAUSE_S)


@charts.action('standing.begin_trial')
def _begin_trial(results: InstanceResults, now: float) -> None:
    results.clear()
    results.passed_reads = 0


@charts.guard('standing.proved')
def _is_proved(results: InstanceResults, now: float) -> bool:
    return results.count >= TRIAL_READS


@charts.action('standing.readmit')
def _readmit(results: InstanceResults, now: float) -> None:
    """Forget the trial, so that later results are judged by themselves."""
    results.clear()
    results.readmitted_at = now
