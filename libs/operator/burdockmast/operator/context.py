"""What operators' commands share: the store, the fleet and the output."""

import dataclasses
import getpass
import pathlib

import click
import msgspec

from burdockmast.base import failures
from burdockmast.base import ids
from burdockmast.base import outcomes
from burdockmast.fleet import change_journal
from burdockmast.fleet import changes
from burdockmast.operator import exit_status
from burdockmast.settings import loader
from burdockmast.settings import models
from burdockmast.store import objects


class CommandError(click.ClickException):
    """A command that failed, with the exit status that tells how."""

    def __init__(self, message: str, status: exit_status.ExitStatus):
        """Create an error to be shown and exited with."""
        super().__init__(message)
        self.exit_code = status


@dataclasses.dataclass(slots=True)
class Context:
    """One run of an operator's command.

    :ivar is_json: print JSON in place of text
    """

    settings: models.OperatorSettings
    is_json: bool

    @classmethod
    def from_config(
        cls, path: pathlib.Path | None, store: str | None, is_json: bool
    ) -> 'Context':
        """Build a context from a settings file or the store's URL."""
        if path:
            settings = loader.load(path, models.OperatorSettings)
        elif store:
            settings = loader.convert(
                {'store_url': store}, models.OperatorSettings, '--store'
            )
        else:
            raise click.UsageError('--settings or --store is needed')
        return cls(settings, is_json)

    def store(self) -> objects.ObjectClient:
        """Return a client of the platform's store."""
        return objects.ObjectClient(self.settings.store_url)

    def writer(self) -> change_journal.ChangeWriter:
        """Return the configuration's writer, with all that is accepted."""
        writer = change_journal.ChangeWriter(self.store(), getpass.getuser())
        check(writer.refresh())
        return writer

    def submit(self, body: changes.Body) -> change_journal.Accepted:
        """Have a change accepted, or fail with the reason."""
        return check(self.writer().submit(body))

    def addresses(self) -> list[ids.Address]:
        """Return daemons to begin with: of the settings and the store."""
        found = set(self.settings.peers)
        writer = change_journal.ChangeWriter(self.store(), getpass.getuser())
        failure = writer.refresh()
        if failure and not found:
            check(failure)
        servers = writer.configuration.server_by_id.values()
        return sorted(found | {server.address for server in servers})

    def show(self, value: object, text: str) -> None:
        """Print ``value`` as JSON if wanted, else ``text``."""
        if self.is_json:
            encoded = msgspec.json.encode(value)
            text = msgspec.json.format(encoded, indent=2).decode()
        if text:
            click.echo(text)


def check(result: object) -> object:
    """Return a result; a failure ends the command and tells how."""
    if not isinstance(result, failures.Failure):
        return result
    raise CommandError(_describe(result), _status_of(result))


def _describe(failure: failures.Failure) -> str:
    if failure.outcome is outcomes.Outcome.UNKNOWN:
        return f'it may or may not have taken effect: {failure}'
    return f'nothing was changed: {failure}'


def _status_of(failure: failures.Failure) -> exit_status.ExitStatus:
    if failure.outcome is outcomes.Outcome.UNKNOWN:
        return exit_status.ExitStatus.UNKNOWN
    if failure.reason is failures.Reason.STORE_UNAVAILABLE:
        return exit_status.ExitStatus.STORE_UNAVAILABLE
    return exit_status.ExitStatus.REFUSED


def table(header: tuple[str, ...], rows: list[tuple]) -> str:
    """Return rows as text in aligned columns."""
    lines = [header, *[tuple(map(str, row)) for row in rows]]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return '\n'.join(
        '  '.join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )
