"""Limiters and limit keepers of several VMs on one virtual clock."""

from __future__ import annotations

import collections
import functools
import itertools

from chicoryusher import core
from chicoryusher import decisions
from chicoryusher import peers
from chicoryusher import runtime
from chicoryusher.tasks import names
from chicoryusher.tasks.limits import limit_keeper
from chicoryusher.tasks.limits import limiter

TOLERANCE = core.LimitTolerance()
# Keepers that grant the limit itself and nothing of what is tolerated.
ZONE = core.ZoneName('akhmim-yard')
EXACT = core.LimitTolerance(ratio=0.0, requests=0.0)
PEER_DELAY_S = 0.003
# Seconds for which an operation can wait, by default.
MAX_WAIT_S = 1.0
# Share of the time between two operations by which one VM's come later than
# those of the VM before.
PHASE = 0.618
# Seconds until other VMs find a silent one not to be live.
LIVENESS_DELAY_S = 2.2


def team(name, rate, burst=0.0):
    return core.Team(core.TeamName(name), (), 0, rate, burst)


class _Peers(runtime.Task):
    """Carries messages between VMs, except pairs in ``site.cut``."""

    def __init__(self, site, vm):
        super().__init__(site.loop, vm, 'peers')
        self._site = site
        self._timers = site.loop.timers

    @runtime.handles(core.SendToPeer)
    def _on_send(self, send):
        site = self._site
        site.sent[type(send.message)][self.vm] += 1
        if not site.parted(self.vm, send.vm):
            receiver = peers.receiving_task(send.vm, send.message)
            self._timers.add(site.delay_s, receiver, send.message)


class _Desk(runtime.Task):
    """Requests allowances and records what was decided."""

    def __init__(self, site, vm):
        super().__init__(site.loop, vm, 'desk')
        self._site = site

    @runtime.handles(core.AllowanceDecided)
    def _on_decided(self, decision):
        self._site.decide(decision)


class LimitSite:
    """VMs whose view of each other the test sets.

    ``started`` has the times at which operations of a team were started;
    ``refused`` counts those that were not.  Operations can wait for
    ``max_wait_s``, and for a turn for ``max_turn_wait_s``.
    """

    def __init__(self, vm_count, *teams, delay_s=PEER_DELAY_S):
        self.clock = core.VirtualClock(100.0)
        self.loop = runtime.Runtime(self.clock)
        self.delay_s = delay_s
        self.cut = set()
        self.frozen = collections.defaultdict(list)
        self.sent = collections.defaultdict(collections.Counter)
        self.started = collections.defaultdict(list)
        self.refused = collections.Counter()
        self.outcomes = {}
        self.max_wait_s = MAX_WAIT_S
        self.max_turn_wait_s = None
        self._numbers = itertools.count(1)
        self._waiting = {}
        self._owed = {}
        self._tasks = {}
        self._config = core.PoolConfig(core.ConfigVersion(1), (), (), 3.0)
        self._config_teams = teams
        self.vms = [core.VmName(f'vm{n:03}') for n in range(vm_count)]
        for vm in self.vms:
            _Peers(self, vm)
            _Desk(self, vm)
            self.start(vm)

    def start(self, vm):
        """Start the tasks of a VM, or start them again."""
        for task in self._tasks.get(vm, ()):
            task.end()
        self.loop.run_for(0.0)
        self._tasks[vm] = (
            limiter.Limiter(self.loop, vm, TOLERANCE, ZONE, {}),
            limit_keeper.LimitKeeper(self.loop, vm, EXACT),
        )
        for task in self._tasks[vm]:
            task.handlers = {
                kind: functools.partial(self._handle, handle)
                for kind, handle in task.handlers.items()
            }
        self._publish(vm)

    def _handle(self, handle, task, message):
        """Handle a message, or keep it while the VM is frozen."""
        if task.vm in self.frozen:
            self.frozen[task.vm].append((handle, task, message))
        else:
            handle(task, message)

    def freeze(self, vm):
        self.frozen[vm] = []

    def wake(self, vm):
        for handle, task, message in self.frozen.pop(vm):
            handle(task, message)

    def set_teams(self, *teams):
        self._config_teams = teams
        for vm in self.vms:
            self._publish(vm)

    def publish_live(self):
        for vm in self.vms:
            self._publish(vm)

    def _publish(self, vm):
        config = core.PoolConfig(
            core.ConfigVersion(1), (), (), 3.0, self._config_teams
        )
        others = [other for other in self.vms if other != vm]
        live = [other for other in others if not self.parted(vm, other)]
        sets = core.PeerSets(tuple(live), tuple(others))
        for name in (names.limiter(vm), names.limit_keeper(vm)):
            self.loop.post(name, core.PoolConfigUpdate(config))
            self.loop.post(name, sets)

    def parted(self, vm, other):
        return bool({(vm, other), (other, vm)} & self.cut)

    def isolate(self, vm):
        """Cut a VM off; the others notice after a while."""
        self.cut |= {(vm, other) for other in self.vms if other != vm}

    def request(self, vm, team, max_wait_s=None):
        allowance_id = core.AllowanceId(str(next(self._numbers)))
        self._waiting[allowance_id] = (team.name, self.clock.now())
        request = core.RequestAllowance(
            allowance_id,
            team.name,
            self.max_wait_s if max_wait_s is None else max_wait_s,
            names.dispatcher(vm),
            self.max_turn_wait_s,
        )
        self.loop.post(names.limiter(vm), request)
        return allowance_id

    def decide(self, decision):
        name, _ = self._waiting.pop(decision.allowance_id)
        self.outcomes[decision.allowance_id] = decision.outcome
        if decision.outcome is not core.AllowanceOutcome.GRANTED:
            self.refused[name] += 1
        elif self.clock.boottime() < decision.expires_at:
            self.started[name].append(self.clock.now())

    def load(self, seconds, demands, step_s=0.02):
        """Request operations at ``demands`` a second by VM and team.

        The VMs do not do so at the same moments.
        """
        for number, key in enumerate(demands):
            self._owed.setdefault(key, number * PHASE % 1.0)
        end = self.clock.now() + seconds
        while self.clock.now() < end - step_s / 2:
            for key, demand in demands.items():
                self._owed[key] += demand * step_s
                while self._owed[key] >= 1.0:
                    self._owed[key] -= 1.0
                    self.request(*key)
            self.loop.run_for(step_s)

    def run(self, seconds):
        self.loop.run_for(seconds)

    def most_in_a_window(self, team):
        times = sorted(self.started[team.name])
        window = collections.deque()
        most = 0
        for at in times:
            window.append(at)
            while window[0] <= at - TOLERANCE.window_s:
                window.popleft()
            most = max(most, len(window))
        return most

    def assert_within_limit(self, team):
        limit = team.rate * TOLERANCE.window_s + team.burst
        most = self.most_in_a_window(team)
        assert most <= limit * (1 + TOLERANCE.ratio) + TOLERANCE.requests

    def keeper_of(self, team):
        """Return the VM that most VMs follow in the team's slot."""
        slot = decisions.limit_slot(team.name)
        followed = collections.Counter(
            tasks[0]._followers[slot].keeper for tasks in self._tasks.values()
        )
        return followed.most_common(1)[0][0]

    def close(self):
        self.loop.close()
