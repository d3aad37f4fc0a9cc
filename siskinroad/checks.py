"""Schema validation of TOML that reports every problem with its key path."""

from __future__ import annotations

import math
import re
import tomllib
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

from siskinroad.errors import ConfigError, Problem

__all__ = ["Field", "Reader", "Table", "parse_toml", "read_table"]

NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9._-]{0,62}")
ADDRESS_PATTERN = re.compile(r"(\d{1,3})\.(\d{1,3})\.(\d{1,3})\.(\d{1,3}):(\d{1,5})")
MAX_PORT = 65535
# Marks a field without a default; None is a valid default.
MISSING = object()


@dataclass(slots=True, frozen=True)
class Field:
    """Schema of one key of a table.

    Attributes
    ----------
    kind : str
        One of ``int``, ``number``, ``str``, ``bool``, ``name``, ``address``,
        ``choice``, ``names``, ``table`` and ``tables``.
    default : object
        Value of an absent key; a key without a default is required.
    min, max : float
        Inclusive bounds of a number, or of the length of a string or array.
    choices : tuple of str
        The allowed values of a ``choice``.
    table : Table or None
        The schema of a ``table`` or of each entry of ``tables``.
    doc : str
        Description printed in the reference page.
    """

    kind: str
    default: Any = MISSING
    min: float = -math.inf
    max: float = math.inf
    choices: tuple[str, ...] = ()
    table: Table | None = None
    doc: str = ""

    @property
    def is_required(self) -> bool:
        """Whether the key must be present."""
        return self.default is MISSING

    def describe_allowed(self) -> str:
        """Describe the values that the key may hold."""
        match self.kind:
            case "choice":
                return "one of " + ", ".join(self.choices)
            case "name":
                return "a name of a-z, 0-9, '.', '_', '-', at most 63 characters long"
            case "address":
                return "an IPv4 address and port, such as 127.0.0.1:8000"
            case "names":
                return (
                    f"an array of names (length {_format_bounds(self.min, self.max)})"
                )
            case "tables":
                return (
                    f"an array of tables (length {_format_bounds(self.min, self.max)})"
                )
            case "table":
                return "a table"
            case "bool":
                return "true or false"
            case "str":
                return f"a string (length {_format_bounds(self.min, self.max)})"
            case "int":
                return f"a whole number {_format_bounds(self.min, self.max)}"
            case _:
                return f"a number {_format_bounds(self.min, self.max)}"


def _format_bounds(low: float, high: float) -> str:
    if low == -math.inf and high == math.inf:
        return "of any size"
    if high == math.inf:
        return f"from {low:g}"
    return f"from {low:g} to {high:g}"


@dataclass(slots=True, frozen=True)
class Table:
    """Schema of one table: its description and its keys."""

    doc: str
    fields: Mapping[str, Field]


