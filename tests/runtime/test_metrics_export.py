"""Metrics served over HTTP."""

from __future__ import annotations

import threading
import urllib.error
import urllib.request

import pytest

from chicoryusher import core
from chicoryusher import runtime
from chicoryusher.runtime import metrics_export

HOST = '127.0.0.1'
VM = core.VmName('vm1')


@pytest.fixture
def server():
    meters = metrics_export.OtelMeters()
    loop = runtime.Runtime(meters=meters)
    metrics_server = metrics_export.MetricsServer(loop, VM, (HOST, 0), meters)
    thread = threading.Thread(target=loop.run, daemon=True)
    thread.start()
    yield metrics_server
    loop.stop()
    thread.join(5)


def http_get(server, path):
    url = f'http://{HOST}:{server.address[1]}{path}'
    with urllib.request.urlopen(url, timeout=5) as response:
        return response.read().decode()


def test_counters_histograms_and_gauges_are_served_as_text(server):
    meters = server.meters
    meters.record(
        core.Metric.STATEMENT,
        0.3,
        access='primary',
        outcome='done',
        role='primary',
    )
    meters.add(core.Metric.RETRIES, why='the primary is busy')
    meters.add(core.Metric.RETRIES, why='the primary is busy')
    meters.show(core.Metric.SESSIONS, 3)
    meters.watch(core.Metric.LOG_DROPPED, lambda: 7.0)
    text = http_get(server, '/metrics')
    assert 'chicoryusher_statement_seconds_count{' in text
    assert 'le="0.4",outcome="done",role="primary"} 1.0' in text
    assert 'chicoryusher_retries_total{why="the primary is busy"} 2.0' in text
    assert 'chicoryusher_sessions 3.0' in text
    assert 'chicoryusher_log_dropped 7.0' in text


def test_waits_by_team_have_no_buckets(server):
    for seconds in (0.3, 0.5):
        server.meters.record(core.Metric.TEAM_WAIT, seconds, team='red')
    text = http_get(server, '/metrics')
    assert 'chicoryusher_team_wait_seconds_sum{team="red"} 0.8' in text
    assert 'chicoryusher_team_wait_seconds_count{team="red"} 2.0' in text
    assert 'chicoryusher_team_wait_seconds_bucket{le="0.4"' not in text


def test_request_for_another_path_gets_404(server):
    with pytest.raises(urllib.error.HTTPError) as raised:
        http_get(server, '/nothing')
    assert raised.value.code == 404
