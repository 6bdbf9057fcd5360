"""Catalogue of metrics: every metric has a kind, a unit and a meaning."""

from __future__ import annotations

import enum

__all__ = ['Metric', 'MetricKind']


class MetricKind(enum.Enum):
    """How the values of a metric are aggregated."""

    COUNTER = 'counter'
    HISTOGRAM = 'histogram'
    GAUGE = 'gauge'


class Metric(enum.Enum):
    """Metric: its kind, unit, label names and description."""

    def __init__(
        self,
        kind: MetricKind,
        unit: str,
        labels: tuple[str, ...],
        meaning: str,
    ) -> None:
        self.kind = kind
        self.unit = unit
        self.labels = labels
        self.meaning = meaning

    @property
    def full_name(self) -> str:
        """Return the name under which the metric is exported."""
        return f'chicoryusher.{self.name.lower()}'

    STATEMENT = (
        MetricKind.HISTOGRAM,
        's',
        ('access', 'outcome', 'role'),
        'from a statement to its answer, by route and by who ran it',
    )
    TEAM_REFUSED = (
        MetricKind.COUNTER,
        '1',
        ('team', 'refusal'),
        'statements of a team that ended without success',
    )
    RUN = (
        MetricKind.HISTOGRAM,
        's',
        ('instance', 'ended'),
        'from the first byte of work for an instance to its end there',
    )
    QUEUE = (
        MetricKind.HISTOGRAM,
        's',
        ('instance',),
        'wait of work for a connection to an instance',
    )
    RETRIES = (
        MetricKind.COUNTER,
        '1',
        ('why',),
        'statements that were offered to an instance again',
    )
    FORWARDED = (
        MetricKind.COUNTER,
        '1',
        ('instance',),
        'statements that were sent to an instance through another VM',
    )
    RELAYED = (
        MetricKind.COUNTER,
        '1',
        ('instance',),
        'statements of other VMs that were given to an instance',
    )
    CONNECTIONS = (
        MetricKind.GAUGE,
        '1',
        ('instance',),
        'connections to an instance that are open or being opened',
    )
    CONNECTIONS_OPENED = (
        MetricKind.COUNTER,
        '1',
        ('instance',),
        'connections to an instance that were begun',
    )
    ALLOWANCE = (
        MetricKind.HISTOGRAM,
        's',
        ('outcome',),
        "wait of an operation for its part of its team's limit",
    )
    TEAM_WAIT = (
        MetricKind.HISTOGRAM,
        's',
        ('team',),
        'that wait by team, its sum and count only',
    )
    LIMIT_FOLLOWERS = (
        MetricKind.GAUGE,
        '1',
        ('slot',),
        "VMs whose share of the teams' limits this VM keeps",
    )
    PACE = (
        MetricKind.GAUGE,
        '1',
        ('instance',),
        'statements that this VM runs at an instance at once, at most',
    )
    GIVEN_BACK = (
        MetricKind.COUNTER,
        '1',
        ('instance',),
        'statements that could not have started in time and were given back',
    )
    EJECTED = (
        MetricKind.GAUGE,
        '1',
        ('instance',),
        'whether this VM sends an instance no first tries of reads',
    )
    SESSIONS = (MetricKind.GAUGE, '1', (), 'open sessions of callers')
    AUTHORITY_LEFT = (
        MetricKind.GAUGE,
        's',
        (),
        'time for which primaries may still be used; below 0: not any more',
    )
    HELD_BYTES = (
        MetricKind.GAUGE,
        'By',
        (),
        'bytes that are held for callers',
    )
    CALLERS_CLOSED = (
        MetricKind.COUNTER,
        '1',
        ('limit',),
        'connections of callers that were closed because of a limit',
    )
    STATEMENTS_WITHOUT_ROOM = (
        MetricKind.COUNTER,
        '1',
        ('place',),
        'statements that were refused because too much is held for callers',
    )
    POSITION_AGE = (
        MetricKind.GAUGE,
        's',
        ('service',),
        'age of the newest proved position of a primary',
    )
    CONFIG_VERSION = (
        MetricKind.GAUGE,
        '1',
        (),
        'version of the configuration in force',
    )
    LIVE_VMS = (
        MetricKind.GAUGE,
        '1',
        (),
        'entry VMs that answer, with this one',
    )
    PRIMARY_CHANGES = (
        MetricKind.COUNTER,
        '1',
        ('service', 'step'),
        'steps of changes of primaries that this VM holds',
    )
    EVIDENCE = (
        MetricKind.COUNTER,
        '1',
        ('service', 'outcome'),
        'answers of primaries without a lease, by evidence of instances',
    )
    STORE_CALLS = (
        MetricKind.COUNTER,
        '1',
        ('table', 'status'),
        "calls of the platform's store, by its answer",
    )
    LOG_DROPPED = (
        MetricKind.GAUGE,
        '1',
        (),
        'log lines that were dropped since the start',
    )
