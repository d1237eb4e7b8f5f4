from typing import Literal, Required, TypedDict, Union


class Document(TypedDict, total=False):
    r"""
    document.

    One fleet document; the documents of a revision are merged by name.
    """

    services: dict[str, "_DocumentServicesAdditionalproperties"]
    targets: dict[str, "_DocumentTargetsAdditionalproperties"]
    routes: dict[str, "_DocumentRoutesAdditionalproperties"]
    sharing: "_DocumentSharing"
    r""" Ways of sharing capacity under load; all are off unless set. """

    customer_salt: str
    r"""
    Under which the digests of all customers' keys were made, in hexadecimal.

    pattern: ^(?:[0-9a-f]{2}){16,64}$
    """

    customers: dict[str, "_DocumentCustomersAdditionalproperties"]
    selectors: list["_DocumentSelectorsItem"]


_DOCUMENT_CUSTOMERS_ADDITIONALPROPERTIES_BURST_DEFAULT = 0
r""" Default value of the field path 'document customers additionalProperties burst' """



_DOCUMENT_CUSTOMERS_ADDITIONALPROPERTIES_RATE_PER_S_DEFAULT = 0
r""" Default value of the field path 'document customers additionalProperties rate_per_s' """



_DOCUMENT_ROUTES_ADDITIONALPROPERTIES_HOST_DEFAULT = '*'
r""" Default value of the field path 'document routes additionalProperties host' """



_DOCUMENT_ROUTES_ADDITIONALPROPERTIES_PUBLIC_DEFAULT = False
r""" Default value of the field path 'document routes additionalProperties public' """



_DOCUMENT_ROUTES_ADDITIONALPROPERTIES_REPEATABLE_DEFAULT = False
r""" Default value of the field path 'document routes additionalProperties repeatable' """



_DOCUMENT_ROUTES_ADDITIONALPROPERTIES_UPLOAD_DEFAULT = False
r""" Default value of the field path 'document routes additionalProperties upload' """



_DOCUMENT_SELECTORS_ITEM_SPILL_DEFAULT = False
r""" Default value of the field path 'document selectors item spill' """



_DOCUMENT_SERVICES_ADDITIONALPROPERTIES_ATTEMPT_TIMEOUT_MS_DEFAULT = 1000
r""" Default value of the field path 'document services additionalProperties attempt_timeout_ms' """



_DOCUMENT_SERVICES_ADDITIONALPROPERTIES_CLASSES_ITEM_RESERVED_DEFAULT = 0
r""" Default value of the field path 'document services additionalProperties classes item reserved' """



_DOCUMENT_SERVICES_ADDITIONALPROPERTIES_FALSE_EJECTIONS_PER_TARGET_WEEK_DEFAULT = 0.1
r""" Default value of the field path 'document services additionalProperties false_ejections_per_target_week' """



_DOCUMENT_SERVICES_ADDITIONALPROPERTIES_FAR_LOSS_PER_KB_DEFAULT = 0.1
r""" Default value of the field path 'document services additionalProperties far_loss_per_kb' """



_DOCUMENT_SERVICES_ADDITIONALPROPERTIES_QUEUE_LIMIT_DEFAULT = 20
r""" Default value of the field path 'document services additionalProperties queue_limit' """



_DOCUMENT_SERVICES_ADDITIONALPROPERTIES_RETRY_RATIO_DEFAULT = 0.1
r""" Default value of the field path 'document services additionalProperties retry_ratio' """



_DOCUMENT_SERVICES_ADDITIONALPROPERTIES_SLOW_START_S_DEFAULT = 5
r""" Default value of the field path 'document services additionalProperties slow_start_s' """



_DOCUMENT_SERVICES_ADDITIONALPROPERTIES_TIMEOUT_MS_DEFAULT = 2000
r""" Default value of the field path 'document services additionalProperties timeout_ms' """



_DOCUMENT_SERVICES_ADDITIONALPROPERTIES_WAITING_LIMIT_DEFAULT = 24
r""" Default value of the field path 'document services additionalProperties waiting_limit' """



