from typing import Any, Literal, Required, TypedDict, Union


class Accepted(TypedDict, total=False):
    r""" accepted. """

    t: Required[Literal['accepted']]
    r""" Required property """

    load: "Load"
    r""" load. """

    takes_parts: bool
    r""" Whether the attempt's body may follow it in parts """



Allowance = tuple["_Allowance0", int | float, int | float]
r"""
allowance.

customer, share of its requests that may be admitted, requests a second that are the ingress's part

minItems: 3
maxItems: 3
"""



class Answered(TypedDict, total=False):
    r""" answered. """

    t: Required[Literal['answered']]
    r""" Required property """

    status: Required[int]
    r"""
    minimum: 100
    maximum: 999

    Required property
    """

    headers: Required["_Headers"]
    r"""
    maxItems: 200

    Required property
    """

    body: Required[str | int | float | dict[str, Any] | list[Any] | bool | None]
    r""" Required property """

    service_ms: Required[int | float]
    r""" Required property """

    load: Required["Load"]
    r"""
    load.

    Required property
    """

    notice: "Notice"
    r"""
    notice.

    What a target stated: requests a second, -1 if its limit ended, null if it never named one; whether it is leaving; age of the limit in seconds

    minItems: 3
    maxItems: 3
    """



class Attempt(TypedDict, total=False):
    r""" attempt. """

    t: Required[Literal['attempt']]
    r""" Required property """

    id: Required["_AttemptId"]
    r"""
    minLength: 3
    maxLength: 200

    Required property
    """

    target: Required[str]
    r""" Required property """

    route: Required[str]
    r""" Required property """

    method: Required[str]
    r"""
    pattern: ^[A-Z]+$

    Required property
    """

    path: Required[str]
    r"""
    pattern: ^/

    Required property
    """

    headers: Required["_Headers"]
    r"""
    maxItems: 200

    Required property
    """

    body: Required[str | int | float | dict[str, Any] | list[Any] | bool | None]
    r""" Required property """

    remaining_ms: Required[int | float]
    r""" Required property """

    traffic_class: Required[str]
    r""" Required property """

    caller: Required[str]
    r""" Required property """

    repeatable: Required[bool]
    r""" Required property """

    retry: Required[bool]
    r""" Required property """

    revision: Required[int]
    r""" Required property """

    slow_ms: Required[int | float]
    r""" Required property """

    key: str
    r""" maxLength: 256 """

    repeat: bool
    request_id: str
    r""" maxLength: 256 """

    origin: str
    r""" maxLength: 256 """

    may_wait: bool
    pressing: bool
    last: bool
    most_bad: int | float
    most_wait_ms: int | float
    usual_ms: int | float
    fingerprint: "_Fingerprint"
    r""" maxLength: 32 """

    customer: str
    r""" maxLength: 200 """

    notice: "Notice"
    r"""
    notice.

    What a target stated: requests a second, -1 if its limit ended, null if it never named one; whether it is leaving; age of the limit in seconds

    minItems: 3
    maxItems: 3
    """

    slot: "_SlotNumber"
    r"""
    A slot that the sidecar holds for this ingress.

    minimum: 0
    """

    parent_repeat: "_ParentRepeat"
    r""" Whether a repeated request makes this call, so that it counts as a repeat. """

    standing: "_Standing"
    r"""
    Order within a class, the smallest first: 0 a call of a running request, 1 other work (also if left out), 2 above its customer's share.

    minimum: 0
    """

    body_follows: bool
    body_length: int
    r""" minimum: 0 """



class BodyPart(TypedDict, total=False):
    r"""
    body part.

    The next part of the body of an attempt with `body_follows`; nothing answers it.
    """

    t: Required[Literal['body_part']]
    r""" Required property """

    data: Required[str | int | float | dict[str, Any] | list[Any] | bool | None]
    r""" Required property """

    end: Required[bool]
    r""" Required property """



