"""Argument types and options that several commands share."""

from collections.abc import Callable
import pathlib
from typing import TypeVar

import click

from burdockmast.operator.config_check import command as config_command
from burdockmast.settings import models

Command = TypeVar('Command', bound=Callable)

FILE = click.Path(path_type=pathlib.Path)
SETTINGS_BY_ROLE = {
    'entry': models.EntrySettings,
    'side': models.SideSettings,
    'operator': models.OperatorSettings,
}
# A gateway's settings file has the platform's own format, so the role is not
# in SETTINGS_BY_ROLE.
GATEWAY = 'gateway'
ROLE = click.Choice(sorted([*SETTINGS_BY_ROLE, GATEWAY]))
OUTPUT_FORMAT = click.Choice([config_command.TEXT, config_command.JSON])
SHELL = click.Choice(['bash', 'zsh', 'fish'])


def operator_options(command: Command) -> Command:
    """Add the options --json, --store and --settings to a command."""
    for option in (
        click.option('--json', 'is_json', is_flag=True, help='Print JSON.'),
        click.option(
            '--store',
            envvar='BURDOCKMAST_STORE',
            help="URL of the platform's Object API.",
        ),
        click.option(
            '--settings',
            type=FILE,
            envvar='BURDOCKMAST_SETTINGS',
            help="Operators' settings file.",
        ),
    ):
        command = option(command)
    return command
