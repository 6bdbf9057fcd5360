"""Database groups: instances with a log, replication and promotions."""

import asyncio
import time

PROMOTE_S = 0.3
# A replica receives a commit after the first time and applies it after both.
RECEIVE_S = 0.002
APPLY_S = 0.02
QUEUE = 40
HANDSHAKE_S = 0.012
NO_RUN = ('BUSY', 'NOSTMT', 'LAGGING', 'READONLY')


class Instance:
    """One instance: its role, its log and its server.

    The log is a list of (term, id of the commit's request); the position
    after it is the term of the last entry's primary and the log's length.
    """

    def __init__(self, group, name, host, zone, slots, connections):
        self.group = group
        self.name = name
        self.zone = zone
        self.slots = slots
        self.max_connections = connections
        self.role = 'replica'
        self.term = 1
        self.log = []
        self.applied = 0
        self.deaf = False
        self.busy = 0
        self.up = True
        self.state = 'ready'
        self.born = int(time.time() * 1000)
        self.writers = set()
        self._host = host
        self._free = asyncio.Semaphore(slots)
        self._waiting = 0
        self._server = None
        self.address = None

    async def listen(self):
        port = self.address[1] if self.address else 0
        self._server = await asyncio.start_server(
            self._serve, self._host, port, limit=2 * 1024 * 1024
        )
        self.address = self._server.sockets[0].getsockname()[:2]

    def crash(self):
        """End all connections; take no new ones; keep the log."""
        self.up = False
        self._server.close()
        for writer in tuple(self.writers):
            writer.transport.abort()

    async def restart(self):
        """Come back with the log, as a replica if another one leads."""
        primary = self.group.primary
        self.up = True
        if primary is not None:
            self.role = 'replica'
            self.follow(primary)
            self.applied = len(self.log)
        self.born = int(time.time() * 1000)
        await self.listen()
        self.group.register(self)

    def follow(self, primary):
        """Take over the primary's log; roll back what it doesn't have."""
        common = 0
        for mine, theirs in zip(self.log, primary.log):
            if mine != theirs:
                break
            common += 1
        self.term = primary.term
        self.log = list(primary.log)
        self.applied = min(self.applied, common)

    def position(self, length=None):
        length = len(self.log) if length is None else length
        return f'{self.term}.{length}'

    # -- the wire -------------------------------------------------------

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        conn = _Conn()
        try:
            while True:
                line = (await reader.readuntil(b'\r\n'))[:-2].decode('latin-1')
                word, _, rest = line.partition(' ')
                if word == 'TERMINATE':
                    return
                if word == 'START':
                    fields = rest.split(' ')
                    if fields[0] != self.group.service or (
                        len(fields) > 2 and fields[2] != self.name
                    ):
                        writer.write(b'ERROR WRONGNODE -\r\n')
                        return
                    if len(self.writers) > self.max_connections:
                        writer.write(b'ERROR CONNLIMIT -\r\n')
                        return
                    await self._work(HANDSHAKE_S)
                    writer.write(f'READY I {self.position()}\r\n'.encode())
                    continue
                request_id, _, text = rest.partition(' ')
                if request_id != '-':
                    self.group.arrived.add(request_id)
                    self.group.record.add(
                        'arrived', instance=self.name, id=request_id,
                        text=text[:60],
                    )
                rows, end = await self._query(conn, request_id, text)
                if not self.up:
                    return
                for row in rows:
                    writer.write(f'ROW {row}\r\n'.encode())
                position = self.position(self.applied)
                writer.write(f'{end}\r\nREADY {conn.state} {position}\r\n'.encode())
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _work(self, seconds):
        """Occupy a slot; return False at once if too many wait for one."""
        if self._waiting >= QUEUE:
            return False
        self._waiting += 1
        await self._free.acquire()
        self._waiting -= 1
        self.busy += 1
        try:
            await asyncio.sleep(seconds)
        finally:
            self.busy -= 1
            self._free.release()
        return True

    async def _query(self, conn, request_id, text):
        """Return the rows and the last line of the answer."""
        rows, end = await self._run(conn, request_id, text)
        if end.startswith('ERROR') and conn.state != 'I':
            conn.state = 'E'
        if request_id != '-':
            self.group.record.add(
                'run', service=self.group.service, instance=self.name,
                id=request_id, text=text[:60], end=end, state=conn.state,
                log=self.position(),
            )
        return rows, end

    def _digest(self, request_id):
        return f'COMPLETE {self.name}.{self.term}.{request_id}'

    async def _run(self, conn, request_id, text):
        after = None
        if text.startswith('WAITLSN '):
            _, after, text = text.split(' ', 2)
        word, _, rest = text.partition(' ')
        if word == 'STATUS':
            return await self._status()
        if word == 'DEMOTE':
            if self.role == 'primary' and int(rest) > self.term:
                self.role = 'replica'
            return await self._status()
        if conn.state == 'E' and word not in ('ROLLBACK', 'COMMIT'):
            return (), 'ERROR MALFORMED the transaction has failed'
        if word == 'SET':
            name, _, value = rest.partition(' ')
            conn.values[name] = value
            return (), 'COMPLETE -'
        if word == 'RESET':
            conn.values.clear()
            conn.prepared.clear()
            return (), 'COMPLETE -'
        if word == 'PREPARE':
            name, kind, shape = rest.split(' ', 2)
            conn.prepared[name] = (kind, shape)
            return (), 'COMPLETE -'
        if word == 'DEALLOC':
            conn.prepared.pop(rest, None)
            return (), 'COMPLETE -'
        if after is not None and not self._has(after):
            return (), f'ERROR LAGGING {self.name}'
        if word == 'BEGIN':
            if rest != 'READ' and self.role != 'primary':
                return (), f'ERROR READONLY {self.name}'
            conn.state, conn.read_only = 'T', rest == 'READ'
            conn.writes, conn.term = [], self.term
            return (), 'COMPLETE -'
        if word == 'ROLLBACK' or (word == 'COMMIT' and conn.state == 'E'):
            conn.state, conn.writes = 'I', []
            return (), 'COMPLETE -'
        if word == 'EXECUTE':
            name, _, rest = rest.partition(' ')
            if name not in conn.prepared:
                return (), 'ERROR NOSTMT -'
            word = conn.prepared[name][0]
        if word not in ('READ', 'WRITE', 'COMMIT'):
            return (), 'ERROR MALFORMED unknown statement'
        lost_lead = (
            conn.state == 'T'
            and not conn.read_only
            and (self.role != 'primary' or conn.term != self.term)
        )
        if lost_lead and (word != 'COMMIT' or conn.writes):
            return (), f'ERROR READONLY {self.name}'
        if word == 'WRITE' and self.role != 'primary':
            return (), f'ERROR READONLY {self.name}'
        seconds = self.group.work_s(self, word, rest, request_id)
        if not await self._work(seconds):
            return (), f'ERROR BUSY {self.name}'
        return await self._finish(conn, word, rest, request_id)

    async def _finish(self, conn, word, rest, request_id):
        """Take effect at the end of the work."""
        if word == 'READ':
            self.group.reads[request_id] = (self.name, self.log, self.applied)
            return (f'value-of-{rest.split(" ")[0][:40]}',), self._digest(request_id)
        if word == 'WRITE' and conn.state == 'T':
            conn.writes.append(request_id)
            return (), self._digest(request_id)
        writes = [request_id] if word == 'WRITE' else conn.writes
        if writes and self.role != 'primary':
            return (), f'ERROR READONLY {self.name}'
        conn.state, conn.writes = 'I', []
        if writes:
            self.log = [*self.log, (self.term, request_id)]
            self.applied = len(self.log)
            await self.group.committed(self, request_id, writes)
        return (), self._digest(request_id)

    def _has(self, position):
        """Return whether the applied log contains a position."""
        term, _, number = position.partition('.')
        return (self.term, self.applied) >= (int(term), int(number))

    async def _status(self):
        if not await self._work(0.001):
            return (), f'ERROR BUSY {self.name}'
        row = (f'{self.role} {self.term} {self.position()} 0 0 {self.busy}'
               f' {len(self.writers)}')
        return (row,), 'COMPLETE -'


