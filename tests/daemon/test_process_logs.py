"""Logs of processes that a test reads while they are written."""

from __future__ import annotations

import subprocess
import sys

import crowds

FIRST_LINE = 'the first line\n'
# More than a file reads ahead.
MORE_LINES = 'another line\n' * 2000
LAST_LINE = 'the last line\n'
PROGRAM = f"""
import sys
sys.stderr.write({FIRST_LINE + MORE_LINES!r})
print('written', flush=True)
sys.stdin.readline()
sys.stderr.write({LAST_LINE!r})
"""


def test_a_test_that_reads_a_log_does_not_move_where_it_is_written(tmp_path):
    """Guards against a log written over where a test has read it."""
    path = tmp_path / 'log'
    log = crowds.ProcessLog(path)
    process = subprocess.Popen(
        [sys.executable, '-c', PROGRAM],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        stderr=log.file,
        text=True,
    )
    assert process.stdout.readline() == 'written\n'
    assert log.first_line() == FIRST_LINE
    process.communicate('go on\n')
    log.file.close()
    assert path.read_text() == FIRST_LINE + MORE_LINES + LAST_LINE
