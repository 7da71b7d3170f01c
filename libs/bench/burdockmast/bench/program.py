"""Command line of loads and experiments; for development, not daemons."""

import warnings

warnings.filterwarnings('ignore', message=r'\s*Eventlet is deprecated')

import eventlet  # noqa: E402

eventlet.monkey_patch()

import itertools  # noqa: E402
import pathlib  # noqa: E402

import click  # noqa: E402
import msgspec  # noqa: E402

from burdockmast.bench import capacity  # noqa: E402
from burdockmast.bench import deadly_requests  # noqa: E402
from burdockmast.bench import demo  # noqa: E402
from burdockmast.bench import endless_replies  # noqa: E402
from burdockmast.bench import endless_server  # noqa: E402
from burdockmast.bench import experiments  # noqa: E402
from burdockmast.bench import gateway_soak  # noqa: E402
from burdockmast.bench import loading  # noqa: E402
from burdockmast.bench import loads  # noqa: E402
from burdockmast.bench import measures  # noqa: E402
from burdockmast.bench import mixes  # noqa: E402
from burdockmast.bench import plots  # noqa: E402
from burdockmast.bench import report  # noqa: E402
from burdockmast.bench import retry_storms  # noqa: E402
from burdockmast.bench import slopes  # noqa: E402
from burdockmast.bench import soak  # noqa: E402
from burdockmast.model import play  # noqa: E402
from burdockmast.model import sites  # noqa: E402
from burdockmast.platform import standin  # noqa: E402
from burdockmast.routing import policies  # noqa: E402

FILE = click.Path(path_type=pathlib.Path)


@click.group()
def main() -> None:
    """Measure the fleet against its stand-ins."""


@main.command('demo')
@click.option('--seconds', default=0.0, help='End after this time.')
def run_demo(seconds: float) -> None:
    """Bring the whole path up on this machine and answer a request."""
    demo.run(seconds)


@main.command('slopes')
@click.option(
    '--only',
    multiple=True,
    type=click.Choice(sorted(experiments.EXPERIMENTS)),
    help='Run only these experiments.',
)
@click.option('--output', type=FILE, help='JSON file to write or update.')
def run_slopes(only: tuple[str, ...], output: pathlib.Path | None) -> None:
    """Measure costs as slopes over several sizes."""
    kept: dict[str, list[slopes.Slope]] = {}
    if output and output.exists():
        kind = dict[str, list[slopes.Slope]]
        kept = msgspec.json.decode(output.read_bytes(), type=kind)
    for name in only or tuple(experiments.EXPERIMENTS):
        kept[name] = experiments.EXPERIMENTS[name]()
        for slope in kept[name]:
            click.echo(
                f'{name:10} {slope.name:36} {slope.value:12.2f} '
                f'+- {slope.error:.2f} {slope.unit}/{slope.per}  '
                f'base {slope.base:.0f}'
            )
        if output:
            encoded = msgspec.json.encode(kept)
            output.write_bytes(msgspec.json.format(encoded, indent=1))


@main.command('model')
@click.option(
    '--site',
    'site_name',
    default='hundreds',
    type=click.Choice(sorted(sites.SITE_BY_NAME)),
)
@click.option('--factor', multiple=True, type=float, default=(1.0,))
@click.option('--seconds', default=8.0, help='Virtual time of arrivals.')
@click.option('--seed', default=1)
@click.option('--alone', is_flag=True, help='Gateways hear no others.')
@click.option('--output', type=FILE, help='JSON file to write.')
def run_model(
    site_name: str,
    factor: tuple[float, ...],
    seconds: float,
    seed: int,
    alone: bool,
    output: pathlib.Path | None,
) -> None:
    """Play loads on many gateways in virtual time: what callers get."""
    site, rates = sites.SITE_BY_NAME[site_name]
    found: dict[str, play.Outcome] = {}
    for one in factor:
        load = play.Load(
            {zone: rate * one for zone, rate in rates.items()},
            seconds,
            site.engine.mean_prompt_tokens,
            site.engine.mean_answer_tokens,
            sites.FIRST_EVENT_SECONDS,
            sites.PAUSE_SECONDS,
        )
        outcome = play.Play(site, load, seed, not alone).run()
        found[f'{site_name} {one:g}'] = outcome
        click.echo(
            f'{site_name} at {one:g} times the usual load: '
            f'{outcome.in_time} in time, {outcome.late} late, '
            f'{outcome.refused} refused, {outcome.preempted} preempted, '
            f'{outcome.crossings} crossings'
        )
    if output:
        encoded = msgspec.json.encode(found)
        output.write_bytes(msgspec.json.format(encoded, indent=1))


