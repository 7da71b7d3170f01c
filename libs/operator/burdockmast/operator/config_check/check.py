"""Checks a configuration with all rules, and compares it."""

import re

from burdockmast.operator.config_check import differences
from burdockmast.operator.config_check import errors
from burdockmast.operator.config_check import findings
from burdockmast.operator.config_check import limits
from burdockmast.operator.config_check import report
from burdockmast.operator.config_check import unreachable
from burdockmast.platform import configuration

_INDEX = re.compile(r'\[(\d+)\]')


def check(document: object) -> list[findings.Finding]:
    """Return all findings of a configuration, errors first."""
    found = errors.find(document)
    parts = errors.well_formed(document, found)
    found += unreachable.find(parts)
    found += limits.find(parts)
    return _in_order(found)


def compare(
    result: report.Result, document: object, against: str, before: dict
) -> report.Result:
    """Add the differences from another configuration to a result.

    :param document: that was checked
    :param against: name of the other configuration
    :param before: the other configuration, with all known keys
    """
    if not errors.is_readable(document):
        return report.Result(result.file, result.found, against)
    found_differences, found = differences.find(
        before, configuration.complete(document)
    )
    return report.Result(
        result.file,
        _in_order([*result.found, *found]),
        against,
        found_differences,
    )


def _in_order(found: list[findings.Finding]) -> list[findings.Finding]:
    """Return errors before warnings, each by location."""
    return sorted(
        found,
        key=lambda finding: (
            finding.severity is not findings.Severity.ERROR,
            _INDEX.sub(lambda m: f'[{int(m[1]):09}]', finding.location),
        ),
    )
