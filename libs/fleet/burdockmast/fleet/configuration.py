"""The configuration: the result of applying all changes in order."""

import functools

import msgspec

from burdockmast.base import failures
from burdockmast.base import ids
from burdockmast.fleet import changes
from burdockmast.fleet import ranges

NO_PRESET = ids.PresetId('')


class Configuration(msgspec.Struct, dict=True):
    """Configuration as of ``version``; equal versions are equal."""

    version: ids.Version = ids.Version(0)
    in_force: ids.PresetId = NO_PRESET
    switched_by: str = ''
    switched_at: ids.Version = ids.Version(0)
    preset_by_id: dict[ids.PresetId, changes.Preset] = {}
    server_by_id: dict[ids.ServerId, changes.Server] = {}

    @property
    def preset(self) -> changes.Preset | None:
        """The preset in force, None before the first switch."""
        return self.preset_by_id.get(self.in_force)

    def model(self, model: ids.ModelId) -> changes.Model | None:
        """Return a model of the preset in force."""
        return self.preset.model_by_id.get(model) if self.preset else None

    def organisation(
        self, organisation: ids.OrganisationId
    ) -> changes.Organisation | None:
        """Return an organisation of the preset in force."""
        if not self.preset:
            return None
        return self.preset.organisation_by_id.get(organisation)

    def placement(self, server: ids.ServerId) -> changes.Placement | None:
        """Return what the preset in force places on a server."""
        if not self.preset:
            return None
        return self._placement_by(self.preset, server)

    def _placement_by(
        self, preset: changes.Preset, server: ids.ServerId
    ) -> changes.Placement | None:
        placed = preset.placement_by_server.get(server)
        known = self.server_by_id.get(server)
        if placed or not known:
            return placed
        return preset.placement_by_pool.get(known.pool)

    def check_active_coverage(
        self, preset: changes.Preset
    ) -> failures.Failure | None:
        """Return which layer no active server would hold under a preset."""
        active = [
            server.id
            for server in self.server_by_id.values()
            if server.state is changes.ServerState.ACTIVE
        ]
        found = [self._placement_by(preset, server) for server in active]
        placed = tuple(placement for placement in found if placement)
        return _check_coverage(preset.models, placed)

    @functools.cached_property
    def _server_by_address(self) -> dict[ids.Address, ids.ServerId]:
        return {s.address: s.id for s in self.server_by_id.values()}

    def check(self, body: changes.Body) -> failures.Failure | None:
        """Return why a change is not valid on top of this version."""
        match body:
            case changes.PutPreset(preset=preset):
                if preset.id == self.in_force:
                    return _refuse(f'preset {preset.id} is in force')
                return _check_preset(preset)
            case changes.SwitchPreset():
                return self._check_switch(body)
            case changes.AddServer(server=server):
                return self._check_server(server)
            case changes.RetireServer(server=server):
                if server not in self.server_by_id:
                    return _refuse(f'no backend server {server}')
            case changes.RemoveServer(server=server):
                return self._check_remove(server)
        return None

    def apply(self, change: changes.Change) -> failures.Failure | None:
        """Take in the next change of the journal.

        An invalid change takes its place in the order and alters nothing,
        in every process alike.
        """
        self.version = ids.Version(self.version + 1)
        refusal = self.check(change.body)
        if refusal:
            return refusal
        match change.body:
            case changes.PutPreset(preset=preset):
                self.preset_by_id[preset.id] = preset
            case changes.SwitchPreset(preset=preset):
                self.in_force = preset
                self.switched_by = change.author
                self.switched_at = self.version
            case changes.AddServer(server=server):
                self._add(server)
            case changes.RetireServer(server=server):
                self._retire(server)
            case changes.RemoveServer(server=server):
                self._remove(server)
        return None

    def _add(self, server: changes.Server) -> None:
        self._remove(server.id)
        self.server_by_id[server.id] = server
        self._server_by_address[server.address] = server.id

    def _remove(self, server: ids.ServerId) -> None:
        known = self.server_by_id.pop(server, None)
        if known:
            del self._server_by_address[known.address]

    def _retire(self, server: ids.ServerId) -> None:
        self.server_by_id[server] = msgspec.structs.replace(
            self.server_by_id[server], state=changes.ServerState.DRAINING
        )

    def _check_switch(
        self, switch: changes.SwitchPreset
    ) -> failures.Failure | None:
        if switch.preset not in self.preset_by_id:
            return _refuse(f'no preset {switch.preset}')
        if switch.expected != self.in_force:
            return _refuse(
                f'preset {self.in_force or "none"} is in force since version '
                f'{self.switched_at} by {self.switched_by or "nobody"}, '
                f'not {switch.expected or "none"}'
            )
        return None

    def _check_server(self, server: changes.Server) -> failures.Failure | None:
        is_service = server.kind is changes.ServerKind.SERVICE
        if is_service and not server.service:
            return _refuse(f'server {server.id} names no service')
        other = self._server_by_address.get(server.address, server.id)
        if other != server.id:
            return _refuse(f'{server.address} is that of {other}')
        return None

    def _check_remove(self, server: ids.ServerId) -> failures.Failure | None:
        known = self.server_by_id.get(server)
        if not known:
            return _refuse(f'no backend server {server}')
        if known.state is not changes.ServerState.DRAINING:
            return _refuse(f'backend server {server} is not leaving')
        return None


def _check_preset(preset: changes.Preset) -> failures.Failure | None:
    layers_by_model = {model.id: model.layers for model in preset.models}
    placed: set[str] = set()
    for placement in preset.placements:
        if bool(placement.server) is bool(placement.pool):
            return _refuse(
                'a placement names either a server or a pool, not '
                f'server {placement.server!r} and pool {placement.pool!r}'
            )
        layers = layers_by_model.get(placement.model)
        if layers is None:
            return _refuse(
                f'{placement.target} is to hold unknown model '
                f'{placement.model}'
            )
        if not placement.first < placement.end <= layers:
            return _refuse(
                f'{placement.target}: layers {placement.first} to '
                f'{placement.end} are not within 0 to {layers}'
            )
        if placement.target in placed:
            return _refuse(f'{placement.target} is placed twice')
        placed.add(placement.target)
    return _check_coverage(preset.models, preset.placements)


def _check_coverage(
    models: tuple[changes.Model, ...],
    placements: tuple[changes.Placement, ...],
) -> failures.Failure | None:
    for model in models:
        reached = ranges.first_uncovered(
            (p.first, p.end) for p in placements if p.model == model.id
        )
        if reached < model.layers:
            return _refuse(f'no server holds layer {reached} of {model.id}')
    return None


def _refuse(detail: str) -> failures.Failure:
    return failures.Failure(
        failures.Reason.BAD_REQUEST, 'configuration.check', detail=detail
    )
