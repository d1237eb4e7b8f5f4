"""Settings of one `roadpassd` process."""

from pathlib import Path
from typing import Any, NamedTuple

from fastjsonschema import JsonSchemaException

from roadpass import jsonc
from roadpass._generated.check_settings import validate
from roadpass._generated.settings_types import Settings as SettingsDict
from roadpass.errors import SettingsError


class Ports(NamedTuple):
    """Port numbers of a node."""

    callers: int
    stream: int
    gossip: int
    admin: int


class Settings(NamedTuple):
    """Checked settings; times are in seconds."""

    vm: str
    hall: str
    region: str
    address: str
    advertise: str
    ports: Ports
    platform_url: str
    readers_per_hall: int = 2
    watch_s: float = 10.0
    seeds: tuple[tuple[str, int], ...] = ()
    threads: int = 48
    stop_limit_s: float = 30.0
    caller_header: str = "Roadpass-Caller"
    keys: tuple[bytes, ...] = ()
    log_level: str = "info"
    log_format: str = "text"

    @classmethod
    def from_config(cls, path: Path) -> "Settings":
        """Read and check a settings file.

        Args:
            path: File in JSON with comments.

        Raises:
            SettingsError: The file cannot be read or is not valid.
        """
        try:
            text = path.read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as error:
            raise SettingsError(str(path), [f"cannot be read: {error}"]) from error
        value, problems = jsonc.parse(text)
        problems = problems or _problems(value)
        if problems:
            raise SettingsError(str(path), problems)
        return cls._from_checked(value)

    @classmethod
    def _from_checked(cls, value: SettingsDict) -> "Settings":
        platform = value["platform"]
        log = value.get("log", {})
        return cls(
            vm=value["vm"],
            hall=value["hall"],
            region=value["region"],
            address=value["address"],
            advertise=value.get("advertise", value["address"]),
            ports=Ports(**value["ports"]),
            platform_url=platform["url"].rstrip("/"),
            readers_per_hall=platform.get("readers_per_hall", 2),
            watch_s=platform.get("watch_s", 10.0),
            seeds=tuple(_address(seed) for seed in value.get("seeds", [])),
            threads=value.get("threads", 48),
            stop_limit_s=value.get("stop_limit_s", 30.0),
            caller_header=value.get("caller_header", "Roadpass-Caller"),
            keys=tuple(key.encode() for key in value.get("keys", [])),
            log_level=log.get("level", "info"),
            log_format=log.get("format", "text"),
        )


def _problems(value: Any) -> list[str]:
    try:
        validate(value)
    except JsonSchemaException as error:
        return jsonc.explain("settings", value) or [str(error)]
    return []


def _address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    return host, int(port)
