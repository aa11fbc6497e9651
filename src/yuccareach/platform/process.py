"""The main function shared by control and the gateway on the users' platform."""

from __future__ import annotations

import asyncio
import sys
from typing import TYPE_CHECKING

from yuccareach.errors import YuccareachError
from yuccareach.platform.settings import find_settings_path, load_settings
from yuccareach.runtime import logs
from yuccareach.runtime.process import serve_until_signal
from yuccareach.runtime.reload import SettingsFile

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

    from yuccareach.platform.settings import ProcessSettings
    from yuccareach.runtime.process import ProcessLifecycle

    # Returns a service, and the function that applies a changed settings file to it.
    BuildService = Callable[
        [ProcessSettings], tuple[ProcessLifecycle, Callable[[Path], None]]
    ]


def run_process(build_service: BuildService) -> None:
    """Run a service until a signal ends it.

    An error of this project, such as an invalid settings file, is reported on one line
    of stderr, and the exit status is 2.
    """
    try:
        path = find_settings_path()
        settings = load_settings(path)
        logs.configure("info", settings.instance)
        asyncio.run(_serve(build_service, settings, path))
    except YuccareachError as error:
        print(f"error: {error}", file=sys.stderr)
        sys.exit(2)


async def _serve(
    build_service: BuildService, settings: ProcessSettings, path: Path
) -> None:
    service, apply_settings = build_service(settings)
    settings_file = SettingsFile(path, apply_settings)
    watch_task = asyncio.create_task(settings_file.watch())
    await serve_until_signal(service, settings_file.reload)
    watch_task.cancel()
    await asyncio.gather(watch_task, return_exceptions=True)


__all__ = ["run_process"]
