"""The commands and options of the program."""

import functools
import pathlib

import click

from burdockmast.base import ids
from burdockmast.operator import context
from burdockmast.operator import daemons
from burdockmast.operator import diagnostics
from burdockmast.operator import presets
from burdockmast.operator import servers
from burdockmast.operator.cli import types
from burdockmast.operator.config_check import command as config_command
from burdockmast.platform import program as platform_program
from burdockmast.platform import settings as platform_settings
from burdockmast.settings import loader


@click.group(context_settings={'help_option_names': ['-h', '--help']})
@click.version_option('0.1.0', prog_name='burdockmast')
def program() -> None:
    """Route model pipelines over mixed accelerators."""


def operator_command(command):
    """Pass a ``CommandContext`` of the operators' options to a command."""

    @types.operator_options
    @functools.wraps(command)
    def run(*, settings, store, is_json, **arguments):
        ctx = context.CommandContext.from_config(settings, store, is_json)
        return command(ctx, **arguments)

    return run


@program.command()
@click.argument('settings', type=types.FILE)
def entry(settings: pathlib.Path) -> int:
    """Run an entry instance.

    Example: burdockmast entry entry.json
    """
    return daemons.run_entry(settings)


@program.command()
@click.argument('settings', type=types.FILE)
def side(settings: pathlib.Path) -> int:
    """Run the side process of a backend server.

    Example: burdockmast side side.json
    """
    return daemons.run_side(settings)


@program.command()
@click.argument('settings', type=types.FILE, required=False)
def gateway(settings: pathlib.Path | None) -> None:
    """Run a gateway on the prepared platform.

    SETTINGS is a file in the platform's format. Without it, the file is the
    one that the environment variable BURDOCKMAST_NODE_FILE names.

    Example: burdockmast gateway /etc/burdockmast/local.toml
    """
    platform_program.run(settings)


@program.group()
def preset() -> None:
    """Manage presets."""


@preset.command('check')
@click.argument('path', metavar='FILE', type=types.FILE)
def check_preset(path: pathlib.Path) -> None:
    """Check a preset's file without creating the preset.

    Example: burdockmast preset check examples/swap-desk/ordinary.json
    """
    found = presets.load(path)
    click.echo(f'{path}: preset {found.id} is valid.')


@preset.command('create')
@click.argument('path', metavar='FILE', type=types.FILE)
@operator_command
def create_preset(ctx: context.CommandContext, path: pathlib.Path) -> None:
    """Create or replace a preset that is not in force.

    Example: burdockmast preset create ordinary.json
    """
    presets.create(ctx, path)


@preset.command('list')
@operator_command
def list_presets(ctx: context.CommandContext) -> None:
    """List all presets and show which one is in force."""
    presets.list_all(ctx)


@preset.command('show')
@click.argument('preset_id', metavar='PRESET')
@operator_command
def show_preset(ctx: context.CommandContext, preset_id: str) -> None:
    """Show one preset."""
    presets.show(ctx, ids.PresetId(preset_id))


@preset.command('diff')
@click.argument('before', metavar='PRESET')
@click.argument('after', metavar='PRESET')
@operator_command
def diff_presets(ctx: context.CommandContext, before: str, after: str) -> None:
    """Show the differences between two presets.

    Example: burdockmast preset diff ordinary peak
    """
    presets.diff(ctx, ids.PresetId(before), ids.PresetId(after))


@preset.command('switch')
@click.argument('preset_id', metavar='PRESET')
@click.option('--expected', help='Refuse if another preset is in force.')
@click.option(
    '--unserved',
    is_flag=True,
    help='Switch even if no active server would hold some layers.',
)
@operator_command
def switch_preset(
    ctx: context.CommandContext,
    preset_id: str,
    expected: str | None,
    unserved: bool,
) -> None:
    """Put another preset in force.

    Example: burdockmast preset switch peak --expected ordinary
    """
    presets.switch(ctx, ids.PresetId(preset_id), expected, unserved)


@program.group()
def config() -> None:
    """Check configurations of gateways."""


@config.command('check')
@click.argument('path', metavar='FILE', type=types.FILE)
@click.option(
    '--against',
    metavar='FILE|in-force',
    help='Show the differences from a file or the version in force.',
)
@click.option(
    '--store',
    metavar='ADDRESS',
    help="IP:port of the platform's store, for the version in force.",
)
@click.option(
    '--format',
    'output_format',
    type=types.OUTPUT_FORMAT,
    default=config_command.TEXT,
    show_default=True,
    help='Print text or JSON.',
)
def check_config(
    path: pathlib.Path,
    against: str | None,
    store: str | None,
    output_format: str,
) -> int:
    """Check a configuration of gateways without sending it.

    Exits with 0 if there are no findings, 1 if there are some, and 2 if a
    configuration can't be read.

    Example: burdockmast config check new.json --against old.json
    """
    return config_command.run(path, against, store, output_format)


@program.group()
def server() -> None:
    """Manage backend servers."""


@server.command('add')
@click.argument('path', metavar='FILE', type=types.FILE)
@operator_command
def add_server(ctx: context.CommandContext, path: pathlib.Path) -> None:
    """Add the backend server that a file describes.

    Example: burdockmast server add e41.json
    """
    servers.add(ctx, path)


@server.command('retire')
@click.argument('server_id', metavar='SERVER')
@click.option(
    '--wait',
    default=0.0,
    help='Seconds to wait for the server to become idle.',
)
@operator_command
def retire_server(
    ctx: context.CommandContext, server_id: str, wait: float
) -> None:
    """Drain a backend server, so that it gets no new work.

    Example: burdockmast server retire e41 --wait 60
    """
    servers.retire(ctx, ids.ServerId(server_id), wait)


@server.command('remove')
@click.argument('server_id', metavar='SERVER')
@operator_command
def remove_server(ctx: context.CommandContext, server_id: str) -> None:
    """Remove a backend server that has been retired."""
    servers.remove(ctx, ids.ServerId(server_id))


@server.command('list')
@operator_command
def list_servers(ctx: context.CommandContext) -> None:
    """List all backend servers."""
    servers.list_all(ctx)


@program.command()
@operator_command
def status(ctx: context.CommandContext) -> None:
    """Show every process of the fleet."""
    diagnostics.status(ctx)


@program.command()
@click.option(
    '--request', default='', help='Show only the events of this request.'
)
@click.option('--limit', default=200, help='Number of newest events to show.')
@operator_command
def timeline(ctx: context.CommandContext, request: str, limit: int) -> None:
    """Show the events of all processes in causal order."""
    diagnostics.show_timeline(ctx, request, limit)


@program.command()
@click.argument('request')
@operator_command
def explain(ctx: context.CommandContext, request: str) -> None:
    """Explain how a request was routed, or why it was refused.

    REQUEST is the id in the response header Burdockmast-Request-Id.
    """
    diagnostics.explain(ctx, request)


@program.group()
def settings() -> None:
    """Check settings files."""


@settings.command('check')
@click.argument('role', type=types.ROLE)
@click.argument('path', metavar='FILE', type=types.FILE)
def check_settings(role: str, path: pathlib.Path) -> None:
    """Check a settings file.

    Example: burdockmast settings check entry entry.json
    """
    if role == types.GATEWAY:
        platform_settings.load(path)
    else:
        loader.load(path, types.SETTINGS_BY_ROLE[role])
    click.echo(f'{path}: valid settings of role {role}.')


@program.command()
@click.argument('shell', type=types.SHELL)
def completion(shell: str) -> None:
    """Print a shell's completion script.

    Example: burdockmast completion bash > burdockmast.bash
    """
    diagnostics.print_completion(shell)
