"""The record of a run: what was sent, answered and run."""

import json
import time


class Record:
    """Write one JSON line for each event, with the seconds since the start."""

    def __init__(self, path):
        self._file = open(path, 'w', encoding='utf-8')
        self._start = time.monotonic()

    def now(self):
        return round(time.monotonic() - self._start, 4)

    def add(self, event, **fields):
        line = {'at': self.now(), 'event': event, **fields}
        self._file.write(json.dumps(line) + '\n')
        self._file.flush()
        return line

    def close(self):
        self._file.close()
