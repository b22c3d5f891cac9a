"""Loading of contract files in JSON or TOML, with all errors reported at once."""

import collections.abc
import dataclasses
import pathlib
import tomllib
import typing

import msgspec

from snipelug_core import change, contract

MAX_FILE_BYTES = 4 * 1024 * 1024


@dataclasses.dataclass(frozen=True)
class Loaded:
    """The operations described by the files, models before contracts."""

    operations: tuple[change.Operation, ...]


@dataclasses.dataclass(frozen=True)
class LoadErrors:
    """All errors found in the files."""

    messages: tuple[str, ...]


Item = typing.TypeVar("Item")
SECTIONS = ("contracts", "models")


def load(paths: collections.abc.Sequence[pathlib.Path]) -> Loaded | LoadErrors:
    """Load contracts and models from files.

    Parameters
    ----------
    paths : sequence of Path
        Each file contains one contract, or the lists ``contracts`` and ``models``.
    """
    errors: list[str] = []
    models: list[contract.Model] = []
    contracts: list[contract.Contract] = []
    for path in paths:
        sections = _read_sections(path, errors)
        models += _convert(path, sections, "models", contract.Model, errors)
        contracts += _convert(path, sections, "contracts", contract.Contract, errors)
    errors += _duplicate_errors("team", [item.team for item in contracts])
    errors += _duplicate_errors("model", [item.name for item in models])
    operations: list[change.Operation] = [change.PutModel(item) for item in models]
    operations += [change.PutContract(item) for item in contracts]
    if not operations and not errors:
        errors.append("the files contain neither contracts nor models")
    if len(operations) > change.MAX_OPERATIONS:
        errors.append(
            f"{len(operations)} contracts and models exceed the limit of "
            f"{change.MAX_OPERATIONS} for one change; apply them in several changes"
        )
    return LoadErrors(tuple(errors)) if errors else Loaded(tuple(operations))


def _read_sections(path: pathlib.Path, errors: list[str]) -> dict[str, list[object]]:
    try:
        data = path.read_bytes()
        content = _parse(path, data)
    except OSError as exc:
        errors.append(f"{path}: cannot be read: {exc.strerror}")
        return {}
    except (ValueError, msgspec.MsgspecError) as exc:
        errors.append(f"{path}: {exc}")
        return {}
    if not isinstance(content, dict):
        errors.append(f"{path}: the top level must be an object")
        return {}
    if "team" in content:
        return {"contracts": [content]}
    errors += [
        f"{path}: unknown section {name!r} (known: {', '.join(SECTIONS)}; a file "
        "with one contract has 'team' at the top level)"
        for name in content
        if name not in SECTIONS
    ]
    return content


def _parse(path: pathlib.Path, data: bytes) -> object:
    if len(data) > MAX_FILE_BYTES:
        raise ValueError(f"larger than {MAX_FILE_BYTES} bytes")
    if path.suffix == ".toml":
        return tomllib.loads(data.decode())
    if path.suffix == ".json":
        return msgspec.json.decode(data)
    raise ValueError("the file name must end in .json or .toml")


def _convert(
    path: pathlib.Path,
    sections: dict[str, list[object]],
    name: str,
    struct_type: type[Item],
    errors: list[str],
) -> list[Item]:
    entries = sections.get(name, [])
    if not isinstance(entries, list):
        errors.append(f"{path}: {name} must be a list")
        return []
    converted = []
    for number, entry in enumerate(entries, start=1):
        label = _label(entry, number)
        entry_errors = list(_field_errors(entry, struct_type))
        errors += [f"{path}: {name} {label}: {text}" for text in entry_errors]
        if not entry_errors:
            converted.append(msgspec.convert(entry, struct_type))
    return converted


def _label(entry: object, number: int) -> str:
    if isinstance(entry, dict):
        name = entry.get("team", entry.get("name"))
        if isinstance(name, str):
            return repr(name)
    return f"entry {number}"


def _field_errors(
    entry: object, struct_type: type[typing.Any]
) -> collections.abc.Iterator[str]:
    """Yield the errors of all fields; converting the whole entry reports only one."""
    if not isinstance(entry, dict):
        yield "must be an object"
        return
    fields = {field.encode_name: field for field in msgspec.structs.fields(struct_type)}
    for name in entry:
        if name not in fields:
            yield f"unknown field {name!r} (known: {', '.join(fields)})"
    for name, field in fields.items():
        if name not in entry:
            if field.required:
                yield f"field {name!r} is missing"
            continue
        if field.type is contract.Limits:
            nested = _field_errors(entry[name], contract.Limits)
            yield from (f"{name}: {text}" for text in nested)
            continue
        try:
            msgspec.convert(entry[name], field.type)
        except msgspec.ValidationError as exc:
            yield f"{name}: {exc}"


def _duplicate_errors(
    kind: str, names: collections.abc.Sequence[str]
) -> collections.abc.Iterator[str]:
    for name in sorted({name for name in names if names.count(name) > 1}):
        yield f"{kind} {name!r} appears in the files more than once"
