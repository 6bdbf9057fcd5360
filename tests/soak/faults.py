"""Faults that the soak injects from outside of the processes."""

from __future__ import annotations

import dataclasses
import signal

from chicoryusher import core
from chicoryusher import runtime
from soak import proxies

FAULTS: core.Registry = core.Registry('soak fault')
Way = proxies.Way
# Seconds between the beginnings of faults, and how long each lasts.
GAPS = (0.2, 1.5)
LENGTHS = (0.3, 4.0)
# Seconds between looks at processes that have to start again.
LOOK = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class _Heal(core.Message):
    """A fault ends; ``undo`` takes nothing."""

    undo: object


class _Next(core.Message):
    """Time for the next fault."""


class _Look(core.Message):
    """Time to start processes that have ended."""


class Chaos(runtime.Task):
    """Begin faults in series; several may be under way at once."""

    def __init__(self, world, names):
        super().__init__(world.loop, 'soak', 'chaos')
        self._world = world
        self._names = names
        self._open = []
        self.log_lines = []
        self.going = True
        self.broken = []
        self.after(world.dice.uniform(*GAPS), _Next())
        self.after(LOOK, _Look())

    @runtime.handles(_Next)
    def _on_next(self, message):
        if not self.going:
            return
        dice = self._world.dice
        name = dice.choice(self._names)
        undo = FAULTS.get(name)(self._world, dice)
        self.log_lines.append(f'{self.now():.3f} {name}')
        if undo is not None:
            self._open.append(undo)
            self.after(dice.uniform(*LENGTHS), _Heal(undo))
        self.after(dice.uniform(*GAPS), message)

    @runtime.handles(_Heal)
    def _on_heal(self, heal):
        if heal.undo in self._open:
            self._open.remove(heal.undo)
            heal.undo()

    @runtime.handles(_Look)
    def _on_look(self, look):
        self.after(LOOK, look)
        for vm in self._world.vms:
            if vm.ended_by_itself():
                self.broken.append(f'{vm.name} ended by itself')
            if vm.process.poll() is not None:
                vm.start()

    def stop(self):
        """End every fault and begin no more."""
        self.going = False
        while self._open:
            self._open.pop()()


@FAULTS.register('kill')
def _kill(world, dice):
    vm = dice.choice(world.vms)
    vm.wanted = False
    vm.signal(signal.SIGKILL)


@FAULTS.register('kill_all')
def _kill_all(world, dice):
    for vm in world.vms:
        vm.wanted = False
        vm.signal(signal.SIGKILL)


@FAULTS.register('terminate')
def _terminate(world, dice):
    vm = dice.choice(world.vms)
    vm.wanted = False
    vm.signal(signal.SIGTERM)


@FAULTS.register('hang_up')
def _hang_up(world, dice):
    dice.choice(world.vms).signal(signal.SIGHUP)


@FAULTS.register('pause')
def _pause(world, dice):
    vm = dice.choice(world.vms)
    vm.signal(signal.SIGSTOP)
    return lambda: vm.signal(signal.SIGCONT)


def _turn(proxy, way, delay=0.0):
    """Change what a proxy does, unless something else changed it."""
    if proxy.way is not Way.PASS:
        return lambda: None
    proxy.way, proxy.delay = way, delay

    def undo():
        proxy.way = Way.PASS

    return undo


@FAULTS.register('store_silent')
def _store_silent(world, dice):
    return _turn(dice.choice(world.vms).store, Way.SILENT)


@FAULTS.register('store_slow')
def _store_slow(world, dice):
    delay = dice.uniform(0.05, 1.0)
    return _turn(dice.choice(world.vms).store, Way.DELAY, delay)


@FAULTS.register('store_one_way')
def _store_one_way(world, dice):
    """Writes are done and their answers are lost."""
    return _turn(dice.choice(world.vms).store, Way.ONE_WAY)


@FAULTS.register('store_reset')
def _store_reset(world, dice):
    for vm in world.vms:
        if dice.random() < 0.5:
            vm.store.reset()


@FAULTS.register('store_down')
def _store_down(world, dice):
    part = dice.choice(['all', 'a', 'b', 'c'])
    world.store.shut.add(part)
    return lambda: world.store.shut.discard(part)


@FAULTS.register('store_forgets')
def _store_forgets(world, dice):
    world.store.forgotten = world.store.version


@FAULTS.register('instance_silent')
def _instance_silent(world, dice):
    """An instance is cut off from everybody, its peers included."""
    one = dice.choice(list(world.group.instances.values()))
    proxy = world.proxies[one.name]
    if one.deaf:
        return None
    one.deaf = True
    undo = _turn(proxy, dice.choice([Way.SILENT, Way.ONE_WAY]))

    def heal():
        one.deaf = False
        undo()
        proxy.reset()

    return heal


@FAULTS.register('primary_silent')
def _primary_silent(world, dice):
    """The primary's machine answers nothing, and hears nothing."""
    one = world.group.primary()
    proxy = world.proxies[one.name]
    if one.deaf or proxy.way is not Way.PASS:
        return None
    one.deaf = True
    proxy.darken()

    def heal():
        one.deaf = False
        proxy.lighten()

    return heal


@FAULTS.register('instance_slow')
def _instance_slow(world, dice):
    one = dice.choice(list(world.group.instances))
    return _turn(world.proxies[one], Way.DELAY, dice.uniform(0.01, 0.4))


@FAULTS.register('instance_reset')
def _instance_reset(world, dice):
    world.proxies[dice.choice(list(world.group.instances))].reset()


@FAULTS.register('replica_deaf')
def _replica_deaf(world, dice):
    one = dice.choice(list(world.group.instances.values()))
    if one.deaf:
        return None
    one.deaf = True

    def heal():
        one.deaf = False

    return heal


@FAULTS.register('configure')
def _configure(world, dice):
    for _ in range(dice.randrange(1, 4)):
        world.configure()
