"""The daemon's command, ``damaskdeckd``.

Either assembly is imported only when it is asked for: an instance pays for the
parts that it runs.
"""

import argparse
import gc
import os
import sys
from collections.abc import Callable

from damaskdeck.errors import SettingsError
from damaskdeck.logs import get_logger

# Those of sysexits.h: EX_CONFIG and EX_SOFTWARE.
EXIT_SETTINGS = 78
EXIT_INVARIANT = 70

_log = get_logger("daemon")


def load_pools() -> Callable[[], None]:
    """Import the daemon of the pools and return what runs it.

    Imports leave hardly any garbage: without collections they take 0.34 in place of
    0.37 s of a core. What was imported stays: a full collection that need not look at
    it right after the start takes next to nothing in place of 27 ms.
    """
    gc.disable()
    from damaskdeck.pooldaemon import run_on_platform

    gc.freeze()
    gc.enable()
    return run_on_platform


def main() -> None:
    """Read the settings and run the daemon."""
    parser = argparse.ArgumentParser(prog="damaskdeckd", description=__doc__)
    source = parser.add_mutually_exclusive_group(required=True)
    source.add_argument("--settings", help="a YAML file")
    source.add_argument(
        "--platform", action="store_true", help="take the platform's settings file"
    )
    args = parser.parse_args()
    try:
        if args.platform:
            load_pools()()
        else:
            from damaskdeck.daemon import run_with_settings

            run_with_settings(args.settings)
    except SettingsError as error:
        for fault in error.faults:
            print(f"{fault.path}: {fault.code}: {fault.detail}", file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    except Exception as error:
        _log.error("A broken invariant stops the process.", error=repr(error))
        sys.stderr.flush()
        os._exit(EXIT_INVARIANT)


if __name__ == "__main__":
    main()