_DOCUMENT_TARGETS_ADDITIONALPROPERTIES_CONNECTIONS_DEFAULT = 200
r""" Default value of the field path 'document targets additionalProperties connections' """



_DOCUMENT_TARGETS_ADDITIONALPROPERTIES_LEAVING_DEFAULT = False
r""" Default value of the field path 'document targets additionalProperties leaving' """



_DocumentCustomersAdditionalproperties = TypedDict('_DocumentCustomersAdditionalproperties', {
    # | Of its keys, as `roadpass digest-key` prints them: documents hold no key.
    'key_digests': list["_DocumentCustomersAdditionalpropertiesKeyDigestsItem"],
    # | Traffic class of its requests, where their service has it; goes before the route's.
    'class': str,
    # | Requests a second over the whole fleet, 0 for no limit.
    # | 
    # | minimum: 0
    # | maximum: 1000000000
    # | default: 0
    'rate_per_s': int | float,
    # | Requests at once on top of that.
    # | 
    # | minimum: 0
    # | maximum: 1000000000
    # | default: 0
    'burst': int | float,
}, total=False)


_DocumentCustomersAdditionalpropertiesKeyDigestsItem = str
r""" pattern: ^[0-9a-f]{32}$ """



_DocumentRoutesAdditionalproperties = TypedDict('_DocumentRoutesAdditionalproperties', {
    # | default: *
    'host': str,
    # | pattern: ^/
    # | 
    # | Required property
    'path': Required[str],
    'methods': list["_DocumentRoutesAdditionalpropertiesMethodsItem"],
    # | Required property
    'service': Required[str],
    'class': str,
    # | default: False
    'repeatable': bool,
    'labels': dict[str, str],
    # | minimum: 10
    # | maximum: 60000
    'timeout_ms': int,
    # | minProperties: 1
    'split': dict[str, "_DocumentRoutesAdditionalpropertiesSplitAdditionalproperties"],
    # | minimum: 1
    # | maximum: 20
    'max_attempts': int,
    # | minimum: 1
    # | maximum: 60000
    'target_latency_ms': int,
    # | Whether its requests need no key where there are customers.
    # | 
    # | default: False
    'public': bool,
    # | Whether its requests have large bodies; they are never repeated.
    # | 
    # | default: False
    'upload': bool,
}, total=False)


_DocumentRoutesAdditionalpropertiesMethodsItem = str
r""" pattern: ^[A-Z]+$ """



_DocumentRoutesAdditionalpropertiesSplitAdditionalproperties = int | float
r""" minimum: 0 """



class _DocumentSelectorsItem(TypedDict, total=False):
    name: Required[str]
    r"""
    minLength: 1

    Required property
    """

    service: str
    routes: dict[str, "_MatchAdditionalproperties"]
    targets: Required[dict[str, "_MatchAdditionalproperties"]]
    r""" Required property """

    when: list["_DocumentSelectorsItemWhenItem"]
    spill: bool
    r""" default: False """



_DocumentSelectorsItemWhenItem = TypedDict('_DocumentSelectorsItemWhenItem', {
    # | minItems: 1
    'days': list["_DocumentSelectorsItemWhenItemDaysItem"],
    # | pattern: ^([01][0-9]|2[0-3]):[0-5][0-9]$
    # | 
    # | Required property
    'from': Required[str],
    # | pattern: ^(([01][0-9]|2[0-3]):[0-5][0-9]|24:00)$
    # | 
    # | Required property
    'to': Required[str],
    # | minLength: 1
    # | 
    # | Required property
    'zone': Required[str],
}, total=False)


