"""What operators can see: status, time line, and why a request went so."""

import time

import click

from burdockmast.base import timeline
from burdockmast.operator import context
from burdockmast.operator import exit_status
from burdockmast.operator import queries

# Sentences of ``explain``, by what happened.
SENTENCES = {
    'answer.started': 'attempt {attempt} took the path {path}, from token '
    '{resumed_at} on',
    'answer.opened': 'all stages accepted attempt {attempt}; tokens of its '
    'prompt that they had cached: {cached}',
    'answer.unopened': 'it found no place: {reason} at {step} {peer} {detail}',
    'answer.attempt_failed': 'attempt {attempt} ended: {reason} at {step} '
    'with {peer}',
    'answer.convicted': 'it was refused since it crashes backend servers',
    'request.refused': 'it was refused: {reason} at {step}: {detail}',
    'answer.ended': 'it was answered with {tokens} tokens',
    'stage.opened': 'a stage accepted attempt {attempt}',
    'stage.failed': 'a stage ended attempt {attempt}: {reason} at {step}',
    'stage.finished': 'the head stage finished attempt {attempt}',
    'service.sent': 'it was sent to {server}',
    'service.answered': '{server} answered: {outcome} {reason}',
    'service.lost': 'the answer of {server} was lost: {reason} at {step}',
    'claim.written': 'attempt {attempt} is claimed for {server}',
    'claim.refused': 'its claim could not be written',
    'service.settle': 'an earlier claim was settled with {server}',
    'execution.began': 'the plain service was called',
    'execution.ended': 'the plain service answered',
    'execution.refused': 'the side refused it unrun: {reason}',
}


def status(ctx: context.CommandContext) -> None:
    """Show every process of the fleet."""
    statuses, answers = queries.fetch_statuses(ctx.seed_addresses())
    rows = [
        (
            address,
            s.role,
            s.server,
            s.zone,
            s.version,
            s.preset,
            f'{s.store_age:.1f} s',
            len(s.peers),
            _details(s.details),
        )
        for address, s in sorted(statuses.items())
    ]
    header = (
        'ADDRESS', 'ROLE', 'SERVER', 'ZONE', 'VERSION', 'PRESET', 'AGE',
        'LINKS', 'DETAILS',
    )  # fmt: skip
    silent = sorted(answers.failure_by_address)
    text = context.format_table(header, rows)
    for address in silent:
        text += f'\n{address}  {answers.failure_by_address[address]}'
    ctx.print_result({'processes': statuses, 'silent': silent}, text)


def _details(details: dict) -> str:
    return ' '.join(
        f'{name}={value:.1f}' if isinstance(value, float)
        else f'{name}={value}'
        for name, value in details.items()
        if not isinstance(value, dict)
    )  # fmt: skip


def show_timeline(
    ctx: context.CommandContext, request: str, limit: int
) -> None:
    """Show the newest events of all processes in causal order."""
    found, answers = queries.fetch_events(ctx.seed_addresses(), request)
    chosen = found[-limit:]
    lines = [_line(event) for event in chosen]
    lines += [f'No answer from {a}.' for a in answers.failure_by_address]
    ctx.print_result(chosen, '\n'.join(lines))


def _line(event: timeline.Event) -> str:
    clock = time.strftime('%H:%M:%S', time.gmtime(event.wall))
    millis = int(event.wall % 1 * 1000)
    fields = ' '.join(f'{k}={v}' for k, v in event.fields.items())
    return (
        f'{event.clock:>8} {clock}.{millis:03d} {event.process} '
        f'{event.request or "-":16} {event.what} {fields}'
    ).rstrip()


def explain(ctx: context.CommandContext, request: str) -> None:
    """Tell why a request was routed or refused as it was."""
    found, _ = queries.fetch_events(ctx.seed_addresses(), request)
    if not found:
        raise context.CommandError(
            f'no process remembers request {request}',
            exit_status.ExitStatus.ERROR,
        )
    lines = [f'Request {request}:']
    lines += [f'- {_sentence(event)} ({event.process})' for event in found]
    ctx.print_result(found, '\n'.join(lines))


def _sentence(event: timeline.Event) -> str:
    sentence = SENTENCES.get(event.what)
    if sentence is None:
        return event.what
    try:
        return sentence.format(**event.fields)
    except KeyError:
        return event.what


def completion(shell: str) -> str:
    """Return the script that completes commands in a shell."""
    from click import shell_completion

    from burdockmast.operator.cli import definition

    kind = shell_completion.get_completion_class(shell)
    return kind(
        definition.program, {}, 'burdockmast', '_BURDOCKMAST_COMPLETE'
    ).source()


def print_completion(shell: str) -> None:
    """Print a shell's completion script."""
    click.echo(completion(shell))
