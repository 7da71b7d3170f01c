"""A randomized soak: faults from outside on real processes, under load.

It checks the promises while it runs, from what callers and backend servers
see. All that a seed decides is its plan of faults and its requests; what
happens in between is up to the processes.
"""

from concurrent import futures
import dataclasses
import json
import math
import pathlib
import shutil
import tempfile
import time

import urllib3

from burdockmast.base import ids
from burdockmast.bench import soakplans
from burdockmast.fleet import changes
from burdockmast.standins import fleets
from burdockmast.standins import layouts
from burdockmast.standins import processes
from burdockmast.standins import tokens

ENGINE = layouts.Accelerator('soaked', 500.0, 0.0)
LAYOUT = layouts.Layout(
    groups=(layouts.Group(0, 12, 2, ENGINE), layouts.Group(12, 24, 2, ENGINE)),
    service_options=('--work-seconds', '0.05'),
)
OTHER_PRESET = ids.PresetId('other')
OTHER_LAYOUT = layouts.Layout(
    groups=(layouts.Group(0, 14, 2, ENGINE), layouts.Group(14, 24, 2, ENGINE))
)
CALLERS = 8
TOKENS = 40
# Deadline of each request.
DEADLINE_SECONDS = 10.0
# Seconds by which a reply may be late: an entry may be frozen for the longest
# fault, and the machine may be busy with other seeds.
SLACK_SECONDS = 15.0
# Time limit for a planned stop: running requests end by their deadlines.
STOP_SECONDS = DEADLINE_SECONDS + SLACK_SECONDS
# Seconds until a fleet without faults must serve everything again.
HEAL_SECONDS = 30.0
POLL_SECONDS = 0.05
BROKEN = (urllib3.exceptions.HTTPError, OSError)
# Seconds that a slow network adds one way, and a slow store to each call.
SLOW_NETWORK_SECONDS = 0.2
SLOW_STORE_SECONDS = 0.5


@dataclasses.dataclass(slots=True)
class Report:
    """What a play found.

    :ivar violations: promises that were broken, empty if all was well
    """

    seed: int
    strikes: list[soakplans.Strike]
    answered: int = 0
    refused: int = 0
    cut: int = 0
    violations: list[str] = dataclasses.field(default_factory=list)


def play(seed: int, kept: pathlib.Path | None = None) -> Report:
    """Play one seed on a fleet of its own.

    :param kept: where logs go if a promise is broken; None to drop them
    """
    with tempfile.TemporaryDirectory() as folder:
        fleet = fleets.Fleet(pathlib.Path(folder), LAYOUT)
        try:
            fleet.start_all(relay_sides=True)
            fleet.operate(changes.PutPreset(OTHER_LAYOUT.preset(OTHER_PRESET)))
            report = Play(fleet, seed).run()
        finally:
            fleet.close()
        if report.violations and kept:
            shutil.copytree(folder, kept / f'seed-{seed}', dirs_exist_ok=True)
        return report


