"""Tests of the deploy file: its checks, and where its processes run."""

from __future__ import annotations

import copy
import tomllib
import unittest
from pathlib import Path
from typing import Any, NamedTuple

import msgspec
from click.testing import CliRunner

from yuccareach.cli.main import main
from yuccareach.platform.deploy_file import DeployFile, find_deploy_errors

DEPLOY_PATH = Path(__file__).parents[2] / "deploy" / "system.toml"
# Instances on which control may run without being set aside for it.
MAX_CONTROL_PER_ZONE = 2


class Layout(NamedTuple):
    """Instances of each availability zone, the first of which have disks."""

    zone_instances: tuple[int, ...]
    disks_per_zone: int
    max_lost_disks: int


LAYOUTS = {
    "one disk in each of three small zones": Layout((2, 2, 3), 1, 1),
    "two disks in each of three zones": Layout((7, 7, 8), 2, 2),
    "two disks in each of four zones": Layout((6, 7, 7, 7), 2, 2),
    "a zone of eleven": Layout((10, 9, 11), 2, 2),
    "one disk in each of five large zones": Layout((13, 17, 12, 13, 15), 1, 2),
    "one disk in each of twelve zones": Layout((30,) * 12, 1, 2),
    "zones of one instance": Layout((1, 1, 1), 1, 1),
    "a single zone": Layout((9,), 3, 0),
}


def read_deploy_file() -> dict[str, Any]:
    return tomllib.loads(DEPLOY_PATH.read_text())


class LayoutTests(unittest.TestCase):
    def setUp(self) -> None:
        self.roles = msgspec.convert(read_deploy_file(), DeployFile).roles

    def test_control_ran_on_ever_more_instances_without_a_disk(self) -> None:
        for name, layout in LAYOUTS.items():
            with self.subTest(layout=name):
                counts = [
                    self.roles["control"].count_instances(instances)
                    for instances in layout.zone_instances
                ]
                self.assertGreaterEqual(min(counts), 1)
                self.assertLessEqual(max(counts), MAX_CONTROL_PER_ZONE)

    def test_control_has_a_quorum_after_the_tolerated_losses(self) -> None:
        for name, layout in LAYOUTS.items():
            with self.subTest(layout=name):
                voters = sum(
                    min(
                        self.roles["control"].count_instances(instances),
                        layout.disks_per_zone,
                    )
                    for instances in layout.zone_instances
                )
                self.assertGreaterEqual(voters, 2 * layout.max_lost_disks + 1)

    def test_gateways_run_on_every_instance(self) -> None:
        for layout in LAYOUTS.values():
            for instances in layout.zone_instances:
                count = self.roles["gateway"].count_instances(instances)
                self.assertEqual(count, instances)


class CheckTests(unittest.TestCase):
    def find_errors(self, role: str = "control", **changes: Any) -> list[str]:
        """Return the errors of the deploy file after changes; None removes a field."""
        deploy = copy.deepcopy(read_deploy_file())
        fields = {**deploy["roles"][role], **changes}
        deploy["roles"][role] = {
            name: value for name, value in fields.items() if value is not None
        }
        return find_deploy_errors(deploy)

    def test_own_file_is_valid(self) -> None:
        result = CliRunner().invoke(main, ["check", str(DEPLOY_PATH)])
        self.assertEqual(result.exit_code, 0, result.output)

    def test_each_error_is_one_line_that_names_the_role(self) -> None:
        for changes, expected in (
            ({"count": 0}, "count is 0"),
            ({"share": 0.5}, "either share or count"),
            ({"count": None}, "either share or count"),
            ({"count": None, "share": 1.5}, "share is 1.5"),
            ({"count": "two"}, "Expected `int | null`"),
            ({"counts": 2}, "unknown field `counts`"),
            ({"run": None}, "missing required field `run`"),
            ({"run": "python3 -m yuccareach.platform.run_contrl"}, "no module"),
            ({"run": ""}, "run is empty"),
            ({"serves": ["operators"]}, "unknown caller operators"),
            ({"serves": ["front"]}, "both serve front"),
        ):
            with self.subTest(changes=changes):
                errors = self.find_errors(**changes)
                self.assertEqual(len(errors), 1, errors)
                self.assertIn(expected, errors[0])
                self.assertIn("roles.control", errors[0])
                self.assertNotIn("\n", errors[0])

    def test_file_without_roles(self) -> None:
        self.assertEqual(len(find_deploy_errors({"build": "true"})), 1)
        self.assertEqual(len(find_deploy_errors([])), 1)