@main.command('load')
@click.option(
    '--mix',
    'mix_name',
    default='swap-desk',
    type=click.Choice(sorted(mixes.MIX_BY_NAME)),
)
@click.option('--fraction', multiple=True, type=float, default=(0.9,))
@click.option('--seconds', default=20.0)
@click.option('--seed', default=1)
@click.option(
    '--policy',
    multiple=True,
    default=('lowest-cost',),
    type=click.Choice(sorted(policies.POLICY_BY_NAME)),
)
@click.option(
    '--fault',
    multiple=True,
    default=('none',),
    type=click.Choice(loads.FAULTS),
)
@click.option('--output', type=FILE, help='JSON file; a plot beside it.')
def run_loads(
    mix_name: str,
    fraction: tuple[float, ...],
    seconds: float,
    seed: int,
    policy: tuple[str, ...],
    fault: tuple[str, ...],
    output: pathlib.Path | None,
) -> None:
    """Run loads on a fleet: each policy, fraction of the bound and fault."""
    found: list[measures.Figures] = []
    for one in itertools.product(policy, fraction, fault):
        name = f'{mix_name} {one[0]} {one[1]:g} {one[2]}'
        figures = loads.measure(
            name,
            mixes.MIX_BY_NAME[mix_name],
            one[1],
            seconds,
            seed,
            one[0],
            one[2],
        )
        found.append(figures)
        click.echo(report.line(figures))
    if output:
        encoded = msgspec.json.encode(found)
        output.write_bytes(msgspec.json.format(encoded, indent=1))
        plots.draw(found, output.with_suffix('.svg'))


@main.command('loading')
@click.option('--at-once', multiple=True, type=int, default=(2, 100))
def run_loading(at_once: tuple[int, ...]) -> None:
    """Measure how soon a fleet serves whose engines all load."""
    for count in at_once:
        found = loading.measure(count)
        click.echo(
            f'{count} at once: all layers held after {found.first:.1f} s, '
            f'by all engines after {found.all:.1f} s'
        )


@main.command('soak')
@click.option('--seed', default=1, help='First seed.')
@click.option('--count', default=1, help='Seeds to play, one after another.')
@click.option('--keep', type=FILE, help='Folder for logs of broken promises.')
def run_soak(seed: int, count: int, keep: pathlib.Path | None) -> None:
    """Play random faults; exit with 1 if a promise is broken."""
    is_broken = False
    for number in range(seed, seed + count):
        report = soak.play(number, keep)
        click.echo(
            f'seed {number}: {len(report.strikes)} faults, '
            f'{report.answered} answered, {report.refused} refused, '
            f'{report.cut} cut, {len(report.violations)} broken promises'
        )
        if report.violations:
            is_broken = True
            for line in (*report.strikes, *report.violations):
                click.echo(f'  {line}')
    raise SystemExit(int(is_broken))


@main.command('gateway-soak')
@click.option('--seed', default=1, help='First seed.')
@click.option('--count', default=1, help='Seeds to play, one after another.')
@click.option('--keep', type=FILE, help='Folder for logs of broken promises.')
@click.option('--gateways', default=3, help='Gateway processes of a play.')
def run_gateway_soak(
    seed: int, count: int, keep: pathlib.Path | None, gateways: int
) -> None:
    """Play random faults on gateways; exit with 1 if a promise is broken.

    From seed 10000 on, requests also compete for servers.
    """
    is_broken = False
    for number in range(seed, seed + count):
        report = gateway_soak.play(number, keep, gateways)
        click.echo(
            f'seed {number}: {dict(report.statuses)}, '
            f'{len(report.excused)} excused losses, '
            f'{len(report.violations)} broken promises'
        )
        if report.violations:
            is_broken = True
            for line in (
                *report.faults,
                *report.excused,
                *report.violations,
            ):
                click.echo(f'  {line}')
    raise SystemExit(int(is_broken))


