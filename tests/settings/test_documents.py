"""Tests of reading declaration files, and of the settings in force."""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path

from yuccareach.proto import data_pb2 as pb
from yuccareach.settings.documents import load_teams
from yuccareach.settings.errors import InvalidSettings
from yuccareach.settings.store import SettingsStore, hash_key, match_route


class LoadTeamsTests(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def write(self, name: str, text: str) -> None:
        path = self.folder / name
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(text, encoding="utf-8")

    def find_errors(self) -> list[tuple[str, int, int]]:
        with self.assertRaises(InvalidSettings) as caught:
            load_teams(self.folder)
        return [
            (Path(error.file).name, error.line, error.column)
            for error in caught.exception.errors
        ]

    def test_yaml_and_toml_of_one_team_are_merged(self) -> None:
        self.write("kalahari/a.yaml", "pipelines:\n  drafting:\n    layers: 24\n")
        self.write(
            "kalahari/deep/b.toml",
            "[services.ledger]\n"
            'routes = [{method="GET", path="/x", idempotent=true}]\n',
        )
        teams = load_teams(self.folder)
        self.assertEqual(sorted(teams["kalahari"]), ["pipelines", "services"])

    def test_every_error_is_reported_with_its_position(self) -> None:
        self.write(
            "kalahari/a.yaml",
            "pipelines:\n"
            "  drafting:\n"
            "    layers: many\n"
            "    layerz: 3\n"
            "    max_tokens: 0\n"
            "workspaces:\n"
            "  w:\n"
            "    key_sha256: [short]\n"
            "    limits: {requests_in_flight: -1}\n"
            "nonsense: {}\n",
        )
        self.write("kitamichi/b.toml", "[pipelines.matching]\nlayers = true\n")
        self.write("kitamichi/c.yaml", "pipelines: [\n")
        self.assertEqual(
            sorted(self.find_errors()),
            [
                ("a.yaml", 3, 5),
                ("a.yaml", 4, 5),
                ("a.yaml", 5, 5),
                ("a.yaml", 8, 18),
                ("a.yaml", 9, 14),
                ("a.yaml", 10, 1),
                ("b.toml", 2, 1),
                ("c.yaml", 2, 1),
            ],
        )

    def test_name_declared_in_two_files_is_rejected(self) -> None:
        self.write("kalahari/a.yaml", "pipelines: {drafting: {layers: 2}}\n")
        self.write("kalahari/b.yaml", "pipelines: {drafting: {layers: 3}}\n")
        self.assertEqual(self.find_errors(), [("b.yaml", 1, 13)])

    def test_missing_folder_is_rejected(self) -> None:
        with self.assertRaises(InvalidSettings):
            load_teams(self.folder / "none")


class SettingsStoreTests(unittest.TestCase):
    def push(self, after: int, revision: int, *teams: tuple[str, int, bytes]) -> bool:
        documents = [
            pb.TeamDocument(team=team, revision=number, document=document)
            for team, number, document in teams
        ]
        return self.store.apply(
            pb.SettingsPush(after_revision=after, revision=revision, teams=documents)
        )

    def setUp(self) -> None:
        self.store = SettingsStore()

    def test_older_revision_is_not_applied(self) -> None:
        old = b'{"pipelines": {"p": {"layers": 1}}}'
        new = b'{"pipelines": {"p": {"layers": 2}}}'
        self.assertTrue(self.push(0, 2, ("t", 2, new)))
        self.assertFalse(self.push(0, 1, ("t", 1, old)))
        self.assertFalse(self.push(5, 6, ("t", 6, old)))
        self.assertTrue(self.push(0, 3, ("t", 1, old)))
        self.assertEqual(self.store.find_pipeline("t", "p").layers, 2)

    def test_keys_of_a_replaced_team_document_are_removed(self) -> None:
        document = '{{"workspaces": {{"w": {{"key_sha256": ["{}"]}}}}}}'
        self.push(0, 1, ("t", 1, document.format(hash_key("a")).encode()))
        self.push(1, 2, ("t", 2, document.format(hash_key("b")).encode()))
        self.assertEqual(list(self.store.workspace_by_key_hash), [hash_key("b")])

    def test_routes_match_by_method_and_pattern(self) -> None:
        document = (
            b'{"services": {"s": {"routes": [{"method": "GET", "path": "/b/*", '
            b'"idempotent": true}]}}}'
        )
        self.push(0, 1, ("t", 1, document))
        service = self.store.find_service("t", "s")
        self.assertIsNotNone(match_route(service, "GET", "/b/1"))
        self.assertIsNone(match_route(service, "POST", "/b/1"))
        self.assertIsNone(match_route(service, "GET", "/c"))
