"""Changes the paths of answers that pass servers which are lost."""

import dataclasses

import eventlet

from burdockmast.base import failures
from burdockmast.base import ids
from burdockmast.base import logs
from burdockmast.base import metrics
from burdockmast.base import outcomes
from burdockmast.base import timers
from burdockmast.gateway import backends
from burdockmast.gateway import interfaces
from burdockmast.gateway import jobs
from burdockmast.gateway import path_selector
from burdockmast.gateway import stream_attempts
from burdockmast.gateway import upstream
from burdockmast.gateway import view
from burdockmast.gateway.rerouting import decision
from burdockmast.gateway.rerouting import probes

LOG = logs.get('rerouting')

# Interval at which a silent attempt is looked at again, and the silence up to
# which it is. Later its caller is late anyway, and many attempts that are
# silent for long would take much of a small gateway's processor time.
RECHECK_SECONDS = 0.04
EARLY_SECONDS = 0.3
# Time for which an event shows that the servers of its path run. Most servers
# relay events of other answers after the last event of a silent one, and may
# have ended after that.
ACTIVE_SECONDS = 0.1
# Time that a change of the path, and then the changed path, gets for the next
# event before a new attempt is considered.
SETTLE_SECONDS = 0.3
# Orders for one change: servers may have no room, or be lost unnoticed.
MAX_ORDERS = 3


@dataclasses.dataclass(slots=True)
class _Change:
    """A change of an attempt's path.

    :ivar affected: indexes of the stages to replace
    :ivar failed: servers that can't take the request
    :ivar after: the path after the last order, empty before it
    :ivar failure: why that was not carried out
    """

    before: tuple[backends.Stage, ...]
    affected: set[int]
    failed: list[ids.ServerId] = dataclasses.field(default_factory=list)
    after: tuple[backends.Stage, ...] = ()
    failure: failures.Failure | None = None

    def learn(self, address: ids.Address) -> bool:
        """Take over which server an order failed at.

        Returns whether another order may help.
        """
        for index, stage in enumerate(self.before):
            if stage.server.address == address:
                self.affected.add(index)
                return index != 0
        for stage in self.after:
            if stage.server.address == address:
                self.failed.append(stage.server.id)
                return True
        return False


class Rerouter:
    """Changes paths of this gateway's streams."""

    def __init__(
        self,
        fleet: view.View,
        engines: interfaces.EngineClient,
        selector: path_selector.PathSelector,
        connections: probes.ConnectionProbes,
        measures: metrics.Metrics,
        is_enabled: bool = True,
    ):
        """Create a rerouter without state; attempts keep theirs.

        :param is_enabled: by the settings of the gateway
        """
        self._view = fleet
        self._engines = engines
        self._selector = selector
        self._connections = connections
        self._metrics = measures
        self._is_enabled = is_enabled

    def prepare(
        self, job: jobs.Job, attempt: stream_attempts.StreamAttempt
    ) -> None:
        """Let an attempt be looked at early where paths may change."""
        if self._is_on(job) and len(attempt.path) > 1:
            attempt.check_early(
                lambda longest_pause: decision.check_seconds(
                    job.route.gap_objective_seconds, longest_pause
                )
            )

    def _is_on(self, job: jobs.Job) -> bool:
        return (
            self._is_enabled
            and self._view.admission_policy(job.service.id).is_contended
        )

    def keep(
        self, job: jobs.Job, attempt: stream_attempts.StreamAttempt
    ) -> bool:
        """Change the path of a silent attempt if that helps.

        Returns whether the attempt is expected to go on.
        """
        if not attempt.is_checked_early:
            return False
        attempt.recheck_after(
            RECHECK_SECONDS
            if attempt.silent_seconds < EARLY_SECONDS
            else upstream.SILENCE_RECHECK_SECONDS
        )
        if attempt.is_rerouting:
            return self._has_time(attempt)
        since = max(attempt.silent_since, timers.now() - ACTIVE_SECONDS)
        inactive = [
            stage.server
            for stage in attempt.path
            if not self._view.all_active_since([stage.server.id], since)
        ]
        self._connections.ask(inactive, job.id)
        affected = decision.affected_stages(
            [self._state_of(job, stage, attempt) for stage in attempt.path],
            attempt.path_changes,
        )
        if affected:
            attempt.is_rerouting = True
            attempt.path_changes += 1
            attempt.rerouted_at = timers.now()
            eventlet.spawn_n(self._reroute, job, attempt, affected)
            return True
        return self._has_time(attempt)

    @staticmethod
    def _has_time(attempt: stream_attempts.StreamAttempt) -> bool:
        return timers.now() < attempt.rerouted_at + SETTLE_SECONDS

    def _state_of(
        self,
        job: jobs.Job,
        stage: backends.Stage,
        attempt: stream_attempts.StreamAttempt,
    ) -> decision.StageState:
        server = stage.server.id
        engine = job.service.engine
        return decision.StageState(
            self._view.is_lost(server),
            self._connections.unanswered_seconds(server),
            self._view.all_active_since([server], attempt.silent_since)
            or self._connections.has_accepted_since(
                server, attempt.silent_since
            ),
            2 * engine.zone_delay_ms / 1000 if engine else 0.0,
        )

    def _reroute(
        self,
        job: jobs.Job,
        attempt: stream_attempts.StreamAttempt,
        affected: tuple[int, ...],
    ) -> None:
        change = _Change(attempt.path, set(affected))
        try:
            self._change_path(job, attempt, change)
        except Exception:
            # Nobody waits for the result of this task.
            LOG.exception('path change failed unexpectedly')
            attempt.restore_path(change.before)
            change.after = ()
        finally:
            attempt.is_rerouting = False
        is_changed = bool(change.after) and change.failure is None
        if attempt.path == change.before:
            attempt.rerouted_at = float('-inf')
        self._metrics.count(
            'streams.path_changed'
            if is_changed
            else 'streams.path_change_failed'
        )
        LOG.info(
            'path of a stream is changed'
            if is_changed
            else 'path of a stream is not changed',
            extra={
                'request': job.id,
                'path': [s.server.id for s in change.before],
                'affected': [
                    change.before[i].server.id for i in sorted(change.affected)
                ],
                'new': [
                    f'{s.server.id}={s.first}-{s.end}'
                    for s in change.after
                    if s not in change.before
                ],
                'last_event': attempt.last_event_id,
                'silent': round(attempt.silent_seconds, 3),
                'failed': change.failed,
                'outcome': str(change.failure) if change.failure else '',
            },
        )

    def _change_path(
        self,
        job: jobs.Job,
        attempt: stream_attempts.StreamAttempt,
        change: _Change,
    ) -> None:
        """Order the change, with other servers if some can't take part."""
        for _ in range(MAX_ORDERS):
            change.after = self._selector.find_detour(
                job, change.before, change.affected, change.failed
            )
            if not change.after or not attempt.change_path(change.after):
                return
            change.failure = self._engines.change_path(job.id, change.after)
            if (
                change.failure is None
                or change.failure.outcome is outcomes.Outcome.UNKNOWN
            ):
                # An order without an answer may be carried out.
                attempt.rerouted_at = timers.now()
                return
            attempt.restore_path(change.before)
            if not change.learn(change.failure.peer):
                return
