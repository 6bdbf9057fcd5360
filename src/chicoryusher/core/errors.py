"""Exception classes of the project.

A failure that is reported to a caller is a ``CallerError``, which has a
``code`` (the MySQL error number sent to the caller) and a ``sqlstate``
(five characters).  Numbers from 29000 are the project's own.
"""

from __future__ import annotations

from typing import ClassVar

__all__ = [
    'AdminError',
    'AuthError',
    'CallerError',
    'ChartError',
    'ChartProblem',
    'ChicoryusherError',
    'ConfigConflict',
    'ConfigError',
    'DrainingError',
    'FrameError',
    'JsonError',
    'MalformedPacket',
    'NoTeam',
    'NotRunError',
    'OverLimit',
    'OversizePacket',
    'PlatformError',
    'PlatformRefused',
    'PlatformUnavailable',
    'PlatformUnknown',
    'ProtocolError',
    'RevisionOutOfRange',
    'SettingsError',
    'StatementUnsupported',
    'TokenError',
    'TooManyCallers',
    'TransactionLost',
    'UnknownDatabase',
    'UnknownOutcomeError',
]


class ChicoryusherError(Exception):
    """Base class of all exceptions of this project."""


class ChartError(ChicoryusherError):
    """A state chart file is not valid."""

    def __init__(self, chart: str, problems: tuple[ChartProblem, ...]) -> None:
        super().__init__(
            f'chart {chart}: '
            + '; '.join(str(problem) for problem in problems)
        )
        self.chart = chart
        self.problems = problems


class ChartProblem(ChicoryusherError):
    """Defect of a chart file, with its place in the file."""

    def __init__(self, where: str, what: str) -> None:
        super().__init__(f'{where}: {what}')
        self.location = where
        self.defect = what


class ConfigError(ChicoryusherError):
    """Defect of a settings, register or rules file."""

    def __init__(self, path: str, what: str) -> None:
        super().__init__(f'{path}: {what}')
        self.path = path
        self.defect = what


class SettingsError(ChicoryusherError):
    """A settings, register or rules file is not valid.

    ``problems`` lists all defects of the file.
    """

    def __init__(self, problems: tuple[ConfigError, ...]) -> None:
        super().__init__('; '.join(str(problem) for problem in problems))
        self.problems = problems


class ConfigConflict(ChicoryusherError):
    """A configuration was changed by another operator in the meantime."""

    def __init__(self, expected: int, found: int) -> None:
        super().__init__(f'expected version {expected}, found {found}')
        self.expected = expected
        self.actual = found


class AdminError(ChicoryusherError):
    """A daemon's admin address answered a request with an error."""

    def __init__(self, status: int, detail: str) -> None:
        super().__init__(f'{status}: {detail}')
        self.status = status
        self.detail = detail


class PlatformError(ChicoryusherError):
    """Base class of failures of the platform's services."""


class PlatformUnavailable(PlatformError):
    """The service was not reached, so that the call had no effect."""


class PlatformUnknown(PlatformError):
    """The reply was lost, so that the call may have had its effect."""


class PlatformRefused(PlatformError):
    """The service replied that it refused the call."""


class RevisionOutOfRange(ChicoryusherError):
    """No revision holds this era of the store or this version."""

    def __init__(self, era: int, version: int) -> None:
        super().__init__(f'era {era}, version {version}')
        self.era = era
        self.version = version


class JsonError(ChicoryusherError):
    """Bytes are not a JSON document that can be decoded."""


class FrameError(ChicoryusherError):
    """A peer stream carried a malformed or oversize frame."""


class CallerError(ChicoryusherError):
    """Base class of failures that are reported to a caller."""

    code: ClassVar[int] = 1105
    sqlstate: ClassVar[str] = 'HY000'


class ProtocolError(CallerError):
    """A caller violated the wire protocol."""

    code = 1047
    sqlstate = '08S01'


class MalformedPacket(ProtocolError):
    """A packet could not be decoded."""

    code = 1835


class OversizePacket(ProtocolError):
    """A packet is longer than the configured maximum."""

    code = 1153


class AuthError(CallerError):
    """Credentials are missing or wrong."""

    code = 1045
    sqlstate = '28000'


class NoTeam(AuthError):
    """The user belongs to no team."""


class TooManyCallers(CallerError):
    """The daemon has its maximum number of caller connections."""

    code = 1040
    sqlstate = '08004'


class UnknownDatabase(CallerError):
    """The configuration has no database of that name."""

    code = 1049
    sqlstate = '42000'


class StatementUnsupported(CallerError):
    """The statement cannot be run through the proxy."""

    code = 1235
    sqlstate = '42000'


class TokenError(CallerError):
    """A session token is malformed or its signature is wrong."""

    code = 29003
    sqlstate = '22023'


class NotRunError(CallerError):
    """The request was certainly not run, so that it may be retried."""

    code = 29001
    sqlstate = '40001'

    def __init__(self, reason: str, retry_after: float = 0.0) -> None:
        super().__init__(f'NOT_RUN: {reason}; retry_after={retry_after:.3f}s')
        self.reason = reason
        self.retry_after = retry_after


class OverLimit(NotRunError):
    """The request was not run, since its team has used up its limit."""

    code = 29006
    sqlstate = '42000'


class UnknownOutcomeError(CallerError):
    """It could not be proved whether the request was run."""

    code = 29002
    sqlstate = '08007'

    def __init__(self, reason: str) -> None:
        super().__init__(f'UNKNOWN: {reason}')
        self.reason = reason


class TransactionLost(CallerError):
    """The instance ended the open transaction without a commit."""

    code = 29004
    sqlstate = '40003'


class DrainingError(CallerError):
    """The daemon is draining and accepts no new session."""

    code = 1053
    sqlstate = '08S01'
