"""Runs the check of a configuration for operators."""

import pathlib

import click

from burdockmast.base import addresses
from burdockmast.base import ids
from burdockmast.operator import exit_status
from burdockmast.operator.config_check import check
from burdockmast.operator.config_check import documents
from burdockmast.operator.config_check import report

IN_FORCE = 'in-force'
TEXT = 'text'
JSON = 'json'


class CheckError(click.ClickException):
    """A configuration can't be read."""

    exit_code = exit_status.ExitStatus.USAGE


def run(
    path: pathlib.Path,
    against: str | None,
    store_address: str | None,
    output_format: str,
) -> exit_status.ExitStatus:
    """Check a file, print the result and return the exit status.

    :param against: a file's name, ``IN_FORCE``, or None
    :raises click.ClickException: if a configuration can't be read
    """
    try:
        document = documents.read_file(path)
        result = report.Result(str(path), check.check(document))
        if against is not None:
            before = _read_other(against, store_address)
            result = check.compare(result, document, against, before)
    except documents.UnreadableError as error:
        raise CheckError(str(error)) from None
    format_result = report.as_json if output_format == JSON else report.as_text
    click.echo(format_result(result))
    if result.found:
        return exit_status.ExitStatus.ERROR
    return exit_status.ExitStatus.SUCCESS


def _read_other(against: str, store_address: str | None) -> dict:
    if against != IN_FORCE:
        document = documents.read_file(pathlib.Path(against))
        return documents.complete(document, against)
    if store_address is None:
        raise click.UsageError('--against in-force needs --store')
    address = addresses.parse(store_address)
    if address is None:
        raise click.UsageError(
            f'--store: {store_address!r} is not an address IP:port'
        )
    return documents.complete(
        documents.read_in_force(ids.Address(address)),
        'configuration in force',
    )
