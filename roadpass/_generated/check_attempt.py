VERSION = "2.22.3"
from decimal import Decimal
import re
from fastjsonschema import JsonSchemaValueException, JsonSchemaValuesException


REGEX_PATTERNS = {
    '^[A-Z]+$': re.compile('^[A-Z]+\\Z'),
    '^/': re.compile('^/')
}

NoneType = type(None)

def validate(data, custom_formats={}, name_prefix=None):
    if not isinstance(data, (dict)):
        raise JsonSchemaValueException("" + (name_prefix or "data") + " must be object", value=data, name="" + (name_prefix or "data") + "", definition={'$schema': 'http://json-schema.org/draft-07/schema#', 'title': 'attempt', 'type': 'object', 'required': ['t', 'id', 'target', 'route', 'method', 'path', 'headers', 'body', 'remaining_ms', 'traffic_class', 'caller', 'repeatable', 'retry', 'revision', 'slow_ms'], 'properties': {'t': {'const': 'attempt'}, 'id': {'type': 'string', 'minLength': 3, 'maxLength': 200}, 'target': {'type': 'string'}, 'route': {'type': 'string'}, 'method': {'type': 'string', 'pattern': '^[A-Z]+$'}, 'path': {'type': 'string', 'pattern': '^/'}, 'headers': {'type': 'array', 'maxItems': 200, 'items': {'type': 'array', 'minItems': 2, 'maxItems': 2, 'items': {'type': 'string'}}}, 'body': {}, 'remaining_ms': {'type': 'number'}, 'traffic_class': {'type': 'string'}, 'caller': {'type': 'string'}, 'repeatable': {'type': 'boolean'}, 'retry': {'type': 'boolean'}, 'revision': {'type': 'integer'}, 'slow_ms': {'type': 'number'}, 'key': {'type': 'string', 'maxLength': 256}, 'repeat': {'type': 'boolean'}, 'request_id': {'type': 'string', 'maxLength': 256}, 'origin': {'type': 'string', 'maxLength': 256}, 'may_wait': {'type': 'boolean'}, 'pressing': {'type': 'boolean'}, 'last': {'type': 'boolean'}, 'most_bad': {'type': 'number'}, 'most_wait_ms': {'type': 'number'}, 'usual_ms': {'type': 'number'}, 'fingerprint': {'type': 'string', 'maxLength': 32}}, 'definitions': {'bytes': {}, 'fingerprint': {'type': 'string', 'maxLength': 32}, 'attempt_id': {'type': 'string', 'minLength': 3, 'maxLength': 200}, 'headers': {'type': 'array', 'maxItems': 200, 'items': {'type': 'array', 'minItems': 2, 'maxItems': 2, 'items': {'type': 'string'}}}, 'hello': {'title': 'hello', 'type': 'object', 'required': ['t', 'vm', 'incarnation'], 'properties': {'t': {'const': 'hello'}, 'vm': {'type': 'string'}, 'incarnation': {'type': 'integer'}}}, 'attempt': {'title': 'attempt', 'type': 'object', 'required': ['t', 'id', 'target', 'route', 'method', 'path', 'headers', 'body', 'remaining_ms', 'traffic_class', 'caller', 'repeatable', 'retry', 'revision', 'slow_ms'], 'properties': {'t': {'const': 'attempt'}, 'id': {'type': 'string', 'minLength': 3, 'maxLength': 200}, 'target': {'type': 'string'}, 'route': {'type': 'string'}, 'method': {'type': 'string', 'pattern': '^[A-Z]+$'}, 'path': {'type': 'string', 'pattern': '^/'}, 'headers': {'type': 'array', 'maxItems': 200, 'items': {'type': 'array', 'minItems': 2, 'maxItems': 2, 'items': {'type': 'string'}}}, 'body': {}, 'remaining_ms': {'type': 'number'}, 'traffic_class': {'type': 'string'}, 'caller': {'type': 'string'}, 'repeatable': {'type': 'boolean'}, 'retry': {'type': 'boolean'}, 'revision': {'type': 'integer'}, 'slow_ms': {'type': 'number'}, 'key': {'type': 'string', 'maxLength': 256}, 'repeat': {'type': 'boolean'}, 'request_id': {'type': 'string', 'maxLength': 256}, 'origin': {'type': 'string', 'maxLength': 256}, 'may_wait': {'type': 'boolean'}, 'pressing': {'type': 'boolean'}, 'last': {'type': 'boolean'}, 'most_bad': {'type': 'number'}, 'most_wait_ms': {'type': 'number'}, 'usual_ms': {'type': 'number'}, 'fingerprint': {'type': 'string', 'maxLength': 32}}}, 'check': {'title': 'check', 'type': 'object', 'required': ['t', 'target', 'repeatable', 'may_wait', 'pressing', 'traffic_class'], 'description': 'Asks whether the way is open and an attempt at a target would be taken; nothing runs.', 'properties': {'t': {'const': 'check'}, 'target': {'type': 'string'}, 'repeatable': {'type': 'boolean'}, 'may_wait': {'type': 'boolean'}, 'pressing': {'type': 'boolean'}, 'most_bad': {'type': 'number'}, 'most_wait_ms': {'type': 'number'}, 'retry': {'type': 'boolean'}, 'route': {'type': 'string'}, 'spare': {'type': 'boolean'}, 'traffic_class': {'type': 'string'}}}, 'accepted': {'title': 'accepted', 'type': 'object', 'required': ['t'], 'properties': {'t': {'const': 'accepted'}, 'load': {'title': 'load', 'type': 'object', 'required': ['in_flight', 'queued', 'limit', 'failure_score', 'slow_score', 'latency_ms', 'revision'], 'properties': {'in_flight': {'type': 'integer'}, 'queued': {'type': 'integer'}, 'limit': {'type': 'integer'}, 'failure_score': {'type': 'number'}, 'slow_score': {'type': 'number'}, 'latency_ms': {'type': 'number'}, 'revision': {'type': 'integer'}, 'bad': {'type': 'number'}, 'wait_ms': {'type': 'number'}}}}}, 'load': {'title': 'load', 'type': 'object', 'required': ['in_flight', 'queued', 'limit', 'failure_score', 'slow_score', 'latency_ms', 'revision'], 'properties': {'in_flight': {'type': 'integer'}, 'queued': {'type': 'integer'}, 'limit': {'type': 'integer'}, 'failure_score': {'type': 'number'}, 'slow_score': {'type': 'number'}, 'latency_ms': {'type': 'number'}, 'revision': {'type': 'integer'}, 'bad': {'type': 'number'}, 'wait_ms': {'type': 'number'}}}, 'answered': {'title': 'answered', 'type': 'object', 'required': ['t', 'status', 'headers', 'body', 'service_ms', 'load'], 'properties': {'t': {'const': 'answered'}, 'status': {'type': 'integer', 'minimum': 100, 'maximum': 999}, 'headers': {'type': 'array', 'maxItems': 200, 'items': {'type': 'array', 'minItems': 2, 'maxItems': 2, 'items': {'type': 'string'}}}, 'body': {}, 'service_ms': {'type': 'number'}, 'load': {'title': 'load', 'type': 'object', 'required': ['in_flight', 'queued', 'limit', 'failure_score', 'slow_score', 'latency_ms', 'revision'], 'properties': {'in_flight': {'type': 'integer'}, 'queued': {'type': 'integer'}, 'limit': {'type': 'integer'}, 'failure_score': {'type': 'number'}, 'slow_score': {'type': 'number'}, 'latency_ms': {'type': 'number'}, 'revision': {'type': 'integer'}, 'bad': {'type': 'number'}, 'wait_ms': {'type': 'number'}}}}}, 'not_run': {'title': 'not_run', 'type': 'object', 'required': ['t', 'reason', 'retry_after_ms'], 'properties': {'t': {'const': 'not_run'}, 'reason': {'type': 'string'}, 'retry_after_ms': {'type': 'integer', 'minimum': 0}, 'load': {'title': 'load', 'type': 'object', 'required': ['in_flight', 'queued', 'limit', 'failure_score', 'slow_score', 'latency_ms', 'revision'], 'properties': {'in_flight': {'type': 'integer'}, 'queued': {'type': 'integer'}, 'limit': {'type': 'integer'}, 'failure_score': {'type': 'number'}, 'slow_score': {'type': 'number'}, 'latency_ms': {'type': 'number'}, 'revision': {'type': 'integer'}, 'bad': {'type': 'number'}, 'wait_ms': {'type': 'number'}}}}}, 'unknown': {'title': 'unknown', 'type': 'object', 'required': ['t', 'reason'], 'properties': {'t': {'const': 'unknown'}, 'reason': {'type': 'string'}, 'load': {'title': 'load', 'type': 'object', 'required': ['in_flight', 'queued', 'limit', 'failure_score', 'slow_score', 'latency_ms', 'revision'], 'properties': {'in_flight': {'type': 'integer'}, 'queued': {'type': 'integer'}, 'limit': {'type': 'integer'}, 'failure_score': {'type': 'number'}, 'slow_score': {'type': 'number'}, 'latency_ms': {'type': 'number'}, 'revision': {'type': 'integer'}, 'bad': {'type': 'number'}, 'wait_ms': {'type': 'number'}}}}}, 'fence': {'title': 'fence', 'type': 'object', 'required': ['t', 'id'], 'properties': {'t': {'const': 'fence'}, 'id': {'type': 'string', 'minLength': 3, 'maxLength': 200}}}, 'fenced': {'title': 'fenced', 'type': 'object', 'required': ['t', 'verdict', 'incarnation'], 'properties': {'t': {'const': 'fenced'}, 'verdict': {'enum': ['never_starts', 'started', 'cannot_vouch']}, 'incarnation': {'type': 'integer'}}}, 'fence_key': {'title': 'fence_key', 'type': 'object', 'required': ['t', 'key', 'id'], 'properties': {'t': {'const': 'fence_key'}, 'key': {'type': 'string', 'maxLength': 256}, 'id': {'type': 'string', 'minLength': 3, 'maxLength': 200}}}, 'pull': {'title': 'pull', 'type': 'object', 'required': ['t', 'have'], 'properties': {'t': {'const': 'pull'}, 'have': {'type': 'object', 'additionalProperties': {'type': 'string'}}}}, 'revision': {'title': 'revision', 'type': 'object', 'required': ['t', 'manifest', 'documents'], 'properties': {'t': {'const': 'revision'}, 'manifest': {}, 'documents': {'type': 'array', 'items': {'type': 'object', 'required': ['hash', 'form', 'data'], 'properties': {'hash': {'type': 'string'}, 'form': {'enum': ['whole', 'patch']}, 'base': {'type': 'string'}, 'data': {}}}}}}, 'catch_up': {'title': 'catch_up', 'type': 'object', 'description': 'Asks for what the source told after a revision of it, 0 for all.', 'required': ['t', 'after'], 'properties': {'t': {'const': 'catch_up'}, 'after': {'type': 'integer', 'minimum': 0}}}, 'news': {'title': 'news', 'type': 'object', 'description': 'What a source told up to a revision: the answer to catch_up.', 'required': ['t', 'revision', 'age_s', 'whole', 'targets', 'withdrawn'], 'properties': {'t': {'const': 'news'}, 'revision': {'type': 'integer', 'minimum': 0}, 'age_s': {'type': 'number', 'minimum': 0, 'description': 'Seconds since the source is known to have had nothing newer.'}, 'away_age_s': {'type': 'number', 'minimum': 0, 'description': 'Seconds since the source could last not be read.'}, 'whole': {'type': 'boolean', 'description': 'Whether what is not named is gone.'}, 'config': {'type': 'array', 'description': 'version, rows of routes, rows of services, limits of callers'}, 'targets': {'type': 'array', 'items': {'title': 'target row', 'type': 'array', 'minItems': 6, 'maxItems': 7, 'description': 'instance, service, address, hall, slots, leaving, born', 'items': [{'type': 'string'}, {'type': 'string'}, {'type': 'string'}, {'type': 'string'}, {'type': 'integer', 'minimum': 1}, {'type': 'boolean'}, {'type': 'integer', 'minimum': 0}]}}, 'withdrawn': {'type': 'array', 'items': {'type': 'string'}}}}, 'target_row': {'title': 'target row', 'type': 'array', 'minItems': 6, 'maxItems': 7, 'description': 'instance, service, address, hall, slots, leaving, born', 'items': [{'type': 'string'}, {'type': 'string'}, {'type': 'string'}, {'type': 'string'}, {'type': 'integer', 'minimum': 1}, {'type': 'boolean'}, {'type': 'integer', 'minimum': 0}]}, 'datagram': {'title': 'datagram', 'type': 'object', 'required': ['t', 'sender', 'n', 'news', 'revision', 'digest'], 'properties': {'t': {'enum': ['ping', 'ack', 'ping_req', 'announce', 'sync', 'members']}, 'sender': {'type': 'string'}, 'n': {'type': 'integer', 'description': 'Sequence number of the probe.'}, 'on': {'type': 'string', 'description': 'For ping_req: the VM to probe; for ack: the VM that is vouched for.'}, 'revision': {'type': 'integer'}, 'digest': {'type': 'string'}, 'platform_age_s': {'type': 'number', 'description': 'Seconds since the sender knows the platform to have answered.'}, 'hints': {'type': 'array', 'items': {'title': 'hint', 'type': 'array', 'minItems': 4, 'maxItems': 4, 'description': 'target, failure score, slow score, age in seconds', 'items': [{'type': 'string'}, {'type': 'number'}, {'type': 'number'}, {'type': 'number'}]}}, 'news': {'type': 'array', 'items': {'title': 'rumor', 'type': 'array', 'minItems': 8, 'maxItems': 8, 'description': 'vm, incarnation, state, address, stream port, gossip port, hall, region', 'items': [{'type': 'string'}, {'type': 'integer'}, {'type': 'integer', 'minimum': 0, 'maximum': 3}, {'type': 'string'}, {'type': 'integer'}, {'type': 'integer'}, {'type': 'string'}, {'type': 'string'}]}}}}, 'hint': {'title': 'hint', 'type': 'array', 'minItems': 4, 'maxItems': 4, 'description': 'target, failure score, slow score, age in seconds', 'items': [{'type': 'string'}, {'type': 'number'}, {'type': 'number'}, {'type': 'number'}]}, 'rumor': {'title': 'rumor', 'type': 'array', 'minItems': 8, 'maxItems': 8, 'description': 'vm, incarnation, state, address, stream port, gossip port, hall, region', 'items': [{'type': 'string'}, {'type': 'integer'}, {'type': 'integer', 'minimum': 0, 'maximum': 3}, {'type': 'string'}, {'type': 'integer'}, {'type': 'integer'}, {'type': 'string'}, {'type': 'string'}]}}}, rule='type')
    data_is_dict = isinstance(data, dict)
    if data_is_dict:
        data__missing_keys = set(['t', 'id', 'target', 'route', 'method', 'path', 'headers', 'body', 'remaining_ms', 'traffic_class', 'caller', 'repeatable', 'retry', 'revision', 'slow_ms']) - data.keys()
        if data__missing_keys:
            raise JsonSchemaValueException("" + (name_prefix or "data") + " must contain " + (str(sorted(data__missing_keys)) + " properties"), value=data, name="" + (name_prefix or "data") + "", definition={'$schema': 'http://json-schema.org/draft-07/schema#', 'title': 'attempt', 'type': 'object', 'required': ['t', 'id', 'target', 'route', 'method', 'path', 'headers', 'body', 'remaining_ms', 'traffic_class', 'caller', 'repeatable', 'retry', 'revision', 'slow_ms'], 'properties': {'t': {'const': 'attempt'}, 'id': {'type': 'string', 'minLength': 3, 'maxLength': 200}, 'target': {'type': 'string'}, 'route': {'type': 'string'}, 'method': {'type': 'string', 'pattern': '^[A-Z]+$'}, 'path': {'type': 'string', 'pattern': '^/'}, 'headers': {'type': 'array', 'maxItems': 200, 'items': {'type': 'array', 'minItems': 2, 'maxItems': 2, 'items': {'type': 'string'}}}, 'body': {}, 'remaining_ms': {'type': 'number'}, 'traffic_class': {'type': 'string'}, 'caller': {'type': 'string'}, 'repeatable': {'type': 'boolean'}, 'retry': {'type': 'boolean'}, 'revision': {'type': 'integer'}, 'slow_ms': {'type': 'number'}, 'key': {'type': 'string', 'maxLength': 256}, 'repeat': {'type': 'boolean'}, 'request_id': {'type': 'string', 'maxLength': 256}, 'origin': {'type': 'string', 'maxLength': 256}, 'may_wait': {'type': 'boolean'}, 'pressing': {'type': 'boolean'}, 'last': {'type': 'boolean'}, 'most_bad': {'type': 'number'}, 'most_wait_ms': {'type': 'number'}, 'usual_ms': {'type': 'number'}, 'fingerprint': {'type': 'string', 'maxLength': 32}}, 'definitions': {'bytes': {}, 'fingerprint': {'type': 'string', 'maxLength': 32}, 'attempt_id': {'type': 'string', 'minLength': 3, 'maxLength': 200}, 'headers': {'type': 'array', 'maxItems': 200, 'items': {'type': 'array', 'minItems': 2, 'maxItems': 2, 'items': {'type': 'string'}}}, 'hello': {'title': 'hello', 'type': 'object', 'required': ['t', 'vm', 'incarnation'], 'properties': {'t': {'const': 'hello'}, 'vm': {'type': 'string'}, 'incarnation': {'type': 'integer'}}}, 'attempt': {'title': 'attempt', 'type': 'object', 'required': ['t', 'id', 'target', 'route', 'method', 'path', 'headers', 'body', 'remaining_ms', 'traffic_class', 'caller', 'repeatable', 'retry', 'revision', 'slow_ms'], 'properties': {'t': {'const': 'attempt'}, 'id': {'type': 'string', 'minLength': 3, 'maxLength': 200}, 'target': {'type': 'string'}, 'route': {'type': 'string'}, 'method': {'type': 'string', 'pattern': '^[A-Z]+$'}, 'path': {'type': 'string', 'pattern': '^/'}, 'headers': {'type': 'array', 'maxItems': 200, 'items': {'type': 'array', 'minItems': 2, 'maxItems': 2, 'items': {'type': 'string'}}}, 'body': {}, 'remaining_ms': {'type': 'number'}, 'traffic_class': {'type': 'string'}, 'caller': {'type': 'string'}, 'repeatable': {'type': 'boolean'}, 'retry': {'type': 'boolean'}, 'revision': {'type': 'integer'}, 'slow_ms': {'type': 'number'}, 'key': {'type': 'string', 'maxLength': 256}, 'repeat': {'type': 'boolean'}, 'request_id': {'type': 'string', 'maxLength': 256}, 'origin': {'type': 'string', 'maxLength': 256}, 'may_wait': {'type': 'boolean'}, 'pressing': {'type': 'boolean'}, 'last': {'type': 'boolean'}, 'most_bad': {'type': 'number'}, 'most_wait_ms': {'type': 'number'}, 'usual_ms': {'type': 'number'}, 'fingerprint': {'type': 'string', 'maxLength': 32}}}, 'check': {'title': 'check', 'type': 'object', 'required': ['t', 'target', 'repeatable', 'may_wait', 'pressing', 'traffic_class'], 'description': 'Asks whether the way is open and an attempt at a target would be taken; nothing runs.', 'properties': {'t': {'const': 'check'}, 'target': {'type': 'string'}, 'repeatable': {'type': 'boolean'}, 'may_wait': {'type': 'boolean'}, 'pressing': {'type': 'boolean'}, 'most_bad': {'type': 'number'}, 'most_wait_ms': {'type': 'number'}, 'retry': {'type': 'boolean'}, 'route': {'type': 'string'}, 'spare': {'type': 'boolean'}, 'traffic_class': {'type': 'string'}}}, 'accepted': {'title': 'accepted', 'type': 'object', 'required': ['t'], 'properties': {'t': {'const': 'accepted'}, 'load': {'title': 'load', 'type': 'object', 'required': ['in_flight', 'queued', 'limit', 'failure_score', 'slow_score', 'latency_ms', 'revision'], 'properties': {'in_flight': {'type': 'integer'}, 'queued': {'type': 'integer'}, 'limit': {'type': 'integer'}, 'failure_score': {'type': 'number'}, 'slow_score': {'type': 'number'}, 'latency_ms': {'type': 'number'}, 'revision': {'type': 'integer'}, 'bad': {'type': 'number'}, 'wait_ms': {'type': 'number'}}}}}, 'load': {'title': 'load', 'type': 'object', 'required': ['in_flight', 'queued', 'limit', 'failure_score', 'slow_score', 'latency_ms', 'revision'], 'properties': {'in_flight': {'type': 'integer'}, 'queued': {'type': 'integer'}, 'limit': {'type': 'integer'}, 'failure_score': {'type': 'number'}, 'slow_score': {'type': 'number'}, 'latency_ms': {'type': 'number'}, 'revision': {'type': 'integer'}, 'bad': {'type': 'number'}, 'wait_ms': {'type': 'number'}}}, 'answered': {'title': 'answered', 'type': 'object', 'required': ['t', 'status', 'headers', 'body', 'service_ms', 'load'], 'properties': {'t': {'const': 'answered'}, 'status': {'type': 'integer', 'minimum': 100, 'maximum': 999}, 'headers': {'type': 'array', 'maxItems': 200, 'items': {'type': 'array', 'minItems': 2, 'maxItems': 2, 'items': {'type': 'string'}}}, 'body': {}, 'service_ms': {'type': 'number'}, 'load': {'title': 'load', 'type': 'object', 'required': ['in_flight', 'queued', 'limit', 'failure_score', 'slow_score', 'latency_ms', 'revision'], 'properties': {'in_flight': {'type': 'integer'}, 'queued': {'type': 'integer'}, 'limit': {'type': 'integer'}, 'failure_score': {'type': 'number'}, 'slow_score': {'type': 'number'}, 'latency_ms': {'type': 'number'}, 'revision': {'type': 'integer'}, 'bad': {'type': 'number'}, 'wait_ms': {'type': 'number'}}}}}, 'not_run': {'title': 'not_run', 'type': 'object', 'required': ['t', 'reason', 'retry_after_ms'], 'properties': {'t': {'const': 'not_run'}, 'reason': {'type': 'string'}, 'retry_after_ms': {'type': 'integer', 'minimum': 0}, 'load': {'title': 'load', 'type': 'object', 'required': ['in_flight', 'queued', 'limit', 'failure_score', 'slow_score', 'latency_ms', 'revision'], 'properties': {'in_flight': {'type': 'integer'}, 'queued': {'type': 'integer'}, 'limit': {'type': 'integer'}, 'failure_score': {'type': 'number'}, 'slow_score': {'type': 'number'}, 'latency_ms': {'type': 'number'}, 'revision': {'type': 'integer'}, 'bad': {'type': 'number'}, 'wait_ms': {'type': 'number'}}}}}, 'unknown': {'title': 'unknown', 'type': 'object', 'required': ['t', 'reason'], 'properties': {'t': {'const': 'unknown'}, 'reason': {'type': 'string'}, 'load': {'title': 'load', 'type': 'object', 'required': ['in_flight', 'queued', 'limit', 'failure_score', 'slow_score', 'latency_ms', 'revision'], 'properties': {'in_flight': {'type': 'integer'}, 'queued': {'type': 'integer'}, 'limit': {'type': 'integer'}, 'failure_score': {'type': 'number'}, 'slow_score': {'type': 'number'}, 'latency_ms': {'type': 'number'}, 'revision': {'type': 'integer'}, 'bad': {'type': 'number'}, 'wait_ms': {'type': 'number'}}}}}, 'fence': {'title': 'fence', 'type': 'object', 'required': ['t', 'id'], 'properties': {'t': {'const': 'fence'}, 'id': {'type': 'string', 'minLength': 3, 'maxLength': 200}}}, 'fenced': {'title': 'fenced', 'type': 'object', 'required': ['t', 'verdict', 'incarnation'], 'properties': {'t': {'const': 'fenced'}, 'verdict': {'enum': ['never_starts', 'started', 'cannot_vouch']}, 'incarnation': {'type': 'integer'}}}, 'fence_key': {'title': 'fence_key', 'type': 'object', 'required': ['t', 'key', 'id'], 'properties': {'t': {'const': 'fence_key'}, 'key': {'type': 'string', 'maxLength': 256}, 'id': {'type': 'string', 'minLength': 3, 'maxLength': 200}}}, 'pull': {'title': 'pull', 'type': 'object', 'required': ['t', 'have'], 'properties': {'t': {'const': 'pull'}, 'have': {'type': 'object', 'additionalProperties': {'type': 'string'}}}}, 'revision': {'title': 'revision', 'type': 'object', 'required': ['t', 'manifest', 'documents'], 'properties': {'t': {'const': 'revision'}, 'manifest': {}, 'documents': {'type': 'array', 'items': {'type': 'object', 'required': ['hash', 'form', 'data'], 'properties': {'hash': {'type': 'string'}, 'form': {'enum': ['whole', 'patch']}, 'base': {'type': 'string'}, 'data': {}}}}}}, 'catch_up': {'title': 'catch_up', 'type': 'object', 'description': 'Asks for what the source told after a revision of it, 0 for all.', 'required': ['t', 'after'], 'properties': {'t': {'const': 'catch_up'}, 'after': {'type': 'integer', 'minimum': 0}}}, 'news': {'title': 'news', 'type': 'object', 'description': 'What a source told up to a revision: the answer to catch_up.', 'required': ['t', 'revision', 'age_s', 'whole', 'targets', 'withdrawn'], 'properties': {'t': {'const': 'news'}, 'revision': {'type': 'integer', 'minimum': 0}, 'age_s': {'type': 'number', 'minimum': 0, 'description': 'Seconds since the source is known to have had nothing newer.'}, 'away_age_s': {'type': 'number', 'minimum': 0, 'description': 'Seconds since the source could last not be read.'}, 'whole': {'type': 'boolean', 'description': 'Whether what is not named is gone.'}, 'config': {'type': 'array', 'description': 'version, rows of routes, rows of services, limits of callers'}, 'targets': {'type': 'array', 'items': {'title': 'target row', 'type': 'array', 'minItems': 6, 'maxItems': 7, 'description': 'instance, service, address, hall, slots, leaving, born', 'items': [{'type': 'string'}, {'type': 'string'}, {'type': 'string'}, {'type': 'string'}, {'type': 'integer', 'minimum': 1}, {'type': 'boolean'}, {'type': 'integer', 'minimum': 0}]}}, 'withdrawn': {'type': 'array', 'items': {'type': 'string'}}}}, 'target_row': {'title': 'target row', 'type': 'array', 'minItems': 6, 'maxItems': 7, 'description': 'instance, service, address, hall, slots, leaving, born', 'items': [{'type': 'string'}, {'type': 'string'}, {'type': 'string'}, {'type': 'string'}, {'type': 'integer', 'minimum': 1}, {'type': 'boolean'}, {'type': 'integer', 'minimum': 0}]}, 'datagram': {'title': 'datagram', 'type': 'object', 'required': ['t', 'sender', 'n', 'news', 'revision', 'digest'], 'properties': {'t': {'enum': ['ping', 'ack', 'ping_req', 'announce', 'sync', 'members']}, 'sender': {'type': 'string'}, 'n': {'type': 'integer', 'description': 'Sequence number of the probe.'}, 'on': {'type': 'string', 'description': 'For ping_req: the VM to probe; for ack: the VM that is vouched for.'}, 'revision': {'type': 'integer'}, 'digest': {'type': 'string'}, 'platform_age_s': {'type': 'number', 'description': 'Seconds since the sender knows the platform to have answered.'}, 'hints': {'type': 'array', 'items': {'title': 'hint', 'type': 'array', 'minItems': 4, 'maxItems': 4, 'description': 'target, failure score, slow score, age in seconds', 'items': [{'type': 'string'}, {'type': 'number'}, {'type': 'number'}, {'type': 'number'}]}}, 'news': {'type': 'array', 'items': {'title': 'rumor', 'type': 'array', 'minItems': 8, 'maxItems': 8, 'description': 'vm, incarnation, state, address, stream port, gossip port, hall, region', 'items': [{'type': 'string'}, {'type': 'integer'}, {'type': 'integer', 'minimum': 0, 'maximum': 3}, {'type': 'string'}, {'type': 'integer'}, {'type': 'integer'}, {'type': 'string'}, {'type': 'string'}]}}}}, 'hint': {'title': 'hint', 'type': 'array', 'minItems': 4, 'maxItems': 4, 'description': 'target, failure score, slow score, age in seconds', 'items': [{'type': 'string'}, {'type': 'number'}, {'type': 'number'}, {'type': 'number'}]}, 'rumor': {'title': 'rumor', 'type': 'array', 'minItems': 8, 'maxItems': 8, 'description': 'vm, incarnation, state, address, stream port, gossip port, hall, region', 'items': [{'type': 'string'}, {'type': 'integer'}, {'type': 'integer', 'minimum': 0, 'maximum': 3}, {'type': 'string'}, {'type': 'integer'}, {'type': 'integer'}, {'type': 'string'}, {'type': 'string'}]}}}, rule='required')
        data_keys = set(data.keys())
        if "t" in data_keys:
            data_keys.remove("t")
            data__t = data["t"]
            if not (isinstance(data__t, str) and data__t == 'attempt'):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".t must be same as const definition: attempt", value=data__t, name="" + (name_prefix or "data") + ".t", definition={'const': 'attempt'}, rule='const')
        if "id" in data_keys:
            data_keys.remove("id")
            data__id = data["id"]
            validate___definitions_attempt_id(data__id, custom_formats, (name_prefix or "data") + ".id")
        if "target" in data_keys:
            data_keys.remove("target")
            data__target = data["target"]
            if not isinstance(data__target, (str)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".target must be string", value=data__target, name="" + (name_prefix or "data") + ".target", definition={'type': 'string'}, rule='type')
        if "route" in data_keys:
            data_keys.remove("route")
            data__route = data["route"]
            if not isinstance(data__route, (str)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".route must be string", value=data__route, name="" + (name_prefix or "data") + ".route", definition={'type': 'string'}, rule='type')
        if "method" in data_keys:
            data_keys.remove("method")
            data__method = data["method"]
            if not isinstance(data__method, (str)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".method must be string", value=data__method, name="" + (name_prefix or "data") + ".method", definition={'type': 'string', 'pattern': '^[A-Z]+$'}, rule='type')
            if isinstance(data__method, str):
                if not REGEX_PATTERNS['^[A-Z]+$'].search(data__method):
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".method must match pattern ^[A-Z]+$", value=data__method, name="" + (name_prefix or "data") + ".method", definition={'type': 'string', 'pattern': '^[A-Z]+$'}, rule='pattern')
        if "path" in data_keys:
            data_keys.remove("path")
            data__path = data["path"]
            if not isinstance(data__path, (str)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".path must be string", value=data__path, name="" + (name_prefix or "data") + ".path", definition={'type': 'string', 'pattern': '^/'}, rule='type')
            if isinstance(data__path, str):
                if not REGEX_PATTERNS['^/'].search(data__path):
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".path must match pattern ^/", value=data__path, name="" + (name_prefix or "data") + ".path", definition={'type': 'string', 'pattern': '^/'}, rule='pattern')
        if "headers" in data_keys:
            data_keys.remove("headers")
            data__headers = data["headers"]
            validate___definitions_headers(data__headers, custom_formats, (name_prefix or "data") + ".headers")
        if "body" in data_keys:
            data_keys.remove("body")
            data__body = data["body"]
            validate___definitions_bytes(data__body, custom_formats, (name_prefix or "data") + ".body")
        if "remaining_ms" in data_keys:
            data_keys.remove("remaining_ms")
            data__remainingms = data["remaining_ms"]
            if not isinstance(data__remainingms, (int, float, Decimal)) or isinstance(data__remainingms, bool):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".remaining_ms must be number", value=data__remainingms, name="" + (name_prefix or "data") + ".remaining_ms", definition={'type': 'number'}, rule='type')
        if "traffic_class" in data_keys:
            data_keys.remove("traffic_class")
            data__trafficclass = data["traffic_class"]
            if not isinstance(data__trafficclass, (str)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".traffic_class must be string", value=data__trafficclass, name="" + (name_prefix or "data") + ".traffic_class", definition={'type': 'string'}, rule='type')
        if "caller" in data_keys:
            data_keys.remove("caller")
            data__caller = data["caller"]
            if not isinstance(data__caller, (str)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".caller must be string", value=data__caller, name="" + (name_prefix or "data") + ".caller", definition={'type': 'string'}, rule='type')
        if "repeatable" in data_keys:
            data_keys.remove("repeatable")
            data__repeatable = data["repeatable"]
            if not isinstance(data__repeatable, (bool)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".repeatable must be boolean", value=data__repeatable, name="" + (name_prefix or "data") + ".repeatable", definition={'type': 'boolean'}, rule='type')
        if "retry" in data_keys:
            data_keys.remove("retry")
            data__retry = data["retry"]
            if not isinstance(data__retry, (bool)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".retry must be boolean", value=data__retry, name="" + (name_prefix or "data") + ".retry", definition={'type': 'boolean'}, rule='type')
        if "revision" in data_keys:
            data_keys.remove("revision")
            data__revision = data["revision"]
            if not isinstance(data__revision, (int)) and not (isinstance(data__revision, float) and data__revision.is_integer()) or isinstance(data__revision, bool):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".revision must be integer", value=data__revision, name="" + (name_prefix or "data") + ".revision", definition={'type': 'integer'}, rule='type')
        if "slow_ms" in data_keys:
            data_keys.remove("slow_ms")
            data__slowms = data["slow_ms"]
            if not isinstance(data__slowms, (int, float, Decimal)) or isinstance(data__slowms, bool):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".slow_ms must be number", value=data__slowms, name="" + (name_prefix or "data") + ".slow_ms", definition={'type': 'number'}, rule='type')
        if "key" in data_keys:
            data_keys.remove("key")
            data__key = data["key"]
            if not isinstance(data__key, (str)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".key must be string", value=data__key, name="" + (name_prefix or "data") + ".key", definition={'type': 'string', 'maxLength': 256}, rule='type')
            if isinstance(data__key, str):
                data__key_len = len(data__key)
                if data__key_len > 256:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".key must be shorter than or equal to 256 characters", value=data__key, name="" + (name_prefix or "data") + ".key", definition={'type': 'string', 'maxLength': 256}, rule='maxLength')
        if "repeat" in data_keys:
            data_keys.remove("repeat")
            data__repeat = data["repeat"]
            if not isinstance(data__repeat, (bool)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".repeat must be boolean", value=data__repeat, name="" + (name_prefix or "data") + ".repeat", definition={'type': 'boolean'}, rule='type')
        if "request_id" in data_keys:
            data_keys.remove("request_id")
            data__requestid = data["request_id"]
            if not isinstance(data__requestid, (str)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".request_id must be string", value=data__requestid, name="" + (name_prefix or "data") + ".request_id", definition={'type': 'string', 'maxLength': 256}, rule='type')
            if isinstance(data__requestid, str):
                data__requestid_len = len(data__requestid)
                if data__requestid_len > 256:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".request_id must be shorter than or equal to 256 characters", value=data__requestid, name="" + (name_prefix or "data") + ".request_id", definition={'type': 'string', 'maxLength': 256}, rule='maxLength')
        if "origin" in data_keys:
            data_keys.remove("origin")
            data__origin = data["origin"]
            if not isinstance(data__origin, (str)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".origin must be string", value=data__origin, name="" + (name_prefix or "data") + ".origin", definition={'type': 'string', 'maxLength': 256}, rule='type')
            if isinstance(data__origin, str):
                data__origin_len = len(data__origin)
                if data__origin_len > 256:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".origin must be shorter than or equal to 256 characters", value=data__origin, name="" + (name_prefix or "data") + ".origin", definition={'type': 'string', 'maxLength': 256}, rule='maxLength')
        if "may_wait" in data_keys:
            data_keys.remove("may_wait")
            data__maywait = data["may_wait"]
            if not isinstance(data__maywait, (bool)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".may_wait must be boolean", value=data__maywait, name="" + (name_prefix or "data") + ".may_wait", definition={'type': 'boolean'}, rule='type')
        if "pressing" in data_keys:
            data_keys.remove("pressing")
            data__pressing = data["pressing"]
            if not isinstance(data__pressing, (bool)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".pressing must be boolean", value=data__pressing, name="" + (name_prefix or "data") + ".pressing", definition={'type': 'boolean'}, rule='type')
        if "last" in data_keys:
            data_keys.remove("last")
            data__last = data["last"]
            if not isinstance(data__last, (bool)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".last must be boolean", value=data__last, name="" + (name_prefix or "data") + ".last", definition={'type': 'boolean'}, rule='type')
        if "most_bad" in data_keys:
            data_keys.remove("most_bad")
            data__mostbad = data["most_bad"]
            if not isinstance(data__mostbad, (int, float, Decimal)) or isinstance(data__mostbad, bool):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".most_bad must be number", value=data__mostbad, name="" + (name_prefix or "data") + ".most_bad", definition={'type': 'number'}, rule='type')
        if "most_wait_ms" in data_keys:
            data_keys.remove("most_wait_ms")
            data__mostwaitms = data["most_wait_ms"]
            if not isinstance(data__mostwaitms, (int, float, Decimal)) or isinstance(data__mostwaitms, bool):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".most_wait_ms must be number", value=data__mostwaitms, name="" + (name_prefix or "data") + ".most_wait_ms", definition={'type': 'number'}, rule='type')
        if "usual_ms" in data_keys:
            data_keys.remove("usual_ms")
            data__usualms = data["usual_ms"]
            if not isinstance(data__usualms, (int, float, Decimal)) or isinstance(data__usualms, bool):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".usual_ms must be number", value=data__usualms, name="" + (name_prefix or "data") + ".usual_ms", definition={'type': 'number'}, rule='type')
        if "fingerprint" in data_keys:
            data_keys.remove("fingerprint")
            data__fingerprint = data["fingerprint"]
            validate___definitions_fingerprint(data__fingerprint, custom_formats, (name_prefix or "data") + ".fingerprint")
    return data

