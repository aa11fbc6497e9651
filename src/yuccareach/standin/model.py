"""A stand-in model whose answer changes if a layer is skipped, repeated or swapped.

Each layer keeps a state for each sequence, as a KV cache does. The output of a layer is
a hash of its input, that state and its number, so every earlier deviation changes it.
"""

from __future__ import annotations

import struct
from typing import NamedTuple

import xxhash

VOCABULARY_SIZE = 50_000
# On average, one in this number of tokens ends its sequence.
END_OF_SEQUENCE_MODULUS = 4_096
_ACTIVATION_STRUCT = struct.Struct("<Q")
_LAYER_INPUT_STRUCT = struct.Struct("<QQI")


class SampledToken(NamedTuple):
    """One generated token."""

    token: int
    text: str
    end_of_sequence: bool


def tokenize(prompt: str) -> list[int]:
    """Return one token per word of a prompt."""
    return [
        xxhash.xxh3_64_intdigest(word.encode()) % VOCABULARY_SIZE
        for word in (prompt.split() or [""])
    ]


def embed(token: int) -> int:
    """Return the input of layer 0 for a token."""
    return xxhash.xxh3_64_intdigest(_ACTIVATION_STRUCT.pack(token))


def run_layers(states: list[int], first_layer: int, value: int) -> int:
    """Run consecutive layers over one position, updating their states in place."""
    digest, pack = xxhash.xxh3_64_intdigest, _LAYER_INPUT_STRUCT.pack
    for offset, state in enumerate(states):
        value = digest(pack(value, state, first_layer + offset))
        states[offset] = value
    return value


def sample(value: int) -> SampledToken:
    """Return the token for an output of the last layer."""
    token = value % VOCABULARY_SIZE
    return SampledToken(token, f" {token:04x}", value % END_OF_SEQUENCE_MODULUS == 0)


def pack_activations(values: list[int]) -> bytes:
    """Encode the activations of consecutive positions."""
    return struct.pack(f"<{len(values)}Q", *values)


def unpack_activations(data: bytes) -> list[int]:
    """Decode the activations of consecutive positions."""
    return list(struct.unpack(f"<{len(data) // _ACTIVATION_STRUCT.size}Q", data))


def compute_answer(prompt: str, layers: int, max_tokens: int) -> list[str]:
    """Compute the complete answer in this process, to check a pipeline's answer."""
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
    "SampledToken",
    "compute_answer",
    "embed",
    "pack_activations",
    "run_layers",
    "sample",
    "tokenize",
    "unpack_activations",
]
