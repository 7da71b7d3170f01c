"""Counters and histograms at the metrics address."""

import program
from prometheus_client import parser

from burdockmast.base import metrics


def families(text):
    return {f.name: f for f in parser.text_string_to_metric_families(text)}


def value(fleet, name, family, **labels):
    """Return the value of a sample of a process, None if absent."""
    address = fleet.address_by_name[f'{name}-metrics']
    response = program.request('GET', f'http://{address}/metrics')
    assert response.status == 200
    for found in families(response.data.decode()).values():
        for sample in found.samples:
            if sample.name == family and sample.labels == labels:
                return sample.value
    return None


def test_counters_and_histograms_of_requests_are_served(shared_fleet):
    fleet = shared_fleet
    answers = 'burdockmast_answers_begun_total'
    refused = 'burdockmast_refusals_total'
    first = 'burdockmast_answer_first_token_seconds_count'
    reason = {'reason': 'unknown_service'}
    before = value(fleet, 'entry-0', answers) or 0
    refused_before = value(fleet, 'entry-0', refused, **reason) or 0
    timed_before = value(fleet, 'entry-0', first) or 0
    program.answer_tokens(fleet.complete([3], 4))
    fleet.call('nowhere/x')
    assert value(fleet, 'entry-0', answers) == before + 1
    assert value(fleet, 'entry-0', refused, **reason) == refused_before + 1
    assert value(fleet, 'entry-0', first) == timed_before + 1


def test_side_process_serves_metrics_of_its_store_calls(shared_fleet):
    fleet = shared_fleet
    name = 'burdockmast_store_call_seconds_count'
    program.wait_until(lambda: value(fleet, 'side-e1', name), name)


def test_counters_with_a_label_share_a_family():
    measures = metrics.Metrics()
    measures.count('refusals.overloaded', 2)
    measures.count('refusals.no_path')
    measures.count('claims.groups', 5)
    found = {f.name: f for f in measures.families()}
    by_reason = {
        s.labels['reason']: s.value
        for s in found['burdockmast_refusals'].samples
    }
    assert by_reason == {'overloaded': 2, 'no_path': 1}
    assert found['burdockmast_claims_groups'].samples[0].value == 5
