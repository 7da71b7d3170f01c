"""Retries at servers that fail most requests, while gateways are disrupted."""

import pytest

from burdockmast.bench import retry_checks
from burdockmast.bench import retry_storms
from burdockmast.platform import standin

RULE = retry_checks.RetryRule(ratio=0.2, slack=4, window_seconds=10.0)
# Share of the allowance that gateways used without disruptions when each had
# a fixed share of it.
CALM_SHARE = 0.7


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
