"""Tests of loading a process's settings file."""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path
from typing import Any

import yaml

from tests.platform.examples import build_settings
from yuccareach.buffers.limits import derive_limits, find_descriptor_limit
from yuccareach.platform.errors import InvalidProcessSettings
from yuccareach.platform.run_control import build_control_options
from yuccareach.platform.settings import (
    ProcessSettings,
    find_settings_errors,
    load_settings,
)
from yuccareach.runtime.links import SILENCE_DETECTION_MS


class LoadSettingsTests(unittest.TestCase):
    def load(self, **fields: Any) -> ProcessSettings:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = Path(folder.name) / "local.yaml"
        path.write_text(yaml.safe_dump(build_settings(**fields)))
        return load_settings(path)

    def test_unknown_fields_are_ignored(self) -> None:
        loaded = self.load()
        self.assertEqual(loaded.instance, "front-z1-1")
        self.assertEqual(loaded.control_peers, ("127.0.0.1:7340", "127.0.0.2:7340"))
        self.assertEqual(loaded.revocation_ms, 5_000)

    def test_only_the_first_seed_bootstraps_and_only_if_bootstrap_is_set(self) -> None:
        self.assertTrue(self.load().should_bootstrap)
        self.assertFalse(self.load(bootstrap=False).should_bootstrap)
        listen = {"control": "127.0.0.2:8003"}
        self.assertFalse(self.load(listen=listen).should_bootstrap)

    def test_voters_keep_a_quorum_after_the_tolerated_losses(self) -> None:
        options = build_control_options(self.load(faultTolerance={"machines": 2}))
        self.assertEqual(options.voters, 5)

    def test_instance_without_a_data_folder_never_votes_or_bootstraps(self) -> None:
        options = build_control_options(self.load(dataDir=None))
        self.assertIsNone(options.data)
        self.assertFalse(options.bootstrap)

    def test_contact_sooner_than_a_silent_connection_is_given_up_is_an_error(
        self,
    ) -> None:
        # Nothing could keep the promise: the connection is used until then.
        for contact_ms in (3_000, 4_000, SILENCE_DETECTION_MS):
            settings = build_settings(bounds={"contactMs": contact_ms})
            self.assertEqual(find_settings_errors(settings), [])
        fields = {"bounds": {"contactMs": SILENCE_DETECTION_MS - 1}}
        (message,) = find_settings_errors(build_settings(**fields))
        self.assertIn(f"bounds.contactMs is {SILENCE_DETECTION_MS - 1}", message)
        self.assertIn(f"{SILENCE_DETECTION_MS} ms", message)
        # An instance that does not start serves nobody.
        self.load(**fields)

    def test_error_of_an_invalid_file_is_one_line(self) -> None:
        cases: list[dict[str, Any]] = [
            {"internalPorts": [7340]},
            {"seeds": []},
            {"zone": 3},
            {"heartbeatMs": "often"},
        ]
        for fields in cases:
            with self.subTest(fields=fields):
                with self.assertRaises(InvalidProcessSettings) as raised:
                    self.load(**fields)
                self.assertNotIn("\n", str(raised.exception))
        with self.assertRaises(InvalidProcessSettings):
            load_settings(Path("/nonexistent/local.yaml"))

    def test_limits_of_buffers_follow_memory_and_descriptors(self) -> None:
        loaded = self.load(limits={"memoryMb": 152, "maxFds": 200, "cores": 2})
        self.assertEqual(loaded.buffers, derive_limits(152, 200))
        without = self.load(limits={"memoryMb": 152})
        self.assertEqual(without.buffers, derive_limits(152, find_descriptor_limit()))
        # A fraction must not keep a process from starting.
        fraction = self.load(limits={"memoryMb": 152.5, "maxFds": 200})
        self.assertEqual(fraction.buffers, derive_limits(152, 200))
        for fields in ({"memoryMb": 0}, {"maxFds": -1}, {"memoryMb": "much"}):
            with self.subTest(fields=fields):
                with self.assertRaises(InvalidProcessSettings):
                    self.load(limits=fields)
