"""A short soak of the real processes, and every seed that ever failed."""

from __future__ import annotations

import pytest

from soak import play

# Seeds that failed once, and the cause that was found.
FAILED = (
    # A process that was still being loaded ended by SIGHUP.
    103,
)


@pytest.mark.parametrize('seed', [1, *FAILED])
def test_no_promise_is_broken_under_faults(seed, tmp_path):
    verdict = play.play(seed, tmp_path, seconds=5.0)
    assert verdict.commits
    assert verdict.broken == ()
