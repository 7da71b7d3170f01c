"""Finds the parts of prompts, and the requests, that crash servers.

The load: requests that share one part of their prompts crash each server that
begins to run them. They come at any gateway, together with sound requests that
share their callers, their other parts and their servers.

Each request has fingerprints: the parts of its prompt, and a digest of what it
asks for. Those of requests that had not run for long when their server crashed
are accused of that crash. Requests that it had just begun to answer come
first: the rest may only have waited there.

An accusation ends when a request with the fingerprint runs well after the
crash. Crashes count if the request was sent after the one counted before, so
that servers that are lost together count as one crash.

Gateways tell each other all accusations and the requests that ran well, so
that what one of them learns holds for all.
"""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
import dataclasses
import enum
import hashlib
import heapq

import msgspec

from burdockmast.base import failures
from burdockmast.base import ids
from burdockmast.base import timers
from burdockmast.gateway import backends
from burdockmast.gateway import interfaces

# Crashes in a row from which a request is tried alone, and from which it is
# rejected.
TRIAL_CRASHES = 2
QUARANTINE_CRASHES = 3
# Time after which a trial that has not begun no longer holds others back.
MAX_TRIAL_SECONDS = 1.0
# Time that a request must run after its first event to be taken for sound.
SURVIVAL_SECONDS = 0.3
# Time after its first event for which a request counts as just begun.
BEGIN_SECONDS = 0.1
# Age at which an accusation no longer counts.
ACCUSATION_TTL_SECONDS = 600.0
# Age at which other gateways are no longer told an accusation, unless its
# fingerprint is in quarantine.
NEWS_SECONDS = 10.0
# By how much the times of two crashes that others tell may be out of order.
ORDER_TOLERANCE_SECONDS = 0.002
# Most accusations, and most fingerprints that ran well, in one message.
MAX_NEWS_ITEMS = 64
# Most fingerprints that are kept, of either sort.
MAX_FINGERPRINTS = 4096
# Most crashes that are kept of one fingerprint.
MAX_CRASHES = 16
DIGEST_BYTES = 8
DIGEST_MARK = ' request '


class Verdict(enum.Enum):
    """How a request may be sent to servers."""

    SOUND = 'sound'
    # At a server with few other requests.
    ISOLATE = 'isolate'
    # The same, and only one such request at a time.
    TRY_ALONE = 'try_alone'
    REJECT = 'reject'


class Accusation(msgspec.Struct, frozen=True, array_like=True):
    """A crash at which a request with a fingerprint was at the server.

    :ivar crash: names the server and its incarnation
    :ivar sent_age: seconds since the request was sent
    :ivar age: seconds since the crash
    :ivar was_answering: the server had just begun to answer the request
    """

    fingerprint: ids.Fingerprint
    crash: str
    sent_age: float
    age: float
    was_answering: bool


class CrashNews(msgspec.Struct, frozen=True, array_like=True):
    """What a gateway tells others of crashes.

    :ivar sound: seconds since a request with an accused fingerprint began to
        run well
    """

    accusations: list[Accusation]
    sound: dict[ids.Fingerprint, float]


@dataclasses.dataclass(frozen=True, slots=True)
class _Crash:
    """When a request was sent and its server crashed, monotonic seconds.

    :ivar was_answering: the server had just begun to answer the request
    """

    sent_at: float
    at: float
    was_answering: bool


@dataclasses.dataclass(eq=False, slots=True)
class Attempt:
    """A request that is at a server.

    :ivar sent_at: monotonic seconds
    :ivar begun_at: monotonic seconds of its first event, None before that
    :ivar has_head: the head of the reply has been received
    """

    fingerprints: tuple[ids.Fingerprint, ...]
    server: backends.BackendServer
    sent_at: float
    begun_at: float | None = None
    has_head: bool = False


def fingerprints_of(
    request: interfaces.CallerRequest,
    service: ids.ServiceId,
    organisation: ids.OrganisationId,
) -> tuple[ids.Fingerprint, ...]:
    """Return what a request has in common with others that may crash."""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for text in (request.method, request.target, organisation):
        digest.update(text.encode() + b'\n')
    digest.update(request.body)
    parts = (f'{service} part {part}' for part in request.prompt_parts)
    return tuple(
        ids.Fingerprint(text)
        for text in (*parts, f'{service}{DIGEST_MARK}{digest.hexdigest()}')
    )


