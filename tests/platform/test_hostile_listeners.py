"""Clients that misbehave, at the listeners beside the front end."""

from __future__ import annotations

import struct

import pytest

import crowds
import hostile_clients

MIB = crowds.MIB
LISTENERS = ('peers', 'ready', 'metrics')
HTTP_PATHS = {'ready': '/api/ready', 'metrics': '/metrics'}


@pytest.fixture
def entry(tmp_path):
    process = hostile_clients.Entry(tmp_path)
    process.start()
    # The metrics start some seconds after the process.
    crowds.wait_until(lambda: is_listening(process, 'metrics'))
    process.idle_fds = crowds.open_fds(process.process.pid)
    yield process
    process.stop()


def is_listening(entry, listener):
    try:
        crowds.Crowd(entry.addresses[listener], 1).close()
    except OSError:
        return False
    return True


def send_crowd(entry, listener, count, data, **options):
    crowd = crowds.Crowd(entry.addresses[listener], count, data, **options)
    crowd.send()
    entry.settle()
    return crowd


@pytest.mark.parametrize('listener', LISTENERS)
@pytest.mark.parametrize('data', [b'', b'GET'], ids=['silent', 'begun'])
def test_connections_that_are_opened_and_left(entry, listener, data):
    crowd = send_crowd(entry, listener, 400, data)
    entry.check_bounds()
    crowd.close()
    entry.check_after(crowd)
    assert entry.is_ready()


@pytest.mark.parametrize('listener', HTTP_PATHS)
def test_large_bodies(entry, listener):
    head = f'POST {HTTP_PATHS[listener]} HTTP/1.1\r\nHost: a\r\n'
    body_bytes = 15 * MIB
    data = f'{head}Content-Length: {body_bytes}\r\n\r\n'.encode()
    crowd = send_crowd(entry, listener, 12, data + b'x' * (body_bytes - 1))
    entry.check_after(crowd)
    assert entry.is_ready()


@pytest.mark.parametrize('listener', HTTP_PATHS)
def test_requests_sent_ahead_of_answers_that_are_not_read(entry, listener):
    request = f'GET {HTTP_PATHS[listener]} HTTP/1.1\r\nHost: a\r\n\r\n'
    crowd = send_crowd(entry, listener, 24, request.encode() * 20_000)
    entry.check_after(crowd)
    assert entry.is_ready()


def test_frames_of_a_peer_without_the_key(entry):
    """A frame that claims a large size, and a frame in small pieces."""
    claim = struct.pack('>IB', 30 * MIB, 0)
    crowd = send_crowd(entry, 'peers', 60, claim + b'x' * MIB)
    entry.check_bounds()
    crowd.close()
    allowed = struct.pack('>IB', 1000, 0) + b'x' * 900
    crowd = send_crowd(entry, 'peers', 100, allowed, piece_bytes=50)
    entry.check_after(crowd)
    assert entry.is_ready()
