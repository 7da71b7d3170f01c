"""Sites of several sizes, with the published costs of their engines."""

from burdockmast.base import ids
from burdockmast.gateway import config
from burdockmast.model import play

# Objectives for the first event and for the time between two events.
FIRST_EVENT_SECONDS = 0.6
PAUSE_SECONDS = 0.3
LARGE, MIDDLE, SMALL = 'large', 'middle', 'small'
KINDS = {
    LARGE: config.AcceleratorKind(LARGE, 36000, 3.1, 3.2),
    MIDDLE: config.AcceleratorKind(MIDDLE, 21600, 16, 8.2),
    SMALL: config.AcceleratorKind(SMALL, 14400, 15, 15),
}


def engine(zone_link_mbps: float) -> config.Engine:
    """Return a model of 80 layers on three kinds of accelerators."""
    return config.Engine(
        layers=80,
        layer_mb=1750.0,
        cache_bytes_per_token=328000,
        step_ms=0.85,
        sequence_ms=0.00212,
        context_ms=0.00285,
        prefill_tokens_per_second=353000,
        mean_prompt_tokens=772,
        mean_answer_tokens=141,
        activation_bytes_per_token=16400,
        zone_link_mbps=zone_link_mbps,
        accelerator_by_name=KINDS,
    )


def _counts(large: int, middle: int, small: int) -> dict[str, int]:
    return {LARGE: large, MIDDLE: middle, SMALL: small}


def _zones(**by_zone: object) -> dict[ids.ZoneId, object]:
    return {ids.ZoneId(name): value for name, value in by_zone.items()}


HUNDREDS = play.Site(
    engine(3400),
    _zones(
        a=_counts(3, 8, 11),
        b=_counts(1, 12, 16),
        c=_counts(1, 19, 9),
        d=_counts(3, 8, 11),
        e=_counts(1, 11, 16),
    ),
    _zones(a=13, b=15, c=15, d=11, e=14),
    stride=3,
)
DOZENS = play.Site(
    engine(2000),
    _zones(a=_counts(2, 5, 9), b=_counts(1, 8, 13), c=_counts(1, 13, 7)),
    _zones(a=9, b=9, c=8),
    stride=2,
)
# Generations a second in each zone at the usual load of the larger site.
HUNDREDS_RATES = _zones(a=30.4, b=33.5, c=24.8, d=23.8, e=27.2)
DOZENS_RATES = _zones(a=25.6, b=22.2, c=22.8)
SITE_BY_NAME = {
    'dozens': (DOZENS, DOZENS_RATES),
    'hundreds': (HUNDREDS, HUNDREDS_RATES),
}
