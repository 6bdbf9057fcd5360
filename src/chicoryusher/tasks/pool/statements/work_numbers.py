"""Numbers of work and of transactions, which other VMs refer to."""

from __future__ import annotations

import secrets

__all__ = ['first_work_number']

# Numbers of two processes of a VM overlap with a probability of their count
# in 2**48; a number still fits the integers of messages between VMs.
FIRST_NUMBER_BITS = 48


def first_work_number() -> int:
    """Return the number at which a process starts to count.

    A connection owner may still run work of an earlier process of a VM, and
    returns the result to the VM by its name.
    """
    return secrets.randbits(FIRST_NUMBER_BITS)
