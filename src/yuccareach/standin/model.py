"""A stand-in model whose answer shows any skipped, repeated or swapped layer.

Each layer keeps a running state for a sequence, as a KV cache does. The output of a
layer depends on its input, its number and that state.
"""

from __future__ import annotations

import struct
from typing import NamedTuple

import xxhash

VOCABULARY = 50_000
END_OF_SEQUENCE_ONE_IN = 4_096
ACTIVATION = struct.Struct("<Q")
_LAYER = struct.Struct("<QQI")


class Sampled(NamedTuple):
    """One generated token."""

    token: int
    text: str
    end_of_sequence: bool


def tokenize(prompt: str) -> list[int]:
    """Return one token for each word of a prompt."""
    return [
        xxhash.xxh3_64_intdigest(word.encode()) % VOCABULARY
        for word in (prompt.split() or [""])
    ]


def embed(token: int) -> int:
    """Return the input of layer 0 for a token."""
    return xxhash.xxh3_64_intdigest(ACTIVATION.pack(token))


def run_layers(states: list[int], first_layer: int, value: int) -> int:
    """Run consecutive layers over one position, updating their states in place."""
    digest, pack = xxhash.xxh3_64_intdigest, _LAYER.pack
    for offset, state in enumerate(states):
        value = digest(pack(value, state, first_layer + offset))
        states[offset] = value
    return value


def sample(value: int) -> Sampled:
    """Choose the token that the last layer's output stands for."""
    token = value % VOCABULARY
    return Sampled(token, f" {token:04x}", value % END_OF_SEQUENCE_ONE_IN == 0)


def pack_activations(values: list[int]) -> bytes:
    """Encode activations of consecutive positions."""
    return struct.pack(f"<{len(values)}Q", *values)


def unpack_activations(data: bytes) -> list[int]:
    """Decode activations of consecutive positions."""
    return list(struct.unpack(f"<{len(data) // ACTIVATION.size}Q", data))


def answer(prompt: str, layers: int, max_tokens: int) -> list[str]:
    """Compute a whole answer alone, to check what the pipeline returned."""
    states = [0] * layers
    inputs = tokenize(prompt)
    texts: list[str] = []
    while len(texts) < max_tokens:
        for token in inputs:
            value = run_layers(states, 0, embed(token))
        sampled = sample(value)
        texts.append(sampled.text)
        if sampled.end_of_sequence:
            break
        inputs = [sampled.token]
    return texts


__all__ = [
    "Sampled",
    "answer",
    "embed",
    "pack_activations",
    "run_layers",
    "sample",
    "tokenize",
    "unpack_activations",
]