@dataclass(slots=True)
class Reader:
    """Validator of parsed TOML that collects the problems it finds."""

    problems: list[Problem] = field(default_factory=list)

    def add_problem(self, key_path: str, value: object, allowed: str) -> None:
        """Record one problem.

        Parameters
        ----------
        key_path : str
            Dotted path of the key.
        value : object
            Value found; at most 80 characters of its repr are kept.
        allowed : str
            Description of the values that are accepted.
        """
        self.problems.append(Problem(key_path, repr(value)[:80], allowed))

    def validate_table(
        self, data: object, table: Table, key_path: str
    ) -> dict[str, Any]:
        """Validate one table and fill in defaults; unknown keys are problems."""
        if not isinstance(data, dict):
            self.add_problem(key_path or "file", data, "a table")
            return {}
        for key in data:
            if key not in table.fields:
                allowed = "one of " + ", ".join(sorted(table.fields))
                self.add_problem(_join_path(key_path, key), "unknown key", allowed)
        return {
            key: self._validate_key(data, key, spec, _join_path(key_path, key))
            for key, spec in table.fields.items()
        }

    def _validate_key(
        self, data: dict[str, Any], key: str, spec: Field, key_path: str
    ) -> Any:
        if key in data:
            return self.validate_value(data[key], spec, key_path)
        if spec.is_required:
            self.add_problem(key_path, "nothing", spec.describe_allowed())
            return _placeholder_value(spec)
        if spec.kind == "table" and spec.table and spec.default is not None:
            return self.validate_table(spec.default, spec.table, key_path)
        return spec.default

    def validate_value(self, value: object, spec: Field, key_path: str) -> Any:
        """Validate one value; record an invalid one and return a placeholder for it."""
        match spec.kind:
            case "table":
                assert spec.table is not None
                return self.validate_table(value, spec.table, key_path)
            case "tables":
                return self._validate_tables(value, spec, key_path)
            case "names":
                return self._validate_names(value, spec, key_path)
        if not _VALIDATORS[spec.kind](value, spec):
            self.add_problem(key_path, value, spec.describe_allowed())
            return _placeholder_value(spec)
        return value

    def _validate_tables(
        self, value: object, spec: Field, key_path: str
    ) -> list[dict[str, Any]]:
        assert spec.table is not None
        if not isinstance(value, list) or not spec.min <= len(value) <= spec.max:
            self.add_problem(key_path, value, spec.describe_allowed())
            return []
        table = spec.table
        return [
            self.validate_table(v, table, f"{key_path}[{i}]")
            for i, v in enumerate(value)
        ]

    def _validate_names(self, value: object, spec: Field, key_path: str) -> list[str]:
        are_names = isinstance(value, list) and all(_is_name(v, spec) for v in value)
        if not are_names or not spec.min <= len(value) <= spec.max:  # type: ignore[arg-type]
            self.add_problem(key_path, value, spec.describe_allowed())
            return []
        return list(value)  # type: ignore[call-overload]


def _join_path(key_path: str, key: str) -> str:
    return f"{key_path}.{key}" if key_path else key


def _placeholder_value(spec: Field) -> Any:
    placeholders: dict[str, Any] = {"int": 1, "number": 1.0, "bool": False}
    if spec.kind in ("tables", "names"):
        return []
    if spec.kind == "table":
        return {}
    if spec.kind == "choice":
        return spec.choices[0]
    return placeholders.get(spec.kind, "")


def _is_int(value: object, spec: Field) -> bool:
    is_int = isinstance(value, int) and not isinstance(value, bool)
    return is_int and spec.min <= value <= spec.max  # type: ignore[operator]


def _is_number(value: object, spec: Field) -> bool:
    if isinstance(value, bool) or not isinstance(value, int | float):
        return False
    return math.isfinite(value) and spec.min <= value <= spec.max


def _is_str(value: object, spec: Field) -> bool:
    return isinstance(value, str) and spec.min <= len(value) <= spec.max


def _is_name(value: object, spec: Field) -> bool:
    return isinstance(value, str) and NAME_PATTERN.fullmatch(value) is not None


def _is_address(value: object, spec: Field) -> bool:
    matched = ADDRESS_PATTERN.fullmatch(value) if isinstance(value, str) else None
    if matched is None:
        return False
    *parts, port = (int(part) for part in matched.groups())
    return all(part <= 255 for part in parts) and port <= MAX_PORT


_VALIDATORS: dict[str, Callable[[object, Field], bool]] = {
    "int": _is_int,
    "number": _is_number,
    "str": _is_str,
    "name": _is_name,
    "address": _is_address,
    "bool": lambda value, spec: isinstance(value, bool),
    "choice": lambda value, spec: value in spec.choices,
}


def parse_toml(text: str, source: str) -> dict[str, Any]:
    """Parse TOML text.

    Raises
    ------
    ConfigError
        If the text is not TOML.
    """
    try:
        return tomllib.loads(text)
    except (tomllib.TOMLDecodeError, RecursionError) as exc:
        raise ConfigError(source, [Problem("file", str(exc), "TOML")]) from exc


def read_table(text: str, table: Table, source: str) -> dict[str, Any]:
    """Parse a file and validate it against the schema of its top-level table.

    Raises
    ------
    ConfigError
        If the file is not valid; lists every problem found.
    """
    reader = Reader()
    values = reader.validate_table(parse_toml(text, source), table, "")
    if reader.problems:
        raise ConfigError(source, reader.problems)
    return values
