"""Enumerations of states, outcomes and kinds.

Each state of a chart is a member of the enumeration that the chart file
names; the member's value is the state's name in the file.
"""

from __future__ import annotations

import enum

__all__ = [
    'AllowanceOutcome',
    'ReadAccess',
    'TransactionKind',
    'TransactionStatus',
    'CallerLimit',
    'ConnState',
    'DaemonState',
    'DrainStage',
    'Completion',
    'EntryProcessState',
    'FeedState',
    'ForwardedState',
    'GateState',
    'HandoverState',
    'LeaderRowState',
    'LimitFollowerState',
    'GroupMonitorState',
    'LinkCloseReason',
    'LoadPolicy',
    'MoveReason',
    'ExchangeRole',
    'ZoneDistance',
    'EntryVmStatus',
    'Op',
    'Outcome',
    'PoolSessionState',
    'PromoteResult',
    'Refusal',
    'RequestState',
    'Role',
    'SessionState',
    'Standing',
    'PreparedQueryKind',
    'StatementKind',
    'StoreView',
    'Verb',
    'VmState',
]


class LoadPolicy(enum.Enum):
    """How a VM loads the instances.

    PLAIN: as far as connections allow.  PACED: as far as the instance's
    answers show that it can run the work, and fair between teams.
    """

    PLAIN = 'plain'
    PACED = 'paced'


class Standing(enum.Enum):
    """Standing of an instance for reads (chart ``standing``).

    EJECTED: it gets none while others can serve them.  TRIAL: a few reads
    try it.
    """

    SERVING = 'serving'
    EJECTED = 'ejected'
    TRIAL = 'trial'


class Outcome(enum.Enum):
    """Outcome of a request, as far as it can be proved.

    DONE: it was run.  NOT_RUN: it was certainly not run.  UNKNOWN: it
    may have been run.
    """

    DONE = 'done'
    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'


class Role(enum.Enum):
    """Role of an instance in its database group."""

    PRIMARY = 'primary'
    REPLICA = 'replica'


class StatementKind(enum.Enum):
    """Kind of a statement, as routing distinguishes them.

    SESSION statements change the state of a session; LOCAL ones are
    answered without an instance.
    """

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
    """Why a gate did not run a request, which has then had no effect."""

    NOT_GATE = 'not_gate'
    NOT_PRIMARY = 'not_primary'
    NO_PRIMARY = 'no_primary'
    NOT_FRESH = 'not_fresh'
    LEAVING = 'leaving'
    DOWN = 'down'
    BUSY = 'busy'


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


class ReadAccess(enum.Enum):
    """Consistency of a route's reads, and where they may run.

    PRIMARY: reads run at the primary only.  BOUNDED and OWN_WRITES:
    reads also run at a replica that is within the route's maximum
    staleness and has the session's own writes.
    """

    PRIMARY = 'primary'
    BOUNDED = 'bounded'
    OWN_WRITES = 'own_writes'


class Verb(enum.Enum):
    """Verb of a statement of a pooled session."""

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


class PreparedQueryKind(enum.Enum):
    """Whether a prepared statement reads or writes."""

    READ = 'read'
    WRITE = 'write'


class TransactionKind(enum.Enum):
    """Kind of the transaction that a piece of work begins."""

    READ_ONLY = 'read_only'
    READ_WRITE = 'read_write'


class TransactionStatus(enum.Enum):
    """State of the transaction of a pooled session.

    IDLE: no transaction.  OPEN: in a transaction.  FAILED: in a
    transaction that can only be rolled back.
    """

    IDLE = 'idle'
    OPEN = 'open'
    FAILED = 'failed'


class Refusal(enum.Enum):
    """Why a statement or a connection of a pooled session failed.

    NOT_FRESH: the replica lacks a log position that the statement needs.
    UNKNOWN: the statement may have been run.  OVER_LIMIT: its team sends more
    than its limit allows.  UNKNOWN_KEY: no team has the caller's key.
    """

    BUSY = 'busy'
    OVER_LIMIT = 'over_limit'
    UNKNOWN_KEY = 'unknown_key'
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


class CallerLimit(enum.Enum):
    """Limit that a caller has exceeded.

    OWN_BYTES and ALL_BYTES: what is held for the caller, and for all of them.
    MESSAGE_TIME: a message did not end in time.  ANSWER_TIME: an answer was
    not taken in time.
    """

    OWN_BYTES = 'own_bytes'
    ALL_BYTES = 'all_bytes'
    MESSAGE_TIME = 'message_time'
    ANSWER_TIME = 'answer_time'


