"""Decides on behalf of which organisation a request is made."""

from burdockmast.base import failures
from burdockmast.base import ids
from burdockmast.gateway import config
from burdockmast.gateway import refusals

# Of requests that need no API key.
ANONYMOUS = config.Organisation(ids.OrganisationId(''), None)


def authenticate(
    configuration: config.Configuration,
    route: config.Route,
    api_key: str,
    age_seconds: float,
    trusted_seconds: float,
) -> config.Organisation | failures.Failure:
    """Return the organisation that holds a request's API key.

    One lookup for each request, however many keys there are.

    :param api_key: as sent, empty if there is none
    :param age_seconds: since the configuration was last known to be current
    :param trusted_seconds: age up to which its keys are accepted
    """
    if route.is_public:
        return ANONYMOUS
    match configuration.authentication:
        case config.NoAuthentication():
            return ANONYMOUS
        case config.ApiKeyAuthentication(
            organisation_by_api_key=holders, is_complete=is_complete
        ):
            if age_seconds > trusted_seconds:
                return refusals.stale_configuration(age_seconds)
            holder = holders.get(api_key)
            if holder is None and not is_complete:
                return refusals.unavailable(
                    f'not all keys of configuration {configuration.version} '
                    'can be read'
                )
            if holder is None:
                return failures.Failure(
                    failures.Reason.UNKNOWN_ORGANISATION,
                    'request.key',
                    detail=f'key not in configuration {configuration.version}',
                )
            return holder
