"""Catalogue of log events: every event has a number and a level.

The thousands of a number stand for a part of the system: 1 daemon,
2 callers, 3 gates and connections, 4 groups and failover, 5 platform and
configuration, 6 membership and peers, 7 operators.
"""

from __future__ import annotations

import enum

__all__ = ['SAMPLED_EVENTS', 'LogEvent', 'LogLevel']


class LogLevel(enum.Enum):
    """Severity of a log event."""

    DEBUG = 'debug'
    INFO = 'info'
    WARNING = 'warning'
    ERROR = 'error'


class LogEvent(enum.Enum):
    """Log event: its number, its level and its message text."""

    def __init__(self, number: int, level: LogLevel, meaning: str) -> None:
        self.number = number
        self.level = level
        self.meaning = meaning

    DAEMON_RUNNING = (1001, LogLevel.INFO, 'the daemon is running')
    DAEMON_DRAINING = (
        1002,
        LogLevel.INFO,
        'the daemon is draining and accepts no new work',
    )
    DAEMON_STOPPED = (1003, LogLevel.INFO, 'the daemon has stopped')
    DRAIN_TIMED_OUT = (
        1004,
        LogLevel.WARNING,
        'the drain timed out before all work had finished',
    )
    SETTINGS_BAD = (1005, LogLevel.ERROR, 'a settings file is not valid')
    TASK_FAILED = (
        1006,
        LogLevel.ERROR,
        'a task failed to handle a message and continues',
    )
    NO_SUCH_TASK = (
        1007,
        LogLevel.WARNING,
        'a message was sent to a task that does not exist',
    )
    CHART_BAD = (1008, LogLevel.ERROR, 'a state chart file is not valid')
    CANNOT_LISTEN = (
        1009,
        LogLevel.ERROR,
        'an address to listen on cannot be used',
    )
    ENTRY_SERVING = (
        1010,
        LogLevel.INFO,
        'configuration, instances and leader rows were read; serving callers',
    )
    ACCEPT_PAUSED = (
        1011,
        LogLevel.ERROR,
        'no connection can be accepted for lack of descriptors or memory',
    )
    ACCEPT_RESUMED = (
        1012,
        LogLevel.INFO,
        'connections are accepted again',
    )
    CALLER_OPENED = (2001, LogLevel.DEBUG, 'a caller has authenticated')
    CALLER_CLOSED = (2002, LogLevel.DEBUG, 'a caller has disconnected')
    CALLER_REFUSED = (2003, LogLevel.WARNING, 'a caller was refused')
    PACKET_BAD = (2004, LogLevel.WARNING, 'a caller violated the protocol')
    PACKET_OVERSIZE = (
        2005,
        LogLevel.WARNING,
        'a caller sent a packet over the size limit',
    )
    KEY_UNKNOWN = (
        2009,
        LogLevel.INFO,
        "a session was refused because no team has the caller's key",
    )
    DATABASE_UNKNOWN = (
        2006,
        LogLevel.WARNING,
        'a caller named an unknown database',
    )
    HANDSHAKE_TIMED_OUT = (
        2007,
        LogLevel.WARNING,
        'a caller did not finish its handshake in time',
    )
    TOKEN_BAD = (2008, LogLevel.WARNING, 'a session token was refused')
    CALLER_OVER_LIMIT = (
        2010,
        LogLevel.WARNING,
        "a caller's connection was closed because of a limit",
    )
    NO_ROOM = (
        2011,
        LogLevel.WARNING,
        'a statement was refused: too much is held for callers',
    )
    CONN_OPENED = (3001, LogLevel.DEBUG, 'a backend connection is ready')
    CONN_LOST = (3002, LogLevel.WARNING, 'a backend connection was lost')
    CONN_REFUSED = (
        3003,
        LogLevel.WARNING,
        'an instance refused a connection',
    )
    GATE_SERVING = (
        3004,
        LogLevel.INFO,
        'this VM has become the gate of an instance',
    )
    GATE_RELEASED = (
        3005,
        LogLevel.INFO,
        'this VM is no longer the gate of an instance',
    )
    GATE_LOST = (
        3006,
        LogLevel.WARNING,
        'the gate lock was lost with its connection',
    )
    REQUEST_UNKNOWN = (
        3007,
        LogLevel.WARNING,
        'a request ended with an unknown outcome',
    )
    REQUEST_NOT_ADMITTED = (
        3008,
        LogLevel.DEBUG,
        'a request was not admitted to the queue of a gate',
    )
    STATEMENT_TIMED_OUT = (
        3009,
        LogLevel.WARNING,
        'a statement was stopped at its deadline',
    )
    STATEMENT_REFUSED = (
        3010,
        LogLevel.INFO,
        'a statement was answered with an error',
    )
    STATEMENT_SENT = (
        3011,
        LogLevel.INFO,
        'a statement was sent to the pool of an instance',
    )
    STATEMENT_RETRIED = (
        3012,
        LogLevel.INFO,
        'a statement has not been run yet and will be retried',
    )
    ANSWER_PROVED = (
        3030,
        LogLevel.INFO,
        'instances gave evidence for an answer of the primary',
    )
    ANSWER_NOT_PROVED = (
        3031,
        LogLevel.INFO,
        'instances gave no evidence for an answer of the primary',
    )
    STATEMENT_RELAYED = (
        3013,
        LogLevel.INFO,
        "another VM's statement was sent to the pool of an instance",
    )
    OPERATION_OVER_LIMIT = (
        3014,
        LogLevel.INFO,
        "an operation got no part of its team's limit in time",
    )
    PRIMARY_UNRESPONSIVE = (
        4001,
        LogLevel.WARNING,
        'a primary does not respond',
    )
    PRIMARY_RESPONDED = (
        4002,
        LogLevel.INFO,
        'a suspected primary has responded',
    )
    TERM_CLAIMED = (4003, LogLevel.WARNING, 'this VM claims a new term')
    TERM_LOST = (4004, LogLevel.INFO, 'another VM has the term')
    TERM_TABLE_UNRESPONSIVE = (
        4005,
        LogLevel.WARNING,
        "the platform's table does not respond; the term is claimed by "
        'fencing a majority alone',
    )
    PRIMARY_PROMOTED = (4006, LogLevel.WARNING, 'an instance was promoted')
    FENCE_REFUSED = (
        4007,
        LogLevel.WARNING,
        'no majority of instances accepted the fence',
    )
    INSTANCE_LEAVING = (
        4008,
        LogLevel.INFO,
        'an instance is leaving and gets no new work',
    )
    INSTANCE_UNREACHABLE = (
        4009,
        LogLevel.WARNING,
        'an instance could not be reached',
    )
    HANDOVER_STEP = (
        4010,
        LogLevel.WARNING,
        'a step in a change of primary',
    )
    HANDOVER_LACKS_EVIDENCE = (
        4017,
        LogLevel.WARNING,
        'a change of primary waits for the logs of instances',
    )
    HANDOVER_WAITS_FOR_EVIDENCE = (
        4030,
        LogLevel.WARNING,
        'a change of primary waits: a VM may not know the new instance',
    )
    PRIMARY_JUDGED_BY_FEW = (
        4031,
        LogLevel.WARNING,
        'a primary is judged unreachable without the judges that are silent',
    )
    HANDOVER_WAITS = (
        4016,
        LogLevel.WARNING,
        'a change of primary waits for VMs that may not know this VM',
    )
    PRIMARY_STOPPED = (
        4011,
        LogLevel.WARNING,
        'this VM stopped using a primary',
    )
    PRIMARY_IN_USE = (
        4012,
        LogLevel.INFO,
        'the primary that this VM uses has changed',
    )
    INSTANCES_CHANGED = (
        4013,
        LogLevel.INFO,
        'the instances of a group have changed',
    )
    LEASE_EXPIRED = (
        4014,
        LogLevel.WARNING,
        'the primary lease has expired: no recent view of the leader rows',
    )
    LEASE_REGAINED = (
        4015,
        LogLevel.INFO,
        'the primary lease was regained; primaries may be used',
    )
    PACE_RESTARTED = (
        4021,
        LogLevel.INFO,
        'an instance is loaded slowly at first',
    )
    INSTANCE_EJECTED = (
        4022,
        LogLevel.WARNING,
        'an instance fails or is slow, and gets few reads',
    )
    INSTANCE_READMITTED = (
        4023,
        LogLevel.INFO,
        'an instance that was ejected gets reads as before',
    )
    OWNER_SILENT = (
        4040,
        LogLevel.WARNING,
        'a connection owner does not respond, and gets no work of this VM',
    )
    OWNER_RESPONDS = (
        4041,
        LogLevel.INFO,
        'a connection owner responds again',
    )
    PLATFORM_UNRESPONSIVE = (
        5001,
        LogLevel.WARNING,
        'the platform does not respond',
    )
    PLATFORM_RESPONDED = (5002, LogLevel.INFO, 'the platform responds again')
    CONFIG_APPLIED = (5003, LogLevel.INFO, 'a configuration was applied')
    CONFIG_STALE = (
        5004,
        LogLevel.INFO,
        'an older configuration was read and ignored',
    )
    CONFIG_BAD = (5005, LogLevel.ERROR, 'a configuration is not valid')
    CONFIG_ACCEPTED = (5006, LogLevel.INFO, 'a configuration was accepted')
    CONFIG_CONFLICT = (
        5007,
        LogLevel.WARNING,
        'a configuration was refused: another change came first',
    )
    AUDIT_FAILED = (
        5008,
        LogLevel.ERROR,
        'an audit record could not be written',
    )
    ROW_BAD = (
        5009,
        LogLevel.WARNING,
        'a row of the store is not valid and was ignored',
    )
    SETTINGS_READ = (5010, LogLevel.INFO, 'the settings file was read')
    STORE_RESTORED = (
        5011,
        LogLevel.WARNING,
        'the store has come back from an older copy',
    )
    STORE_ERA_BAD = (
        5012,
        LogLevel.WARNING,
        'the era that the store names is not valid and was ignored',
    )
    CONFIG_UNPROVED = (
        5020,
        LogLevel.WARNING,
        'the configuration may be outdated; work of teams is refused',
    )
    CONFIG_PROVED = (
        5021,
        LogLevel.INFO,
        'the configuration is known to be the newest again',
    )
    PEER_CONNECTED = (6001, LogLevel.INFO, 'a peer stream opened')
    PEER_LOST = (6002, LogLevel.WARNING, 'a peer stream closed')
    PEER_FRAME_BAD = (
        6003,
        LogLevel.WARNING,
        'a peer sent a frame that is not valid',
    )
    PEER_REFUSED = (6004, LogLevel.WARNING, 'a peer failed to authenticate')
    VM_STATE = (6005, LogLevel.INFO, 'the state of another VM has changed')
    LIMIT_KEEPER_CHOSEN = (
        6006,
        LogLevel.INFO,
        "this VM follows another keeper of teams' limits",
    )
    PEER_SLOW = (
        6007,
        LogLevel.WARNING,
        'a peer stream was closed: the peer does not take its messages',
    )
    ADMIN_CALL = (7001, LogLevel.INFO, 'an operator sent an admin request')
    ADMIN_REFUSED = (7002, LogLevel.WARNING, 'an admin request was refused')


# Numbers of events of which only a sample is logged under load.  They
# report single statements that may still succeed; events about refused
# statements are not sampled.
SAMPLED_EVENTS = frozenset(
    event.number
    for event in (
        LogEvent.STATEMENT_SENT,
        LogEvent.STATEMENT_RETRIED,
        LogEvent.STATEMENT_RELAYED,
        LogEvent.ANSWER_PROVED,
    )
)