class CatchUp(TypedDict, total=False):
    r"""
    catch_up.

    Asks for what the source told after a revision of an era, 0 for all.
    """

    t: Required[Literal['catch_up']]
    r""" Required property """

    after: Required[int]
    r"""
    minimum: 0

    Required property
    """

    era: "_Era"
    r"""
    Era of the source that a revision is of, 0 if left out.

    minimum: 0
    """



class Check(TypedDict, total=False):
    r"""
    check.

    Asks whether the way is open and an attempt at a target would be taken; nothing runs.
    """

    t: Required[Literal['check']]
    r""" Required property """

    target: Required[str]
    r""" Required property """

    repeatable: Required[bool]
    r""" Required property """

    may_wait: Required[bool]
    r""" Required property """

    pressing: Required[bool]
    r""" Required property """

    most_bad: int | float
    most_wait_ms: int | float
    retry: bool
    route: str
    spare: bool
    traffic_class: Required[str]
    r""" Required property """

    notice: "Notice"
    r"""
    notice.

    What a target stated: requests a second, -1 if its limit ended, null if it never named one; whether it is leaving; age of the limit in seconds

    minItems: 3
    maxItems: 3
    """

    slot: "_SlotNumber"
    r"""
    A slot that the sidecar holds for this ingress.

    minimum: 0
    """

    parent_repeat: "_ParentRepeat"
    r""" Whether a repeated request makes this call, so that it counts as a repeat. """

    standing: "_Standing"
    r"""
    Order within a class, the smallest first: 0 a call of a running request, 1 other work (also if left out), 2 above its customer's share.

    minimum: 0
    """

    wait: tuple["_CheckWait0", "_CheckWait1", int | float]
    r"""
    Place in the waiting order: rank of the class, standing, milliseconds to the latest useful start

    minItems: 3
    maxItems: 3
    """



Crash = tuple["_Crash0", int | float, "_Crash2"]
r"""
crash.

Of a request under which targets ended: fingerprint, seconds since its answer or -1, ends with their ages in seconds

minItems: 3
maxItems: 3
"""



class Datagram(TypedDict, total=False):
    r""" datagram. """

    t: Required["_DatagramT"]
    r""" Required property """

    sender: Required[str]
    r""" Required property """

    n: Required[int]
    r"""
    Sequence number of the probe.

    Required property
    """

    on: str
    r""" For ping_req: the VM to probe; for ack: the VM that is vouched for. """

    revision: Required[int]
    r""" Required property """

    era: "_Era"
    r"""
    Era of the source that a revision is of, 0 if left out.

    minimum: 0
    """

    digest: Required[str]
    r""" Required property """

    platform_age_s: int | float
    r""" Seconds since the sender knows the platform to have answered. """

    hints: list["Hint"]
    crashes: list["Crash"]
    r""" maxItems: 16 """

    notices: list["TargetNotice"]
    r""" maxItems: 16 """

    usage: list["Usage"]
    r""" maxItems: 64 """

    allowances: list["Allowance"]
    r""" maxItems: 64 """

    news: Required[list["Rumor"]]
    r""" Required property """

    room: list["Room"]
    r""" maxItems: 64 """

    waiting: list["Waiting"]
    r""" maxItems: 64 """

    slots: list["Slot"]
    r""" maxItems: 64 """

    returned: list["ReturnedSlot"]
    r""" maxItems: 64 """

    demand: list["Demand"]
    r""" maxItems: 64 """

    shares: list["Share"]
    r""" maxItems: 64 """

    loans: list["Loan"]
    r""" maxItems: 64 """

    size: str | int | float | dict[str, Any] | list[Any] | bool | None
    r""" Processor cores that the sender may use, up to 4096; 0 if unknown, left out by nodes that send no sizes. What is no such number is ignored, with a log line; the rest of the datagram counts. """



Demand = tuple["_Demand0", "_Demand1", "_Demand2", "_Demand3", "_Demand4"]
r"""
demand.

service, traffic class, customer, running and waiting requests of it at the sender

minItems: 5
maxItems: 5
"""



