"""Links between the VMs, and between VMs and the store, that can be cut.

All VMs are on one host, where a link can't be cut by itself. So each VM reaches
the store at an address of its own, and each other VM through a proxy: the
addresses in the rows of the VMs are translated for each reader, as by a network
that translates addresses.
"""

import asyncio
import base64
import json

from standins import http

TABLE = 'chicoryusher'


class Link:
    """A TCP proxy; while it is cut, it passes nothing on and stays silent."""

    def __init__(self, target):
        self._target = target
        self._whole = asyncio.Event()
        self._whole.set()

    async def listen(self, host):
        self._server = await asyncio.start_server(self._serve, host, 0)
        self.address = self._server.sockets[0].getsockname()[:2]

    def set_cut(self, cut):
        if cut:
            self._whole.clear()
        else:
            self._whole.set()

    async def _serve(self, reader, writer):
        try:
            await self._whole.wait()
            far_reader, far_writer = await asyncio.open_connection(
                *self._target
            )
        except OSError:
            writer.close()
            return
        await asyncio.gather(
            self._copy(reader, far_writer), self._copy(far_reader, writer)
        )

    async def _copy(self, reader, writer):
        try:
            while data := await reader.read(65536):
                await self._whole.wait()
                writer.write(data)
                await writer.drain()
            await self._whole.wait()
        except OSError:
            pass
        finally:
            writer.close()


class StoreDoor(http.HttpServer):
    """The store as one VM sees it."""

    def __init__(self, network, store, vm_name):
        self._network = network
        self._store = store
        self._vm_name = vm_name
        self.cut = False

    async def arrives(self, headers, reader):
        while self.cut:
            await asyncio.sleep(0.01)
            if reader.at_eof() or reader.exception() is not None:
                return False
        return True

    async def answer(self, method, path, query, headers, body):
        if path == '/api/rows-tx':
            document = json.loads(body)
            for put in document.get('puts', ()):
                self._translate(put, self._network.real_address)
            body = json.dumps(document).encode()
        status, document = await self._store.answer(
            method, path, query, headers, body
        )
        while self.cut:
            await asyncio.sleep(0.01)
        document = json.loads(json.dumps(document))
        for row in document.get('rows', ()):
            self._translate(row, self._network.seen_address)
        return status, document

    def _translate(self, row, address_of):
        """Replace the address in another VM's row."""
        is_vm = row['table'] == TABLE and row['key'].startswith('node/')
        if not is_vm or not row.get('value'):
            return
        value = json.loads(base64.b64decode(row['value']))
        owner = value['vm'].split('@')[0]
        if owner == self._vm_name:
            return
        value['host'], value['port'] = address_of(self._vm_name, owner)
        row['value'] = base64.b64encode(json.dumps(value).encode()).decode()


class Network:
    """The links of all VMs, made before the VMs are started."""

    def __init__(self, store):
        self._store = store
        self._peers = {}
        self._links = {}
        self.doors = {}

    async def add(self, name, peer_address, door_host):
        """Add a VM; return the address of its store."""
        door = StoreDoor(self, self._store, name)
        await door.listen(door_host)
        self.doors[name] = door
        for other, other_address in self._peers.items():
            for viewer, owner, target in (
                (name, other, other_address), (other, name, peer_address)
            ):
                link = Link(target)
                await link.listen(door_host)
                self._links[viewer, owner] = link
        self._peers[name] = peer_address
        return door.address

    def seen_address(self, viewer, owner):
        return self._links[viewer, owner].address

    def real_address(self, viewer, owner):
        return self._peers[owner]

    def set_cut(self, names, cut):
        """Cut VMs off from the store and from all other VMs, or heal that.

        They still reach each other.
        """
        for name in names:
            self.doors[name].cut = cut
        for (viewer, owner), link in self._links.items():
            if (viewer in names) != (owner in names):
                link.set_cut(cut)