class _Conn:
    def __init__(self):
        self.state = 'I'
        self.read_only = False
        self.term = 0
        self.values = {}
        self.prepared = {}
        self.writes = []


class Group:
    """The instances of one database."""

    def __init__(self, record, store, service, sync_replicas=0):
        self.record = record
        self.service = service
        self.sync_replicas = sync_replicas
        self.instances = {}
        self.promotions = []
        # For each read, where it ran: the instance, its log and how much of
        # the log was applied.
        self.reads = {}
        # Ids of the requests that have reached an instance.
        self.arrived = set()
        self._store = store

    async def add(self, name, host, zone, slots=5, connections=55):
        instance = Instance(self, name, host, zone, slots, connections)
        await instance.listen()
        self.instances[name] = instance
        if len(self.instances) == 1:
            instance.role = 'primary'
        self.register(instance)
        return instance

    @property
    def primary(self):
        """The running instance that leads the newest term, if any."""
        return max(
            (
                one
                for one in self.instances.values()
                if one.up and one.role == 'primary'
            ),
            key=lambda one: one.term,
            default=None,
        )

    def drain(self, instance):
        """Report that the instance is going to leave."""
        instance.state = 'draining'
        self.register(instance)

    def register(self, instance):
        """Write the instance's entry to the store."""
        host, port = instance.address
        self._store.put('servers', instance.name, {
            'service': self.service, 'address': f'{host}:{port}',
            'zone': instance.zone, 'version': 'v1', 'slots': instance.slots,
            'state': instance.state, 'warmupLeftMs': 0, 'dbRole': instance.role,
            'seq': 1, 'born': instance.born,
        })

    def work_s(self, instance, word, rest, request_id):
        """Return how long a statement works; tests replace it."""
        return 0.007

    async def committed(self, instance, request_id, writes):
        """Pass a commit on; wait for replicas if the service asks for it."""
        self.record.add('commit', service=self.service,
                        instance=instance.name, id=request_id, writes=writes,
                        position=instance.position())
        loop = asyncio.get_running_loop()
        received = asyncio.Semaphore(0)
        for other in self.instances.values():
            if other is not instance:
                loop.call_later(
                    RECEIVE_S, self._receive, instance, other, received
                )
        for _ in range(self.sync_replicas):
            await received.acquire()

    def _receive(self, source, target, received):
        if not (target.up and not target.deaf and target.role == 'replica'):
            return
        if source.term < target.term or not source.up:
            return
        target.follow(source)
        received.release()
        asyncio.get_running_loop().call_later(
            APPLY_S, self._apply, target, len(target.log)
        )

    def _apply(self, target, length):
        if length <= len(target.log):
            target.applied = max(target.applied, length)

    def order_promotion(self, name):
        """Promote an instance after a while; return whether it runs."""
        instance = self.instances.get(name)
        if instance is None or not instance.up:
            return False
        if instance is not self.primary:
            asyncio.get_running_loop().call_later(
                PROMOTE_S, self._promote, instance
            )
        return True

    def _promote(self, instance):
        if not instance.up or instance is self.primary:
            return
        newest = max(one.term for one in self.instances.values())
        instance.role = 'primary'
        instance.term = newest + 1
        instance.deaf = False
        instance.applied = len(instance.log)
        ids = [request_id for _, request_id in instance.log]
        self.promotions.append((
            instance.name, instance.term, ids,
            asyncio.get_running_loop().time(),
        ))
        self.record.add('promoted', service=self.service,
                        instance=instance.name, term=instance.term,
                        log=len(ids))
        self.register(instance)
        asyncio.get_running_loop().call_later(1.0, self._follow, instance)

    def _follow(self, primary):
        """The others learn of the new primary and take over its log."""
        for other in self.instances.values():
            if other is primary or not other.up or other.term > primary.term:
                continue
            changed = other.role != 'replica'
            other.role = 'replica'
            other.follow(primary)
            other.applied = len(other.log)
            if changed:
                self.register(other)