class Fence(TypedDict, total=False):
    r""" fence. """

    t: Required[Literal['fence']]
    r""" Required property """

    id: Required["_AttemptId"]
    r"""
    minLength: 3
    maxLength: 200

    Required property
    """



class FenceKey(TypedDict, total=False):
    r""" fence_key. """

    t: Required[Literal['fence_key']]
    r""" Required property """

    key: Required[str]
    r"""
    maxLength: 256

    Required property
    """

    id: Required["_AttemptId"]
    r"""
    minLength: 3
    maxLength: 200

    Required property
    """



class Fenced(TypedDict, total=False):
    r""" fenced. """

    t: Required[Literal['fenced']]
    r""" Required property """

    verdict: Required["_FencedVerdict"]
    r""" Required property """

    incarnation: Required[int]
    r""" Required property """



class Hello(TypedDict, total=False):
    r""" hello. """

    t: Required[Literal['hello']]
    r""" Required property """

    vm: Required[str]
    r""" Required property """

    incarnation: Required[int]
    r""" Required property """



Hint = tuple[str, int | float, int | float, int | float]
r"""
hint.

target, failure score, slow score, age in seconds

minItems: 4
maxItems: 4
"""



class Keep(TypedDict, total=False):
    r"""
    keep.

    Asks that attempts which run be given so much time from now, each its own.
    """

    t: Required[Literal['keep']]
    r""" Required property """

    ids: Required["_AttemptIds"]
    r"""
    maxItems: 1000

    Required property
    """

    left_ms: Required[list[int | float]]
    r"""
    maxItems: 1000

    Required property
    """



class Kept(TypedDict, total=False):
    r"""
    kept.

    Names those of them that run.
    """

    t: Required[Literal['kept']]
    r""" Required property """

    ids: Required["_AttemptIds"]
    r"""
    maxItems: 1000

    Required property
    """



class Load(TypedDict, total=False):
    r""" load. """

    in_flight: Required[int]
    r""" Required property """

    queued: Required[int]
    r""" Required property """

    limit: Required[int]
    r""" Required property """

    failure_score: Required[int | float]
    r""" Required property """

    slow_score: Required[int | float]
    r""" Required property """

    latency_ms: Required[int | float]
    r""" Required property """

    revision: Required[int]
    r""" Required property """

    bad: int | float
    wait_ms: int | float


Loan = tuple["_Loan0", "_Loan1", "_Loan2", "_Loan3"]
r"""
loan.

service, kind of the message, number of the loan, repeats or fractions of one

minItems: 4
maxItems: 4
"""



Message = Union["Hello", "Attempt", "BodyPart", "Check", "Accepted", "Answered", "NotRun", "Unknown", "Fence", "Fenced", "FenceKey", "Keep", "Kept", "Recall", "Recalled", "Pull", "Revision", "CatchUp", "News", "Datagram"]
r"""
message.

Frames of peer streams and datagrams of membership; `t` names the type.

Aggregation type: oneOf
"""



class News(TypedDict, total=False):
    r"""
    news.

    What a source told up to a revision: the answer to catch_up.
    """

    t: Required[Literal['news']]
    r""" Required property """

    revision: Required[int]
    r"""
    minimum: 0

    Required property
    """

    era: "_Era"
    r"""
    Era of the source that a revision is of, 0 if left out.

    minimum: 0
    """

    age_s: Required[int | float]
    r"""
    Seconds since the source is known to have had nothing newer.

    minimum: 0

    Required property
    """

    away_age_s: int | float
    r"""
    Seconds since the source could last not be read.

    minimum: 0
    """

    whole: Required[bool]
    r"""
    Whether what is not named is gone.

    Required property
    """

    config: list[Any]
    r""" version, rows of routes, rows of services, limits of callers """

    uploads: list["_NewsUploadsItem"]
    r""" Places of the routes with large bodies among the rows, from 0. """

    targets: Required[list["TargetRow"]]
    r""" Required property """

    warm_up: list["_NewsWarmUpItem"]
    r""" Targets that are cold: place among the rows of targets, from 0, and milliseconds left when this was sent. What is no such number is ignored, with a log line. """

    withdrawn: Required[list[str]]
    r""" Required property """



