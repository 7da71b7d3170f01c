"""Command line of the stand-ins; each runs as a process of its own."""

import eventlet

eventlet.monkey_patch()

import click  # noqa: E402

from burdockmast.base import addresses  # noqa: E402
from burdockmast.base import ids  # noqa: E402
from burdockmast.standins import engine  # noqa: E402
from burdockmast.standins import instancelist  # noqa: E402
from burdockmast.standins import objectapi  # noqa: E402
from burdockmast.standins import relay  # noqa: E402
from burdockmast.standins import service  # noqa: E402
from burdockmast.standins import web  # noqa: E402
from burdockmast.standins import weights  # noqa: E402


@click.group()
def main() -> None:
    """Run one stand-in."""


@main.command('object-api')
@click.argument('address')
@click.option('--writes', default=400.0, help='Writes per second.')
@click.option('--reads', default=2000.0, help='Reads per second.')
def object_api(address: str, writes: float, reads: float) -> None:
    """Serve the Object API."""
    api = objectapi.ObjectApi(writes, reads)
    web.serve(addresses.split(address), web.Service(api.handle))


@main.command('instance-list')
@click.argument('address')
@click.option('--lag', default=0.0, help='Seconds until a change shows.')
def instance_list(address: str, lag: float) -> None:
    """Serve the instance list."""
    one = instancelist.InstanceList(lag)
    web.serve(addresses.split(address), web.Service(one.handle))


@main.command('engine')
@click.argument('address')
@click.option('--model', multiple=True, type=(str, int), required=True)
@click.option('--overhead-us', default=200.0)
@click.option('--layer-us', default=50.0)
@click.option('--sequence-us', default=1.0)
@click.option('--prefill-us', default=0.2)
@click.option('--memory-layers', default=64)
@click.option('--cache-blocks', default=4096)
@click.option('--cache-lag', default=0.0, help='Seconds until events show.')
@click.option('--cache-loss', default=0.0, help='Share of events lost.')
@click.option('--seed', default=1)
@click.option('--load-seconds-per-layer', default=0.0)
@click.option('--weight-store', default='', help='URL to load layers from.')
@click.option('--fenced/--unfenced', default=True)
def run_engine(
    address: str,
    model: tuple[tuple[str, int], ...],
    overhead_us: float,
    layer_us: float,
    sequence_us: float,
    prefill_us: float,
    memory_layers: int,
    cache_blocks: int,
    cache_lag: float,
    cache_loss: float,
    seed: int,
    load_seconds_per_layer: float,
    weight_store: str,
    fenced: bool,
) -> None:
    """Serve a model engine."""
    costs = engine.Costs(
        overhead_us,
        layer_us,
        sequence_us,
        prefill_us,
        memory_layers,
        cache_blocks,
    )
    one = engine.Engine(
        costs,
        dict(model),
        fenced,
        weights.Loader(load_seconds_per_layer, weight_store),
        engine.Publishing(cache_lag, cache_loss, seed),
    )
    web.serve(addresses.split(address), web.Service(one.handle))


@main.command('weight-store')
@click.argument('address')
@click.option('--layers', default=20.0, help='Layers per second.')
def weight_store(address: str, layers: float) -> None:
    """Serve the store of model weights."""
    one = weights.WeightStore(layers)
    web.serve(addresses.split(address), web.Service(one.handle))


@main.command('service')
@click.argument('address')
@click.option('--work-seconds', default=0.002)
def plain_service(address: str, work_seconds: float) -> None:
    """Serve a plain service."""
    one = service.PlainService(work_seconds)
    web.serve(addresses.split(address), web.Service(one.handle))


@main.command('relay')
@click.argument('address')
@click.argument('target')
@click.argument('control')
@click.option('--delay', default=0.0, help='Seconds added one way.')
def run_relay(address: str, target: str, control: str, delay: float) -> None:
    """Stand for the network before a target; CONTROL takes its faults."""
    one = relay.Relay(ids.Address(target), delay)
    eventlet.spawn(one.serve, addresses.split(ids.Address(address)))
    web.serve(addresses.split(ids.Address(control)), web.Service(one.handle))


if __name__ == '__main__':
    main()
