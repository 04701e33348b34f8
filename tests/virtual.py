"""Decorator for asynchronous tests in virtual time."""

import functools

from standins.loops import run_virtual


def virtual(test):
    """Run an asynchronous test in virtual time."""

    @functools.wraps(test)
    def run(self):
        run_virtual(test(self))

    return run
