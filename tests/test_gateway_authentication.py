"""Decides who may call, for configurations with empty and odd parts."""

import hypothesis
import hypothesis.strategies as st
import pytest

from burdockmast.base import failures
from burdockmast.gateway import authentication
from burdockmast.platform import configuration

TRUSTED_SECONDS = 4.75
KEYS = ('', 'k1', 'k2', 'k3')
MISSING = object()
ROUTE = {
    'name': 'confirm',
    'host': 'h.example',
    'path-prefix': '/confirm/',
    'kind': 'unsafe',
    'service': 'app',
}


def decode(tenants=MISSING, **route):
    spec = {'version': 7, 'routes': [{**ROUTE, **route}]}
    if tenants is not MISSING:
        spec['tenants'] = tenants
    return configuration.decode('main', spec)


def authenticate(decoded, key, age=0.0):
    """Return the id of the organisation, or the reason of the refusal."""
    route = decoded.find_route('h.example', '/confirm/1')
    match authentication.authenticate(
        decoded, route, key, age, TRUSTED_SECONDS
    ):
        case failures.Failure(reason=reason):
            return reason
        case organisation:
            return organisation.id


tenant = st.fixed_dictionaries(
    {'name': st.sampled_from(['fes', 'meknes', 'rabat'])},
    optional={
        'api-keys': st.lists(st.sampled_from(KEYS), max_size=3),
        'priority': st.none() | st.integers(0, 9),
    },
)


@hypothesis.given(
    tenants=st.just(MISSING) | st.lists(tenant, max_size=3),
    is_public=st.booleans(),
    key=st.sampled_from([*KEYS, 'unknown']),
    age=st.sampled_from([0.0, TRUSTED_SECONDS, TRUSTED_SECONDS + 0.1]),
)
def test_only_holders_of_a_key_in_force_are_let_in(
    tenants, is_public, key, age
):
    """Configurations with no key in force used to let every caller in."""
    found = authenticate(decode(tenants, public=is_public), key, age)
    if is_public or tenants is MISSING:
        assert found == ''
    elif age > TRUSTED_SECONDS:
        assert found is failures.Reason.STORE_UNAVAILABLE
    else:
        holders = {t['name'] for t in tenants if key in t.get('api-keys', [])}
        if key and holders:
            assert found in holders
        else:
            assert found is failures.Reason.UNKNOWN_ORGANISATION


def test_an_empty_key_is_not_the_key_of_callers_that_send_none():
    decoded = decode([{'name': 'fes', 'api-keys': ['', 'k1']}])
    assert authenticate(decoded, '') is failures.Reason.UNKNOWN_ORGANISATION
    assert authenticate(decoded, 'k1') == 'fes'


@pytest.mark.parametrize('key', ['k1', 'k2', ''])
def test_no_key_counts_once_the_configuration_is_too_old(key):
    decoded = decode([{'name': 'fes', 'api-keys': ['k1']}])
    found = authenticate(decoded, key, TRUSTED_SECONDS + 0.1)
    assert found is failures.Reason.STORE_UNAVAILABLE
