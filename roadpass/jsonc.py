"""JSON with comments: parsing, and validation against a schema with readable errors."""

import difflib
import importlib.resources
import json
from collections.abc import Callable
from typing import Any, TypeAlias

import jsonyx
import jsonyx.allow

Checker: TypeAlias = Callable[[Any], Any]

_ALLOW = jsonyx.allow.COMMENTS | jsonyx.allow.TRAILING_COMMA


def parse(text: str) -> tuple[Any, list[str]]:
    """Parse JSON with comments; duplicate keys are errors.

    Args:
        text: The source text.

    Returns:
        The value and a list of problems with their positions; the value is `None` if there are any.
    """
    duplicates: list[str] = []

    def build(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
        value = dict(pairs)
        if len(value) < len(pairs):
            keys = [key for key, _ in pairs]
            duplicates.extend(sorted({key for key in keys if keys.count(key) > 1}))
        return value

    try:
        value = jsonyx.loads(text, allow=_ALLOW, cache_keys=True, hooks={"object": build})
    except jsonyx.JSONSyntaxError as error:
        return None, [f"line {error.lineno}, column {error.colno}: {error.msg}"]
    except (RecursionError, ValueError) as error:
        return None, [f"cannot be parsed: {error}"]
    if duplicates:
        return None, [_duplicate(text, key) for key in duplicates]
    return value, []


def explain(schema_name: str, value: Any) -> list[str]:
    """List every violation of a schema, each with its JSON path and a hint where one is known.

    The full validator is imported only here, since the daemon needs it only for invalid documents.
    """
    from jsonschema import Draft7Validator

    validator = Draft7Validator(load_schema(schema_name))
    errors = sorted(validator.iter_errors(value), key=lambda error: list(map(str, error.path)))
    return [f"{error.json_path}: {error.message}{_hint(error)}" for error in errors]


def load_schema(name: str) -> Any:
    """Load the JSON Schema `name` of the package `roadpass.schema`."""
    source = importlib.resources.files("roadpass.schema") / f"{name}.schema.json"
    return json.loads(source.read_text())


def _duplicate(text: str, key: str) -> str:
    """Describe a duplicate key with the line of its last occurrence, which is close to it."""
    line = text.count("\n", 0, text.rfind(f'"{key}"')) + 1
    return f"line {line}: duplicate key '{key}' in one object"


def _hint(error: Any) -> str:
    if error.validator != "additionalProperties" or not isinstance(error.instance, dict):
        return ""
    known = list(error.schema.get("properties", ()))
    for key in error.instance:
        close = difflib.get_close_matches(key, known, n=1) if key not in known else []
        if close:
            return f" (did you mean '{close[0]}' for '{key}'?)"
    return f" (known keys: {', '.join(known)})" if known else ""
