"""Process with a listener and few descriptors, for ``test_accept_pause``.

Each line that it writes has its address, how many connections it has accepted
and holds, how often its loop has woken up, and the events it has logged.
"""

from __future__ import annotations

import json
import os
import resource

import logbook

from chicoryusher import core
from chicoryusher import runtime

# Descriptors beyond those that are open once the process listens.
SPARE_DESCRIPTORS = 6
REPORT_INTERVAL_S = 0.1


class ReportDue(core.Message):
    """Write a line."""


class Acceptor(runtime.Task):
    """Accepts connections until their other ends close them."""

    def __init__(self, loop, handler):
        super().__init__(loop, 'vm1', 'acceptor')
        self._loop = loop
        self._handler = handler
        self._listener = runtime.Listener(
            ('127.0.0.1', 0), loop.poller, self.task_name
        )
        self._streams = {}
        self._accepted = 0
        self.after(REPORT_INTERVAL_S, ReportDue())

    @runtime.handles(runtime.SocketReady)
    def _on_ready(self, ready):
        if ready.fileno == self._listener.fileno:
            while (stream := self._listener.accept()) is not None:
                self._streams[stream.fileno] = stream
                self._accepted += 1
            return
        stream = self._streams.get(ready.fileno)
        if stream is not None and not stream.read() and stream.closed:
            del self._streams[ready.fileno]
            stream.close()

    @runtime.handles(ReportDue)
    def _on_report_due(self, due):
        self.after(REPORT_INTERVAL_S, due)
        report = {
            'address': self._listener.address,
            'accepted': self._accepted,
            'open': len(self._streams),
            'wakeups': self._loop.poller.wakeups,
            'events': [
                record.extra['number'] for record in self._handler.records
            ],
        }
        print(json.dumps(report), flush=True)


def main():
    with logbook.TestHandler() as handler:
        loop = runtime.Runtime()
        Acceptor(loop, handler)
        limit = len(os.listdir('/proc/self/fd')) + SPARE_DESCRIPTORS
        resource.setrlimit(resource.RLIMIT_NOFILE, (limit, limit))
        loop.run()


if __name__ == '__main__':
    main()
