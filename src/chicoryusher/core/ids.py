"""Identifiers: a distinct type for each kind of name or number.

A ``ServiceName`` is the name of a database group.
"""

from __future__ import annotations

from typing import NewType

__all__ = [
    'AllowanceId',
    'CallerName',
    'ConfigVersion',
    'ConnId',
    'DatabaseName',
    'IdempotencyKey',
    'InstanceName',
    'KeyDigest',
    'LimitSlot',
    'LogPosition',
    'OperatorName',
    'PeerProcessId',
    'RegionName',
    'RequestId',
    'ServiceName',
    'SessionId',
    'SetDigest',
    'StatementClass',
    'TaskName',
    'TeamName',
    'Term',
    'TimerId',
    'TransactionId',
    'UserName',
    'VmName',
    'WorkId',
    'ZoneName',
]

# Identifies a request for an allowance within one process.
AllowanceId = NewType('AllowanceId', str)
CallerName = NewType('CallerName', str)
ConfigVersion = NewType('ConfigVersion', int)
ConnId = NewType('ConnId', int)
DatabaseName = NewType('DatabaseName', str)
IdempotencyKey = NewType('IdempotencyKey', str)
InstanceName = NewType('InstanceName', str)
# Digest of a caller's key; the key itself stays in the adapter.
KeyDigest = NewType('KeyDigest', str)
# Part of the teams whose limits one keeper holds.
LimitSlot = NewType('LimitSlot', int)
LogPosition = NewType('LogPosition', int)
OperatorName = NewType('OperatorName', str)
PeerProcessId = NewType('PeerProcessId', bytes)
RegionName = NewType('RegionName', str)
RequestId = NewType('RequestId', str)
ServiceName = NewType('ServiceName', str)
# Identifies a set of names or rows by 64 bits without a sign.
SetDigest = NewType('SetDigest', int)
SessionId = NewType('SessionId', str)
StatementClass = NewType('StatementClass', str)
TaskName = NewType('TaskName', str)
TeamName = NewType('TeamName', str)
Term = NewType('Term', int)
TimerId = NewType('TimerId', int)
TransactionId = NewType('TransactionId', str)
# Login name of a caller.
UserName = NewType('UserName', str)
VmName = NewType('VmName', str)
WorkId = NewType('WorkId', int)
ZoneName = NewType('ZoneName', str)
