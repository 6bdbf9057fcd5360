"""Searches of specifications in a few processes.

Each search is independent of the others, so its finding is the same in
whichever process and order it runs.
"""

from __future__ import annotations

import dataclasses
import multiprocessing
import os
import threading
from collections.abc import Callable
from collections.abc import Iterable
from concurrent import futures
from types import TracebackType

import minicheck

from chicoryusher_standins.model import check

__all__ = ['MAX_PROCESSES', 'Search', 'Searches']

MAX_PROCESSES = 4
# Status of a process whose parent has ended before it.
EXIT_ORPHANED = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Search:
    """A search of at most ``max_states`` states.

    With ``stops`` it ends at the first counterexample.  ``build`` returns the
    specification in the process that searches it, so it can be pickled: a
    function of a module, or a ``functools.partial`` of one.
    """

    name: str
    build: Callable[[], minicheck.Protocol]
    max_states: int
    stops: bool = False

    def run(self) -> check.Finding:
        """Search the specification in this process."""
        return check.check(self.build(), self.max_states, self.stops)


class Searches:
    """Searches that run at once, begun in the given order.

    At the end of the context what has not begun is dropped, and all processes
    have ended.
    """

    def __init__(self, searches: Iterable[Search]) -> None:
        self._executor = futures.ProcessPoolExecutor(
            MAX_PROCESSES,
            multiprocessing.get_context('spawn'),
            initializer=_end_with_parent,
        )
        self._futures = {
            search: self._executor.submit(search.run)
            for search in dict.fromkeys(searches)
        }

    def __enter__(self) -> Searches:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._executor.shutdown(cancel_futures=True)

    def finding(self, search: Search) -> check.Finding:
        """Wait for a search and return its finding, or raise its error."""
        return self._futures[search].result()


def _end_with_parent() -> None:
    """Have this process end when its parent has been killed."""
    threading.Thread(target=_wait_for_parent, daemon=True).start()


def _wait_for_parent() -> None:
    parent = multiprocessing.parent_process()
    if parent is not None:
        parent.join()
        os._exit(EXIT_ORPHANED)
