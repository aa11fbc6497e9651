"""Write docs/reference from the code, or check that the committed pages are current."""

from __future__ import annotations

import re
import sys
from pathlib import Path
from typing import TYPE_CHECKING, Any, NotRequired, get_origin, get_type_hints

import click

from yuccareach.cli import agent, control, entry, load, main as operator, standin
from yuccareach.metrics.catalog import DESCRIPTION_BY_NAME, get_exposed_name
from yuccareach.metrics.registry import MAX_WORKSPACES, OTHER_WORKSPACES
from yuccareach.settings.types import NAME_PATTERN, SECTIONS

if TYPE_CHECKING:
    from collections.abc import Iterator

OUTPUT_FOLDER = Path("docs/reference")
SOURCE_FOLDER = Path("src/yuccareach")
COMMAND_BY_BINARY: dict[str, click.Command] = {
    "yuccareach": operator.main,
    "yuccareach-agent": agent.main,
    "yuccareach-control": control.main,
    "yuccareach-entry": entry.main,
    "yuccareach-load": load.main,
    "yuccareach-standin": standin.main,
}
_LOG_CALL = re.compile(
    r'Log\(\s*"(\w+)"|(?:_log|self\.log)\.\w+\(\s*"(\w+)"'
    r'|(?:gateway|self)\.log\(\s*"(\w+)"|_note\(\s*"(\w+)"'
)
_REFUSAL_CALL = re.compile(r'Refusal\(\s*(\d{3}),\s*"(\w+)"')
_ERROR_CLASS = re.compile(r'class (\w+)\((\w+(?:Error|Settings))\):\n    """([^"]+)"""')


def _render_flags(name: str, command: click.Command) -> Iterator[str]:
    yield f"## {name}"
    yield ""
    yield (command.help or "").split("\n\n")[0].replace("\n", " ")
    yield ""
    options = [item for item in command.params if isinstance(item, click.Option)]
    shown_options = [item for item in options if item.name != "version"]
    if shown_options:
        yield "| flag | environment | default | meaning |"
        yield "| --- | --- | --- | --- |"
    for option in shown_options:
        default: Any = option.default
        shown_default = default if isinstance(default, str | int | float) else ""
        default_text = f"`{shown_default}`" if shown_default != "" else ""
        default_text = "required" if option.required else default_text
        yield (
            f"| `{option.opts[0]}` | `{option.envvar or ''}` | {default_text} | "
            f"{option.help or ''} |"
        )
    yield ""
    if isinstance(command, click.Group):
        for child_name, child in sorted(command.commands.items()):
            yield from _render_flags(f"{name} {child_name}", child)


def _render_settings() -> Iterator[str]:
    yield f"Names match `{NAME_PATTERN}`."
    yield ""
    for section, declaration_type in SECTIONS.items():
        yield f"## {section}"
        yield ""
        yield (declaration_type.__doc__ or "").split("\n")[0]
        yield ""
        yield "| field | type | |"
        yield "| --- | --- | --- |"
        annotated_types = get_type_hints(declaration_type, include_extras=True)
        for field, field_type in get_type_hints(declaration_type).items():
            text = getattr(field_type, "__name__", str(field_type)).replace("|", "or")
            is_optional = get_origin(annotated_types[field]) is NotRequired
            yield f"| `{field}` | `{text}` | {'' if is_optional else 'required'} |"
        yield ""


def _read_sources() -> Iterator[str]:
    for path in sorted(SOURCE_FOLDER.rglob("*.py")):
        if "_pb2" not in path.name:
            yield path.read_text(encoding="utf-8")


def _render_events() -> Iterator[str]:
    events = {
        next(filter(None, match))
        for text in _read_sources()
        for match in _LOG_CALL.findall(text)
    }
    yield "## Log events"
    yield ""
    yield from (f"- `{event}`" for event in sorted(events))
    yield ""
    yield "## Metrics"
    yield ""
    yield "Summaries have the labels `workspace` and `class`, counters `reason`. Each"
    yield f"process keeps the {MAX_WORKSPACES} workspaces that it saw last; the others"
    yield f"are summed up as `{OTHER_WORKSPACES}`."
    yield ""
    yield "| name | kind | unit | meaning |"
    yield "| --- | --- | --- | --- |"
    for name in sorted(DESCRIPTION_BY_NAME):
        kind, unit, meaning = DESCRIPTION_BY_NAME[name]
        yield f"| `{get_exposed_name(name)}` | {kind} | {unit} | {meaning} |"
    yield ""


def _render_errors() -> Iterator[str]:
    refusals = {
        match for text in _read_sources() for match in _REFUSAL_CALL.findall(text)
    }
    yield "## Codes that callers see"
    yield ""
    yield "| status | code |"
    yield "| --- | --- |"
    yield from (f"| {status} | `{code}` |" for status, code in sorted(refusals))
    yield ""
    yield "## Exceptions"
    yield ""
    yield "| error | kind of | meaning |"
    yield "| --- | --- | --- |"
    for text in _read_sources():
        for name, parent, meaning in _ERROR_CLASS.findall(text):
            yield f"| `{name}` | `{parent}` | {' '.join(meaning.split())} |"
    yield ""


def render_pages() -> dict[str, str]:
    """Return the text of every page, by file name."""
    commands = [
        line for item in COMMAND_BY_BINARY.items() for line in _render_flags(*item)
    ]
    contents = {
        "flags.md": ["# Flags", "", *commands],
        "settings.md": ["# Settings", "", *_render_settings()],
        "events.md": ["# Log events and metrics", "", *_render_events()],
        "errors.md": ["# Errors", "", *_render_errors()],
    }
    note = "This page is made from the code by `make reference`."
    return {
        name: "\n".join([lines[0], "", note, "", *lines[2:]]).rstrip() + "\n"
        for name, lines in contents.items()
    }


def main() -> None:
    """Write the pages, or exit with the names of those that are stale."""
    if "--write" in sys.argv:
        for name, text in render_pages().items():
            (OUTPUT_FOLDER / name).write_text(text, encoding="utf-8")
        return
    stale = [
        name
        for name, text in render_pages().items()
        if not (OUTPUT_FOLDER / name).exists()
        or (OUTPUT_FOLDER / name).read_text(encoding="utf-8") != text
    ]
    if stale:
        raise SystemExit(f"docs/reference is stale, run 'make reference': {stale}")


if __name__ == "__main__":
    main()
