"""Figures of a load, from what its callers recorded."""

import collections

from hdrh import histogram
import msgspec

from burdockmast.bench import callers
from burdockmast.bench import mixes

# Range and precision of histograms, in microseconds and digits.
LOWEST_US = 1
HIGHEST_US = 600_000_000
DIGITS = 3
PERCENTILES = (50, 95, 99)


class Spread(msgspec.Struct):
    """Percentiles of a time, in milliseconds."""

    count: int
    p50: float
    p95: float
    p99: float
    most: float


class Figures(msgspec.Struct):
    """What a load showed.

    :ivar ratio: tokens a second of whole answers over the hardware's bound
    :ivar goodput: tokens a second of answers within their deadline
    :ivar recovery: time from the fault to each open answer's next token
    :ivar prefilled: share of prompts' tokens that engines had not cached
    """

    name: str
    seconds: float
    bound: float
    offered: float
    throughput: float
    ratio: float
    goodput: float
    first_token: Spread
    between_tokens: Spread
    reads: Spread
    commands: Spread
    errors: dict[str, int]
    cut: int
    wrong: int
    double_runs: int
    recovery: Spread | None
    prefilled: float


def spread(seconds: list[float]) -> Spread:
    """Return the percentiles of times given in seconds."""
    found = histogram.HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)
    for value in seconds:
        found.record_value(max(LOWEST_US, int(value * 1e6)))
    values = [found.get_value_at_percentile(p) / 1e3 for p in PERCENTILES]
    most = found.get_max_value() / 1e3 if seconds else 0.0
    return Spread(len(seconds), *values, most)


def figures(
    name: str,
    load: callers.Load,
    bound: float,
    seconds: float,
    fault_at: float | None,
) -> Figures:
    """Work out the figures of a load.

    :param bound: tokens a second that the hardware allows
    :param seconds: how long requests were due
    :param fault_at: seconds after the begin at which a fault came
    """
    by_kind = collections.defaultdict(list)
    for record in load.records:
        by_kind[record.request.kind].append(record)
    answers = by_kind[mixes.Kind.ANSWER]
    whole = [record for record in answers if record.is_whole]
    throughput = _rate_within(answers, seconds)
    return Figures(
        name,
        seconds,
        bound,
        sum(r.request.tokens for r in answers) / seconds,
        throughput,
        throughput / bound,
        _goodput(load, whole, seconds),
        spread([r.token_times[0] - r.request.due for r in whole]),
        spread([gap for r in whole for gap in _gaps(r)]),
        spread(_times(by_kind[mixes.Kind.READ])),
        spread(_times(by_kind[mixes.Kind.COMMAND])),
        dict(collections.Counter(r.error for r in load.records if r.error)),
        sum(r.error.startswith('cut') for r in load.records),
        sum(r.error == 'wrong tokens' for r in load.records),
        sum(count > 1 for count in _command_runs(load)),
        None if fault_at is None else spread(_recoveries(answers, fault_at)),
        _prefilled(load),
    )


def _rate_within(records: list[callers.Record], seconds: float) -> float:
    """Return tokens a second, without the ramps at both ends."""
    start, end = seconds * 0.25, seconds
    count = sum(start <= at < end for r in records for at in r.token_times)
    return count / (end - start)


def _goodput(
    load: callers.Load, whole: list[callers.Record], seconds: float
) -> float:
    """Return tokens a second of answers in time, without the ramps.

    Answers that end after the last request was due do not count: then the
    load is over.
    """
    start = seconds * 0.25
    ended = [r for r in whole if start <= r.ended < seconds]
    in_time = [r for r in ended if _in_time(load, r)]
    return sum(r.request.tokens for r in in_time) / (seconds - start)


def _in_time(load: callers.Load, record: callers.Record) -> bool:
    return record.ended - record.request.due <= load.mix.deadline


def _gaps(record: callers.Record) -> list[float]:
    times = record.token_times
    return [b - a for a, b in zip(times, times[1:], strict=False)]


def _times(records: list[callers.Record]) -> list[float]:
    return [r.ended - r.request.due for r in records if not r.error]


def _command_runs(load: callers.Load) -> list[int]:
    runs = load.fleet.runs()
    return [n for key, n in runs.items() if key.startswith('command-')]


def _prefilled(load: callers.Load) -> float:
    fleet = load.fleet
    prompts = prefilled = 0
    for server, _ in fleet.layout.engines():
        status = fleet.get_json(f'engine-{server}', '/v1/status')
        if status:
            prompts += status['prompt_tokens']
            prefilled += status['prefilled_tokens']
    return prefilled / max(1, prompts)


def _recoveries(records: list[callers.Record], fault_at: float) -> list[float]:
    found: list[float] = []
    for record in records:
        times = record.token_times
        if times and times[0] < fault_at < times[-1]:
            found.append(min(at for at in times if at >= fault_at) - fault_at)
    return found