class NotRun(TypedDict, total=False):
    r""" not_run. """

    t: Required[Literal['not_run']]
    r""" Required property """

    reason: Required[str]
    r""" Required property """

    retry_after_ms: Required[int]
    r"""
    minimum: 0

    Required property
    """

    load: "Load"
    r""" load. """

    crash: "Crash"
    r"""
    crash.

    Of a request under which targets ended: fingerprint, seconds since its answer or -1, ends with their ages in seconds

    minItems: 3
    maxItems: 3
    """

    notice: "Notice"
    r"""
    notice.

    What a target stated: requests a second, -1 if its limit ended, null if it never named one; whether it is leaving; age of the limit in seconds

    minItems: 3
    maxItems: 3
    """

    detail: str
    r""" A more specific reason, which older nodes do not know """



Notice = tuple[int | float | None, bool, int | float]
r"""
notice.

What a target stated: requests a second, -1 if its limit ended, null if it never named one; whether it is leaving; age of the limit in seconds

minItems: 3
maxItems: 3
"""



class Pull(TypedDict, total=False):
    r""" pull. """

    t: Required[Literal['pull']]
    r""" Required property """

    have: Required[dict[str, str]]
    r""" Required property """



class Recall(TypedDict, total=False):
    r"""
    recall.

    Asks that attempts never start; unlike a fence it leaves those alone that have.
    """

    t: Required[Literal['recall']]
    r""" Required property """

    ids: Required["_AttemptIds"]
    r"""
    maxItems: 1000

    Required property
    """



class Recalled(TypedDict, total=False):
    r"""
    recalled.

    Names those of them that never start, by this incarnation.
    """

    t: Required[Literal['recalled']]
    r""" Required property """

    ids: Required["_AttemptIds"]
    r"""
    maxItems: 1000

    Required property
    """

    incarnation: Required[int]
    r""" Required property """



ReturnedSlot = tuple["_ReturnedSlot0", "_ReturnedSlot1"]
r"""
returned slot.

target, number of a slot that the sender does not need

minItems: 2
maxItems: 2
"""



class Revision(TypedDict, total=False):
    r""" revision. """

    t: Required[Literal['revision']]
    r""" Required property """

    manifest: Required[str | int | float | dict[str, Any] | list[Any] | bool | None]
    r""" Required property """

    documents: Required[list["_RevisionDocumentsItem"]]
    r""" Required property """



Room = tuple["_Room0", "_Room1", "_Room2", "_Room3", "_Room4", "_Room5"]
r"""
room.

target, free slots, queued requests, mean service time in ms, expected cost of sending here from 0 to 1, age in ms

minItems: 6
maxItems: 6
"""



Rumor = tuple[str, int, "_Rumor2", str, int, int, str, str]
r"""
rumor.

vm, incarnation, state, address, stream port, gossip port, hall, region

minItems: 8
maxItems: 8
"""



Share = tuple["_Share0", "_Share1", "_Share2", "_Share3"]
r"""
share.

service, traffic class, customer, slots that the receiver may use for it

minItems: 4
maxItems: 4
"""



Slot = tuple["_Slot0", "_Slot1", "_Slot2"]
r"""
slot.

target, number of the slot that is held for the receiver, ms for which it is held

minItems: 3
maxItems: 3
"""



TargetNotice = tuple["_TargetNotice0", int | float | None, bool, int | float]
r"""
target notice.

target, and its notice

minItems: 4
maxItems: 4
"""