_DocumentSelectorsItemWhenItemDaysItem = Literal['mon'] | Literal['tue'] | Literal['wed'] | Literal['thu'] | Literal['fri'] | Literal['sat'] | Literal['sun']
_DOCUMENTSELECTORSITEMWHENITEMDAYSITEM_MON: Literal['mon'] = "mon"
r"""The values for the '_DocumentSelectorsItemWhenItemDaysItem' enum"""
_DOCUMENTSELECTORSITEMWHENITEMDAYSITEM_TUE: Literal['tue'] = "tue"
r"""The values for the '_DocumentSelectorsItemWhenItemDaysItem' enum"""
_DOCUMENTSELECTORSITEMWHENITEMDAYSITEM_WED: Literal['wed'] = "wed"
r"""The values for the '_DocumentSelectorsItemWhenItemDaysItem' enum"""
_DOCUMENTSELECTORSITEMWHENITEMDAYSITEM_THU: Literal['thu'] = "thu"
r"""The values for the '_DocumentSelectorsItemWhenItemDaysItem' enum"""
_DOCUMENTSELECTORSITEMWHENITEMDAYSITEM_FRI: Literal['fri'] = "fri"
r"""The values for the '_DocumentSelectorsItemWhenItemDaysItem' enum"""
_DOCUMENTSELECTORSITEMWHENITEMDAYSITEM_SAT: Literal['sat'] = "sat"
r"""The values for the '_DocumentSelectorsItemWhenItemDaysItem' enum"""
_DOCUMENTSELECTORSITEMWHENITEMDAYSITEM_SUN: Literal['sun'] = "sun"
r"""The values for the '_DocumentSelectorsItemWhenItemDaysItem' enum"""



class _DocumentServicesAdditionalproperties(TypedDict, total=False):
    floor_slots: Required[int]
    r"""
    Slots that ejection always leaves in service.

    minimum: 0

    Required property
    """

    false_ejections_per_target_week: int | float
    r"""
    exclusiveMinimum: 0
    maximum: 100
    default: 0.1
    """

    timeout_ms: int
    r"""
    minimum: 10
    maximum: 60000
    default: 2000
    """

    attempt_timeout_ms: int
    r"""
    minimum: 10
    maximum: 60000
    default: 1000
    """

    queue_limit: int
    r"""
    Requests that may wait at one target.

    minimum: 0
    maximum: 10000
    default: 20
    """

    waiting_limit: int
    r"""
    Requests of one class that may wait at one ingress.

    minimum: 1
    maximum: 512
    default: 24
    """

    retry_ratio: int | float
    r"""
    minimum: 0
    maximum: 0.5
    default: 0.1
    """

    slow_start_s: int | float
    r"""
    minimum: 0
    maximum: 600
    default: 5
    """

    far_loss_per_kb: int | float
    r"""
    What a kilobyte carried to another data hall costs, as a share of a lost request.

    minimum: 0
    maximum: 100
    default: 0.1
    """

    shed_status: int
    r"""
    Status by which a target promises that it did not run the request.

    minimum: 400
    maximum: 599
    """

    classes: list["_DocumentServicesAdditionalpropertiesClassesItem"]
    r"""
    Traffic classes, the most important first.

    minItems: 1
    """



class _DocumentServicesAdditionalpropertiesClassesItem(TypedDict, total=False):
    name: Required[str]
    r"""
    minLength: 1

    Required property
    """

    reserved: int | float
    r"""
    Share of each target's slots kept for this class.

    minimum: 0
    maximum: 1
    default: 0
    """



class _DocumentSharing(TypedDict, total=False):
    r""" Ways of sharing capacity under load; all are off unless set. """

    room: bool
    queue: bool
    fair_shares: bool
    parents: bool
    fleet_repeats: bool
    streamed_bodies: bool
    vm_sizes: bool
    warm_up: bool


class _DocumentTargetsAdditionalproperties(TypedDict, total=False):
    service: Required[str]
    r""" Required property """

    vm: Required[str]
    r""" Required property """

    address: Required[str]
    r"""
    pattern: ^[0-9.]+:[0-9]{1,5}$

    Required property
    """

    slots: Required[int]
    r"""
    minimum: 1
    maximum: 10000

    Required property
    """

    connections: int
    r"""
    minimum: 1
    maximum: 100000
    default: 200
    """

    hall: str
    labels: dict[str, str]
    leaving: bool
    r""" default: False """



_MatchAdditionalproperties = Union[str, "_MatchAdditionalpropertiesOneof1"]
r""" Aggregation type: oneOf """



_MatchAdditionalpropertiesOneof1 = list[str]
r""" minItems: 1 """