@main.command('retry-storm')
@click.option(
    '--disruption',
    multiple=True,
    default=[one.value for one in retry_storms.Disruption],
    type=click.Choice([one.value for one in retry_storms.Disruption]),
)
@click.option('--seed', default=1, help='First seed.')
@click.option('--count', default=1, help='Seeds to play, one after another.')
@click.option('--keep', type=FILE, help='Folder for logs of broken rules.')
@click.option('--gateways', default=retry_storms.GATEWAY_COUNT)
def run_retry_storm(
    disruption: tuple[str, ...],
    seed: int,
    count: int,
    keep: pathlib.Path | None,
    gateways: int,
) -> None:
    """Disrupt gateways of failing servers; exit with 1 on excess retries."""
    is_broken = False
    plays = itertools.product(range(seed, seed + count), disruption)
    for number, name in plays:
        usage, statuses = retry_storms.play(
            retry_storms.Disruption(name), number, keep, gateways
        )
        is_broken |= usage.windows_over > 0
        click.echo(
            f'seed {number} {name}: {usage.retries} retries of '
            f'{usage.allowance:.0f} allowed ({usage.share:.2f}, usually '
            f'{usage.usual_share:.2f}), '
            f'{usage.windows_over} windows over, {dict(statuses)}'
        )
    raise SystemExit(int(is_broken))


@main.command('endless-replies')
@click.option(
    '--trouble',
    multiple=True,
    default=[one.value for one in endless_server.Trouble],
    type=click.Choice([one.value for one in endless_server.Trouble]),
)
@click.option('--route', default='read', help='read, write or draft.')
def run_endless_replies(trouble: tuple[str, ...], route: str) -> None:
    """Measure a gateway whose servers send without end."""
    for name in trouble:
        found = endless_replies.play(endless_server.Trouble(name), route)
        click.echo(
            f'{route} {name}: {found.peak_mb:.0f} MB at the peak, '
            f'{found.sound} of {endless_replies.SOUND_REQUESTS} sound '
            f'requests served, {found.late} of {endless_replies.CALLERS} '
            'callers without an answer in time; sound: '
            f'{dict(found.sound_statuses)}'
        )


@main.command('deadly-requests')
@click.option('--seed', default=1, help='Of the first play.')
@click.option('--count', default=1, help='Seeds to play.')
@click.option(
    '--outage',
    multiple=True,
    default=[one.value for one in standin.Outage],
    type=click.Choice([one.value for one in standin.Outage]),
    help='How crashed servers are away.',
)
@click.option('--seconds', default=45.0, help='Length of a play.')
@click.option('--gateways', default=4, help='Gateway processes.')
@click.option('--keep', type=FILE, help='Folder for logs of broken plays.')
def run_deadly_requests(
    seed: int,
    count: int,
    outage: tuple[str, ...],
    seconds: float,
    gateways: int,
    keep: pathlib.Path | None,
) -> None:
    """Send requests that crash servers; exit with 1 if they go on for long."""
    is_broken = False
    for number in range(seed, seed + count):
        for name in outage:
            found = deadly_requests.play(
                number, standin.Outage(name), seconds, gateways, keep=keep
            )
            is_broken = is_broken or bool(found.violations)
            click.echo(
                f'{name} {number}: {len(found.violations)} of '
                f'{len(found.crashes_by_path)} deadly requests for too long; '
                f'crashes {list(found.crashes_by_path.values())}, late '
                f'{list(found.late_by_path.values())}; '
                f'sound: {dict(found.sound_statuses)}'
            )
    raise SystemExit(int(is_broken))


@main.command('capacity')
@click.argument('measured', type=FILE)
@click.argument('page', type=FILE)
def write_capacity(measured: pathlib.Path, page: pathlib.Path) -> None:
    """Write the capacity page from measured slopes."""
    kind = dict[str, list[slopes.Slope]]
    found = msgspec.json.decode(measured.read_bytes(), type=kind)
    page.write_text(capacity.page(found))


if __name__ == '__main__':
    main()
