"""Enumerations of outcomes, kinds and reasons, and of states of charts."""

from __future__ import annotations

import enum

from chicoryusher.core.chart_states import ConnState
from chicoryusher.core.chart_states import DaemonState
from chicoryusher.core.chart_states import EntryProcessState
from chicoryusher.core.chart_states import FeedState
from chicoryusher.core.chart_states import ForwardedState
from chicoryusher.core.chart_states import GateState
from chicoryusher.core.chart_states import GroupMonitorState
from chicoryusher.core.chart_states import HandoverState
from chicoryusher.core.chart_states import LimitFollowerState
from chicoryusher.core.chart_states import PoolSessionState
from chicoryusher.core.chart_states import RequestState
from chicoryusher.core.chart_states import SessionState
from chicoryusher.core.chart_states import Standing
from chicoryusher.core.chart_states import VmState

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


class AllowanceOutcome(enum.Enum):
    """Whether an operation of a team with a limit may start.

    OVER_LIMIT: not within the time for which it can wait.  UNANSWERED: no
    keeper of the limit could tell within that time.
    """

    GRANTED = 'granted'
    OVER_LIMIT = 'over_limit'
    UNANSWERED = 'unanswered'


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


class PromoteResult(enum.Enum):
    """The platform's reply to a promotion.

    UNKNOWN: the promotion may have been done.  NOT_REACHED: the order
    did not reach the platform.
    """

    DONE = 'done'
    REFUSED = 'refused'
    UNKNOWN = 'unknown'
    NOT_REACHED = 'not_reached'


class DrainStage(enum.Enum):
    """What the tasks of an entry process do with work while it shuts down.

    CLOSING: idle sessions are closed, and work that begins is refused.
    ENDING: open transactions may only commit.  ANSWERING: all work is ended.
    """

    CLOSING = 'closing'
    ENDING = 'ending'
    ANSWERING = 'answering'


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
