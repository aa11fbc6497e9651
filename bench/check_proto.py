"""Write the generated protocol code, or check that the committed code is current."""

from __future__ import annotations

import sys
import tempfile
from pathlib import Path

from grpc_tools import protoc

SOURCE_FOLDER = Path(__file__).resolve().parent.parent / "src"
PROTOCOLS = ("data", "engine", "control")


def _generate(target: Path) -> None:
    """Write the generated modules of every protocol file into a folder."""
    for name in PROTOCOLS:
        exit_status = protoc.main(
            [
                "protoc",
                f"-I{SOURCE_FOLDER}",
                f"--python_out={target}",
                f"--pyi_out={target}",
                f"--grpc_python_out={target}",
                str(SOURCE_FOLDER / "yuccareach" / "proto" / f"{name}.proto"),
            ]
        )
        if exit_status:
            raise SystemExit(exit_status)


def main() -> None:
    """Write the generated modules, or exit with the names of those that are stale."""
    if "--write" in sys.argv:
        _generate(SOURCE_FOLDER)
        return
    with tempfile.TemporaryDirectory() as folder:
        _generate(Path(folder))
        generated = sorted(Path(folder).rglob("*_pb2*.py*"))
        stale = [
            path.name
            for path in generated
            if path.read_bytes()
            != (SOURCE_FOLDER / path.relative_to(folder)).read_bytes()
        ]
    if stale or not generated:
        raise SystemExit(f"generated code is stale, run 'make proto': {stale}")


if __name__ == "__main__":
    main()
