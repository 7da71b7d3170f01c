"""Commands that create, show, compare and switch presets."""

import dataclasses
import pathlib
import time

import click
import msgspec

from burdockmast.base import ids
from burdockmast.base import timers
from burdockmast.fleet import changes
from burdockmast.fleet import configuration
from burdockmast.operator import context
from burdockmast.operator import queries
from burdockmast.settings import loader

# How long a switch waits until all processes have applied it.
SWITCH_TIMEOUT_SECONDS = 10.0
POLL_SECONDS = 0.1


def load(path: pathlib.Path) -> changes.Preset:
    """Read and validate a preset's file.

    :raises loader.SettingsError: if the file or the preset is invalid
    """
    preset = loader.load(path, changes.Preset)
    refusal = configuration.Configuration().check(changes.PutPreset(preset))
    if refusal:
        raise loader.SettingsError(f'{path}: {refusal.detail}')
    return preset


def create(ctx: context.CommandContext, path: pathlib.Path) -> None:
    """Create or replace a preset."""
    preset = load(path)
    accepted = ctx.submit(changes.PutPreset(preset))
    text = f'Preset {preset.id} is accepted as version {accepted.version}.'
    ctx.print_result(accepted, text)


def list_all(ctx: context.CommandContext) -> None:
    """List all presets and mark the one in force."""
    current = ctx.writer().configuration
    rows = [
        (
            preset.id,
            'in force' if preset.id == current.in_force else '',
            ','.join(model.id for model in preset.models),
            len(preset.placements),
        )
        for preset in current.preset_by_id.values()
    ]
    header = ('PRESET', 'STATE', 'MODELS', 'PLACEMENTS')
    ctx.print_result(
        list(current.preset_by_id), context.format_table(header, rows)
    )


def show(ctx: context.CommandContext, preset: ids.PresetId) -> None:
    """Print one preset in the format that ``create`` reads."""
    found = _find_preset(ctx.writer().configuration, preset)
    encoded = msgspec.json.format(msgspec.json.encode(found), indent=2)
    ctx.print_result(found, encoded.decode())


def diff(
    ctx: context.CommandContext, before: ids.PresetId, after: ids.PresetId
) -> None:
    """Print what a switch between two presets would change."""
    current = ctx.writer().configuration
    lines = [
        *_diff_placements(
            _find_preset(current, before), _find_preset(current, after)
        ),
        *_diff_organisations(
            _find_preset(current, before), _find_preset(current, after)
        ),
    ]
    ctx.print_result(lines, '\n'.join(lines) or 'No difference.')


def _diff_placements(
    before: changes.Preset, after: changes.Preset
) -> list[str]:
    old = {placement.target: placement for placement in before.placements}
    new = {placement.target: placement for placement in after.placements}
    return [
        f'{target}: {_format_placement(old.get(target))} -> '
        f'{_format_placement(new.get(target))}'
        for target in sorted(old.keys() | new.keys())
        if old.get(target) != new.get(target)
    ]


def _diff_organisations(
    before: changes.Preset, after: changes.Preset
) -> list[str]:
    old = {o.id: o.weight for o in before.organisations}
    new = {o.id: o.weight for o in after.organisations}
    return [
        f'organisation {name}: {old.get(name, "none")} -> '
        f'{new.get(name, "none")}'
        for name in sorted(old.keys() | new.keys())
        if old.get(name) != new.get(name)
    ]


def _format_placement(placement: changes.Placement | None) -> str:
    if placement is None:
        return 'nothing'
    return f'{placement.model} {placement.first}-{placement.end}'


def switch(
    ctx: context.CommandContext,
    preset: ids.PresetId,
    expected: str | None,
    allow_uncovered: bool,
) -> None:
    """Put a preset in force and wait until all processes have applied it.

    :param allow_uncovered: switch even if no active server would hold some
        layers
    """
    writer = ctx.writer()
    if expected is None:
        expected = writer.configuration.in_force
    known = writer.configuration.preset_by_id.get(preset)
    if known and not allow_uncovered:
        _check_coverage(writer.configuration, known)
    body = changes.SwitchPreset(preset, ids.PresetId(expected))
    began = time.monotonic()
    accepted = context.unwrap(writer.submit(body))
    updated, total, silent = _await_version(ctx, accepted.version)
    seconds = time.monotonic() - began
    text = (
        f'Preset {preset} is in force as version {accepted.version}, on '
        f'{updated} of {total} processes after {seconds:.1f} s.'
    )
    if silent:
        text += f' No reply from {", ".join(silent)}.'
    ctx.print_result(
        {
            'version': accepted.version,
            'processes_current': updated,
            'processes': total,
            'silent': silent,
            'seconds': seconds,
        },
        text,
    )


def _check_coverage(
    current: configuration.Configuration, preset: changes.Preset
) -> None:
    refusal = current.check_active_coverage(preset)
    if refusal:
        detail = (
            f'with only the active servers, {refusal.detail}; '
            'pass --unserved to switch anyway'
        )
        context.unwrap(dataclasses.replace(refusal, detail=detail))


def _await_version(
    ctx: context.CommandContext, version: ids.Version
) -> tuple[int, int, list[str]]:
    """Wait until all processes that reply have applied a version.

    :return: number of processes that have applied it, number of processes
        that replied, and the addresses that did not reply
    """
    deadline = timers.now() + SWITCH_TIMEOUT_SECONDS
    while True:
        statuses, replies = queries.fetch_statuses(ctx.seed_addresses())
        updated = sum(s.version >= version for s in statuses.values())
        if updated == len(statuses) or timers.now() > deadline:
            silent = sorted(replies.failure_by_address)
            return updated, len(statuses), silent
        time.sleep(POLL_SECONDS)


def _find_preset(
    current: configuration.Configuration, preset: ids.PresetId
) -> changes.Preset:
    found = current.preset_by_id.get(preset)
    if found is None:
        known = ', '.join(current.preset_by_id) or 'none'
        raise click.BadParameter(
            f'no preset {preset}; existing presets: {known}'
        )
    return found
