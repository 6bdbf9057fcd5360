"""Which VMs a change of primary waits for, as answers and lists arrive."""

from __future__ import annotations

from chicoryusher import core
from chicoryusher import decisions

ZONE = core.ZoneName('akhmim-yard')
A, B, C = (core.VmName(letter) for letter in 'abc')


def row(vm, **changes):
    return core.NodeRow(vm, '10.0.0.1', 7440, ZONE, 'b1', **changes)


def test_fencing_is_not_done_before_the_store_has_listed_all_vms():
    fencing = decisions.Fencing([A])
    fencing.stopped(A)
    assert not fencing.done
    assert not fencing.listed([row(A)])
    assert fencing.done


def test_a_vm_that_only_the_store_knows_is_waited_for():
    fencing = decisions.Fencing([A])
    assert fencing.listed([row(A), row(B)])
    fencing.stopped(A)
    assert not fencing.done
    fencing.stopped(B)
    assert fencing.done
    assert fencing.vms == {A, B}


def test_vms_that_have_left_or_are_marked_missing_are_not_added():
    fencing = decisions.Fencing([A])
    left = row(B, life=core.NodeLife.LEFT)
    assert not fencing.listed([left, row(C, missing=True)])
    assert fencing.vms == {A}


def test_a_leaving_vm_is_waited_for():
    fencing = decisions.Fencing()
    assert fencing.listed([row(B, life=core.NodeLife.LEAVING)])
