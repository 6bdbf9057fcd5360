"""States, outcomes and kinds, each a closed enumeration."""

from __future__ import annotations

import enum

__all__ = [
    'ConnState',
    'DaemonState',
    'GateState',
    'LeadState',
    'MoveReason',
    'Outcome',
    'RequestState',
    'Role',
    'SessionState',
    'StatementKind',
    'VmState',
]


class Outcome(enum.Enum):
    """What became of a request, as far as it can be proved."""

    DONE = 'done'
    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'


class Role(enum.Enum):
    """Part an instance plays in its database group."""

    PRIMARY = 'primary'
    REPLICA = 'replica'


class StatementKind(enum.Enum):
    """What a statement does, as far as routing is concerned."""

    READ = 'read'
    WRITE = 'write'
    DDL = 'ddl'
    BEGIN = 'begin'
    BEGIN_READ_ONLY = 'begin_read_only'
    COMMIT = 'commit'
    ROLLBACK = 'rollback'
    SESSION = 'session'
    LOCAL = 'local'
    PREPARE = 'prepare'
    UNSUPPORTED = 'unsupported'


class MoveReason(enum.Enum):
    """Why a gate did not run a request; it was certainly not run."""

    NOT_GATE = 'not_gate'
    NOT_PRIMARY = 'not_primary'
    NO_PRIMARY = 'no_primary'
    NOT_FRESH = 'not_fresh'
    LEAVING = 'leaving'
    DOWN = 'down'
    BUSY = 'busy'


class SessionState(enum.Enum):
    """State of a caller's session (chart ``session``)."""

    GREETING = 'greeting'
    IDLE = 'idle'
    RUNNING = 'running'
    OPEN = 'open'
    OPEN_RUNNING = 'open_running'
    CLOSED = 'closed'


class RequestState(enum.Enum):
    """State of a request at its gate (chart ``request``)."""

    QUEUED = 'queued'
    SENT = 'sent'
    PROVING = 'proving'
    MOVED = 'moved'
    DONE = 'done'
    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'


class ConnState(enum.Enum):
    """State of a backend connection (chart ``connection``)."""

    CONNECTING = 'connecting'
    IDLE = 'idle'
    BUSY = 'busy'
    PINNED = 'pinned'
    CLOSED = 'closed'


class GateState(enum.Enum):
    """State of a VM's gate for one instance (chart ``gate``)."""

    STANDBY = 'standby'
    CLAIMING = 'claiming'
    SERVING = 'serving'
    RELEASING = 'releasing'


class LeadState(enum.Enum):
    """State of a VM's watch over one group (chart ``leadership``)."""

    FOLLOWING = 'following'
    SUSPECTING = 'suspecting'
    CLAIMING = 'claiming'
    FENCING = 'fencing'
    PROMOTING = 'promoting'


class VmState(enum.Enum):
    """State of a VM as another VM sees it (chart ``vm``)."""

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
