"""Retries at servers that fail most requests, while gateways are disrupted."""

import pytest

from burdockmast.bench import retry_checks
from burdockmast.bench import retry_storms
from burdockmast.platform import standin

RULE = retry_checks.RetryRule(ratio=0.2, slack=4, window_seconds=10.0)
# The margins that gateways keep (RATIO_SHARE, SLACK_SHARE, SEND_SECONDS) leave
# about 0.84 of the allowance at the load of a play. Gateways that each had a
# fixed share of it used 0.73.
CALM_SHARE = 0.8


def arrivals(times):
    return [standin.ReceivedRequest('r1', '/a', {}, at) for at in times]


def test_retries_beyond_the_allowance_are_found():
    first, retried = [1.0], [5.0 + n / 10 for n in range(5)]
    usage = retry_checks.measure([1.0], arrivals(first + retried), RULE)
    assert usage.retries == 5
    assert usage.windows_over == 1


def test_retries_within_the_allowance_are_not_found():
    times = [1.0, *(5.0 + n / 10 for n in range(4))]
    assert not retry_checks.measure([1.0], arrivals(times), RULE).windows_over
    spread = [1.0, *(5.0 + 11 * n for n in range(20))]
    assert not retry_checks.measure([1.0], arrivals(spread), RULE).windows_over


def test_requests_of_earlier_windows_allow_retries():
    sent = [1.0 + n / 100 for n in range(100)]
    times = [1.0, *(15.0 + n / 10 for n in range(24))]
    assert not retry_checks.measure(sent, arrivals(times), RULE).windows_over
    late = [1.0, *(25.0 + n / 10 for n in range(24))]
    assert retry_checks.measure(sent, arrivals(late), RULE).windows_over


def test_usual_share_does_not_depend_on_how_bursts_of_retries_fall():
    """Many windows that end with a retry hold only a part of a burst."""
    sent = [n / 10 for n in range(400)]
    bursts = [10.05 * k + n / 100 for k in range(4) for n in range(12)]
    usage = retry_checks.measure(sent, arrivals([0.0, *bursts]), RULE)
    assert usage.usual_share == pytest.approx(12 / 24, rel=0.05)


def test_calm_gateways_use_most_of_the_allowance(tmp_path):
    usage, statuses = retry_storms.play(
        retry_storms.Disruption.NONE, 1, tmp_path
    )
    assert not usage.windows_over, usage
    assert usage.usual_share >= CALM_SHARE
    assert statuses['200']


@pytest.mark.parametrize(
    ('disruption', 'seed'),
    [
        (retry_storms.Disruption.KILL_ALL, 1),
        (retry_storms.Disruption.UNREGISTER_MOST, 1),
        (retry_storms.Disruption.MIXED, 1),
    ],
)
def test_retries_stay_within_the_allowance_of_all_gateways(
    disruption, seed, tmp_path
):
    usage, statuses = retry_storms.play(disruption, seed, tmp_path)
    assert not usage.windows_over, usage
    assert statuses['200']