def _is_digest(fingerprint: ids.Fingerprint) -> bool:
    return DIGEST_MARK in fingerprint


class CrashSuspects:
    """What one gateway knows of requests that crash servers."""

    def __init__(self, now: Callable[[], float] = timers.now):
        """Create a record without crashes."""
        self._now = now
        self._crashes: dict[ids.Fingerprint, dict[str, _Crash]] = {}
        self._sound_at: dict[ids.Fingerprint, float] = {}
        self._heard_at: dict[ids.Fingerprint, float] = {}
        self._running: dict[ids.Fingerprint, set[Attempt]] = {}
        # By crash, fingerprints of requests that servers just began to answer.
        self._answering: dict[str, set[ids.Fingerprint]] = {}

    def track(
        self,
        fingerprints: tuple[ids.Fingerprint, ...],
        server: backends.BackendServer,
    ) -> Attempt:
        """Record that a request is sent to a server."""
        attempt = Attempt(fingerprints, server, self._now())
        for fingerprint in fingerprints:
            self._running.setdefault(fingerprint, set()).add(attempt)
        return attempt

    def untrack(self, attempt: Attempt) -> None:
        """Record that a request is no longer at its server."""
        for fingerprint in attempt.fingerprints:
            running = self._running.get(fingerprint, set())
            running.discard(attempt)
            if not running:
                self._running.pop(fingerprint, None)

    def record_head(self, attempt: Attempt) -> None:
        """Record that the server has begun to answer."""
        attempt.has_head = True

    def record_event(self, attempt: Attempt) -> None:
        """Record that the server has sent a part of its answer."""
        now = self._now()
        if attempt.begun_at is None:
            attempt.begun_at = now
        elif now - attempt.begun_at >= SURVIVAL_SECONDS:
            self._record_sound(attempt.fingerprints, attempt.begun_at)

    def record_answer(self, attempt: Attempt) -> None:
        """Record that a server has answered a request to its end."""
        begun_at = attempt.begun_at or self._now()
        self._record_sound(attempt.fingerprints, begun_at)

    def record_crash(self, attempt: Attempt, at: float | None = None) -> None:
        """Accuse a request's fingerprints of the crash of its server.

        :param at: monotonic seconds of the crash, None for now
        """
        if at is None:
            at = self._now()
        if attempt.begun_at and at - attempt.begun_at >= SURVIVAL_SECONDS:
            return
        crash = f'{attempt.server.id}@{attempt.server.started_ms}'
        for fingerprint in attempt.fingerprints:
            self._accuse(
                fingerprint,
                crash,
                _Crash(attempt.sent_at, at, _has_just_begun(attempt, at)),
            )

    def _accuse(
        self, fingerprint: ids.Fingerprint, name: str, crash: _Crash
    ) -> None:
        crashes = self._crashes.setdefault(fingerprint, {})
        while name in crashes and crashes[name].at <= crash.sent_at:
            # The server crashed again before its new start was listed.
            name += '+'
        if name not in crashes or crash.was_answering:
            crashes[name] = crash
        if crash.was_answering:
            self._answering.setdefault(name, set()).add(fingerprint)
            self._limit(self._answering)
        self._heard_at[fingerprint] = self._now()
        if len(crashes) > MAX_CRASHES:
            del crashes[min(crashes, key=lambda n: crashes[n].at)]
        self._limit(self._crashes)
        self._limit(self._heard_at)

    def _record_sound(
        self, fingerprints: Iterable[ids.Fingerprint], begun_at: float
    ) -> None:
        for fingerprint in fingerprints:
            before = self._sound_at.pop(fingerprint, begun_at)
            self._sound_at[fingerprint] = max(before, begun_at)
        self._limit(self._sound_at)

    def _limit(self, known: dict[str, object]) -> None:
        while len(known) > MAX_FINGERPRINTS:
            del known[next(iter(known))]

    def _open_crashes(self, fingerprint: ids.Fingerprint) -> dict[str, _Crash]:
        """Return the crashes since which no such request ran well.

        Those are left out of which a request is accused that the server had
        just begun to answer, if this one only waited there.
        """
        crashes = self._crashes.get(fingerprint)
        if not crashes:
            return {}
        sound_at = self._last_sound_at(fingerprint)
        return {
            name: crash
            for name, crash in crashes.items()
            if crash.at > sound_at
            and (crash.was_answering or not self._has_answered_cause(name))
        }

    def _last_sound_at(self, fingerprint: ids.Fingerprint) -> float:
        """Return when a request began that ran well; older crashes expire."""
        return max(
            self._sound_at.get(fingerprint, float('-inf')),
            self._now() - ACCUSATION_TTL_SECONDS,
            *(
                attempt.begun_at
                for attempt in self._running.get(fingerprint, ())
                if attempt.begun_at is not None
            ),
        )

    def _has_answered_cause(self, name: str) -> bool:
        """Return whether a request that was answered is still accused."""
        for fingerprint in self._answering.get(name, ()):
            crash = self._crashes.get(fingerprint, {}).get(name)
            if crash and crash.at > self._last_sound_at(fingerprint):
                return True
        return False

    def count(self, fingerprint: ids.Fingerprint) -> int:
        """Return the number of crashes in a row."""
        return _crashes_in_a_row(self._open_crashes(fingerprint).values())

    def counts(
        self, fingerprints: Iterable[ids.Fingerprint]
    ) -> dict[ids.Fingerprint, int]:
        """Return the crashes in a row of accused fingerprints, for logs."""
        found = {f: self.count(f) for f in fingerprints}
        return {f: count for f, count in found.items() if count}

    def judge(self, fingerprints: Collection[ids.Fingerprint]) -> Verdict:
        """Return how a request with these fingerprints may be sent."""
        verdict = Verdict.SOUND
        for fingerprint in fingerprints:
            if fingerprint not in self._crashes:
                continue
            crashes = self._open_crashes(fingerprint)
            match _crashes_in_a_row(crashes.values()):
                case 0:
                    continue
                case count if count < TRIAL_CRASHES:
                    if verdict is Verdict.SOUND:
                        verdict = Verdict.ISOLATE
                case count if count >= QUARANTINE_CRASHES and (
                    not self._has_other_cause(
                        fingerprint, crashes, fingerprints
                    )
                ):
                    return Verdict.REJECT
                case _:
                    verdict = Verdict.TRY_ALONE
        return verdict

    def rejection(
        self, fingerprints: Iterable[ids.Fingerprint]
    ) -> failures.Failure:
        """Return the failure of a request that is in quarantine."""
        worst = max(fingerprints, key=self.count)
        crashes = self._open_crashes(worst)
        age = self._now() - max(c.at for c in crashes.values())
        return failures.Failure(
            failures.Reason.CRASHES_SERVERS,
            'request.quarantine',
            detail=f'{worst} has crashed {len(crashes)} servers, the last '
            f'{age:.1f} s ago',
            retry_after=max(1.0, ACCUSATION_TTL_SECONDS - age),
        )

    def _has_other_cause(
        self,
        accused: ids.Fingerprint,
        crashes: Collection[str],
        fingerprints: Collection[ids.Fingerprint],
    ) -> bool:
        """Return whether a fingerprint of others explains all crashes.

        If requests with the accused one never ran well, only a part of prompts
        does of which that is also true.
        """
        ran_well = accused in self._sound_at
        return any(
            other not in fingerprints
            and (
                ran_well
                or (other not in self._sound_at and not _is_digest(other))
            )
            and all(crash in known for crash in crashes)
            and all(crash in self._open_crashes(other) for crash in crashes)
            for other, known in self._crashes.items()
        )

    def is_trial_running(
        self, fingerprints: Iterable[ids.Fingerprint]
    ) -> bool:
        """Return whether a request to be tried alone has not begun yet.

        One whose server sends nothing for long is not waited for.
        """
        since = self._now() - MAX_TRIAL_SECONDS
        return any(
            attempt.begun_at is None and attempt.sent_at > since
            for fingerprint in fingerprints
            if self.count(fingerprint) >= TRIAL_CRASHES
            for attempt in self._running.get(fingerprint, ())
        )

    def quarantined(self) -> list[interfaces.QuarantineRecord]:
        """Return the fingerprints whose crashes suffice for a quarantine."""
        found = []
        for fingerprint in self._crashes:
            crashes = self._open_crashes(fingerprint)
            if _crashes_in_a_row(crashes.values()) >= QUARANTINE_CRASHES:
                age = self._now() - max(c.at for c in crashes.values())
                found.append(
                    interfaces.QuarantineRecord(
                        fingerprint, tuple(sorted(crashes)), age
                    )
                )
        return found

    def restore(self, record: interfaces.QuarantineRecord) -> None:
        """Take over a quarantine that was kept in the store."""
        at = self._now() - record.age_seconds
        for name in record.crashes:
            # In a row, though their times were not kept.
            self._accuse(
                record.fingerprint, name, _Crash(at - 0.001, at, True)
            )
            at += 0.001

    def news(self) -> CrashNews | None:
        """Return what to tell other gateways, None if that is nothing."""
        self._drop_expired()
        now = self._now()
        ranked: list[tuple[int, float, Accusation]] = []
        sound: dict[ids.Fingerprint, float] = {}
        for fingerprint, heard_at in self._heard_at.items():
            is_new = now - heard_at < NEWS_SECONDS
            if is_new and fingerprint in self._sound_at:
                sound[fingerprint] = now - self._sound_at[fingerprint]
            crashes = self._open_crashes(fingerprint)
            count = _crashes_in_a_row(crashes.values())
            if is_new or count >= QUARANTINE_CRASHES:
                ranked += [
                    (
                        -count,
                        now - crash.at,
                        Accusation(
                            fingerprint,
                            name,
                            now - crash.sent_at,
                            now - crash.at,
                            crash.was_answering,
                        ),
                    )
                    for name, crash in crashes.items()
                ]
        if not ranked and not sound:
            return None
        first = heapq.nsmallest(MAX_NEWS_ITEMS, ranked, key=lambda r: r[:2])
        newest = heapq.nsmallest(
            MAX_NEWS_ITEMS, sound.items(), key=lambda item: item[1]
        )
        return CrashNews([told for _, _, told in first], dict(newest))

    def receive(self, news: CrashNews) -> None:
        """Take over what another gateway tells."""
        now = self._now()
        for fingerprint, age in news.sound.items():
            self._record_sound((fingerprint,), now - max(0.0, age))
        for told in news.accusations:
            known = self._crashes.get(told.fingerprint, {})
            if told.crash in known and (
                known[told.crash].was_answering or not told.was_answering
            ):
                known[told.crash] = _least_delayed(
                    known[told.crash], now - told.sent_age, now - told.age
                )
                if now - known[told.crash].at < ACCUSATION_TTL_SECONDS:
                    if self._is_sound_since(told.fingerprint, known):
                        # The sender has not heard that yet.
                        self._heard_at[told.fingerprint] = now
                continue
            crash = _Crash(
                now - told.sent_age,
                now - max(0.0, told.age),
                told.was_answering,
            )
            self._accuse(told.fingerprint, told.crash, crash)

    def _is_sound_since(
        self, fingerprint: ids.Fingerprint, crashes: dict[str, _Crash]
    ) -> bool:
        sound_at = self._sound_at.get(fingerprint, float('-inf'))
        return all(crash.at <= sound_at for crash in crashes.values())

    def _drop_expired(self) -> None:
        oldest = self._now() - ACCUSATION_TTL_SECONDS
        for fingerprint, crashes in list(self._crashes.items()):
            if all(crash.at <= oldest for crash in crashes.values()):
                del self._crashes[fingerprint]
                self._heard_at.pop(fingerprint, None)


def _least_delayed(crash: _Crash, sent_at: float, at: float) -> _Crash:
    """Return a crash with the earlier times that are known of it.

    Times that others tell are late by how long each message takes, and a
    retry is sent within a millisecond of the crash before it.
    """
    if at >= crash.at:
        return crash
    return dataclasses.replace(crash, sent_at=sent_at, at=at)


def _has_just_begun(attempt: Attempt, now: float) -> bool:
    """Return whether a server has just begun to answer."""
    return attempt.has_head and (
        attempt.begun_at is None or now - attempt.begun_at < BEGIN_SECONDS
    )


def _crashes_in_a_row(crashes: Iterable[_Crash]) -> int:
    """Count crashes of requests that were sent after the one before."""
    count = 0
    last_at = float('-inf')
    for crash in sorted(crashes, key=lambda c: c.at):
        if crash.sent_at >= last_at - ORDER_TOLERANCE_SECONDS:
            count += 1
            last_at = crash.at
    return count
