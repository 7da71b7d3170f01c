"""The configuration: the result of applying all changes in order."""

import functools

import msgspec

from burdockmast.base import failures
from burdockmast.base import ids
from burdockmast.fleet import changes
from burdockmast.fleet import ranges

NO_PRESET = ids.PresetId('')


class Configuration(msgspec.Struct, dict=True):
    """The configuration after ``version`` changes.

    All processes at one version hold the same configuration.
    """

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
        """Return the placement of a server under the preset in force."""
        if not self.preset:
            return None
        return self._placement_under(self.preset, server)

    def _placement_under(
        self, preset: changes.Preset, server: ids.ServerId
    ) -> changes.Placement | None:
        own = preset.placement_by_server.get(server)
        registered = self.server_by_id.get(server)
        if own or not registered:
            return own
        return preset.placement_by_pool.get(registered.pool)

    def check_active_coverage(
        self, preset: changes.Preset
    ) -> failures.Failure | None:
        """Return a refusal that names a layer no active server would hold."""
        active = [
            server.id
            for server in self.server_by_id.values()
            if server.state is changes.ServerState.ACTIVE
        ]
        found = [self._placement_under(preset, server) for server in active]
        placed = tuple(placement for placement in found if placement)
        return _check_coverage(preset.models, placed)

    @functools.cached_property
    def _server_by_address(self) -> dict[ids.Address, ids.ServerId]:
        return {s.address: s.id for s in self.server_by_id.values()}

    def check(self, body: changes.Body) -> failures.Failure | None:
        """Return why a change is invalid at this version, if it is."""
        match body:
            case changes.PutPreset(preset=preset):
                if preset.id == self.in_force:
                    return _refuse(
                        f'preset {preset.id} is in force and can not be '
                        'replaced'
                    )
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
        """Apply the next change of the journal, or return why it is invalid.

        An invalid change increases the version and alters nothing else, in
        all processes alike, so that versions stay places in the journal.
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
        removed = self.server_by_id.pop(server, None)
        if removed:
            del self._server_by_address[removed.address]

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
                f'{self.switched_at}, switched by '
                f'{self.switched_by or "nobody"}; '
                f'expected {switch.expected or "none"}'
            )
        return None

    def _check_server(self, server: changes.Server) -> failures.Failure | None:
        is_service = server.kind is changes.ServerKind.SERVICE
        if is_service and not server.service:
            return _refuse(
                f'server {server.id} is of kind service but names no service'
            )
        other = self._server_by_address.get(server.address, server.id)
        if other != server.id:
            return _refuse(
                f'address {server.address} is in use by backend server {other}'
            )
        return None

    def _check_remove(self, server: ids.ServerId) -> failures.Failure | None:
        registered = self.server_by_id.get(server)
        if not registered:
            return _refuse(f'no backend server {server}')
        if registered.state is not changes.ServerState.DRAINING:
            return _refuse(
                f'backend server {server} is not leaving; retire it first'
            )
        return None


def _check_preset(preset: changes.Preset) -> failures.Failure | None:
    layers_by_model = {model.id: model.layers for model in preset.models}
    placed: set[str] = set()
    for placement in preset.placements:
        if bool(placement.server) is bool(placement.pool):
            return _refuse(
                'a placement names either a server or a pool, found '
                f'server {placement.server!r} and pool {placement.pool!r}'
            )
        layers = layers_by_model.get(placement.model)
        if layers is None:
            return _refuse(
                f'{placement.target}: unknown model {placement.model}'
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
        uncovered = ranges.first_uncovered(
            (p.first, p.end) for p in placements if p.model == model.id
        )
        if uncovered < model.layers:
            return _refuse(f'no server holds layer {uncovered} of {model.id}')
    return None


def _refuse(detail: str) -> failures.Failure:
    return failures.Failure(
        failures.Reason.BAD_REQUEST, 'configuration.check', detail=detail
    )