TargetRow = tuple[str, str, str, str, "_TargetRow4", bool, "_TargetRow6"]
r"""
target row.

instance, service, address, hall, slots, leaving, born

minItems: 6
maxItems: 7

WARNING: 'items': If list, must have minItems == maxItems.
See: https://json-schema.org/understanding-json-schema/reference/array.html#tuple-validation
"""



class Unknown(TypedDict, total=False):
    r""" unknown. """

    t: Required[Literal['unknown']]
    r""" Required property """

    reason: Required[str]
    r""" Required property """

    load: "Load"
    r""" load. """

    crash: "Crash"
    r"""
    crash.

    Of a request under which targets ended: fingerprint, seconds since its answer or -1, ends with their ages in seconds

    minItems: 3
    maxItems: 3
    """

    notice: "Notice"
    r"""
    notice.

    What a target stated: requests a second, -1 if its limit ended, null if it never named one; whether it is leaving; age of the limit in seconds

    minItems: 3
    maxItems: 3
    """



Usage = tuple["_Usage0", int, int, int, int | float]
r"""
usage.

customer, epoch, requests that came and that were admitted since then, requests a second

minItems: 5
maxItems: 5
"""



Waiting = tuple["_Waiting0", "_Waiting1", "_Waiting2", "_Waiting3", int | float]
r"""
waiting.

service, waiting requests at the sender; of the first: rank of its class, standing, ms to its latest useful start

minItems: 5
maxItems: 5
"""



_Allowance0 = str
r"""
minLength: 1
maxLength: 200
"""



_AttemptId = str
r"""
minLength: 3
maxLength: 200
"""



_AttemptIds = list["_AttemptId"]
r""" maxItems: 1000 """



_CheckWait0 = int
r""" minimum: 0 """



_CheckWait1 = int
r""" minimum: 0 """



_Crash0 = str
r"""
minLength: 1
maxLength: 32
"""



_Crash2 = list["_Crash2Item"]
r""" maxItems: 3 """



_Crash2Item = tuple["_Crash2Item0", int | float]
r"""
minItems: 2
maxItems: 2
"""



_Crash2Item0 = str
r""" maxLength: 256 """



_DatagramT = Literal['ping'] | Literal['ack'] | Literal['ping_req'] | Literal['announce'] | Literal['sync'] | Literal['members']
_DATAGRAMT_PING: Literal['ping'] = "ping"
r"""The values for the '_DatagramT' enum"""
_DATAGRAMT_ACK: Literal['ack'] = "ack"
r"""The values for the '_DatagramT' enum"""
_DATAGRAMT_PING_REQ: Literal['ping_req'] = "ping_req"
r"""The values for the '_DatagramT' enum"""
_DATAGRAMT_ANNOUNCE: Literal['announce'] = "announce"
r"""The values for the '_DatagramT' enum"""
_DATAGRAMT_SYNC: Literal['sync'] = "sync"
r"""The values for the '_DatagramT' enum"""
_DATAGRAMT_MEMBERS: Literal['members'] = "members"
r"""The values for the '_DatagramT' enum"""



_Demand0 = str
r"""
minLength: 1
maxLength: 200
"""



_Demand1 = str
r""" maxLength: 200 """



_Demand2 = str
r"""
minLength: 1
maxLength: 200
"""



_Demand3 = int
r""" minimum: 0 """



_Demand4 = int
r""" minimum: 0 """



_Era = int
r"""
Era of the source that a revision is of, 0 if left out.

minimum: 0
"""



_FencedVerdict = Literal['never_starts'] | Literal['started'] | Literal['cannot_vouch']
_FENCEDVERDICT_NEVER_STARTS: Literal['never_starts'] = "never_starts"
r"""The values for the '_FencedVerdict' enum"""
_FENCEDVERDICT_STARTED: Literal['started'] = "started"
r"""The values for the '_FencedVerdict' enum"""
_FENCEDVERDICT_CANNOT_VOUCH: Literal['cannot_vouch'] = "cannot_vouch"
r"""The values for the '_FencedVerdict' enum"""



