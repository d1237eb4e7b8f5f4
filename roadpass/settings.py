"""Settings of one `roadpassd` process, read from a file in JSON with comments."""

from collections.abc import Mapping
from pathlib import Path
from typing import Any, NamedTuple

from fastjsonschema import JsonSchemaException

from roadpass import jsonc
from roadpass._generated.check_settings import validate
from roadpass._generated.settings_types import Settings as SettingsDict
from roadpass.errors import SettingsError
from roadpass.offer import FAR_LOSS_PER_KB
from roadpass.quota import WINDOW_S, QuotaPolicy
from roadpass.sharing import OFF, Sharing


class Ports(NamedTuple):
    """Port numbers of a node; `metrics` is 0 if metrics are served on the administration port."""

    callers: int
    stream: int
    gossip: int
    admin: int
    metrics: int = 0


class StoreSettings(NamedTuple):
    """The users' store as the source of targets and configuration; see `catalogue.Policy`.

    Args:
        in_force_s: Seconds within which a change in the store must be in force on every node.
        quota_window_s: Length in seconds of the windows in which customers' limits apply.
        quota_over: Tolerated excess as a share of the limit.
        quota_slack: Requests per window that are tolerated in addition.
        terms: Terms of the deployment as the users name them; the platform adapter translates them.
        sharing: Ways of sharing capacity that are on whatever the terms call for.
    """

    address: str
    floor_share: float = 0.7
    retry_ratio: float = 0.1
    retry_slack: float = 0.0
    retry_window_s: float = 10.0
    in_force_s: float = 2.0
    far_loss_per_kb: float = FAR_LOSS_PER_KB
    quota_window_s: float = WINDOW_S
    quota_over: float = 0.0
    quota_slack: float = 0.0
    terms: tuple[str, ...] = ()
    sharing: Sharing = OFF

    @property
    def quota_policy(self) -> QuotaPolicy:
        """How precisely customers' limits are enforced."""
        return QuotaPolicy(self.quota_window_s, self.quota_over, self.quota_slack)


class Settings(NamedTuple):
    """Validated settings; times are in seconds.

    Args:
        memory_mb: Memory that this process may use in megabytes, 0 if unknown.
        cores: Processor cores that this process may use, 0 if unknown.
    """

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
    store: StoreSettings | None = None
    origin_service: str = ""
    memory_mb: float = 0.0
    cores: float = 0.0

    @classmethod
    def from_config(cls, path: Path) -> "Settings":
        """Read and validate a settings file.

        Args:
            path: File in JSON with comments.

        Raises:
            SettingsError: The file cannot be read or is invalid.
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
        platform = value.get("platform", {})
        store: Any = value.get("store")
        ports: Any = value["ports"]
        log = value.get("log", {})
        return cls(
            vm=value["vm"],
            hall=value["hall"],
            region=value["region"],
            address=value["address"],
            advertise=value.get("advertise", value["address"]),
            ports=Ports(**{name: _port(port) for name, port in ports.items()}),
            platform_url=platform.get("url", "").rstrip("/"),
            readers_per_hall=platform.get("readers_per_hall", 2),
            watch_s=platform.get("watch_s", 10.0),
            seeds=tuple(_address(seed) for seed in value.get("seeds", [])),
            threads=value.get("threads", 48),
            stop_limit_s=_seconds(value.get("stop_limit_s", 30.0)),
            caller_header=value.get("caller_header", "Roadpass-Caller"),
            keys=tuple(key.encode() for key in value.get("keys", [])),
            log_level=log.get("level", "info"),
            log_format=log.get("format", "text"),
            store=_store(store) if store else None,
            origin_service=str(value.get("origin_service", "")),
            memory_mb=float(value.get("memory_mb", 0.0)),
            cores=float(value.get("cores", 0.0)) * float(value.get("cpu_share", 1.0)),
        )


def _problems(value: Any) -> list[str]:
    try:
        validate(value)
    except JsonSchemaException as error:
        return jsonc.explain("settings", value) or [str(error)]
    return []


def _port(value: int | str) -> int:
    return value if isinstance(value, int) else int(value.rpartition(":")[2])


def _seconds(value: float | str) -> float:
    """Parse a number of seconds, or a text such as `1500ms` or `2.5s`."""
    if not isinstance(value, str):
        return float(value)
    if value.endswith("ms"):
        return float(value.removesuffix("ms")) / 1000.0
    return float(value.removesuffix("s"))


_TIMES = ("in_force_s", "retry_window_s", "quota_window_s")


def _store(value: Mapping[str, Any]) -> StoreSettings:
    times = {name: _seconds(value[name]) for name in _TIMES if name in value}
    terms = tuple(value.get("terms", ()))
    sharing = Sharing.from_config(value.get("sharing", {}))
    return StoreSettings(**{**value, **times, "terms": terms, "sharing": sharing})


def _address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    return host, int(port)
