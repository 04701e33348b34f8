"""Loading and validation of settings files."""

import copy
import tempfile
import unittest
from datetime import timedelta
from pathlib import Path

from damaskdeck.errors import SettingsError
from damaskdeck.settings import load_settings, read_settings

DOCUMENT = {
    "name": "entry-1",
    "zone": "zone-a",
    "listen": {"host": "127.0.0.1"},
    "platform": {"store": "127.0.0.1:1", "instances": "127.0.0.1:2"},
    "tokens": {"operator": "operator-token", "peer": "peer-token-1"},
}


class TestSettings(unittest.TestCase):
    """Decoding, validation and defaults."""

    def test_valid_document_gets_defaults_and_durations(self):
        document = {**DOCUMENT, "limits": {"grace": 4, "queue": 7}}
        settings = read_settings(document)
        self.assertEqual(settings.grace, timedelta(seconds=4))
        self.assertEqual(settings.queue_limit, 7)
        self.assertEqual(settings.api_port, 0)

    def test_all_faults_have_path_and_code(self):
        document = copy.deepcopy(DOCUMENT)
        document["listen"] = {"host": "entry.example", "prot": 1}
        del document["tokens"]["peer"]
        document["limits"] = {"queue": 0}
        with self.assertRaises(SettingsError) as caught:
            read_settings(document)
        found = {(fault.path, fault.code) for fault in caught.exception.faults}
        self.assertEqual(
            found,
            {
                ("listen.prot", "unknown_field"),
                ("listen.host", "bad_value"),
                ("tokens.peer", "missing_field"),
                ("limits.queue", "bad_value"),
            },
        )

    def test_tokens_shared_by_two_roles_are_rejected(self):
        document = copy.deepcopy(DOCUMENT)
        shared = document["tokens"]["operator"]
        document["tokens"]["teams"] = {"ash": "a-token-1", "oak": "a-token-1"}
        document["tokens"]["peer"] = shared
        with self.assertRaises(SettingsError) as caught:
            read_settings(document)
        found = [(fault.path, fault.code) for fault in caught.exception.faults]
        expected = ["tokens.peer", "tokens.teams.oak"]
        self.assertEqual(found, [(path, "shared_token") for path in expected])

    def test_unreadable_and_malformed_files_have_fault_codes(self):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "settings.yaml"
            self.assertEqual(self._read_code(str(path)), "unreadable")
            path.write_text("a: [")
            self.assertEqual(self._read_code(str(path)), "not_yaml")

    def _read_code(self, path: str) -> str:
        with self.assertRaises(SettingsError) as caught:
            load_settings(path)
        return caught.exception.faults[0].code
