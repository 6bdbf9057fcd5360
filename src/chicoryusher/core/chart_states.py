"""Enumerations of the states of charts.

Each state of a chart is a member of the enumeration that the chart file
names; the member's value is the state's name in the file.
"""

from __future__ import annotations

import enum

__all__ = [
    'ConnState',
    'DaemonState',
    'EntryProcessState',
    'FeedState',
    'ForwardedState',
    'GateState',
    'HandoverState',
    'LimitFollowerState',
    'GroupMonitorState',
    'PoolSessionState',
    'RequestState',
    'SessionState',
    'Standing',
    'VmState',
]


class Standing(enum.Enum):
    """Standing of an instance for reads (chart ``standing``).

    EJECTED: it gets none while others can serve them.  TRIAL: a few reads
    try it.
    """

    SERVING = 'serving'
    EJECTED = 'ejected'
    TRIAL = 'trial'


class SessionState(enum.Enum):
    """State of a caller's session (chart ``session``).

    GREETING: the caller has not authenticated.  OPEN: a transaction is
    open.  RUNNING and OPEN_RUNNING: a statement is being run, without
    and with an open transaction.  LOST: the open transaction was rolled
    back, and the caller has not been told.
    """

    GREETING = 'greeting'
    IDLE = 'idle'
    RUNNING = 'running'
    OPEN = 'open'
    OPEN_RUNNING = 'open_running'
    LOST = 'lost'
    CLOSED = 'closed'


class RequestState(enum.Enum):
    """State of a request at its gate (chart ``request``).

    PROVING: the instance has answered, and the gate waits for evidence
    that the answer may be given.  MOVED: the router sends the request to
    another gate.
    """

    QUEUED = 'queued'
    SENT = 'sent'
    PROVING = 'proving'
    MOVED = 'moved'
    DONE = 'done'
    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'


class ConnState(enum.Enum):
    """State of a backend connection (chart ``connection``).

    PINNED: the connection belongs to an open transaction and runs no
    statement at the moment.
    """

    CONNECTING = 'connecting'
    IDLE = 'idle'
    BUSY = 'busy'
    PINNED = 'pinned'
    CLOSED = 'closed'


class GateState(enum.Enum):
    """State of a VM's gate for one instance (chart ``gate``).

    STANDBY: this VM is not the gate.  CLAIMING: it asks the instance for
    the gate lock.  RELEASING: it finishes its work before it releases
    the lock.
    """

    STANDBY = 'standby'
    CLAIMING = 'claiming'
    SERVING = 'serving'
    RELEASING = 'releasing'


class GroupMonitorState(enum.Enum):
    """State of a VM's monitor of one group (chart ``leadership``).

    FOLLOWING: the group has a primary.  SUSPECTING: the primary does not
    respond.  CLAIMING: this VM claims a new term.  FENCING: instances
    are asked to reject older terms.  PROMOTING: an instance is asked to
    become the primary of the new term.
    """

    FOLLOWING = 'following'
    SUSPECTING = 'suspecting'
    CLAIMING = 'claiming'
    FENCING = 'fencing'
    PROMOTING = 'promoting'


class VmState(enum.Enum):
    """State of a VM as another VM sees it (chart ``vm``).

    SUSPECTED: it does not respond or is no longer listed.  LEAVING: it
    is about to stop.  GONE: it is taken to have stopped.
    """

    LIVE = 'live'
    SUSPECTED = 'suspected'
    LEAVING = 'leaving'
    GONE = 'gone'


class DaemonState(enum.Enum):
    """State of a daemon process (chart ``daemon``)."""

    STARTING = 'starting'
    RUNNING = 'running'
    DRAINING = 'draining'
    STOPPED = 'stopped'


class PoolSessionState(enum.Enum):
    """State of a pooled session (chart ``pool_session``).

    RUNNING: a statement outside a transaction is being run.  BEGUN: the
    caller has begun a transaction that no instance has begun yet.
    STARTING: its first statement is being run.  OPEN and BUSY: it is
    open at an instance, without and with a statement being run.  FAILED:
    it can only be rolled back.
    """

    IDLE = 'idle'
    RUNNING = 'running'
    BEGUN = 'begun'
    STARTING = 'starting'
    OPEN = 'open'
    BUSY = 'busy'
    FAILED = 'failed'
    CLOSED = 'closed'


class ForwardedState(enum.Enum):
    """State of forwarded work (chart ``forwarded``).

    AWAY: another VM runs it.  SETTLED: its result is known or no longer
    needed.
    """

    REMOTE = 'away'
    SETTLED = 'settled'


class LimitFollowerState(enum.Enum):
    """State of a VM towards the keepers of a slot (chart ``limit_follower``).

    LEAVING: a keeper may still count it.  FREE: none counts it.  FOLLOWING:
    one keeper may count it.
    """

    LEAVING = 'leaving'
    FREE = 'free'
    FOLLOWING = 'following'


class HandoverState(enum.Enum):
    """Step of a change of primary (chart ``handover``).

    CLAIMING: the leader row is set to CLOSING.  FENCING: every VM is
    asked to stop using the old primary.  CHOOSING: the instances are
    probed to choose the successor.  CATCHING_UP: the successor applies
    the part of the old primary's log that it lacks.  PROMOTING: the
    platform is asked to promote the successor.  CONFIRMING: the
    successor is probed until it is the primary.  OPENING: the leader row
    is set to OPEN.
    """

    IDLE = 'idle'
    CLAIMING = 'claiming'
    FENCING = 'fencing'
    CATCHING_UP = 'catching_up'
    CHOOSING = 'choosing'
    PROMOTING = 'promoting'
    CONFIRMING = 'confirming'
    OPENING = 'opening'


class EntryProcessState(enum.Enum):
    """State of an entry process (chart ``entry``).

    LEAVING: it serves until the load balancer has noticed.  CLOSING: idle
    sessions are closed and new work is refused.  ENDING: open transactions
    may only commit.  ANSWERING: the work in hand is ended, and its answers
    are sent.
    """

    STARTING = 'starting'
    SERVING = 'serving'
    LEAVING = 'leaving'
    CLOSING = 'closing'
    ENDING = 'ending'
    ANSWERING = 'answering'
    STOPPED = 'stopped'


class FeedState(enum.Enum):
    """State of a feed, which reads a table of the store (chart ``feed``).

    READING: it reads the whole table.  FOLLOWING: it polls the store for
    changes.  MISSING: the last poll failed.
    """

    READING = 'reading'
    FOLLOWING = 'following'
    POLL_FAILED = 'missing'
