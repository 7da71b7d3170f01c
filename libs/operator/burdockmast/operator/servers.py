"""Commands that add, retire, remove and list backend servers."""

import pathlib
import time

from burdockmast.base import failures
from burdockmast.base import ids
from burdockmast.base import timers
from burdockmast.fleet import changes
from burdockmast.fleet import layer_moves
from burdockmast.node import inspection
from burdockmast.operator import context
from burdockmast.operator import queries
from burdockmast.settings import loader

POLL_SECONDS = 0.1


def add(ctx: context.CommandContext, path: pathlib.Path) -> None:
    """Add the backend server that a file describes."""
    server = loader.load(path, changes.Server)
    accepted = ctx.submit(changes.AddServer(server))
    text = f'Server {server.id} is added as version {accepted.version}.'
    ctx.print_result(accepted, text)


def retire(
    ctx: context.CommandContext, server: ids.ServerId, wait: float
) -> None:
    """Drain a backend server; wait up to ``wait`` seconds until it is idle."""
    accepted = ctx.submit(changes.RetireServer(server))
    text = f'Server {server} is leaving as of version {accepted.version}.'
    if wait:
        is_idle = _await_idle(ctx, server, wait)
        text += ' It is idle.' if is_idle else f' Busy after {wait:.0f} s.'
    ctx.print_result(accepted, text)


def remove(ctx: context.CommandContext, server: ids.ServerId) -> None:
    """Remove a backend server that has been retired."""
    accepted = ctx.submit(changes.RemoveServer(server))
    text = f'Server {server} is removed as of version {accepted.version}.'
    ctx.print_result(accepted, text)


def list_all(ctx: context.CommandContext) -> None:
    """List all backend servers."""
    current = ctx.writer().configuration
    layers_by_server = _held_layers(ctx)
    rows = []
    for server in current.server_by_id.values():
        placed = current.placement(server.id)
        layers = f'{placed.first}-{placed.end}' if placed else ''
        rows.append(
            (
                server.id,
                server.state.value,
                server.zone,
                server.address,
                server.accelerator or server.kind.value,
                server.service or (placed.model if placed else ''),
                layers,
                layers_by_server.get(server.id, ''),
            )
        )
    header = (
        'SERVER', 'STATE', 'ZONE', 'ADDRESS', 'KIND', 'SERVES', 'LAYERS',
        'HOLDS',
    )  # fmt: skip
    servers = list(current.server_by_id.values())
    ctx.print_result(servers, context.format_table(header, rows))


def _held_layers(ctx: context.CommandContext) -> dict[ids.ServerId, str]:
    """Return the layer range of each server, or that a layer move runs."""
    layers_by_server: dict[ids.ServerId, str] = {}
    for state in context.unwrap(layer_moves.read_all(ctx.store())).values():
        for server, span in state.held_by_server.items():
            layers_by_server[server] = f'{span.first}-{span.end}'
        for server in state.permit_by_server:
            layers_by_server[server] = 'changing'
    return layers_by_server


def _await_idle(
    ctx: context.CommandContext, server: ids.ServerId, seconds: float
) -> bool:
    address = ctx.writer().configuration.server_by_id[server].address
    deadline = timers.now() + seconds
    while timers.now() < deadline:
        reply = queries.send_query(address, 'status')
        if isinstance(reply, failures.Failure):
            return True
        details = inspection.decode_status(reply).details
        if not details.get('running') and not details.get('executing'):
            return True
        time.sleep(POLL_SECONDS)
    return False
