"""Shows the fleet's status and time line, and explains single requests."""

import time

import click

from burdockmast.base import timeline
from burdockmast.operator import context
from burdockmast.operator import exit_status
from burdockmast.operator import queries

# Output of ``explain`` by event name; the fields are those of the event.
SENTENCE_BY_EVENT = {
    'answer.started': 'attempt {attempt} took the path {path}, from token '
    '{resumed_at} on',
    'answer.opened': 'all stages accepted attempt {attempt}; prompt tokens '
    'that they had cached: {cached}',
    'answer.unopened': 'an attempt could not start: {reason} at {step} '
    '{peer} {detail}',
    'answer.attempt_failed': 'attempt {attempt} ended: {reason} at {step} '
    'with {peer}',
    'answer.convicted': 'it was refused as quarantined, since backend '
    'servers crashed each time it ran',
    'request.refused': 'it was refused: {reason} at {step}: {detail}',
    'answer.ended': 'it was answered with {tokens} tokens',
    'stage.opened': 'a stage accepted attempt {attempt}',
    'stage.failed': 'a stage ended attempt {attempt}: {reason} at {step}',
    'stage.finished': 'the head stage finished attempt {attempt}',
    'service.sent': 'it was sent to {server}',
    'service.answered': '{server} replied: {outcome} {reason}',
    'service.lost': 'the reply of {server} was lost: {reason} at {step}',
    'claim.written': 'attempt {attempt} is claimed for {server}',
    'claim.refused': 'its claim could not be written',
    'service.settle': '{server} was asked to resolve an earlier claim',
    'execution.began': 'the plain service was called',
    'execution.ended': 'the call to the plain service ended',
    'execution.refused': 'the side process refused it without running it: '
    '{reason}',
}


def status(ctx: context.CommandContext) -> None:
    """Show every process of the fleet."""
    statuses, replies = queries.fetch_statuses(ctx.seed_addresses())
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
            _format_details(s.details),
        )
        for address, s in sorted(statuses.items())
    ]
    header = (
        'ADDRESS', 'ROLE', 'SERVER', 'ZONE', 'VERSION', 'PRESET', 'AGE',
        'LINKS', 'DETAILS',
    )  # fmt: skip
    silent = sorted(replies.failure_by_address)
    text = context.format_table(header, rows)
    for address in silent:
        text += f'\n{address}  {replies.failure_by_address[address]}'
    ctx.print_result({'processes': statuses, 'silent': silent}, text)


def _format_details(details: dict) -> str:
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
    events, replies = queries.fetch_events(ctx.seed_addresses(), request)
    newest = events[-limit:]
    lines = [_format_event(event) for event in newest]
    if ctx.is_json:
        _warn_of_silent(replies)
    else:
        lines += [f'No reply from {a}.' for a in replies.failure_by_address]
    ctx.print_result(newest, '\n'.join(lines))


def _warn_of_silent(replies: queries.Replies) -> None:
    """Name the processes whose events are missing on standard error."""
    for address in sorted(replies.failure_by_address):
        click.echo(f'No reply from {address}.', err=True)


def _format_event(event: timeline.Event) -> str:
    clock = time.strftime('%H:%M:%S', time.gmtime(event.wall))
    millis = int(event.wall % 1 * 1000)
    fields = ' '.join(f'{k}={v}' for k, v in event.fields.items())
    return (
        f'{event.clock:>8} {clock}.{millis:03d} {event.process} '
        f'{event.request or "-":16} {event.what} {fields}'
    ).rstrip()


def explain(ctx: context.CommandContext, request: str) -> None:
    """Print a sentence for each event of a request, in causal order."""
    events, replies = queries.fetch_events(ctx.seed_addresses(), request)
    _warn_of_silent(replies)
    if not events:
        raise context.CommandError(
            f'no process has recorded events of request {request}',
            exit_status.ExitStatus.ERROR,
        )
    lines = [f'Request {request}:']
    lines += [
        f'- {_explain_event(event)} ({event.process})' for event in events
    ]
    ctx.print_result(events, '\n'.join(lines))


def _explain_event(event: timeline.Event) -> str:
    sentence = SENTENCE_BY_EVENT.get(event.what)
    if sentence is None:
        return event.what
    try:
        return sentence.format(**event.fields)
    except KeyError:
        return event.what


def completion(shell: str) -> str:
    """Return the completion script for a shell."""
    from click import shell_completion

    from burdockmast.operator.cli import definition

    kind = shell_completion.get_completion_class(shell)
    return kind(
        definition.program, {}, 'burdockmast', '_BURDOCKMAST_COMPLETE'
    ).source()


def print_completion(shell: str) -> None:
    """Print a shell's completion script."""
    click.echo(completion(shell))
