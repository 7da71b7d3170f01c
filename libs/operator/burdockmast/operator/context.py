"""Store access, fleet addresses and output of the operators' commands."""

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
    """A command failed; ``exit_code`` says in which way."""

    def __init__(self, message: str, status: exit_status.ExitStatus):
        """Create an error that ends the program with ``status``."""
        super().__init__(message)
        self.exit_code = status


@dataclasses.dataclass(slots=True)
class CommandContext:
    """Settings and output format of one operator's command.

    :ivar is_json: print results as JSON instead of text
    """

    settings: models.OperatorSettings
    is_json: bool

    @classmethod
    def from_config(
        cls, path: pathlib.Path | None, store_url: str | None, is_json: bool
    ) -> 'CommandContext':
        """Build a context from a settings file, or from the store's URL.

        :raises loader.SettingsError: if either is wrong
        """
        if path:
            settings = loader.load(path, models.OperatorSettings)
        elif store_url:
            settings = loader.convert(
                {'store_url': store_url}, models.OperatorSettings, '--store'
            )
        else:
            raise click.UsageError('give --settings or --store')
        return cls(settings, is_json)

    def store(self) -> objects.ObjectClient:
        """Return a client of the platform's store."""
        return objects.ObjectClient(self.settings.store_url)

    def writer(self) -> change_journal.ChangeWriter:
        """Return a configuration writer that has read all accepted changes."""
        writer = change_journal.ChangeWriter(self.store(), getpass.getuser())
        unwrap(writer.refresh())
        return writer

    def submit(self, body: changes.Body) -> change_journal.Accepted:
        """Submit a configuration change; a refusal ends the command."""
        return unwrap(self.writer().submit(body))

    def seed_addresses(self) -> list[ids.Address]:
        """Return the addresses to start discovery from.

        They are the peers in the settings and the backend servers in the
        store. If the store fails, the peers in the settings suffice.
        """
        found = set(self.settings.peers)
        writer = change_journal.ChangeWriter(self.store(), getpass.getuser())
        failure = writer.refresh()
        if failure and not found:
            unwrap(failure)
        servers = writer.configuration.server_by_id.values()
        return sorted(found | {server.address for server in servers})

    def print_result(self, value: object, text: str) -> None:
        """Print ``value`` if the output is JSON, else ``text``."""
        if self.is_json:
            encoded = msgspec.json.encode(value)
            text = msgspec.json.format(encoded, indent=2).decode()
        if text:
            click.echo(text)


def unwrap(result: object) -> object:
    """Return a result that is not a failure.

    :raises CommandError: if it is a failure
    """
    if not isinstance(result, failures.Failure):
        return result
    raise CommandError(_describe(result), _exit_status(result))


def _describe(failure: failures.Failure) -> str:
    if failure.outcome is outcomes.Outcome.UNKNOWN:
        return f'the command may or may not have taken effect: {failure}'
    return f'nothing was changed: {failure}'


def _exit_status(failure: failures.Failure) -> exit_status.ExitStatus:
    if failure.outcome is outcomes.Outcome.UNKNOWN:
        return exit_status.ExitStatus.UNKNOWN
    if failure.reason is failures.Reason.STORE_UNAVAILABLE:
        return exit_status.ExitStatus.STORE_UNAVAILABLE
    return exit_status.ExitStatus.REFUSED


def format_table(header: tuple[str, ...], rows: list[tuple]) -> str:
    """Return the header and rows as text in aligned columns."""
    lines = [header, *[tuple(map(str, row)) for row in rows]]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return '\n'.join(
        '  '.join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )
