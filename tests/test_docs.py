"""Tests that the documentation agrees with the code and with itself."""

import re
import typing
import unittest
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import yaml

from damaskdeck import Settings
from damaskdeck.settings import LimitsSection, SettingsDocument, read_settings
from damaskdeck.transport.api.problems import CODES

ROOT = Path(__file__).parents[1]
DOCS = ROOT / "docs"
LINK = re.compile(r"\]\(([^)\s]+)\)")
CODE = re.compile(r"`([^`]+)`")
LIMIT_FIELDS = {"ledgers": "ledger_count", "queue": "queue_limit", "body": "body_limit"}


def list_links(page: Path) -> list[str]:
    """List the relative links of a page, without their anchors."""
    links = LINK.findall(page.read_text())
    return [link.split("#")[0] for link in links if "://" not in link]


def read_table(page: Path, heading: str) -> list[list[str]]:
    """Return the rows of the table that starts with ``heading``."""
    _, _, after = page.read_text().partition(f"| {heading} |")
    lines = after.split("\n\n", 1)[0].splitlines()[2:]
    return [[cell.strip() for cell in line.strip("| ").split(" | ")] for line in lines]


def list_settings(section: Any = SettingsDocument, path: str = "") -> Iterator[str]:
    """Yield the path of each key that a settings file may have."""
    hints = typing.get_type_hints(section, include_extras=True)
    for name, hint in hints.items():
        if typing.get_origin(hint) is typing.NotRequired:
            hint = typing.get_args(hint)[0]
        if typing.is_typeddict(hint):
            yield from list_settings(hint, f"{path}{name}.")
        else:
            yield path + name


class TestPages(unittest.TestCase):
    """Links between pages, and the glossary."""

    def test_every_relative_link_leads_to_a_file(self):
        pages = [*ROOT.glob("*.md"), *DOCS.rglob("*.md")]
        dead = [
            f"{page.relative_to(ROOT)}: {link}"
            for page in pages
            for link in list_links(page)
            if link and not (page.parent / link).exists()
        ]
        self.assertEqual(dead, [])

    def test_operations_lists_every_page_once(self):
        listed = list_links(DOCS / "OPERATIONS.md")
        pages = (DOCS / "operations").glob("*.md")
        self.assertEqual(sorted(listed), sorted(f"operations/{p.name}" for p in pages))

    def test_each_term_of_the_glossary_has_one_row(self):
        page = (DOCS / "GLOSSARY.md").read_text()
        rows = re.findall(r"^\| ([a-z][^|]*) \| ([^|]*) \|", page, re.MULTILINE)
        words = [word for word, meaning in rows if word != "word"]
        self.assertGreater(len(words), 60)
        self.assertEqual(len(words), len(set(words)))
        self.assertTrue(all(meaning.strip() for _, meaning in rows))


class TestSettingsPage(unittest.TestCase):
    """The table of settings and the example on the page of the daemon."""

    def setUp(self):
        self.page = DOCS / "operations" / "daemon.md"
        rows = read_table(self.page, "key")
        self.rows = {CODE.findall(row[0])[0]: row for row in rows}

    def test_the_keys_are_those_of_the_settings_document(self):
        self.assertEqual(sorted(self.rows), sorted(list_settings()))

    def test_the_limits_have_the_defaults_of_the_code(self):
        for name in LimitsSection.__annotations__:
            default = Settings._field_defaults[LIMIT_FIELDS.get(name, name)]
            seconds = getattr(default, "total_seconds", lambda value=default: value)()
            documented = self.rows[f"limits.{name}"][1].replace(",", "")
            self.assertEqual(float(documented), seconds, name)

    def test_the_example_is_a_valid_settings_file(self):
        lines = self.page.read_text().splitlines()
        example = "\n".join(line[4:] for line in lines if line.startswith("    "))
        self.assertEqual(read_settings(yaml.safe_load(example)).name, "entry-1")


class TestApiPage(unittest.TestCase):
    """The table of error codes on the page of the API."""

    maxDiff = None

    def test_the_codes_and_statuses_are_those_of_the_api(self):
        rows = read_table(DOCS / "operations" / "api.md", "code")
        documented = {CODE.findall(row[0])[0]: int(row[1]) for row in rows}
        self.assertEqual(
            documented, {name: code.status for name, code in CODES.items()}
        )
