"""Instances of a database service on real sockets (PROTOCOL.md).

The instances of a group share one process; each has a listener of its own.
"""

import asyncio
import contextlib
import itertools
import socket
import time

LINE_LIMIT = 2 * 1024 * 1024
BACKLOG = 1024
BACKLOG_FILLERS = 2


class Instance:
    """One instance: role, term, log and connections.

    ``work_s`` is how long a read, write or commit takes.  ``is_full`` returns
    whether the next one finds no free slot: it is refused with BUSY and does
    not run, so an open transaction stays open.  While ``is_apart`` it has no
    path to the other instances of its group.
    """

    def __init__(self, group, name, zone, role):
        self.group = group
        self.name = name
        self.zone = zone
        self.role = role
        self.term = 1
        self.log = []
        self.born = int(time.time() * 1000)
        self.work_s = 0.005
        self.max_connections = 21
        self.lag_s = 0.01
        self.is_full = lambda: False
        self.is_dark = False
        self.is_apart = False
        self.state = 'ready'
        self.is_up = False
        self.address = None
        self._listener = None
        self._accepting = None
        self._fillers = []
        self._writers = set()
        self._serving = set()

    @property
    def connections(self):
        return len(self._writers)

    @property
    def position(self):
        return f'{self.term}.{len(self.log)}'

    async def start(self, host, port=0):
        self._listener = socket.create_server((host, port), backlog=BACKLOG)
        self._listener.setblocking(False)
        self.address = self._listener.getsockname()[:2]
        self.is_up = True
        self._accepting = asyncio.create_task(self._accept())

    async def _accept(self):
        loop = asyncio.get_running_loop()
        while True:
            sock, _ = await loop.sock_accept(self._listener)
            reader, writer = await asyncio.open_connection(
                sock=sock, limit=LINE_LIMIT
            )
            task = asyncio.create_task(self._serve(reader, writer))
            self._serving.add(task)
            task.add_done_callback(self._serving.discard)

    def crash(self):
        """End as a process does that is killed: the listener and all."""
        self.is_up = False
        self._accepting.cancel()
        self._listener.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    close = crash

    async def restart(self):
        """Start again after a crash, with the log and role of before."""
        self.born = int(time.time() * 1000)
        await self.start(self.address[0], self.address[1])
        self.group.report(self)

    @property
    def reachable(self):
        return self.is_up and not self.is_dark

    def reaches(self, other):
        """Return whether there is a path to another instance."""
        if self.is_apart or other.is_apart:
            return False
        return self.reachable and other.reachable

    def go_dark(self):
        """Be cut off: nothing comes in or goes out, and it works on.

        The listener's backlog is filled, so that the system drops the
        packets of further connection attempts.
        """
        self.is_dark = True
        self._accepting.cancel()
        self._listener.listen(0)
        for _ in range(BACKLOG_FILLERS):
            sock = socket.socket()
            sock.setblocking(False)
            sock.connect_ex(self.address)
            self._fillers.append(sock)

    def wake(self):
        """Be reachable again; the connections of before are gone."""
        self.is_dark = False
        for writer in tuple(self._writers):
            writer.transport.abort()
        for sock in self._fillers:
            sock.close()
        self._fillers.clear()
        with contextlib.suppress(BlockingIOError):
            while True:
                self._listener.accept()[0].close()
        self._listener.listen(BACKLOG)
        self._accepting = asyncio.create_task(self._accept())

    def entry(self):
        """Return what the instance reports to the store."""
        return {
            'service': self.group.service,
            'address': f'{self.address[0]}:{self.address[1]}',
            'zone': self.zone,
            'version': 'v1',
            'slots': 3,
            'state': self.state,
            'warmupLeftMs': 0,
            'dbRole': self.role,
            'seq': next(self.group.sequence),
            'born': self.born,
        }

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        conn = _Conn(self, writer)
        try:
            while True:
                line = await reader.readuntil(b'\r\n')
                if not await conn.handle(line[:-2].decode('latin-1')):
                    return
        except (
            asyncio.CancelledError,
            asyncio.IncompleteReadError,
            ConnectionError,
        ):
            pass
        finally:
            self._writers.discard(writer)
            conn.closed()
            writer.close()


