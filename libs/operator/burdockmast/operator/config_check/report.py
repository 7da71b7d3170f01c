"""Formats the result of a check for people and for programs."""

import dataclasses
import json

from burdockmast.operator.config_check import differences
from burdockmast.operator.config_check import findings


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """The result of a check.

    :ivar file: name of the configuration
    :ivar found: in the order in which they are shown
    :ivar against: name of the configuration that it was compared with
    :ivar changes: None if nothing was compared
    """

    file: str
    found: list[findings.Finding]
    against: str | None = None
    changes: list[differences.Difference] | None = None


def as_json(result: Result) -> str:
    """Return a result as JSON."""
    document = {
        'file': result.file,
        'errors': _count(result, findings.Severity.ERROR),
        'warnings': _count(result, findings.Severity.WARNING),
        'findings': [
            {**dataclasses.asdict(finding), 'severity': finding.severity.value}
            for finding in result.found
        ],
        'against': result.against,
        'differences': result.changes
        and [
            {
                **dataclasses.asdict(difference),
                'change': difference.change.value,
            }
            for difference in result.changes
        ],
    }
    return json.dumps(document, indent=2)


def _count(result: Result, severity: findings.Severity) -> int:
    return sum(finding.severity is severity for finding in result.found)


def as_text(result: Result) -> str:
    """Return a result as lines of text."""
    lines = []
    for finding in result.found:
        lines += _finding_lines(finding)
    if result.changes is not None:
        lines += _difference_lines(result.against, result.changes)
    elif result.against is not None:
        lines.append(
            f'Not compared with {result.against}, as gateways would reject '
            f'{result.file}.'
        )
    lines.append(_summary(result))
    text = '\n'.join(lines)
    # A name may hold half of a surrogate pair, which can't be printed.
    return text.encode(errors='backslashreplace').decode()


def _finding_lines(finding: findings.Finding) -> list[str]:
    head = f'{finding.severity.value}: {finding.location}: {finding.message}'
    lines = [head]
    if finding.value == findings.HIDDEN:
        lines.append(f'    value: {findings.HIDDEN}')
    elif finding.value is not None:
        lines.append(f'    value: {json.dumps(finding.value)}')
    if finding.allowed:
        lines.append(f'    allowed: {finding.allowed}')
    if finding.nearest:
        lines.append(f'    nearest: {finding.nearest}')
    return lines


def _difference_lines(
    against: str | None, found: list[differences.Difference]
) -> list[str]:
    if not found:
        return [f'No difference from {against}.']
    lines = [f'Differences from {against}:']
    for difference in found:
        title = f'{difference.part} {difference.name}'.rstrip()
        line = f'  {difference.change.value}: {title}'
        if difference.effect:
            line += f': {difference.effect}'
        lines.append(line)
        lines += [f'      {detail}' for detail in difference.details]
    return lines


def _summary(result: Result) -> str:
    if not result.found:
        return f'{result.file}: no findings.'
    errors = _count(result, findings.Severity.ERROR)
    warnings = _count(result, findings.Severity.WARNING)
    return f'{result.file}: errors: {errors}, warnings: {warnings}.'