_Fingerprint = str
r""" maxLength: 32 """



_Headers = list["_HeadersItem"]
r""" maxItems: 200 """



_HeadersItem = list[str]
r"""
minItems: 2
maxItems: 2
"""



_Loan0 = str
r"""
minLength: 1
maxLength: 200
"""



_Loan1 = Literal['spare'] | Literal['request'] | Literal['grant']
_LOAN1_SPARE: Literal['spare'] = "spare"
r"""The values for the '_Loan1' enum"""
_LOAN1_REQUEST: Literal['request'] = "request"
r"""The values for the '_Loan1' enum"""
_LOAN1_GRANT: Literal['grant'] = "grant"
r"""The values for the '_Loan1' enum"""



_Loan2 = int
r""" minimum: 0 """



_Loan3 = int | float
r""" minimum: 0 """



_NewsUploadsItem = int
r""" minimum: 0 """



_NewsWarmUpItem = tuple["_NewsWarmUpItem0", str | int | float | dict[str, Any] | list[Any] | bool | None]
r"""
minItems: 2
maxItems: 2
"""



_NewsWarmUpItem0 = int
r""" minimum: 0 """



_ParentRepeat = bool
r""" Whether a repeated request makes this call, so that it counts as a repeat. """



_ReturnedSlot0 = str
r"""
minLength: 1
maxLength: 256
"""



_ReturnedSlot1 = int
r""" minimum: 0 """



class _RevisionDocumentsItem(TypedDict, total=False):
    hash: Required[str]
    r""" Required property """

    form: Required["_RevisionDocumentsItemForm"]
    r""" Required property """

    base: str
    data: Required[str | int | float | dict[str, Any] | list[Any] | bool | None]
    r""" Required property """



_RevisionDocumentsItemForm = Literal['whole'] | Literal['patch']
_REVISIONDOCUMENTSITEMFORM_WHOLE: Literal['whole'] = "whole"
r"""The values for the '_RevisionDocumentsItemForm' enum"""
_REVISIONDOCUMENTSITEMFORM_PATCH: Literal['patch'] = "patch"
r"""The values for the '_RevisionDocumentsItemForm' enum"""



_Room0 = str
r"""
minLength: 1
maxLength: 256
"""



_Room1 = int
r""" minimum: 0 """



_Room2 = int
r""" minimum: 0 """



_Room3 = int | float
r""" minimum: 0 """



_Room4 = int | float
r"""
minimum: 0
maximum: 1
"""



_Room5 = int | float
r""" minimum: 0 """



_Rumor2 = int
r"""
minimum: 0
maximum: 3
"""



_Share0 = str
r"""
minLength: 1
maxLength: 200
"""



_Share1 = str
r""" maxLength: 200 """



_Share2 = str
r"""
minLength: 1
maxLength: 200
"""



_Share3 = int | float
r""" minimum: 0 """



_Slot0 = str
r"""
minLength: 1
maxLength: 256
"""



_Slot1 = int
r""" minimum: 0 """



_Slot2 = int | float
r""" minimum: 0 """



_SlotNumber = int
r"""
A slot that the sidecar holds for this ingress.

minimum: 0
"""



_Standing = int
r"""
Order within a class, the smallest first: 0 a call of a running request, 1 other work (also if left out), 2 above its customer's share.

minimum: 0
"""



_TargetNotice0 = str
r"""
minLength: 1
maxLength: 256
"""



_TargetRow4 = int
r""" minimum: 1 """



_TargetRow6 = int
r""" minimum: 0 """



_Usage0 = str
r"""
minLength: 1
maxLength: 200
"""



_Waiting0 = str
r"""
minLength: 1
maxLength: 200
"""



_Waiting1 = int
r""" minimum: 0 """



_Waiting2 = int
r""" minimum: 0 """



_Waiting3 = int
r""" minimum: 0 """