class _Conn:
    """One connection to an instance, with its transaction."""

    def __init__(self, instance, writer):
        self._instance = instance
        self._writer = writer
        self._state = 'I'
        self._read_only = False
        self._writes = []
        self._values = {}
        self._prepared = {}

    def closed(self):
        if self._state != 'I':
            self._instance.group.open_transactions.discard(id(self))

    def _set_state(self, state):
        self._state = state
        transactions = self._instance.group.open_transactions
        if state == 'I':
            self._writes = []
            transactions.discard(id(self))
        else:
            transactions.add(id(self))

    def _send(self, *lines):
        if self._instance.is_dark:
            return
        ready = f'READY {self._state} {self._instance.position}'
        text = ''.join(f'{line}\r\n' for line in (*lines, ready))
        self._writer.write(text.encode('latin-1'))

    def _done(self, digest='-', rows=()):
        self._send(*(f'ROW {row}' for row in rows), f'COMPLETE {digest}')

    def _refuse(self, code):
        if self._state == 'T' and code != 'BUSY':
            self._set_state('E')
        self._send(f'ERROR {code} {self._instance.name}')

    async def handle(self, line):
        """Handle one line; return whether the connection stays open."""
        instance = self._instance
        if instance.is_dark:
            return True
        word, _, rest = line.partition(' ')
        if word == 'START':
            if instance.connections > instance.max_connections:
                self._writer.write(b'ERROR CONNLIMIT full\r\n')
                return False
            service, _, more = rest.partition(' ')
            expected = more.split(' ')[1:]
            if service != instance.group.service or (
                expected and expected[0] != instance.name
            ):
                self._writer.write(b'ERROR WRONGNODE no\r\n')
                return False
            self._send()
            return True
        if word == 'TERMINATE':
            return False
        request_id, _, text = rest.partition(' ')
        await self._query(request_id, text)
        return True

    async def _query(self, request_id, text):
        instance, group = self._instance, self._instance.group
        after = None
        if text.startswith('WAITLSN '):
            _, position, text = text.split(' ', 2)
            after = tuple(int(part) for part in position.split('.'))
        verb, _, rest = text.partition(' ')
        if self._state == 'E' and verb not in ('ROLLBACK', 'COMMIT'):
            self._send(f'ERROR MALFORMED {instance.name}')
            return
        if verb in ('READ', 'WRITE', 'EXECUTE', 'COMMIT'):
            if instance.is_full():
                self._refuse('BUSY')
                return
            await asyncio.sleep(instance.work_s)
            if instance.is_dark:
                return
        if after is not None and after > (instance.term, len(instance.log)):
            self._refuse('LAGGING')
        elif verb == 'BEGIN':
            self._read_only = rest == 'READ'
            if not self._read_only and instance.role != 'primary':
                self._send(f'ERROR READONLY {instance.name}')
                return
            self._set_state('T')
            self._done()
        elif verb == 'ROLLBACK':
            self._set_state('I')
            self._done()
        elif verb == 'SET':
            name, _, value = rest.partition(' ')
            self._values[name] = value
            self._done()
        elif verb == 'RESET':
            self._values.clear()
            self._prepared.clear()
            self._done()
        elif verb == 'PREPARE':
            name, kind, _ = rest.split(' ', 2)
            self._prepared[name] = kind
            self._done()
        elif verb == 'DEALLOC':
            self._prepared.pop(rest, None)
            self._done()
        elif verb == 'STATUS':
            self._status()
        elif verb == 'DEMOTE':
            if instance.role == 'primary' and instance.term < int(rest):
                instance.role = 'replica'
                group.report(instance)
            self._status()
        else:
            self._statement(request_id, verb, rest, text)

    def _status(self):
        instance = self._instance
        self._done(
            rows=(f'{instance.role} {instance.term} {instance.position}'
                  ' 0 0 0 1',)
        )

    def _statement(self, request_id, verb, rest, text):
        instance, group = self._instance, self._instance.group
        kind = verb
        if verb == 'EXECUTE':
            kind = self._prepared.get(rest.partition(' ')[0])
            if kind is None:
                self._refuse('NOSTMT')
                return
        lost_lead = instance.role != 'primary'
        plain = self._state == 'T' and not self._read_only
        if lost_lead and (
            kind == 'WRITE'
            or (plain and not (kind == 'COMMIT' and not self._writes))
        ):
            self._refuse('READONLY')
            return
        group.record(instance, request_id, text)
        digest = f'd{next(group.digests)}'
        if kind == 'READ':
            self._done(digest, (f'row{len(instance.log)}',))
        elif kind == 'WRITE' and self._state == 'T':
            self._writes.append(request_id)
            self._done(digest)
        elif kind == 'WRITE':
            group.commit(instance, [request_id])
            self._done(digest)
        else:
            failed = self._state == 'E'
            if self._writes and not failed:
                group.commit(instance, [*self._writes, request_id])
            self._set_state('I')
            self._done('-' if failed else digest)


