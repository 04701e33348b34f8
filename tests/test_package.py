"""The public API of the package and the modules that it imports."""

import subprocess
import sys
import unittest

import damaskdeck

DAEMON_LIBRARIES = ("grpclib", "logbook", "opentelemetry", "starlette", "uvicorn")
LIST_LOADED = """
import sys
import damaskdeck
from damaskdeck.cli import app, calls, declarations, jobs, operations
print(*(name for name in sys.argv[1:] if name in sys.modules))
"""


class TestPackage(unittest.TestCase):
    """Names exported by ``damaskdeck``."""

    def test_every_exported_name_exists(self):
        for name in damaskdeck.__all__:
            self.assertIn(name, dir(damaskdeck))
            self.assertTrue(hasattr(damaskdeck, name), name)

    def test_unknown_name_raises_attribute_error(self):
        with self.assertRaisesRegex(AttributeError, "no_such_name"):
            damaskdeck.no_such_name  # noqa: B018

    def test_command_line_does_not_load_daemon_libraries(self):
        unwanted = ("damaskdeck.daemon", *DAEMON_LIBRARIES)
        command = [sys.executable, "-c", LIST_LOADED, *unwanted]
        done = subprocess.run(command, capture_output=True, check=True, timeout=60)
        self.assertEqual(done.stdout.split(), [])
