"""Versions of the routing document as changes of earlier ones.

Each version goes to every entry. A document of two thousand routes has some ten
kilobytes when compressed, while a change concerns a few of its items.
"""

from __future__ import annotations

import zlib
from collections import OrderedDict
from typing import TYPE_CHECKING

from google.protobuf.message import DecodeError

from yuccareach.control.errors import ControlError
from yuccareach.proto import control_pb2 as cpb

if TYPE_CHECKING:
    from collections.abc import Sequence

# An entry that has missed more versions than this gets the whole document.
MAX_VERSIONS_KEPT = 8
# Where items of the document end, which is a list of objects in JSON for the most part.
ITEM_END = b"},"


class DeltaMismatch(ControlError):
    """A delta does not belong to the document that an entry has."""


class DocumentHistory:
    """The versions that views were last made of, and the deltas between them."""

    def __init__(self) -> None:
        # As they are stored, the newest last.
        self.content_by_version: OrderedDict[int, bytes] = OrderedDict()
        # Of the newest version, by the version that it changes; None if the whole
        # document is no larger.
        self.delta_by_base: dict[int, cpb.DocumentDelta | None] = {}

    def find_delta(
        self, base_version: int, document: cpb.RoutingDocument
    ) -> cpb.DocumentDelta | None:
        """Return the delta from a version to the one in force, or None to send all."""
        if document.version not in self.content_by_version:
            self._add(document)
        base = self.content_by_version.get(base_version)
        if base is None:
            return None
        if base_version not in self.delta_by_base:
            delta = build_delta(base_version, base, document)
            is_smaller = len(delta.pieces) < len(document.content)
            self.delta_by_base[base_version] = delta if is_smaller else None
        return self.delta_by_base[base_version]

    def _add(self, document: cpb.RoutingDocument) -> None:
        self.content_by_version[document.version] = document.content
        self.delta_by_base.clear()
        while len(self.content_by_version) > MAX_VERSIONS_KEPT:
            self.content_by_version.popitem(last=False)


def build_delta(
    base_version: int, base: bytes, document: cpb.RoutingDocument
) -> cpb.DocumentDelta:
    """Return the delta that makes a document from the stored content of another."""
    base_items = _split(zlib.decompress(base))
    content = zlib.decompress(document.content)
    index_by_item = {item: index for index, item in enumerate(base_items)}
    pieces: list[cpb.DocumentPiece] = []
    for item in _split(content):
        last = pieces[-1] if pieces else None
        following = last.first + last.count if last is not None else -1
        is_following = (
            last is not None
            and last.count
            and following < len(base_items)
            and base_items[following] == item
        )
        if last is not None and is_following:
            last.count += 1
        elif item in index_by_item:
            pieces.append(cpb.DocumentPiece(first=index_by_item[item], count=1))
        elif last is not None and not last.count:
            last.content += item
        else:
            pieces.append(cpb.DocumentPiece(content=item))
    encoded = cpb.DocumentPieces(pieces=pieces).SerializeToString()
    return cpb.DocumentDelta(
        base_version=base_version,
        version=document.version,
        crc32=zlib.crc32(content),
        pieces=zlib.compress(encoded),
    )


def apply_delta(base: bytes, delta: cpb.DocumentDelta) -> bytes:
    """Return the content, not compressed, that a delta makes from another one.

    Raises DeltaMismatch if the delta was made from other content, or is damaged.
    """
    items = _split(base)
    try:
        pieces = cpb.DocumentPieces.FromString(zlib.decompress(delta.pieces)).pieces
    except (DecodeError, zlib.error) as error:
        raise DeltaMismatch(f"the delta cannot be read: {error}") from error
    content = b"".join(
        (
            b"".join(items[piece.first : piece.first + piece.count])
            if piece.count
            else piece.content
        )
        for piece in pieces
    )
    if zlib.crc32(content) != delta.crc32:
        raise DeltaMismatch("the result has another checksum")
    return content


def _split(content: bytes) -> Sequence[bytes]:
    """Return the items of a document, which joined make the document again."""
    items = content.split(ITEM_END)
    return [*(item + ITEM_END for item in items[:-1]), items[-1]]


__all__ = [
    "MAX_VERSIONS_KEPT",
    "DeltaMismatch",
    "DocumentHistory",
    "apply_delta",
    "build_delta",
]
