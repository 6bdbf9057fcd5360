"""Checks of a configuration before it is put in force."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping
from typing import Any

from chicoryusher import core
from chicoryusher.decisions import register
from chicoryusher.decisions.config_checks import error_checks  # noqa: F401 - fills a registry
from chicoryusher.decisions.config_checks import findings
from chicoryusher.decisions.config_checks import limit_checks  # noqa: F401 - fills a registry
from chicoryusher.decisions.config_checks import match_checks  # noqa: F401 - fills a registry
from chicoryusher.decisions.config_checks import pool_checks  # noqa: F401 - fills a registry
from chicoryusher.decisions.config_checks.findings import *  # noqa: F403

__all__ = [
    *findings.__all__,
    'check_document',
    'check_pool_config',
    'register_errors',
]


def check_document(
    document: Any, logins: Mapping[str, str] | None = None
) -> tuple[findings.ConfigFinding, ...]:
    """Return all findings in a register document.

    With ``logins``, the callers of the settings' users, the names in the
    document are compared with these.
    """
    problems = register.schema_problems(document, register.REGISTER_SCHEMA)
    malformed = [problem.path for problem in problems]
    errors = (
        findings.ConfigFinding(
            findings.FindingKind.ERROR, problem.path, problem.defect
        )
        for problem in problems
    )
    return (*errors, *_check_register(document, malformed, logins))


def register_errors(document: Any) -> tuple[core.ConfigError, ...]:
    """Return all errors of a register document."""
    return tuple(
        core.ConfigError(finding.path, finding.text)
        for finding in check_document(document)
        if finding.kind is findings.FindingKind.ERROR
    )


def _check_register(
    document: Any,
    malformed: Iterable[str],
    logins: Mapping[str, str] | None,
) -> tuple[findings.ConfigFinding, ...]:
    """Return what the checks of the registry find.

    ``malformed`` are the paths that have not the right format; what depends
    on them is not checked.
    """
    paths = tuple(malformed)
    readable = {
        section
        for section in findings.Section
        if not any(_overlap(section.value, path) for path in paths)
    }
    entries = findings.RegisterDocument(document if readable else {}, logins)
    return tuple(
        finding
        for name in findings.REGISTER_CHECKS
        if readable.issuperset(findings.REGISTER_CHECKS.get(name).sections)
        for finding in findings.REGISTER_CHECKS.get(name).run(entries)
    )


def _overlap(section: str, path: str) -> bool:
    """Return whether a defect at a path may concern a section."""
    return path.startswith(section) or section.startswith(path)


def check_pool_config(
    config: core.PoolConfig,
) -> tuple[findings.ConfigFinding, ...]:
    """Return the findings in routes, database groups and teams."""
    return tuple(
        finding
        for name in findings.POOL_CHECKS
        for finding in findings.POOL_CHECKS.get(name).run(config)
    )
