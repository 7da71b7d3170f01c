"""API keys: who may send requests, whatever keys a configuration holds."""

import eventlet
import platforms
import pytest

REVOKED = 'k1'
UNKNOWN = 'never-held'
# Key revocation time in the gateway's settings.
REVOKE_SECONDS = 5.0
PUBLIC_ROUTE = {
    **platforms.CONFIGURATION['routes'][-1],
    'name': 'open',
    'path-prefix': '/open/',
    'public': True,
}


def configuration(version, **changed):
    found = {
        **platforms.CONFIGURATION,
        'routes': [*platforms.CONFIGURATION['routes'], PUBLIC_ROUTE],
        'version': version,
        **changed,
    }
    return {key: value for key, value in found.items() if value is not None}


def write(platform, version, **changed):
    """Write a configuration and wait until it is in force."""
    marker = {**PUBLIC_ROUTE, 'path-prefix': f'/version-{version}/'}
    written = configuration(version, **changed)
    written['routes'] = [*written['routes'], marker]
    platform.store.put('config', 'main', written)
    platform.wait_for(lambda: platform.ask(f'/version-{version}/x')[0] == 200)
    for app in platform.apps:
        app.requests.clear()


def statuses(platform, key, path='/confirm/x'):
    """Return the status of a few requests with a key, or without one."""
    given = {'Burdockmast_Key': key}
    return {platform.ask(path, **given)[0] for _ in range(3)}


def assert_nobody_may_call(platform, status=401):
    for key in (REVOKED, UNKNOWN, None, ''):
        assert statuses(platform, key) == {status}, key
    assert not platforms.requests_at(platform.apps)


@pytest.mark.parametrize(
    'tenants',
    [
        [{'name': 'fes', 'api-keys': []}, {'name': 'meknes', 'api-keys': []}],
        [{'name': 'fes'}],
        [],
    ],
    ids=['all revoked', 'never had a key', 'no organisation'],
)
def test_nobody_may_call_once_no_key_is_in_force(platform, tenants):
    """Revoking the last key used to let every caller in."""
    write(platform, 9, tenants=tenants)
    assert_nobody_may_call(platform)
    assert statuses(platform, None, '/open/x') == {200}
    write(platform, 10, tenants=[{'name': 'fes', 'api-keys': ['new']}])
    assert statuses(platform, 'new') == {200}
    platform.apps[0].requests.clear()
    platform.apps[1].requests.clear()
    assert_nobody_may_call(platform)


def test_nobody_may_call_a_gateway_that_starts_without_keys_in_force(platform):
    write(platform, 9, tenants=[{'name': 'fes', 'api-keys': []}])
    platform.stop()
    platform.launch()
    platform.wait_for(platform.is_ready)
    platform.wait_for(lambda: platform.ask('/open/x')[0] == 200)
    for app in platform.apps:
        app.requests.clear()
    assert_nobody_may_call(platform)


def test_nobody_may_call_without_keys_in_force_while_the_store_is_away(
    platform,
):
    write(platform, 9, tenants=[{'name': 'fes', 'api-keys': []}])
    platform.store.is_down = True
    assert_nobody_may_call(platform)
    platform.wait_for(lambda: statuses(platform, REVOKED) == {503})
    assert_nobody_may_call(platform, 503)
    assert statuses(platform, None, '/open/x') == {200}


def test_no_key_is_asked_for_without_a_list_of_organisations(platform):
    write(platform, 9, tenants=None)
    for key in (REVOKED, UNKNOWN, None):
        assert statuses(platform, key) == {200}
    for seen in platforms.requests_at(platform.apps):
        assert 'burdockmast-tenant' not in seen.header_by_name
        assert 'burdockmast-key' not in seen.header_by_name


@pytest.mark.parametrize('is_deleted', [False, True], ids=['odd', 'deleted'])
def test_no_key_is_trusted_long_after_the_configuration_became_unreadable(
    platform, is_deleted
):
    """A version that can't be read may have revoked any key."""
    write(platform, 9)
    if is_deleted:
        platform.store.remove('config', 'main')
    else:
        odd = {**configuration(10), 'routes': 7}
        platform.store.put('config', 'main', odd)
    assert statuses(platform, REVOKED) == {200}
    eventlet.sleep(REVOKE_SECONDS)
    for app in platform.apps:
        app.requests.clear()
    assert_nobody_may_call(platform, 503)
    assert not platform.is_ready()
    assert statuses(platform, None, '/open/x') == {200}
    write(platform, 11)
    assert statuses(platform, REVOKED) == {200}
    assert platform.is_ready()


def test_no_key_is_trusted_once_the_list_of_organisations_is_unreadable(
    platform,
):
    """The version is in force, and may have revoked any key."""
    write(platform, 9)
    platform.store.put('config', 'main', configuration(10, tenants=7))
    platform.wait_for(lambda: statuses(platform, REVOKED) == {503})
    for app in platform.apps:
        app.requests.clear()
    assert_nobody_may_call(platform, 503)
    assert statuses(platform, None, '/open/x') == {200}
    write(platform, 11)
    assert statuses(platform, REVOKED) == {200}
