"""Running a process from the platform's settings file."""

from __future__ import annotations

import asyncio
import sys
from typing import TYPE_CHECKING

from yuccareach.errors import YuccareachError
from yuccareach.platform.settings import load_settings, settings_path
from yuccareach.runtime import logs
from yuccareach.runtime.process import serve_until_signal
from yuccareach.runtime.reload import SettingsFile

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

    from yuccareach.platform.settings import ProcessSettings
    from yuccareach.runtime.process import ProcessLifecycle

    # Makes a role, and what takes its settings anew.
    Build = Callable[[ProcessSettings], tuple[ProcessLifecycle, Callable[[Path], None]]]


def run_process(build: Build) -> None:
    """Run a role until it is told to stop; a bad settings file is one clear line."""
    try:
        path = settings_path()
        settings = load_settings(path)
        logs.configure("info", settings.instance)
        asyncio.run(_serve(build, settings, path))
    except YuccareachError as error:
        print(f"error: {error}", file=sys.stderr)
        sys.exit(2)


async def _serve(build: Build, settings: ProcessSettings, path: Path) -> None:
    service, take = build(settings)
    file = SettingsFile(path, take)
    watcher = asyncio.create_task(file.watch())
    await serve_until_signal(service, file.reload)
    watcher.cancel()
    await asyncio.gather(watcher, return_exceptions=True)


__all__ = ["run_process"]