def validate___definitions_fingerprint(data, custom_formats={}, name_prefix=None):
    if not isinstance(data, (str)):
        raise JsonSchemaValueException("" + (name_prefix or "data") + " must be string", value=data, name="" + (name_prefix or "data") + "", definition={'type': 'string', 'maxLength': 32}, rule='type')
    if isinstance(data, str):
        data_len = len(data)
        if data_len > 32:
            raise JsonSchemaValueException("" + (name_prefix or "data") + " must be shorter than or equal to 32 characters", value=data, name="" + (name_prefix or "data") + "", definition={'type': 'string', 'maxLength': 32}, rule='maxLength')
    return data

def validate___definitions_bytes(data, custom_formats={}, name_prefix=None):
    return data

def validate___definitions_headers(data, custom_formats={}, name_prefix=None):
    if not isinstance(data, (list, tuple)):
        raise JsonSchemaValueException("" + (name_prefix or "data") + " must be array", value=data, name="" + (name_prefix or "data") + "", definition={'type': 'array', 'maxItems': 200, 'items': {'type': 'array', 'minItems': 2, 'maxItems': 2, 'items': {'type': 'string'}}}, rule='type')
    data_is_list = isinstance(data, (list, tuple))
    if data_is_list:
        data_len = len(data)
        if data_len > 200:
            raise JsonSchemaValueException("" + (name_prefix or "data") + " must contain less than or equal to 200 items", value=data, name="" + (name_prefix or "data") + "", definition={'type': 'array', 'maxItems': 200, 'items': {'type': 'array', 'minItems': 2, 'maxItems': 2, 'items': {'type': 'string'}}}, rule='maxItems')
        for data_x, data_item in enumerate(data):
            if not isinstance(data_item, (list, tuple)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + "[{data_x}]".format(**locals()) + " must be array", value=data_item, name="" + (name_prefix or "data") + "[{data_x}]".format(**locals()) + "", definition={'type': 'array', 'minItems': 2, 'maxItems': 2, 'items': {'type': 'string'}}, rule='type')
            data_item_is_list = isinstance(data_item, (list, tuple))
            if data_item_is_list:
                data_item_len = len(data_item)
                if data_item_len < 2:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + "[{data_x}]".format(**locals()) + " must contain at least 2 items", value=data_item, name="" + (name_prefix or "data") + "[{data_x}]".format(**locals()) + "", definition={'type': 'array', 'minItems': 2, 'maxItems': 2, 'items': {'type': 'string'}}, rule='minItems')
                if data_item_len > 2:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + "[{data_x}]".format(**locals()) + " must contain less than or equal to 2 items", value=data_item, name="" + (name_prefix or "data") + "[{data_x}]".format(**locals()) + "", definition={'type': 'array', 'minItems': 2, 'maxItems': 2, 'items': {'type': 'string'}}, rule='maxItems')
                for data_item_x, data_item_item in enumerate(data_item):
                    if not isinstance(data_item_item, (str)):
                        raise JsonSchemaValueException("" + (name_prefix or "data") + "[{data_x}][{data_item_x}]".format(**locals()) + " must be string", value=data_item_item, name="" + (name_prefix or "data") + "[{data_x}][{data_item_x}]".format(**locals()) + "", definition={'type': 'string'}, rule='type')
    return data

def validate___definitions_attempt_id(data, custom_formats={}, name_prefix=None):
    if not isinstance(data, (str)):
        raise JsonSchemaValueException("" + (name_prefix or "data") + " must be string", value=data, name="" + (name_prefix or "data") + "", definition={'type': 'string', 'minLength': 3, 'maxLength': 200}, rule='type')
    if isinstance(data, str):
        data_len = len(data)
        if data_len < 3:
            raise JsonSchemaValueException("" + (name_prefix or "data") + " must be longer than or equal to 3 characters", value=data, name="" + (name_prefix or "data") + "", definition={'type': 'string', 'minLength': 3, 'maxLength': 200}, rule='minLength')
        if data_len > 200:
            raise JsonSchemaValueException("" + (name_prefix or "data") + " must be shorter than or equal to 200 characters", value=data, name="" + (name_prefix or "data") + "", definition={'type': 'string', 'minLength': 3, 'maxLength': 200}, rule='maxLength')
    return data