"""Choosing how a stream that has lost a stage goes on."""

from __future__ import annotations

import unittest
from typing import Any
from unittest import mock

from tests.gateway.fleet import MODEL, backend
from yuccareach.gateway.chains import Chain, Demand, Part, build_graph
from yuccareach.gateway.stalls import _choose_detour

SMALL = MODEL._replace(layer_mb=100.0)


class ChooseDetourTests(unittest.TestCase):
    """A stream whose first stage runs layers 0 to 20 and whose next one is lost."""

    def setUp(self) -> None:
        self.first = backend("a1", "z1", "a100", 0, 30)
        self.others = [backend("b1", "z2", "a100", 20, 80)]

    def choose(self) -> tuple[Chain | None, bool]:
        """Return the detour, and whether a repeat was taken to begin anew."""
        run: Any = mock.Mock(runs=0)
        run.chain = Chain((Part(self.first, 0, 20),), 1.0)
        run.admitted.service.model = SMALL
        run.gateway.get_graph.return_value = build_graph(
            [self.first, *self.others], SMALL
        )
        run.demand.return_value = Demand("z1", 100, 0.0)
        return _choose_detour(run), run.take_repeat.called

    def names(self, chain: Chain | None) -> list[str]:
        assert chain is not None
        return [part.backend.name for part in chain.parts]

    def test_stage_within_the_zone_goes_first(self) -> None:
        self.others.append(backend("a2", "z1", "a100", 20, 80))
        detour, repeat = self.choose()
        self.assertEqual(self.names(detour), ["a1", "a2"])
        self.assertFalse(repeat)

    def test_whole_pipeline_elsewhere_goes_before_a_stage_elsewhere(self) -> None:
        self.others.append(backend("b2", "z2", "a100", 0, 20))
        self.assertEqual(self.choose(), (None, True))

    def test_last_way_is_a_stage_elsewhere(self) -> None:
        detour, repeat = self.choose()
        self.assertEqual(self.names(detour), ["a1", "b1"])
        self.assertFalse(repeat)

    def test_stream_is_not_begun_anew_where_it_began(self) -> None:
        # Layers 20 to 25 lack in the zone, and the first stage has them too; but a
        # stream that is broken off does not go there again.
        self.others.append(backend("a2", "z1", "a100", 25, 80))
        detour, repeat = self.choose()
        self.assertEqual(self.names(detour), ["a1", "b1"])
        self.assertFalse(repeat)
