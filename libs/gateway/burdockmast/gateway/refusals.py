"""Refusals of requests that the configuration can't place."""

from burdockmast.base import failures

# Retry-After value while the configuration is not known to be current. Outages
# of the store last for seconds.
STORE_RETRY_AFTER_SECONDS = 1.0


def stale_configuration(age_seconds: float) -> failures.Failure:
    """Return the refusal of a request that a newer version might allow."""
    return unavailable(f'configuration last confirmed {age_seconds:.1f} s ago')


def unavailable(detail: str) -> failures.Failure:
    """Return the refusal of a request that another version might place."""
    return failures.Failure(
        failures.Reason.STORE_UNAVAILABLE,
        'request.configuration',
        detail=detail,
        retry_after=STORE_RETRY_AFTER_SECONDS,
    )
