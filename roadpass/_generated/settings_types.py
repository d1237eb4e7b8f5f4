from typing import Any, Literal, Required, TypedDict, Union


class Settings(TypedDict, total=False):
    r"""
    settings.

    Settings of one roadpassd process.

    oneOf:
      - required:
        - platform
      - required:
        - store
    """

    vm: Required[str]
    r"""
    Name of this VM, as in the platform's VM list.

    minLength: 1

    Required property
    """

    hall: Required[str]
    r"""
    Data hall of this VM.

    minLength: 1

    Required property
    """

    region: Required[str]
    r"""
    minLength: 1

    Required property
    """

    address: Required[str]
    r"""
    IP number that peers and callers use.

    pattern: ^[0-9a-fA-F.:]+$

    Required property
    """

    advertise: str
    r"""
    IP number that peers use instead, where it is mapped.

    pattern: ^[0-9a-fA-F.:]+$
    """

    ports: Required["_SettingsPorts"]
    r""" Required property """

    platform: "_SettingsPlatform"
    store: "_SettingsStore"
    r""" Read targets and configuration from the users' store instead of a manifest. """

    memory_mb: int | float
    r"""
    Memory that this process may use in megabytes, 0 if unknown.

    minimum: 0
    maximum: 1048576
    default: 0
    """

    cores: int | float
    r"""
    Processor cores of the VM; 0 if unknown.

    minimum: 0
    maximum: 4096
    default: 0
    """

    cpu_share: int | float
    r"""
    Share of these cores that this process may use.

    exclusiveMinimum: 0
    maximum: 1
    default: 1
    """

    origin_service: str
    r"""
    Service of the target beside this node, at which its callers' requests begin.

    default: 
    """

    seeds: list["_SettingsSeedsItem"]
    r"""
    Gossip addresses of peers to ask first, for when the platform is down.

    default:
      []
    maxItems: 64
    """

    threads: int
    r"""
    Has no effect any more: the ingress has a thread for each connection.

    minimum: 4
    maximum: 512
    default: 48
    """

    stop_limit_s: Union["_SettingsStopLimitSOneof0", "_SettingsStopLimitSOneof1"]
    r"""
    Time from SIGTERM to the end: seconds, or text with a unit.

    default: 30

    Aggregation type: oneOf
    """

    caller_header: str
    r"""
    Request header that names the caller.

    default: Roadpass-Caller
    """

    keys: list["_SettingsKeysItem"]
    r"""
    Keys for peer traffic: the first signs, both are accepted.

    maxItems: 2
    default:
      []
    """

    log: "_SettingsLog"


_Port = Union["_PortOneof0", "_PortOneof1"]
r""" Aggregation type: oneOf """



_PortOneof0 = int
r"""
minimum: 1
maximum: 65535
"""



_PortOneof1 = str
r"""
The port of ip:port.

pattern: ^[0-9.]+:[0-9]{1,5}$
"""



_SETTINGS_CALLER_HEADER_DEFAULT = 'Roadpass-Caller'
r""" Default value of the field path 'settings caller_header' """



_SETTINGS_CORES_DEFAULT = 0
r""" Default value of the field path 'settings cores' """



_SETTINGS_CPU_SHARE_DEFAULT = 1
r""" Default value of the field path 'settings cpu_share' """



_SETTINGS_KEYS_DEFAULT: list[Any] = []
r""" Default value of the field path 'settings keys' """



_SETTINGS_LOG_FORMAT_DEFAULT = 'text'
r""" Default value of the field path 'settings log format' """



_SETTINGS_LOG_LEVEL_DEFAULT = 'info'
r""" Default value of the field path 'settings log level' """



_SETTINGS_MEMORY_MB_DEFAULT = 0
r""" Default value of the field path 'settings memory_mb' """



_SETTINGS_ORIGIN_SERVICE_DEFAULT = ''
r""" Default value of the field path 'settings origin_service' """



_SETTINGS_PLATFORM_READERS_PER_HALL_DEFAULT = 2
r""" Default value of the field path 'settings platform readers_per_hall' """



_SETTINGS_PLATFORM_WATCH_S_DEFAULT = 10
r""" Default value of the field path 'settings platform watch_s' """



_SETTINGS_SEEDS_DEFAULT: list[Any] = []
r""" Default value of the field path 'settings seeds' """



_SETTINGS_STOP_LIMIT_S_DEFAULT = 30
r""" Default value of the field path 'settings stop_limit_s' """



