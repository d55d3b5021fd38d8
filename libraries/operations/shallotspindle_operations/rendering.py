"""Formats the differences between bundles as lines of text with short digests."""

from collections.abc import Iterable, Iterator
from dataclasses import fields
from typing import Any

from shallotspindle_bundles import differences
from shallotspindle_bundles.differences import Change

DIGEST_DIGITS = 12


def render_value(name: str, value: Any) -> str:
    """Return the value of a field in short form."""
    if name == "key_digests":
        digests = ", ".join(digest.hex()[:DIGEST_DIGITS] for digest in value)
        return f"[{digests}]"
    if isinstance(value, frozenset):
        return " ".join(sorted(value)) or "all"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:g}"
    return str(value) if value not in {None, ""} else "none"


def list_fields(record: Any) -> list[str]:
    """Return the names of the fields that are shown."""
    return [item.name for item in fields(record) if item.name not in HIDDEN_FIELDS]


HIDDEN_FIELDS = frozenset({"name", "upstreams"})


def render_record(kind: str, name: str, before: Any, after: Any) -> str:
    """Return one line for a record that was added, removed or changed."""
    if after is None:
        return f"- {kind} {name}"
    field_texts = []
    for field in list_fields(after):
        new = getattr(after, field)
        if before is None:
            field_texts.append(f"{field} {render_value(field, new)}")
        elif getattr(before, field) != new:
            old = render_value(field, getattr(before, field))
            field_texts.append(f"{field} {old} -> {render_value(field, new)}")
    return f"{'~' if before else '+'} {kind} {name}: {', '.join(field_texts)}"


def render_change(change: Change) -> Iterator[str]:
    """Yield lines that start with ``+`` (added), ``-`` (removed) or ``~`` (changed)."""
    match change:
        case differences.SaltChange():
            yield "~ salt: all keys need new digests"
        case differences.WithdrawnChange(added=added, removed=removed):
            yield from (f"+ withdrawn {d.hex()[:DIGEST_DIGITS]}" for d in added)
            yield from (f"- withdrawn {d.hex()[:DIGEST_DIGITS]}" for d in removed)
        case differences.UpstreamChange(service=service, name=name):
            upstream_path = f"{service}/{name}"
            yield render_record("upstream", upstream_path, change.before, change.after)
        case _:
            kind = type(change).__name__.removesuffix("Change").lower()
            yield render_record(kind, change.name, change.before, change.after)


def render_changes(changes: Iterable[Change]) -> tuple[str, ...]:
    """Return the lines of all changes."""
    return tuple(line for change in changes for line in render_change(change))