class Group:
    """One service: a primary and its replicas.

    ``on_run`` gets each statement that an instance runs.
    """

    sequence = itertools.count(1)

    def __init__(self, service, store, on_run=None):
        self.service = service
        self.store = store
        self.instances = {}
        self.digests = itertools.count(1)
        self.open_transactions = set()
        # When and where each commit was made; when each promotion took effect.
        self.commits = []
        self.promotions = []
        self._on_run = on_run

    def add(self, name, zone, role):
        self.instances[name] = Instance(self, name, zone, role)
        return self.instances[name]

    async def start(self, host):
        for instance in self.instances.values():
            await instance.start(host)
            self.report(instance)

    def report(self, instance):
        if instance.reachable:
            self.store.put('servers', instance.name, instance.entry())

    def record(self, instance, request_id, text):
        if self._on_run is not None:
            self._on_run(instance, request_id, text)

    def commit(self, instance, request_ids):
        """Append a commit; reachable replicas receive it a little later."""
        instance.log.append((instance.term, tuple(request_ids)))
        self.commits.append((time.monotonic(), instance, instance.term,
                             tuple(request_ids)))
        asyncio.get_running_loop().call_later(
            instance.lag_s, self._replicate, instance
        )

    def _replicate(self, primary):
        """Give the log of a primary to the replicas that it reaches."""
        if primary.role != 'primary':
            return
        for other in self.instances.values():
            if other is primary or not primary.reaches(other):
                continue
            if other.term > primary.term or other.role == 'primary':
                continue
            other.log, other.term = list(primary.log), primary.term

    def primary(self):
        leaders = [i for i in self.instances.values() if i.role == 'primary']
        return max(leaders, key=lambda instance: instance.term, default=None)

    def promote(self, name):
        """Make an instance lead the next term with what it has received."""
        instance = self.instances[name]
        newest = max(i.term for i in self.instances.values())
        leads = instance.role == 'primary' and instance.term == newest
        if not instance.reachable or leads:
            return
        instance.term = 1 + newest
        instance.role = 'primary'
        self.promotions.append((time.monotonic(), name, instance.term))
        self.report(instance)
        self._replicate(instance)

    async def follow(self):
        """Demote old primaries a second after they reach the newest one."""
        reached_since = {}
        while True:
            await asyncio.sleep(0.1)
            newest, now = self.primary(), time.monotonic()
            for name, instance in self.instances.items():
                if (
                    newest is None
                    or instance is newest
                    or not instance.reaches(newest)
                ):
                    reached_since.pop(name, None)
                    continue
                since = reached_since.setdefault(name, now)
                if instance.role == 'primary' and now - since < 1.0:
                    continue
                if instance.term < newest.term:
                    instance.role, instance.term = 'replica', newest.term
                    instance.log = list(newest.log)
                    self.report(instance)

    async def beat(self, interval_s):
        """Have the instances report as often as they do (heartbeatMs)."""
        while True:
            await asyncio.sleep(interval_s)
            for instance in self.instances.values():
                self.report(instance)

    def close(self):
        for instance in self.instances.values():
            if instance.is_up:
                instance.close()