_SETTINGS_STOP_LIMIT_S_ONEOF0_DEFAULT = 30
r""" Default value of the field path 'settings stop_limit_s oneof0' """



_SETTINGS_STOP_LIMIT_S_ONEOF1_DEFAULT = 30
r""" Default value of the field path 'settings stop_limit_s oneof1' """



_SETTINGS_STORE_FAR_LOSS_PER_KB_DEFAULT = 0.1
r""" Default value of the field path 'settings store far_loss_per_kb' """



_SETTINGS_STORE_FLOOR_SHARE_DEFAULT = 0.7
r""" Default value of the field path 'settings store floor_share' """



_SETTINGS_STORE_IN_FORCE_S_DEFAULT = 2
r""" Default value of the field path 'settings store in_force_s' """



_SETTINGS_STORE_IN_FORCE_S_ONEOF0_DEFAULT = 2
r""" Default value of the field path 'settings store in_force_s oneof0' """



_SETTINGS_STORE_IN_FORCE_S_ONEOF1_DEFAULT = 2
r""" Default value of the field path 'settings store in_force_s oneof1' """



_SETTINGS_STORE_QUOTA_OVER_DEFAULT = 0
r""" Default value of the field path 'settings store quota_over' """



_SETTINGS_STORE_QUOTA_SLACK_DEFAULT = 0
r""" Default value of the field path 'settings store quota_slack' """



_SETTINGS_STORE_QUOTA_WINDOW_S_DEFAULT = 5
r""" Default value of the field path 'settings store quota_window_s' """



_SETTINGS_STORE_QUOTA_WINDOW_S_ONEOF0_DEFAULT = 5
r""" Default value of the field path 'settings store quota_window_s oneof0' """



_SETTINGS_STORE_QUOTA_WINDOW_S_ONEOF1_DEFAULT = 5
r""" Default value of the field path 'settings store quota_window_s oneof1' """



_SETTINGS_STORE_RETRY_RATIO_DEFAULT = 0.1
r""" Default value of the field path 'settings store retry_ratio' """



_SETTINGS_STORE_RETRY_SLACK_DEFAULT = 0
r""" Default value of the field path 'settings store retry_slack' """



_SETTINGS_STORE_RETRY_WINDOW_S_DEFAULT = 10
r""" Default value of the field path 'settings store retry_window_s' """



_SETTINGS_STORE_RETRY_WINDOW_S_ONEOF0_DEFAULT = 10
r""" Default value of the field path 'settings store retry_window_s oneof0' """



_SETTINGS_STORE_RETRY_WINDOW_S_ONEOF1_DEFAULT = 10
r""" Default value of the field path 'settings store retry_window_s oneof1' """



_SETTINGS_STORE_TERMS_DEFAULT: list[Any] = []
r""" Default value of the field path 'settings store terms' """



_SETTINGS_THREADS_DEFAULT = 48
r""" Default value of the field path 'settings threads' """



_SettingsKeysItem = str
r""" minLength: 16 """



class _SettingsLog(TypedDict, total=False):
    level: "_SettingsLogLevel"
    r""" default: info """

    format: "_SettingsLogFormat"
    r""" default: text """



_SettingsLogFormat = Literal['text'] | Literal['json']
r""" default: text """
_SETTINGSLOGFORMAT_TEXT: Literal['text'] = "text"
r"""The values for the 'default: text' enum"""
_SETTINGSLOGFORMAT_JSON: Literal['json'] = "json"
r"""The values for the 'default: text' enum"""



_SettingsLogLevel = Literal['debug'] | Literal['info'] | Literal['warning'] | Literal['error']
r""" default: info """
_SETTINGSLOGLEVEL_DEBUG: Literal['debug'] = "debug"
r"""The values for the 'default: info' enum"""
_SETTINGSLOGLEVEL_INFO: Literal['info'] = "info"
r"""The values for the 'default: info' enum"""
_SETTINGSLOGLEVEL_WARNING: Literal['warning'] = "warning"
r"""The values for the 'default: info' enum"""
_SETTINGSLOGLEVEL_ERROR: Literal['error'] = "error"
r"""The values for the 'default: info' enum"""



class _SettingsPlatform(TypedDict, total=False):
    url: Required[str]
    r"""
    pattern: ^http://[0-9a-fA-F.:\[\]]+$

    Required property
    """

    readers_per_hall: int
    r"""
    minimum: 1
    maximum: 5
    default: 2
    """

    watch_s: int | float
    r"""
    minimum: 0.2
    maximum: 60
    default: 10
    """