class Op(enum.Enum):
    """Command that is sent on a connection to an instance."""

    RUN = 'run'
    BEGIN = 'begin'
    BEGIN_READ_ONLY = 'begin_read_only'
    ROLLBACK = 'rollback'
    SET = 'set'
    RESET = 'reset'
    PREPARE = 'prepare'
    STATUS = 'status'
    DEMOTE = 'demote'


class LinkCloseReason(enum.Enum):
    """Why a connection to an instance has ended.

    REFUSED: it was not accepted.  SILENT: it was not accepted in time.
    WRONG_INSTANCE: another instance answered at the address.  TOO_MANY:
    the instance has as many connections as it accepts.  GARBLED: a reply
    could not be decoded.
    """

    LOST = 'lost'
    REFUSED = 'refused'
    TIMED_OUT = 'silent'
    WRONG_INSTANCE = 'wrong_instance'
    TOO_MANY_CONNECTIONS = 'too_many'
    MALFORMED_REPLY = 'garbled'


class Completion(enum.Enum):
    """How a piece of work ended at its instance.

    ANSWERED: the instance replied to the statement.  NOT_STARTED: the
    work was not sent.  NOT_RUN: the instance refused to begin the
    transaction.  LOST: no reply can come any more, for instance because
    the connection ended; the statement may have been run if it was sent.
    OVERTIME: its timeout expired.
    """

    ANSWERED = 'answered'
    NOT_STARTED = 'not_started'
    NOT_RUN = 'not_run'
    CONNECTION_LOST = 'lost'
    TIMED_OUT = 'overtime'


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


class AllowanceOutcome(enum.Enum):
    """Whether an operation of a team with a limit may start.

    OVER_LIMIT: not within the time for which it can wait.  UNANSWERED: no
    keeper of the limit could tell within that time.
    """

    GRANTED = 'granted'
    OVER_LIMIT = 'over_limit'
    UNANSWERED = 'unanswered'


class LimitFollowerState(enum.Enum):
    """State of a VM towards the keepers of a slot (chart ``limit_follower``).

    LEAVING: a keeper may still count it.  FREE: none counts it.  FOLLOWING:
    one keeper may count it.
    """

    LEAVING = 'leaving'
    FREE = 'free'
    FOLLOWING = 'following'


class EntryVmStatus(enum.Enum):
    """Status of an entry VM, as its row in the store records it.

    LEAVING: it is about to stop.  LEFT: it uses no primary any more, so
    that changes of primaries don't wait for it.
    """

    SERVING = 'serving'
    LEAVING = 'leaving'
    LEFT = 'left'


class LeaderRowState(enum.Enum):
    """Whether a group's primary may be used.

    OPEN: it may be used.  CLOSING: it is being replaced, so that VMs
    must stop using it.
    """

    OPEN = 'open'
    CLOSING = 'closing'


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


class PromoteResult(enum.Enum):
    """The platform's reply to a promotion.

    UNKNOWN: the promotion may have been done.  NOT_REACHED: the order
    did not reach the platform.
    """

    DONE = 'done'
    REFUSED = 'refused'
    UNKNOWN = 'unknown'
    NOT_REACHED = 'not_reached'


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


class DrainStage(enum.Enum):
    """What the tasks of an entry process do with work while it shuts down.

    CLOSING: idle sessions are closed, and work that begins is refused.
    ENDING: open transactions may only commit.  ANSWERING: all work is ended.
    """

    CLOSING = 'closing'
    ENDING = 'ending'
    ANSWERING = 'answering'


class FeedState(enum.Enum):
    """State of a feed, which reads a table of the store (chart ``feed``).

    READING: it reads the whole table.  FOLLOWING: it polls the store for
    changes.  MISSING: the last poll failed.
    """

    READING = 'reading'
    FOLLOWING = 'following'
    POLL_FAILED = 'missing'


class StoreView(enum.Enum):
    """Kind of rows of which VMs keep a view (a copy of the store's)."""

    LEADERS = 'leads'
    INSTANCES = 'instances'
    ENTRY_VMS = 'nodes'
    CONFIG = 'config'


class ExchangeRole(enum.Enum):
    """Part of a VM in the exchange of pings with its peers.

    Meshed VMs ping all others.  A member pings the relays of its zone, a
    relay its members and the relays of other zones.
    """

    MESHED = 'meshed'
    MEMBER = 'member'
    RELAY = 'relay'


class ZoneDistance(enum.Enum):
    """Distance between two availability zones."""

    SAME_ZONE = 'same_zone'
    SAME_REGION = 'same_region'
    OTHER_REGION = 'other_region'