class Play:
    """One seed on one fleet."""

    def __init__(self, fleet: fleets.Fleet, seed: int):
        """Plan a play."""
        engines = [str(server) for server, _ in fleet.layout.engines()]
        servers = [str(server.id) for server in fleet.servers]
        strikes = soakplans.plan(seed, servers, engines, fleet.entries)
        self.report = Report(seed, strikes)
        self._fleet = fleet
        self._began = time.monotonic()
        self._version_by_entry: dict[str, int] = {}
        # Entries that were killed, whose callers may see a cut.
        self._killed: set[str] = set()
        # Seconds at which faults began and ended, later than planned if a stop
        # or the machine was slow.
        self._began_at: dict[soakplans.Strike, float] = {}
        self._ended_at: dict[soakplans.Strike, float] = {}
        self._is_over = False

    def run(self) -> Report:
        """Play to the end."""
        with futures.ThreadPoolExecutor(2 * CALLERS + 1) as pool:
            self._began = time.monotonic()
            tasks = [pool.submit(self._answers, n) for n in range(CALLERS)]
            tasks += [pool.submit(self._commands, n) for n in range(CALLERS)]
            tasks.append(pool.submit(self._watch_versions))
            try:
                self._strike_all()
            finally:
                self._is_over = True
            for task in tasks:
                task.result()
        self._check_healed()
        return self.report

    # Faults.

    def _strike_all(self) -> None:
        due = [(s.begin, True, s) for s in self.report.strikes]
        due += [(s.end, False, s) for s in self.report.strikes]
        for at, is_begin, strike in sorted(due, key=lambda d: d[:2]):
            self._sleep_until(at)
            if is_begin:
                self._begin(strike)
                self._began_at[strike] = time.monotonic() - self._began
            else:
                self._end(strike)
                self._ended_at[strike] = time.monotonic() - self._began
        self._sleep_until(soakplans.PLAY_SECONDS)

    def _sleep_until(self, at: float) -> None:
        time.sleep(max(0.0, self._began + at - time.monotonic()))

    def _begin(self, strike: soakplans.Strike) -> None:
        fleet, target = self._fleet, strike.target
        match strike.fault:
            case soakplans.Fault.KILLED:
                self._killed.add(target)
                fleet.kill(target)
            case soakplans.Fault.STOPPED:
                fleet.process_by_name[target].terminate()
            case soakplans.Fault.FROZEN:
                fleet.freeze(target)
            case soakplans.Fault.CONNECTIONS_CUT:
                self._network(target, cut_open=True)
            case soakplans.Fault.CONNECTIONS_SILENT:
                self._network(target, silence_open=True)
            case soakplans.Fault.NETWORK_SLOW:
                self._network(target, delay=SLOW_NETWORK_SECONDS)
            case soakplans.Fault.NETWORK_GONE:
                self._network(target, silence_open=True, refuse=True)
            case soakplans.Fault.STORE_OUT:
                fleet.set_faults(target, outage=True)
            case soakplans.Fault.STORE_SLOW:
                fleet.set_faults(target, delay=SLOW_STORE_SECONDS)
            case soakplans.Fault.STORE_SILENT:
                fleet.set_faults(target, silent=True)
            case soakplans.Fault.STORE_LOSES_ANSWERS:
                fleet.set_faults(target, lose_answers=3)
            case soakplans.Fault.PRESET_SWITCHED:
                self._switch(fleets.PRESET, OTHER_PRESET)

    def _end(self, strike: soakplans.Strike) -> None:
        fleet, target = self._fleet, strike.target
        match strike.fault:
            case soakplans.Fault.KILLED:
                fleet.start(target)
            case soakplans.Fault.STOPPED:
                self._await_stop(strike)
                fleet.start(target)
            case soakplans.Fault.FROZEN:
                fleet.thaw(target)
            case soakplans.Fault.PRESET_SWITCHED:
                self._switch(OTHER_PRESET, fleets.PRESET)
            case fault if fault in soakplans.FAULTS_OF_NETWORKS:
                self._network(target)
            case _:
                fleet.set_faults(target)

    def _await_stop(self, strike: soakplans.Strike) -> None:
        """Wait until a stopped process has ended, which must not last."""
        process = self._fleet.process_by_name.pop(strike.target)
        if process.poll() is not None:
            return
        process.wait()
        seconds = time.monotonic() - self._began - self._began_at[strike]
        if seconds > STOP_SECONDS:
            self._violated(f'{strike.target} took {seconds:.1f} s to stop')

    def _network(self, relay: str, **faults: object) -> None:
        self._fleet.post_json(f'{relay}-control', '/network', faults)

    def _switch(self, before: ids.PresetId, after: ids.PresetId) -> None:
        """Switch as an operator does, who may be refused in an outage."""
        self._fleet.writer('soak').submit(changes.SwitchPreset(after, before))

    # Callers.

    def _answers(self, caller: int) -> None:
        number = 0
        while not self._is_over:
            number += 1
            prompt = [caller, number]
            entry = self._fleet.entries[(caller + number) % 2]
            self._ask(entry, prompt)

    def _ask(self, entry: str, prompt: list[int]) -> None:
        began = time.monotonic()
        try:
            reply = self._fleet.complete(
                prompt, TOKENS, entry, **self._deadline()
            )
        except BROKEN as error:
            self._note_cut(entry, f'answer {prompt}', error)
            return
        self._check_time(f'answer {prompt}', began)
        if reply.status != 200:
            self.report.refused += 1
            return
        content = json.loads(reply.data)['choices'][0]['message']['content']
        found = [int(word) for word in content.split()]
        if found != tokens.expected(prompt, TOKENS, LAYOUT.layers):
            self._violated(f'answer {prompt} has wrong tokens: {found}')
        self.report.answered += 1

    def _commands(self, caller: int) -> None:
        number = 0
        while not self._is_over:
            number += 1
            key = f'soak-{caller}-{number}'
            outcomes = [
                self._command(self._fleet.entries[turn % 2], key)
                for turn in (caller, caller + 1)
            ]
            self._check_runs(key, outcomes)

    def _command(self, entry: str, key: str) -> str:
        """Send a command; return what is said of its outcome."""
        began = time.monotonic()
        try:
            reply = self._fleet.call(
                f'{layouts.SERVICE}/ship',
                '{}',
                entry,
                **{'Idempotency-Key': key, **self._deadline()},
            )
        except BROKEN as error:
            self._note_cut(entry, f'command {key}', error)
            return 'cut'
        self._check_time(f'command {key}', began)
        return reply.headers['Burdockmast-Outcome']

    def _deadline(self) -> dict[str, str]:
        return {'Burdockmast-Deadline': str(DEADLINE_SECONDS)}

    def _check_runs(self, key: str, outcomes: list[str]) -> None:
        runs = self._fleet.runs().get(key, 0)
        if runs > 1:
            self._violated(f'command {key} ran {runs} times: {outcomes}')
        if 'ran' in outcomes and runs != 1:
            self._violated(f'command {key} ran {runs} times, not once')
        if set(outcomes) == {'not_run'} and runs:
            self._violated(f'command {key} has run: {outcomes}')

    def _note_cut(self, entry: str, what: str, error: Exception) -> None:
        self.report.cut += 1
        if not self._is_excused(entry, error):
            self._violated(f'{what} through {entry} was cut: {error!r}')

    def _is_excused(self, entry: str, error: Exception) -> bool:
        """Tell whether a fault of an entry explains a broken connection.

        A planned stop explains only connections that were refused, since a
        caller may then safely ask elsewhere. A fault explains them until
        shortly after its real end: a planned stop waits for running requests.
        """
        if entry in self._killed:
            return True
        now = time.monotonic() - self._began
        faults = {
            strike.fault
            for strike in self.report.strikes
            if strike.target == entry
            and strike.begin
            <= now
            <= self._ended_at.get(strike, math.inf) + DEADLINE_SECONDS
        }
        if isinstance(error, urllib3.exceptions.NewConnectionError):
            return bool(faults)
        return soakplans.Fault.FROZEN in faults

    def _check_time(self, what: str, began: float) -> None:
        seconds = time.monotonic() - began
        if seconds > DEADLINE_SECONDS + SLACK_SECONDS:
            self._violated(f'{what} took {seconds:.1f} s')

    # Promises about the fleet.

    def _watch_versions(self) -> None:
        while not self._is_over:
            for entry in self._fleet.entries:
                state = self._fleet.get_json(entry, '/readyz')
                if state and state['version']:
                    self._check_version(entry, state['version'])
            time.sleep(POLL_SECONDS)

    def _check_version(self, entry: str, version: int) -> None:
        before = self._version_by_entry.get(entry, 0)
        if version < before:
            self._violated(f'{entry} went from {before} back to {version}')
        self._version_by_entry[entry] = version

    def _check_healed(self) -> None:
        for entry in self._fleet.entries:
            try:
                processes.wait_until(
                    lambda e=entry: self._serves(e), entry, HEAL_SECONDS
                )
            except processes.NotReady as error:
                self._violated(f'after all faults: {error}')

    def _serves(self, entry: str) -> bool:
        try:
            return self._fleet.serves(entry)
        except BROKEN:
            return False

    def _violated(self, what: str) -> None:
        at = time.monotonic() - self._began
        self.report.violations.append(f'{at:.2f} s: {what}')