class _SettingsPorts(TypedDict, total=False):
    callers: Required["_Port"]
    r"""
    Aggregation type: oneOf

    Required property
    """

    stream: Required["_Port"]
    r"""
    Aggregation type: oneOf

    Required property
    """

    gossip: Required["_Port"]
    r"""
    Aggregation type: oneOf

    Required property
    """

    admin: Required["_Port"]
    r"""
    Aggregation type: oneOf

    Required property
    """

    metrics: "_Port"
    r""" Aggregation type: oneOf """



_SettingsSeedsItem = str
r""" pattern: ^[0-9.]+:[0-9]{1,5}$ """



_SettingsStopLimitSOneof0 = int | float
r"""
default: 30
minimum: 1
maximum: 600
"""



_SettingsStopLimitSOneof1 = str
r"""
default: 30
pattern: ^[0-9]+([.][0-9]+)?(ms|s)$
"""



class _SettingsStore(TypedDict, total=False):
    r""" Read targets and configuration from the users' store instead of a manifest. """

    address: Required[str]
    r"""
    pattern: ^[0-9.]+:[0-9]{1,5}$

    Required property
    """

    floor_share: int | float
    r"""
    Share of a service's slots that stays in service whatever the evidence.

    minimum: 0
    maximum: 1
    default: 0.7
    """

    retry_ratio: int | float
    r"""
    Repeats a request that a service may get, over the whole fleet.

    minimum: 0
    maximum: 1
    default: 0.1
    """

    in_force_s: Union["_SettingsStoreInForceSOneof0", "_SettingsStoreInForceSOneof1"]
    r"""
    Time within which what the store took must be in force on every node: seconds, or text with a unit.

    default: 2

    Aggregation type: oneOf
    """

    retry_slack: int | float
    r"""
    Repeats beyond that in each window, over the whole fleet.

    minimum: 0
    default: 0
    """

    retry_window_s: Union["_SettingsStoreRetryWindowSOneof0", "_SettingsStoreRetryWindowSOneof1"]
    r"""
    Length of such a window: seconds, or text with a unit.

    default: 10

    Aggregation type: oneOf
    """

    quota_window_s: Union["_SettingsStoreQuotaWindowSOneof0", "_SettingsStoreQuotaWindowSOneof1"]
    r"""
    Length of the windows in which customers' limits count: seconds, or text with a unit.

    default: 5

    Aggregation type: oneOf
    """

    quota_over: int | float
    r"""
    Share of a customer's limit that is borne beyond it in a window.

    minimum: 0
    maximum: 10
    default: 0
    """

    quota_slack: int | float
    r"""
    Requests in a window that are borne beyond that.

    minimum: 0
    maximum: 1000000
    default: 0
    """

    far_loss_per_kb: int | float
    r"""
    What a kilobyte carried to another data hall costs, as a share of a lost request.

    minimum: 0
    maximum: 100
    default: 0.1
    """

    terms: list["_SettingsStoreTermsItem"]
    r"""
    Terms of the deployment, as the users name them; unknown ones are ignored.

    maxItems: 64
    default:
      []
    """

    sharing: "_SettingsStoreSharing"
    r""" Ways of sharing capacity under load that are on whatever the terms call for. """



_SettingsStoreInForceSOneof0 = int | float
r"""
default: 2
minimum: 0.5
maximum: 60
"""



_SettingsStoreInForceSOneof1 = str
r"""
default: 2
pattern: ^[0-9]+([.][0-9]+)?(ms|s)$
"""



_SettingsStoreQuotaWindowSOneof0 = int | float
r"""
default: 5
minimum: 1
maximum: 3600
"""



_SettingsStoreQuotaWindowSOneof1 = str
r"""
default: 5
pattern: ^[0-9]+([.][0-9]+)?(ms|s)$
"""



_SettingsStoreRetryWindowSOneof0 = int | float
r"""
default: 10
minimum: 1
maximum: 3600
"""



_SettingsStoreRetryWindowSOneof1 = str
r"""
default: 10
pattern: ^[0-9]+([.][0-9]+)?(ms|s)$
"""



class _SettingsStoreSharing(TypedDict, total=False):
    r""" Ways of sharing capacity under load that are on whatever the terms call for. """

    room: bool
    queue: bool
    fair_shares: bool
    parents: bool
    fleet_repeats: bool
    streamed_bodies: bool
    vm_sizes: bool
    warm_up: bool


_SettingsStoreTermsItem = str
r""" maxLength: 64 """

