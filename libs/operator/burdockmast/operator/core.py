"""The program's main function."""

import warnings

# eventlet announces its retirement at each import; the house builds on it.
warnings.filterwarnings('ignore', message=r'\s*Eventlet is deprecated')

import os  # noqa: E402

# Peers are given by IP number; no resolver is wanted.
os.environ.setdefault('EVENTLET_NO_GREENDNS', 'yes')

import eventlet  # noqa: E402

eventlet.monkey_patch()

import sys  # noqa: E402

import click  # noqa: E402

from burdockmast.operator import exit_status  # noqa: E402
from burdockmast.operator.cli import definition  # noqa: E402
from burdockmast.settings import loader  # noqa: E402


def main(arguments: list[str] | None = None) -> None:
    """Run the program and exit with one of ``ExitStatus``."""
    try:
        status = definition.program(
            arguments, prog_name='burdockmast', standalone_mode=False
        )
    except click.ClickException as error:
        error.show()
        status = error.exit_code
    except click.Abort:
        status = exit_status.ExitStatus.ERROR
    except loader.SettingsError as error:
        click.echo(f'burdockmast: {error}', err=True)
        status = exit_status.ExitStatus.BAD_SETTINGS
    sys.exit(int(status or exit_status.ExitStatus.SUCCESS))


if __name__ == '__main__':
    main()
