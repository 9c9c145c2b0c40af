"""Tests of parsing and validating the operators' document."""

import testtools

from rosemarynotch._internal.models.document import Document
from rosemarynotch._internal.models.document import PoolKind
from rosemarynotch._internal.models.validation import check_document
from rosemarynotch._internal.models.validation import parse_document

VALID = """
[[pools]]
name = "settlement"
kind = "service"
min_available_vms = 1
urgent_reserve_slots = 2
vms = [
    { name = "s-1", data_centre = "fort-hall", rack = "r1" },
    { name = "s-2", data_centre = "fort-hall", rack = "r2" },
]
[[pools]]
name = "desk"
kind = "spare"
min_available_vms = 0
vms = []
[[teams]]
name = "harbour"
share = 2
limit_requests = 10
keys = [{ key_id = "k1", salt = "00112233aabbccdd", digest = "DIGEST" }]
[[queues]]
name = "settle"
pool = "settlement"
[[queues]]
name = "walk-in"
pool = "settlement"
open_to_all = true
team = "harbour"
[[waves]]
name = "monthly"
pools = ["settlement"]
""".replace("DIGEST", "ab" * 32)

# Replaced text, replacement, path of the problem and part of its message.
BAD = (
    ("share = 2", "shares = 2", "teams[0].shares", "one of share"),
    ("share = 2", "", "teams[0].share", "missing"),
    ("share = 2", "share = 0", "teams[0].share", "0.001 to 1000"),
    ("share = 2", "share = nan", "teams[0].share", "a number"),
    ("limit_requests = 10", "limit_requests = true", "", "whole number"),
    ("limit_requests = 10", "limit_requests = -1", "", "out of range"),
    ('"s-2"', '"s-1"', "pools[0].vms[1].name", "pools[0].vms[0]"),
    ('name = "desk"', 'name = "settlement"', "pools[1].name", "already"),
    ('name = "walk-in"', 'name = "settle"', "queues[1].name", "already"),
    ('name = "harbour"', 'name = "a.b"', "teams[0].name", "letters"),
    ("available_vms = 1", "available_vms = 3", "", "0 to 2"),
    ("reserve_slots = 2", "reserve_slots = 9", "", "0 to 8"),
    ('pool = "settlement"', 'pool = "nope"', "queues[0].pool", "unknown"),
    ('pool = "settlement"', 'pool = "desk"', "queues[0].pool", "no work"),
    ('team = "harbour"', "", "queues[1].team", "missing"),
    ('team = "harbour"', 'team = "x"', "queues[1].team", "one of harbour"),
    ("open_to_all = true", "", "queues[1].team", "open_to_all = true"),
    ('["settlement"]', '["x"]', "waves[0].pools[0]", "one of settlement"),
    ('["settlement"]', "[]", "waves[0].pools", "without a pool"),
    ('["settlement"]', '"settlement"', "waves[0].pools", "an array"),
    ('"service"', '"workers"', "pools[0].vms[0].cores", "at least 1"),
    ('"service"', '"serice"', "pools[0].kind", "one of service"),
    ("ab" * 32, "xyz", "teams[0].keys[0].digest", "64"),
    ("vms = []", "vms = [3]", "pools[1].vms[0]", "a table"),
    ("[[pools]]", "[[pools", "", "TOML"),
)


class ValidationTest(testtools.TestCase):
    """Guards against accepting invalid documents and against vague errors."""

    def test_valid_document(self):
        """Guards against refusing a valid document or changing its values."""
        document = parse_document(VALID)
        self.assertIsInstance(document, Document)
        self.assertIs(PoolKind.SERVICE, document.pools[0].kind)
        self.assertEqual(2.0, document.teams[0].share)
        self.assertEqual([], check_document(document))

    def test_each_error_has_its_path_and_what_is_valid(self):
        """Guards against errors that do not name the field and its range."""
        for old, new, path, text in BAD:
            self.assertIn(old, VALID)
            problems = parse_document(VALID.replace(old, new, 1))
            self.assertIsInstance(problems, list, (old, new))
            lines = [str(problem) for problem in problems]
            found = [
                line
                for line in lines
                if line.startswith(path) and text in line
            ]
            self.assertTrue(found, (old, new, lines))

    def test_vm_in_two_pools_is_refused(self):
        """Guards against a VM that two pools use."""
        vm = '{ name = "s-1", data_centre = "Gent", rack = "r1" }'
        problems = parse_document(VALID.replace("vms = []", f"vms = [{vm}]"))
        self.assertEqual("pools[1].vms[0].name", problems[0].path)

    def test_structure_errors_do_not_hide_rule_errors(self):
        """Guards against reporting problems one after another."""
        text = VALID.replace("share = 2", "share = 0\ncolour = 1")
        text = text.replace('["settlement"]', '["x"]')
        paths = {problem.path for problem in parse_document(text)}
        expected = {"teams[0].colour", "teams[0].share", "waves[0].pools[0]"}
        self.assertEqual(expected, paths)
