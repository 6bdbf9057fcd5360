"""States, outcomes and kinds, each a closed enumeration."""

from __future__ import annotations

import enum

__all__ = [
    'Access',
    'Begins',
    'BlockState',
    'ConnState',
    'DaemonState',
    'Ended',
    'EntryState',
    'FeedState',
    'ForwardedState',
    'GateState',
    'HandoverState',
    'LeadRowState',
    'LeadState',
    'LinkEnd',
    'MoveReason',
    'Nearness',
    'NodeLife',
    'Op',
    'Outcome',
    'PoolSessionState',
    'PromoteResult',
    'Refusal',
    'RequestState',
    'Role',
    'SessionState',
    'ShapeKind',
    'StatementKind',
    'StoreView',
    'Verb',
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


class Access(enum.Enum):
    """How fresh a route's reads must be, and where they may run."""

    PRIMARY = 'primary'
    BOUNDED = 'bounded'
    OWN_WRITES = 'own_writes'


class Verb(enum.Enum):
    """What a pooled statement asks for."""

    BEGIN = 'begin'
    BEGIN_READ_ONLY = 'begin_read_only'
    COMMIT = 'commit'
    ROLLBACK = 'rollback'
    READ = 'read'
    WRITE = 'write'
    SET = 'set'
    PREPARE = 'prepare'
    EXECUTE = 'execute'
    DEALLOCATE = 'deallocate'


class ShapeKind(enum.Enum):
    """What a prepared statement does."""

    READ = 'read'
    WRITE = 'write'


class Begins(enum.Enum):
    """Kind of the transaction that a piece of work begins."""

    READ_ONLY = 'read_only'
    READ_WRITE = 'read_write'


class BlockState(enum.Enum):
    """Where a session stands with its transaction."""

    IDLE = 'idle'
    OPEN = 'open'
    FAILED = 'failed'


class Refusal(enum.Enum):
    """Why a statement has no successful answer."""

    BUSY = 'busy'
    ABORTED = 'aborted'
    NOT_FRESH = 'not_fresh'
    READ_ONLY = 'read_only'
    WRONG_INSTANCE = 'wrong_instance'
    TOO_MANY_CONNECTIONS = 'too_many_connections'
    FAILED = 'failed'
    TIMEOUT = 'timeout'
    UNKNOWN = 'unknown'
    NO_DATABASE = 'no_database'
    NOT_PREPARED = 'not_prepared'
    MALFORMED = 'malformed'
    TOO_LARGE = 'too_large'


class Op(enum.Enum):
    """Command that a lane sends on an instance's connection."""

    RUN = 'run'
    BEGIN = 'begin'
    BEGIN_READ_ONLY = 'begin_read_only'
    ROLLBACK = 'rollback'
    SET = 'set'
    RESET = 'reset'
    PREPARE = 'prepare'
    STATUS = 'status'
    DEMOTE = 'demote'


class LinkEnd(enum.Enum):
    """Why a connection to an instance has ended."""

    LOST = 'lost'
    REFUSED = 'refused'
    SILENT = 'silent'
    WRONG_INSTANCE = 'wrong_instance'
    TOO_MANY = 'too_many'
    GARBLED = 'garbled'


class Ended(enum.Enum):
    """How a piece of work ended at its instance."""

    ANSWERED = 'answered'
    NOT_STARTED = 'not_started'
    NOT_RUN = 'not_run'
    LOST = 'lost'
    OVERTIME = 'overtime'


class PoolSessionState(enum.Enum):
    """State of a pooled session (chart ``pool_session``)."""

    IDLE = 'idle'
    RUNNING = 'running'
    BEGUN = 'begun'
    STARTING = 'starting'
    OPEN = 'open'
    BUSY = 'busy'
    FAILED = 'failed'
    CLOSED = 'closed'


class ForwardedState(enum.Enum):
    """State of work that another VM runs (chart ``forwarded``)."""

    AWAY = 'away'
    SETTLED = 'settled'


class NodeLife(enum.Enum):
    """Where an entry VM stands, as its row says.

    One that has left is not waited for by changes of primaries.
    """

    SERVING = 'serving'
    LEAVING = 'leaving'
    LEFT = 'left'


class LeadRowState(enum.Enum):
    """Whether a group's primary may be used."""

    OPEN = 'open'
    CLOSING = 'closing'


class HandoverState(enum.Enum):
    """Step of a change of primary (chart ``handover``)."""

    IDLE = 'idle'
    CLAIMING = 'claiming'
    FENCING = 'fencing'
    CATCHING_UP = 'catching_up'
    CHOOSING = 'choosing'
    PROMOTING = 'promoting'
    CONFIRMING = 'confirming'
    OPENING = 'opening'


class PromoteResult(enum.Enum):
    """What the platform said to a promotion."""

    DONE = 'done'
    REFUSED = 'refused'
    UNKNOWN = 'unknown'
    NOT_REACHED = 'not_reached'


class EntryState(enum.Enum):
    """Life of an entry process (chart ``entry``)."""

    STARTING = 'starting'
    SERVING = 'serving'
    LEAVING = 'leaving'
    STOPPED = 'stopped'


class FeedState(enum.Enum):
    """What a feed of a table does (chart ``feed``)."""

    READING = 'reading'
    FOLLOWING = 'following'
    MISSING = 'missing'


class StoreView(enum.Enum):
    """What a view of the store is of."""

    LEADS = 'leads'
    INSTANCES = 'instances'
    NODES = 'nodes'
    CONFIG = 'config'


class Nearness(enum.Enum):
    """How near two availability zones are."""

    SAME_ZONE = 'same_zone'
    SAME_REGION = 'same_region'
    OTHER_REGION = 'other_region'
