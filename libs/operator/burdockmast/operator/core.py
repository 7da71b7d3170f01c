"""The program's main function."""

import warnings

# eventlet warns at each import that it is deprecated; the project still
# depends on it.
warnings.filterwarnings('ignore', message=r'\s*Eventlet is deprecated')

import os  # noqa: E402

# Peers are configured by IP address, so eventlet's DNS resolver is not needed.
# eventlet reads the variable when it is imported.
os.environ.setdefault('EVENTLET_NO_GREENDNS', 'yes')

import eventlet  # noqa: E402

eventlet.monkey_patch()

import sys  # noqa: E402

import click  # noqa: E402

from burdockmast.operator import exit_status  # noqa: E402
from burdockmast.operator.cli import definition  # noqa: E402
from burdockmast.settings import loader  # noqa: E402


def main(arguments: list[str] | None = None) -> None:
    """Run the command line and exit with an ``ExitStatus``."""
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
