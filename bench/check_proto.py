"""Regenerate protocol code, or check that the committed code is current."""

from __future__ import annotations

import sys
import tempfile
from pathlib import Path

from grpc_tools import protoc

SOURCE = Path(__file__).resolve().parent.parent / "src"
NAMES = ("data", "engine", "control")


def _generate(target: Path) -> None:
    """Write generated modules for every protocol file under a folder."""
    for name in NAMES:
        status = protoc.main(
            [
                "protoc",
                f"-I{SOURCE}",
                f"--python_out={target}",
                f"--pyi_out={target}",
                f"--grpc_python_out={target}",
                str(SOURCE / "yuccareach" / "proto" / f"{name}.proto"),
            ]
        )
        if status:
            raise SystemExit(status)


def main() -> None:
    """Compare the committed modules with fresh ones, or write them."""
    if "--write" in sys.argv:
        _generate(SOURCE)
        return
    with tempfile.TemporaryDirectory() as folder:
        _generate(Path(folder))
        fresh = sorted(Path(folder).rglob("*_pb2*.py*"))
        stale = [
            path.name
            for path in fresh
            if path.read_bytes() != (SOURCE / path.relative_to(folder)).read_bytes()
        ]
    if stale or not fresh:
        raise SystemExit(f"generated code is stale, run 'make proto': {stale}")


if __name__ == "__main__":
    main()
