"""Calls whose result several threads share."""

import threading
from collections.abc import Callable
from concurrent.futures import Future
from typing import Generic, TypeVar

__all__ = ["SharedCalls"]

_T = TypeVar("_T")


class SharedCalls(Generic[_T]):
    """Runs functions one at a time, for all threads that wait for the same result.

    Notes
    -----
    A thread gets the result of a call that began after it asked. Requests that come
    while a call is under way share the next one with their key, so that a crowd of them
    costs as much as a single thread that asks again and again. Nothing is kept between
    calls, whatever the keys are.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._turn = threading.Lock()
        self._next: dict[str, Future[_T]] = {}

    def run(self, key: str, function: Callable[[], _T]) -> _T:
        """Return the result of `function`, or of an equal one of another thread.

        Parameters
        ----------
        key : str
            Names what the function determines.
        function : callable
            Determines it.
        """
        with self._lock:
            result = self._next.get(key)
            is_first = result is None
            if result is None:
                result = self._next[key] = Future()
        if is_first:
            with self._turn:
                with self._lock:
                    del self._next[key]
                try:
                    result.set_result(function())
                except BaseException as error:
                    result.set_exception(error)
        return result.result()
