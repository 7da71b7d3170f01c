"""Lets requests that may crash servers go on one at a time."""

from collections.abc import Collection

import eventlet

from burdockmast.base import failures
from burdockmast.base import ids
from burdockmast.base import logs
from burdockmast.base import timers
from burdockmast.gateway import crash_suspects
from burdockmast.gateway import jobs

LOG = logs.get('suspects')

# Longest wait of a request for others to be tried.
MAX_WAIT_SECONDS = 1.0
POLL_SECONDS = 0.02
# Retry-After for requests that waited in vain.
RETRY_AFTER_SECONDS = 0.3


def wait_for_turn(
    suspects: crash_suspects.CrashSuspects,
    job: jobs.Job,
    fingerprints: Collection[ids.Fingerprint],
) -> crash_suspects.Verdict | failures.Failure:
    """Return how the request may be sent, once it may be.

    A request that is in quarantine is rejected at once.
    """
    until = min(timers.now() + MAX_WAIT_SECONDS, job.deadline)
    while True:
        verdict = suspects.judge(fingerprints)
        if verdict is crash_suspects.Verdict.REJECT:
            return suspects.rejection(fingerprints)
        if (
            verdict is not crash_suspects.Verdict.TRY_ALONE
            or not suspects.is_trial_running(fingerprints)
        ):
            break
        if timers.now() >= until:
            return failures.Failure(
                failures.Reason.OVERLOADED,
                'stream.trial',
                detail='other requests with a part of this prompt, which may '
                'crash servers, are tried first',
                retry_after=RETRY_AFTER_SECONDS,
            )
        eventlet.sleep(POLL_SECONDS)
    if verdict is not crash_suspects.Verdict.SOUND:
        LOG.info(
            'request may crash servers; keeping it from others',
            extra={
                'request': job.id,
                'verdict': verdict.value,
                'crashes': suspects.counts(fingerprints),
            },
        )
    return verdict
