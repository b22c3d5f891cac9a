"""Contract files: JSON or TOML, read with every mistake listed."""

import collections.abc
import dataclasses
import pathlib
import tomllib
import typing

import msgspec

from snipelug_core import change, contract

MAX_BYTES = 4 * 1024 * 1024


@dataclasses.dataclass(frozen=True)
class Loaded:
    """The operations that files ask for; models come before contracts."""

    operations: tuple[change.Operation, ...]


@dataclasses.dataclass(frozen=True)
class Mistakes:
    """Everything that is wrong with the files."""

    messages: tuple[str, ...]


Item = typing.TypeVar("Item")
SECTIONS = ("contracts", "models")


def load(paths: collections.abc.Sequence[pathlib.Path]) -> Loaded | Mistakes:
    """Read contracts and models from files.

    Parameters
    ----------
    paths : sequence of Path
        Each file holds one contract, or lists ``contracts`` and ``models``.
    """
    mistakes: list[str] = []
    models: list[contract.Model] = []
    contracts: list[contract.Contract] = []
    for path in paths:
        sections = _read_sections(path, mistakes)
        models += _convert(path, sections, "models", contract.Model, mistakes)
        contracts += _convert(path, sections, "contracts", contract.Contract, mistakes)
    mistakes += _repeated("team", [item.team for item in contracts])
    mistakes += _repeated("model", [item.name for item in models])
    operations: list[change.Operation] = [change.PutModel(item) for item in models]
    operations += [change.PutContract(item) for item in contracts]
    if not operations and not mistakes:
        mistakes.append("the files contain neither contracts nor models")
    if len(operations) > change.MAX_OPERATIONS:
        mistakes.append(
            f"{len(operations)} contracts and models are more than the "
            f"{change.MAX_OPERATIONS} of one change; apply them in parts"
        )
    return Mistakes(tuple(mistakes)) if mistakes else Loaded(tuple(operations))


def _read_sections(path: pathlib.Path, mistakes: list[str]) -> dict[str, list[object]]:
    try:
        data = path.read_bytes()
        content = _parse(path, data)
    except OSError as exc:
        mistakes.append(f"{path}: cannot be read: {exc.strerror}")
        return {}
    except (ValueError, msgspec.MsgspecError) as exc:
        mistakes.append(f"{path}: {exc}")
        return {}
    if not isinstance(content, dict):
        mistakes.append(f"{path}: the top level must be an object")
        return {}
    if "team" in content:
        return {"contracts": [content]}
    mistakes += [
        f"{path}: unknown section {name!r} (known: {', '.join(SECTIONS)}; a file "
        "with one contract has 'team' at the top level)"
        for name in content
        if name not in SECTIONS
    ]
    return content


def _parse(path: pathlib.Path, data: bytes) -> object:
    if len(data) > MAX_BYTES:
        raise ValueError(f"larger than {MAX_BYTES} bytes")
    if path.suffix == ".toml":
        return tomllib.loads(data.decode())
    if path.suffix == ".json":
        return msgspec.json.decode(data)
    raise ValueError("the file name must end in .json or .toml")


def _convert(
    path: pathlib.Path,
    sections: dict[str, list[object]],
    name: str,
    kind: type[Item],
    mistakes: list[str],
) -> list[Item]:
    entries = sections.get(name, [])
    if not isinstance(entries, list):
        mistakes.append(f"{path}: {name} must be a list")
        return []
    converted = []
    for number, entry in enumerate(entries, start=1):
        label = _label(entry, number)
        found = list(_field_mistakes(entry, kind))
        mistakes += [f"{path}: {name} {label}: {text}" for text in found]
        if not found:
            converted.append(msgspec.convert(entry, kind))
    return converted


def _label(entry: object, number: int) -> str:
    if isinstance(entry, dict):
        name = entry.get("team", entry.get("name"))
        if isinstance(name, str):
            return repr(name)
    return f"entry {number}"


def _field_mistakes(
    entry: object, kind: type[typing.Any]
) -> collections.abc.Iterator[str]:
    """Yield the mistakes of each field; one conversion reports only its first."""
    if not isinstance(entry, dict):
        yield "must be an object"
        return
    fields = {field.encode_name: field for field in msgspec.structs.fields(kind)}
    for name in entry:
        if name not in fields:
            yield f"unknown field {name!r} (known: {', '.join(fields)})"
    for name, field in fields.items():
        if name not in entry:
            if field.required:
                yield f"field {name!r} is missing"
            continue
        if field.type is contract.Limits:
            nested = _field_mistakes(entry[name], contract.Limits)
            yield from (f"{name}: {text}" for text in nested)
            continue
        try:
            msgspec.convert(entry[name], field.type)
        except msgspec.ValidationError as exc:
            yield f"{name}: {exc}"


def _repeated(
    what: str, names: collections.abc.Sequence[str]
) -> collections.abc.Iterator[str]:
    for name in sorted({name for name in names if names.count(name) > 1}):
        yield f"{what} {name!r} is in the files more than once"
