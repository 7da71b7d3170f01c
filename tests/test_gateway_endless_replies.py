"""Servers whose replies never end, beside sound ones, with real processes."""

import pytest

from burdockmast.bench import endless_replies
from burdockmast.bench import endless_server

Trouble = endless_server.Trouble


@pytest.mark.parametrize(
    ('trouble', 'route'),
    [
        (Trouble.UNFRAMED, 'read'),
        (Trouble.ERROR, 'write'),
        (Trouble.EVENT, 'draft'),
        (Trouble.NO_EVENT, 'draft'),
    ],
)
def test_an_endless_reply_takes_neither_memory_nor_time_from_others(
    trouble, route
):
    found = endless_replies.play(trouble, route)
    assert found.peak_mb < endless_replies.MEMORY_MB, found
    assert found.sound == endless_replies.SOUND_REQUESTS, found
    assert not found.late, found
