"""Tests that compare the documentation with the code."""

import pathlib
import re

import attrs
import testtools

from rosemarynotch._internal.cli.operator import COMMANDS
from rosemarynotch._internal.commands.exits import Exit
from rosemarynotch._internal.models import document
from rosemarynotch._internal.models.fields import RANGES
from rosemarynotch._internal.models.validation import parse_document
from rosemarynotch._internal.operators.findings import Alarm

ROOT = pathlib.Path(__file__).parents[2]
SECTIONS = {
    "Document": document.Document,
    "Pool": document.PoolSpec,
    "VM": document.VmSpec,
    "Team": document.TeamSpec,
    "Key": document.KeySpec,
    "Queue": document.QueueSpec,
    "Wave": document.WaveSpec,
}
DEFAULTS = {"": "empty", (): "empty", True: "true", False: "false"}


def section(text, title):
    return text.split(f"\n## {title}\n")[1].split("\n## ")[0]


def rows(text):
    lines = re.findall(r"^\| ([a-z_]+) \|(.*)\|$", text, re.M)
    for name, rest in lines:
        if name != "field":
            yield name, [cell.strip() for cell in rest.split("|")]


def default_text(field):
    if field.default is attrs.NOTHING:
        return "required"
    if isinstance(field.default, int) and field.type is not bool:
        return str(field.default)
    return DEFAULTS[field.default]


class ConfigurationPageTest(testtools.TestCase):
    """Guards against fields that are undocumented or documented wrongly."""

    def test_each_field_with_unit_default_and_range(self):
        """Guards against a page that differs from the fields in the code."""
        text = (ROOT / "docs/configuration.md").read_text()
        for title, kind in SECTIONS.items():
            documented = dict(rows(section(text, title)))
            fields = {field.name: field for field in attrs.fields(kind)}
            self.assertEqual(list(fields), list(documented), title)
            for name, (_, unit, default, valid) in documented.items():
                self.assertEqual(default_text(fields[name]), default, name)
                limits = RANGES.get(kind, {}).get(name)
                if limits is not None:
                    self.assertEqual(limits.unit, unit, name)
                    self.assertEqual(str(limits), valid, name)

    def test_examples_are_valid(self):
        """Guards against examples that the software refuses."""
        for name in ("kochi", "flanders"):
            text = (ROOT / f"examples/{name}.toml").read_text()
            parsed = parse_document(text)
            self.assertIsInstance(parsed, document.Document, parsed)
            services = [
                pool
                for pool in parsed.pools
                if pool.kind is document.PoolKind.SERVICE
            ]
            self.assertEqual([6] * 5, [len(pool.vms) for pool in services])
            self.assertEqual(6, len(parsed.teams))


class OperationsPageTest(testtools.TestCase):
    """Guards against undocumented alarms, exit statuses and commands."""

    def test_alarms_exit_statuses_and_commands(self):
        """Guards against alarms, statuses or commands without an entry."""
        text = (ROOT / "docs/OPERATIONS.md").read_text()
        for alarm in Alarm:
            self.assertIn(f"| `{alarm}` |", text)
        for status in Exit:
            self.assertIn(f"| {int(status)} |", text)
        text += (ROOT / "docs/configuration.md").read_text()
        for command in COMMANDS:
            self.assertIn(f"rosemarynotch {command}", text)
        for used in re.findall(r"^rosemarynotch (\S+)", text, re.M):
            known = {name.split()[0] for name in COMMANDS}
            self.assertIn(used, known)


class PromisesPageTest(testtools.TestCase):
    """Guards against references to tests and rows that do not exist."""

    def test_every_named_test_exists(self):
        """Guards against names that are wrong after a test was renamed."""
        text = (ROOT / "docs" / "promises.md").read_text()
        tests = sorted((ROOT / "tests").rglob("test_*.py"))
        code = "".join(path.read_text() for path in tests)
        for name in re.findall(r"`(test_\w+)`", text):
            self.assertIn(f"def {name}(", code)
        for name in re.findall(r"`(test_\w+\.py)`", text):
            self.assertIn(name, [path.name for path in tests])
        for name in re.findall(r"`([a-z]+(?:-[a-z]+)+)`", text):
            self.assertIn(f'    "{name}": Row(', code)
