"""Run pytest and behave, and print the counts of passed and failed tests.

The modules of VIRTUAL_TIME_TESTS run in several processes: their tests depend
on nothing outside their process, and on no real time.  All others run one at
a time, with nothing beside them.
"""

from __future__ import annotations

import pathlib
import subprocess
import sys
import xml.etree.ElementTree as ElementTree
from collections.abc import Iterator
from concurrent import futures

ROOT = pathlib.Path(__file__).resolve().parent.parent
REPORTS = ROOT / 'build' / 'reports'
KNOWN_RED = ROOT / 'KNOWN-RED.txt'
VIRTUAL_TIME_TESTS = ROOT / 'tests' / 'tasks'
MAX_PROCESSES = 4
# Exit statuses of a run that is whole, whether its tests passed or failed.
WHOLE_RUN = (0, 1)


def _run(*command: str) -> int:
    return subprocess.run(
        [sys.executable, '-m', *command], cwd=ROOT, check=False
    ).returncode


def _run_module(path: pathlib.Path) -> subprocess.CompletedProcess[str]:
    report = REPORTS / f'pytest-{path.stem}.xml'
    command = ('pytest', f'--junitxml={report}', str(path))
    return subprocess.run(
        [sys.executable, '-m', *command],
        cwd=ROOT,
        check=False,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
    )


def _run_modules() -> Iterator[int]:
    """Run the modules on virtual time, and print what each run printed."""
    paths = sorted(VIRTUAL_TIME_TESTS.glob('test_*.py'))
    with futures.ThreadPoolExecutor(MAX_PROCESSES) as pool:
        for path, run in zip(paths, pool.map(_run_module, paths), strict=True):
            print(f'{path.relative_to(ROOT)}\n{run.stdout}', flush=True)
            yield run.returncode


def _known_red() -> frozenset[str]:
    """Return the names of the tests listed in KNOWN-RED.txt."""
    if not KNOWN_RED.exists():
        return frozenset()
    lines = KNOWN_RED.read_text(encoding='utf-8').splitlines()
    return frozenset(
        line.removeprefix('test: ').strip()
        for line in lines
        if line.startswith('test: ')
    )


def main() -> int:
    """Run all tests and return the exit status.

    The status is 1 if a test failed that KNOWN-RED.txt does not list, if a
    run did not come to its end, or if no test passed.
    """
    REPORTS.mkdir(parents=True, exist_ok=True)
    for old_report in REPORTS.glob('*.xml'):
        old_report.unlink()
    codes = [
        *_run_modules(),
        _run(
            'pytest',
            f'--junitxml={REPORTS / "pytest.xml"}',
            f'--ignore={VIRTUAL_TIME_TESTS}',
        ),
        _run('behave', '--junit', f'--junit-directory={REPORTS}'),
    ]
    passed, failed, known_failed = 0, 0, 0
    known_red = _known_red()
    for report in sorted(REPORTS.glob('*.xml')):
        for case in ElementTree.parse(report).iter('testcase'):
            name = case.get('name', '')
            if case.find('skipped') is not None:
                continue
            has_failed = any(
                case.find(kind) is not None for kind in ('failure', 'error')
            )
            if has_failed and name in known_red:
                known_failed += 1
                print(f'known to fail (KNOWN-RED.txt): {name}')
            elif has_failed:
                failed += 1
            else:
                passed += 1
    failed += sum(code not in WHOLE_RUN for code in codes)
    if any(codes) and not failed and not known_failed:
        failed += 1
    if not passed:
        failed += 1
    print(f'{passed} passed, {failed} failed')
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main())
