"""Exception tree: one type for every failure.

Each type has a ``code`` (MySQL error number sent to a caller) and a
``sqlstate`` (five characters).  Numbers from 29000 are the project's own.
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
    'MalformedPacket',
    'NotRunError',
    'OversizePacket',
    'PlatformError',
    'PlatformRefused',
    'PlatformUnavailable',
    'PlatformUnknown',
    'ProtocolError',
    'SettingsError',
    'StatementUnsupported',
    'TokenError',
    'TooManyCallers',
    'TransactionLost',
    'UnknownDatabase',
    'UnknownOutcomeError',
]


class ChicoryusherError(Exception):
    """Root of every failure this project raises."""


class ChartError(ChicoryusherError):
    """A state chart file is not valid."""

    def __init__(self, chart: str, problems: tuple[ChartProblem, ...]) -> None:
        super().__init__(
            f'chart {chart}: ' + '; '.join(str(one) for one in problems)
        )
        self.chart = chart
        self.problems = problems


class ChartProblem(ChicoryusherError):
    """One defect of a chart file, with the place it was found."""

    def __init__(self, where: str, what: str) -> None:
        super().__init__(f'{where}: {what}')
        self.where = where
        self.what = what


class ConfigError(ChicoryusherError):
    """One defect of a settings, register or rules file."""

    def __init__(self, path: str, what: str) -> None:
        super().__init__(f'{path}: {what}')
        self.path = path
        self.what = what


class SettingsError(ChicoryusherError):
    """A file has defects; all of them are in ``problems``."""

    def __init__(self, problems: tuple[ConfigError, ...]) -> None:
        super().__init__('; '.join(str(one) for one in problems))
        self.problems = problems


class ConfigConflict(ChicoryusherError):
    """Another operator's change was accepted first."""

    def __init__(self, expected: int, found: int) -> None:
        super().__init__(f'expected version {expected}, found {found}')
        self.expected = expected
        self.found = found


class AdminError(ChicoryusherError):
    """A daemon's admin address refused or failed a call."""

    def __init__(self, status: int, detail: str) -> None:
        super().__init__(f'{status}: {detail}')
        self.status = status
        self.detail = detail


class PlatformError(ChicoryusherError):
    """Root of failures of the platform's services."""


class PlatformUnavailable(PlatformError):
    """The service was not reached: the call had no effect."""


class PlatformUnknown(PlatformError):
    """The answer was lost: the call may have had its effect."""


class PlatformRefused(PlatformError):
    """The service answered that it did not do it."""


class FrameError(ChicoryusherError):
    """A peer stream carried a malformed or oversize frame."""


class CallerError(ChicoryusherError):
    """Root of failures that a caller is told about."""

    code: ClassVar[int] = 1105
    sqlstate: ClassVar[str] = 'HY000'


class ProtocolError(CallerError):
    """A caller broke the wire protocol."""

    code = 1047
    sqlstate = '08S01'


class MalformedPacket(ProtocolError):
    """A packet could not be decoded."""

    code = 1835


class OversizePacket(ProtocolError):
    """A packet is longer than the configured bound."""

    code = 1153


class AuthError(CallerError):
    """Credentials are missing or wrong."""

    code = 1045
    sqlstate = '28000'


class TooManyCallers(CallerError):
    """The daemon's bound on caller connections is reached."""

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
    """The request was not run, and that is certain."""

    code = 29001
    sqlstate = '40001'

    def __init__(self, reason: str, retry_after: float = 0.0) -> None:
        super().__init__(f'NOT_RUN: {reason}; retry_after={retry_after:.3f}s')
        self.reason = reason
        self.retry_after = retry_after


class UnknownOutcomeError(CallerError):
    """The request may have been run; nothing proves either."""

    code = 29002
    sqlstate = '08007'

    def __init__(self, reason: str) -> None:
        super().__init__(f'UNKNOWN: {reason}')
        self.reason = reason


class TransactionLost(CallerError):
    """The open transaction ended at the instance without commit."""

    code = 29004
    sqlstate = '40003'


class DrainingError(CallerError):
    """The daemon is draining and takes no new session."""

    code = 1053
    sqlstate = '08S01'
