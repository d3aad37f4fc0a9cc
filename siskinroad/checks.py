"""A checker for parsed TOML that reports every problem with its place."""

from __future__ import annotations

import math
import re
import tomllib
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

from siskinroad.errors import ConfigError, Problem

__all__ = ["Field", "Reader", "Table", "parse_toml", "read_table"]

NAME = re.compile(r"[a-z0-9][a-z0-9._-]{0,62}")
ADDRESS = re.compile(r"(\d{1,3})\.(\d{1,3})\.(\d{1,3})\.(\d{1,3}):(\d{1,5})")
MAX_PORT = 65535
MISSING = object()


@dataclass(slots=True, frozen=True)
class Field:
    """One key of a table.

    Attributes
    ----------
    kind : str
        One of ``int``, ``number``, ``str``, ``bool``, ``name``, ``address``,
        ``choice``, ``names``, ``table`` and ``tables``.
    default : object
        The value of an absent key; a key without default is required.
    low, high : float
        Inclusive bounds of a number, or of a string's or array's length.
    choices : tuple of str
        The allowed values of a ``choice``.
    table : Table or None
        The schema of a ``table`` or of each entry of ``tables``.
    doc : str
        The sentence printed in the reference.
    """

    kind: str
    default: Any = MISSING
    low: float = -math.inf
    high: float = math.inf
    choices: tuple[str, ...] = ()
    table: Table | None = None
    doc: str = ""

    @property
    def required(self) -> bool:
        """Whether the key must be present."""
        return self.default is MISSING

    def allowed(self) -> str:
        """Return what the key may hold, as text."""
        match self.kind:
            case "choice":
                return "one of " + ", ".join(self.choices)
            case "name":
                return "a name of a-z, 0-9, '.', '_', '-', at most 63 long"
            case "address":
                return "an IPv4 address and port, such as 127.0.0.1:8000"
            case "names":
                return f"an array of {_span(self.low, self.high)} names"
            case "tables":
                return f"an array of {_span(self.low, self.high)} tables"
            case "table":
                return "a table"
            case "bool":
                return "true or false"
            case "str":
                return f"a string of length {_span(self.low, self.high)}"
            case "int":
                return f"a whole number {_span(self.low, self.high)}"
            case _:
                return f"a number {_span(self.low, self.high)}"


def _span(low: float, high: float) -> str:
    if low == -math.inf and high == math.inf:
        return "of any size"
    if high == math.inf:
        return f"from {low:g}"
    return f"from {low:g} to {high:g}"


@dataclass(slots=True, frozen=True)
class Table:
    """The keys of one table and the sentence that describes it."""

    doc: str
    fields: Mapping[str, Field]


@dataclass(slots=True)
class Reader:
    """Collects problems while values are read."""

    problems: list[Problem] = field(default_factory=list)

    def fault(self, place: str, value: object, allowed: str) -> None:
        """Record one problem.

        Parameters
        ----------
        place : str
            Dotted path of the key.
        value : object
            The value found.
        allowed : str
            What would be accepted.
        """
        self.problems.append(Problem(place, repr(value)[:80], allowed))

    def table(self, data: object, table: Table, place: str) -> dict[str, Any]:
        """Read one table, filling in defaults; unknown keys are problems."""
        if not isinstance(data, dict):
            self.fault(place or "file", data, "a table")
            return {}
        for key in data:
            if key not in table.fields:
                allowed = "one of " + ", ".join(sorted(table.fields))
                self.fault(_join(place, key), "unknown key", allowed)
        return {
            key: self._value(data, key, spec, _join(place, key))
            for key, spec in table.fields.items()
        }

    def _value(self, data: dict[str, Any], key: str, spec: Field, place: str) -> Any:
        if key in data:
            return self.value(data[key], spec, place)
        if spec.required:
            self.fault(place, "nothing", spec.allowed())
            return _empty(spec)
        if spec.kind == "table" and spec.table and spec.default is not None:
            return self.table(spec.default, spec.table, place)
        return spec.default

    def value(self, value: object, spec: Field, place: str) -> Any:
        """Read one value; a wrong one is recorded and replaced by a blank."""
        match spec.kind:
            case "table":
                assert spec.table is not None
                return self.table(value, spec.table, place)
            case "tables":
                return self._tables(value, spec, place)
            case "names":
                return self._names(value, spec, place)
        if not _CHECKS[spec.kind](value, spec):
            self.fault(place, value, spec.allowed())
            return _empty(spec)
        return value

    def _tables(self, value: object, spec: Field, place: str) -> list[dict[str, Any]]:
        assert spec.table is not None
        if not isinstance(value, list) or not spec.low <= len(value) <= spec.high:
            self.fault(place, value, spec.allowed())
            return []
        table = spec.table
        return [self.table(v, table, f"{place}[{i}]") for i, v in enumerate(value)]

    def _names(self, value: object, spec: Field, place: str) -> list[str]:
        good = isinstance(value, list) and all(_is_name(v, spec) for v in value)
        if not good or not spec.low <= len(value) <= spec.high:  # type: ignore[arg-type]
            self.fault(place, value, spec.allowed())
            return []
        return list(value)  # type: ignore[call-overload]


def _join(place: str, key: str) -> str:
    return f"{place}.{key}" if place else key


def _empty(spec: Field) -> Any:
    blanks: dict[str, Any] = {"int": 1, "number": 1.0, "bool": False}
    if spec.kind in ("tables", "names"):
        return []
    if spec.kind == "table":
        return {}
    if spec.kind == "choice":
        return spec.choices[0]
    return blanks.get(spec.kind, "")


def _is_int(value: object, spec: Field) -> bool:
    whole = isinstance(value, int) and not isinstance(value, bool)
    return whole and spec.low <= value <= spec.high  # type: ignore[operator]


def _is_number(value: object, spec: Field) -> bool:
    if isinstance(value, bool) or not isinstance(value, int | float):
        return False
    return math.isfinite(value) and spec.low <= value <= spec.high


def _is_str(value: object, spec: Field) -> bool:
    return isinstance(value, str) and spec.low <= len(value) <= spec.high


def _is_name(value: object, spec: Field) -> bool:
    return isinstance(value, str) and NAME.fullmatch(value) is not None


def _is_address(value: object, spec: Field) -> bool:
    found = ADDRESS.fullmatch(value) if isinstance(value, str) else None
    if found is None:
        return False
    *parts, port = (int(part) for part in found.groups())
    return all(part <= 255 for part in parts) and port <= MAX_PORT


_CHECKS: dict[str, Callable[[object, Field], bool]] = {
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
    """Parse and check a whole file against one table.

    Raises
    ------
    ConfigError
        With every problem found.
    """
    reader = Reader()
    values = reader.table(parse_toml(text, source), table, "")
    if reader.problems:
        raise ConfigError(source, reader.problems)
    return values
