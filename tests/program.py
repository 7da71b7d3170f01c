"""Runs the real program for tests."""

import json
import subprocess
import sys

from burdockmast.standins import fleets
from burdockmast.standins import layouts
from burdockmast.standins import processes
from burdockmast.standins import tokens

LAYERS = layouts.Layout().layers
MODEL = layouts.MODEL
# Slow enough that answers are under way when a fault comes.
UNHURRIED = layouts.Accelerator('unhurried', 1000.0, 0.0)
wait_until = processes.wait_until
request = fleets.request


def run_command(*arguments, timeout=60):
    """Run ``burdockmast`` once; return the completed process."""
    return subprocess.run(
        [sys.executable, '-m', fleets.DAEMON, *arguments],
        capture_output=True,
        text=True,
        timeout=timeout,
    )


def run_on(fleet, *arguments):
    """Run an operator's command on a fleet."""
    return run_command(*arguments, '--store', fleet.url('store'))


def answer_tokens(response):
    """Return the tokens of a complete answer."""
    assert response.status == 200, response.data
    content = json.loads(response.data)['choices'][0]['message']['content']
    return [int(word) for word in content.split()]


def streamed_tokens(data):
    """Return the tokens of a streamed answer that must be complete."""
    events = data.decode().split('\n\n')
    assert events[-2:] == ['data: [DONE]', ''], events[-3:]
    found = []
    for event in events[:-2]:
        delta = json.loads(event[len('data: ') :])['choices'][0]['delta']
        found += [int(word) for word in delta.get('content', '').split()]
    return found


def expected_tokens(prompt, count):
    """Return the tokens that prove every layer ran once, in order."""
    return tokens.expected(prompt, count, LAYERS)


def error_of(response):
    """Return the typed error of a refusal."""
    return json.loads(response.data)['error']
