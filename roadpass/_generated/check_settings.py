VERSION = "2.22.3"
from decimal import Decimal
import re
from fastjsonschema import JsonSchemaValueException, JsonSchemaValuesException


REGEX_PATTERNS = {
    '^[0-9a-fA-F.:]+$': re.compile('^[0-9a-fA-F.:]+\\Z'),
    '^http://[0-9a-fA-F.:\\[\\]]+$': re.compile('^http://[0-9a-fA-F.:\\[\\]]+\\Z'),
    '^[0-9.]+:[0-9]{1,5}$': re.compile('^[0-9.]+:[0-9]{1,5}\\Z'),
    '^[0-9]+([.][0-9]+)?(ms|s)$': re.compile('^[0-9]+([.][0-9]+)?(ms|s)\\Z')
}

NoneType = type(None)

def validate(data, custom_formats={}, name_prefix=None):
    if not isinstance(data, (dict)):
        raise JsonSchemaValueException("" + (name_prefix or "data") + " must be object", value=data, name="" + (name_prefix or "data") + "", definition={'$schema': 'http://json-schema.org/draft-07/schema#', 'title': 'settings', 'description': 'Settings of one roadpassd process.', 'type': 'object', 'additionalProperties': False, 'required': ['vm', 'hall', 'region', 'address', 'ports'], 'oneOf': [{'required': ['platform']}, {'required': ['store']}], 'properties': {'vm': {'type': 'string', 'minLength': 1, 'description': "Name of this VM, as in the platform's VM list."}, 'hall': {'type': 'string', 'minLength': 1, 'description': 'Data hall of this VM.'}, 'region': {'type': 'string', 'minLength': 1}, 'address': {'type': 'string', 'pattern': '^[0-9a-fA-F.:]+$', 'description': 'IP number that peers and callers use.'}, 'advertise': {'type': 'string', 'pattern': '^[0-9a-fA-F.:]+$', 'description': 'IP number that peers use instead, where it is mapped.'}, 'ports': {'type': 'object', 'additionalProperties': False, 'required': ['callers', 'stream', 'gossip', 'admin'], 'properties': {'callers': {'oneOf': [{'type': 'integer', 'minimum': 1, 'maximum': 65535}, {'type': 'string', 'pattern': '^[0-9.]+:[0-9]{1,5}$', 'description': 'The port of ip:port.'}]}, 'stream': {'oneOf': [{'type': 'integer', 'minimum': 1, 'maximum': 65535}, {'type': 'string', 'pattern': '^[0-9.]+:[0-9]{1,5}$', 'description': 'The port of ip:port.'}]}, 'gossip': {'oneOf': [{'type': 'integer', 'minimum': 1, 'maximum': 65535}, {'type': 'string', 'pattern': '^[0-9.]+:[0-9]{1,5}$', 'description': 'The port of ip:port.'}]}, 'admin': {'oneOf': [{'type': 'integer', 'minimum': 1, 'maximum': 65535}, {'type': 'string', 'pattern': '^[0-9.]+:[0-9]{1,5}$', 'description': 'The port of ip:port.'}]}, 'metrics': {'oneOf': [{'type': 'integer', 'minimum': 1, 'maximum': 65535}, {'type': 'string', 'pattern': '^[0-9.]+:[0-9]{1,5}$', 'description': 'The port of ip:port.'}]}}}, 'platform': {'type': 'object', 'additionalProperties': False, 'required': ['url'], 'properties': {'url': {'type': 'string', 'pattern': '^http://[0-9a-fA-F.:\\[\\]]+$'}, 'readers_per_hall': {'type': 'integer', 'minimum': 1, 'maximum': 5, 'default': 2}, 'watch_s': {'type': 'number', 'minimum': 0.2, 'maximum': 60, 'default': 10}}}, 'store': {'type': 'object', 'description': "Read targets and configuration from the users' store instead of a manifest.", 'additionalProperties': False, 'required': ['address'], 'properties': {'address': {'type': 'string', 'pattern': '^[0-9.]+:[0-9]{1,5}$'}, 'floor_share': {'type': 'number', 'minimum': 0, 'maximum': 1, 'default': 0.7, 'description': "Share of a service's slots that stays in service whatever the evidence."}, 'retry_ratio': {'type': 'number', 'minimum': 0, 'maximum': 1, 'default': 0.1, 'description': 'Repeats a request that a service may get, over the whole fleet.'}, 'in_force_s': {'oneOf': [{'type': 'number', 'minimum': 0.5, 'maximum': 60}, {'type': 'string', 'pattern': '^[0-9]+([.][0-9]+)?(ms|s)$'}], 'default': 2, 'description': 'Time within which what the store took must be in force on every node: seconds, or text with a unit.'}, 'retry_slack': {'type': 'number', 'minimum': 0, 'default': 0, 'description': 'Repeats beyond that in each window, over the whole fleet.'}, 'retry_window_s': {'oneOf': [{'type': 'number', 'minimum': 1, 'maximum': 3600}, {'type': 'string', 'pattern': '^[0-9]+([.][0-9]+)?(ms|s)$'}], 'default': 10, 'description': 'Length of such a window: seconds, or text with a unit.'}, 'quota_window_s': {'oneOf': [{'type': 'number', 'minimum': 1, 'maximum': 3600}, {'type': 'string', 'pattern': '^[0-9]+([.][0-9]+)?(ms|s)$'}], 'default': 5, 'description': "Length of the windows in which customers' limits count: seconds, or text with a unit."}, 'quota_over': {'type': 'number', 'minimum': 0, 'maximum': 10, 'default': 0, 'description': "Share of a customer's limit that is borne beyond it in a window."}, 'quota_slack': {'type': 'number', 'minimum': 0, 'maximum': 1000000, 'default': 0, 'description': 'Requests in a window that are borne beyond that.'}, 'far_loss_per_kb': {'type': 'number', 'minimum': 0, 'maximum': 100, 'default': 0.1, 'description': 'What a kilobyte carried to another data hall costs, as a share of a lost request.'}, 'terms': {'type': 'array', 'maxItems': 64, 'items': {'type': 'string', 'maxLength': 64}, 'default': [], 'description': 'Terms of the deployment, as the users name them; unknown ones are ignored.'}, 'sharing': {'type': 'object', 'additionalProperties': False, 'description': 'Ways of sharing capacity under load that are on whatever the terms call for.', 'properties': {'room': {'type': 'boolean'}, 'queue': {'type': 'boolean'}, 'fair_shares': {'type': 'boolean'}, 'parents': {'type': 'boolean'}, 'fleet_repeats': {'type': 'boolean'}, 'streamed_bodies': {'type': 'boolean'}, 'vm_sizes': {'type': 'boolean'}, 'warm_up': {'type': 'boolean'}}}}}, 'memory_mb': {'type': 'number', 'minimum': 0, 'maximum': 1048576, 'default': 0, 'description': 'Memory that this process may use in megabytes, 0 if unknown.'}, 'cores': {'type': 'number', 'minimum': 0, 'maximum': 4096, 'default': 0, 'description': 'Processor cores of the VM; 0 if unknown.'}, 'cpu_share': {'type': 'number', 'exclusiveMinimum': 0, 'maximum': 1, 'default': 1, 'description': 'Share of these cores that this process may use.'}, 'origin_service': {'type': 'string', 'default': '', 'description': "Service of the target beside this node, at which its callers' requests begin."}, 'seeds': {'type': 'array', 'default': [], 'maxItems': 64, 'items': {'type': 'string', 'pattern': '^[0-9.]+:[0-9]{1,5}$'}, 'description': 'Gossip addresses of peers to ask first, for when the platform is down.'}, 'threads': {'type': 'integer', 'minimum': 4, 'maximum': 512, 'default': 48, 'description': 'Has no effect any more: the ingress has a thread for each connection.'}, 'stop_limit_s': {'oneOf': [{'type': 'number', 'minimum': 1, 'maximum': 600}, {'type': 'string', 'pattern': '^[0-9]+([.][0-9]+)?(ms|s)$'}], 'default': 30, 'description': 'Time from SIGTERM to the end: seconds, or text with a unit.'}, 'caller_header': {'type': 'string', 'default': 'Roadpass-Caller', 'description': 'Request header that names the caller.'}, 'keys': {'type': 'array', 'maxItems': 2, 'default': [], 'items': {'type': 'string', 'minLength': 16}, 'description': 'Keys for peer traffic: the first signs, both are accepted.'}, 'log': {'type': 'object', 'additionalProperties': False, 'properties': {'level': {'enum': ['debug', 'info', 'warning', 'error'], 'default': 'info'}, 'format': {'enum': ['text', 'json'], 'default': 'text'}}}}, 'definitions': {'port': {'oneOf': [{'type': 'integer', 'minimum': 1, 'maximum': 65535}, {'type': 'string', 'pattern': '^[0-9.]+:[0-9]{1,5}$', 'description': 'The port of ip:port.'}]}}}, rule='type')
    data_one_of_count1 = 0
    if data_one_of_count1 < 2:
        try:
            data_is_dict = isinstance(data, dict)
            if data_is_dict:
                data__missing_keys = set(['platform']) - data.keys()
                if data__missing_keys:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + " must contain " + (str(sorted(data__missing_keys)) + " properties"), value=data, name="" + (name_prefix or "data") + "", definition={'required': ['platform']}, rule='required')
            data_one_of_count1 += 1
        except (JsonSchemaValueException, JsonSchemaValuesException): pass
    if data_one_of_count1 < 2:
        try:
            data_is_dict = isinstance(data, dict)
            if data_is_dict:
                data__missing_keys = set(['store']) - data.keys()
                if data__missing_keys:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + " must contain " + (str(sorted(data__missing_keys)) + " properties"), value=data, name="" + (name_prefix or "data") + "", definition={'required': ['store']}, rule='required')
            data_one_of_count1 += 1
        except (JsonSchemaValueException, JsonSchemaValuesException): pass
    if data_one_of_count1 != 1:
        raise JsonSchemaValueException("" + (name_prefix or "data") + " must be valid exactly by one definition" + (" (" + str(data_one_of_count1) + " matches found)"), value=data, name="" + (name_prefix or "data") + "", definition={'$schema': 'http://json-schema.org/draft-07/schema#', 'title': 'settings', 'description': 'Settings of one roadpassd process.', 'type': 'object', 'additionalProperties': False, 'required': ['vm', 'hall', 'region', 'address', 'ports'], 'oneOf': [{'required': ['platform']}, {'required': ['store']}], 'properties': {'vm': {'type': 'string', 'minLength': 1, 'description': "Name of this VM, as in the platform's VM list."}, 'hall': {'type': 'string', 'minLength': 1, 'description': 'Data hall of this VM.'}, 'region': {'type': 'string', 'minLength': 1}, 'address': {'type': 'string', 'pattern': '^[0-9a-fA-F.:]+$', 'description': 'IP number that peers and callers use.'}, 'advertise': {'type': 'string', 'pattern': '^[0-9a-fA-F.:]+$', 'description': 'IP number that peers use instead, where it is mapped.'}, 'ports': {'type': 'object', 'additionalProperties': False, 'required': ['callers', 'stream', 'gossip', 'admin'], 'properties': {'callers': {'oneOf': [{'type': 'integer', 'minimum': 1, 'maximum': 65535}, {'type': 'string', 'pattern': '^[0-9.]+:[0-9]{1,5}$', 'description': 'The port of ip:port.'}]}, 'stream': {'oneOf': [{'type': 'integer', 'minimum': 1, 'maximum': 65535}, {'type': 'string', 'pattern': '^[0-9.]+:[0-9]{1,5}$', 'description': 'The port of ip:port.'}]}, 'gossip': {'oneOf': [{'type': 'integer', 'minimum': 1, 'maximum': 65535}, {'type': 'string', 'pattern': '^[0-9.]+:[0-9]{1,5}$', 'description': 'The port of ip:port.'}]}, 'admin': {'oneOf': [{'type': 'integer', 'minimum': 1, 'maximum': 65535}, {'type': 'string', 'pattern': '^[0-9.]+:[0-9]{1,5}$', 'description': 'The port of ip:port.'}]}, 'metrics': {'oneOf': [{'type': 'integer', 'minimum': 1, 'maximum': 65535}, {'type': 'string', 'pattern': '^[0-9.]+:[0-9]{1,5}$', 'description': 'The port of ip:port.'}]}}}, 'platform': {'type': 'object', 'additionalProperties': False, 'required': ['url'], 'properties': {'url': {'type': 'string', 'pattern': '^http://[0-9a-fA-F.:\\[\\]]+$'}, 'readers_per_hall': {'type': 'integer', 'minimum': 1, 'maximum': 5, 'default': 2}, 'watch_s': {'type': 'number', 'minimum': 0.2, 'maximum': 60, 'default': 10}}}, 'store': {'type': 'object', 'description': "Read targets and configuration from the users' store instead of a manifest.", 'additionalProperties': False, 'required': ['address'], 'properties': {'address': {'type': 'string', 'pattern': '^[0-9.]+:[0-9]{1,5}$'}, 'floor_share': {'type': 'number', 'minimum': 0, 'maximum': 1, 'default': 0.7, 'description': "Share of a service's slots that stays in service whatever the evidence."}, 'retry_ratio': {'type': 'number', 'minimum': 0, 'maximum': 1, 'default': 0.1, 'description': 'Repeats a request that a service may get, over the whole fleet.'}, 'in_force_s': {'oneOf': [{'type': 'number', 'minimum': 0.5, 'maximum': 60}, {'type': 'string', 'pattern': '^[0-9]+([.][0-9]+)?(ms|s)$'}], 'default': 2, 'description': 'Time within which what the store took must be in force on every node: seconds, or text with a unit.'}, 'retry_slack': {'type': 'number', 'minimum': 0, 'default': 0, 'description': 'Repeats beyond that in each window, over the whole fleet.'}, 'retry_window_s': {'oneOf': [{'type': 'number', 'minimum': 1, 'maximum': 3600}, {'type': 'string', 'pattern': '^[0-9]+([.][0-9]+)?(ms|s)$'}], 'default': 10, 'description': 'Length of such a window: seconds, or text with a unit.'}, 'quota_window_s': {'oneOf': [{'type': 'number', 'minimum': 1, 'maximum': 3600}, {'type': 'string', 'pattern': '^[0-9]+([.][0-9]+)?(ms|s)$'}], 'default': 5, 'description': "Length of the windows in which customers' limits count: seconds, or text with a unit."}, 'quota_over': {'type': 'number', 'minimum': 0, 'maximum': 10, 'default': 0, 'description': "Share of a customer's limit that is borne beyond it in a window."}, 'quota_slack': {'type': 'number', 'minimum': 0, 'maximum': 1000000, 'default': 0, 'description': 'Requests in a window that are borne beyond that.'}, 'far_loss_per_kb': {'type': 'number', 'minimum': 0, 'maximum': 100, 'default': 0.1, 'description': 'What a kilobyte carried to another data hall costs, as a share of a lost request.'}, 'terms': {'type': 'array', 'maxItems': 64, 'items': {'type': 'string', 'maxLength': 64}, 'default': [], 'description': 'Terms of the deployment, as the users name them; unknown ones are ignored.'}, 'sharing': {'type': 'object', 'additionalProperties': False, 'description': 'Ways of sharing capacity under load that are on whatever the terms call for.', 'properties': {'room': {'type': 'boolean'}, 'queue': {'type': 'boolean'}, 'fair_shares': {'type': 'boolean'}, 'parents': {'type': 'boolean'}, 'fleet_repeats': {'type': 'boolean'}, 'streamed_bodies': {'type': 'boolean'}, 'vm_sizes': {'type': 'boolean'}, 'warm_up': {'type': 'boolean'}}}}}, 'memory_mb': {'type': 'number', 'minimum': 0, 'maximum': 1048576, 'default': 0, 'description': 'Memory that this process may use in megabytes, 0 if unknown.'}, 'cores': {'type': 'number', 'minimum': 0, 'maximum': 4096, 'default': 0, 'description': 'Processor cores of the VM; 0 if unknown.'}, 'cpu_share': {'type': 'number', 'exclusiveMinimum': 0, 'maximum': 1, 'default': 1, 'description': 'Share of these cores that this process may use.'}, 'origin_service': {'type': 'string', 'default': '', 'description': "Service of the target beside this node, at which its callers' requests begin."}, 'seeds': {'type': 'array', 'default': [], 'maxItems': 64, 'items': {'type': 'string', 'pattern': '^[0-9.]+:[0-9]{1,5}$'}, 'description': 'Gossip addresses of peers to ask first, for when the platform is down.'}, 'threads': {'type': 'integer', 'minimum': 4, 'maximum': 512, 'default': 48, 'description': 'Has no effect any more: the ingress has a thread for each connection.'}, 'stop_limit_s': {'oneOf': [{'type': 'number', 'minimum': 1, 'maximum': 600}, {'type': 'string', 'pattern': '^[0-9]+([.][0-9]+)?(ms|s)$'}], 'default': 30, 'description': 'Time from SIGTERM to the end: seconds, or text with a unit.'}, 'caller_header': {'type': 'string', 'default': 'Roadpass-Caller', 'description': 'Request header that names the caller.'}, 'keys': {'type': 'array', 'maxItems': 2, 'default': [], 'items': {'type': 'string', 'minLength': 16}, 'description': 'Keys for peer traffic: the first signs, both are accepted.'}, 'log': {'type': 'object', 'additionalProperties': False, 'properties': {'level': {'enum': ['debug', 'info', 'warning', 'error'], 'default': 'info'}, 'format': {'enum': ['text', 'json'], 'default': 'text'}}}}, 'definitions': {'port': {'oneOf': [{'type': 'integer', 'minimum': 1, 'maximum': 65535}, {'type': 'string', 'pattern': '^[0-9.]+:[0-9]{1,5}$', 'description': 'The port of ip:port.'}]}}}, rule='oneOf')
    data_is_dict = isinstance(data, dict)
    if data_is_dict:
        data__missing_keys = set(['vm', 'hall', 'region', 'address', 'ports']) - data.keys()
        if data__missing_keys:
            raise JsonSchemaValueException("" + (name_prefix or "data") + " must contain " + (str(sorted(data__missing_keys)) + " properties"), value=data, name="" + (name_prefix or "data") + "", definition={'$schema': 'http://json-schema.org/draft-07/schema#', 'title': 'settings', 'description': 'Settings of one roadpassd process.', 'type': 'object', 'additionalProperties': False, 'required': ['vm', 'hall', 'region', 'address', 'ports'], 'oneOf': [{'required': ['platform']}, {'required': ['store']}], 'properties': {'vm': {'type': 'string', 'minLength': 1, 'description': "Name of this VM, as in the platform's VM list."}, 'hall': {'type': 'string', 'minLength': 1, 'description': 'Data hall of this VM.'}, 'region': {'type': 'string', 'minLength': 1}, 'address': {'type': 'string', 'pattern': '^[0-9a-fA-F.:]+$', 'description': 'IP number that peers and callers use.'}, 'advertise': {'type': 'string', 'pattern': '^[0-9a-fA-F.:]+$', 'description': 'IP number that peers use instead, where it is mapped.'}, 'ports': {'type': 'object', 'additionalProperties': False, 'required': ['callers', 'stream', 'gossip', 'admin'], 'properties': {'callers': {'oneOf': [{'type': 'integer', 'minimum': 1, 'maximum': 65535}, {'type': 'string', 'pattern': '^[0-9.]+:[0-9]{1,5}$', 'description': 'The port of ip:port.'}]}, 'stream': {'oneOf': [{'type': 'integer', 'minimum': 1, 'maximum': 65535}, {'type': 'string', 'pattern': '^[0-9.]+:[0-9]{1,5}$', 'description': 'The port of ip:port.'}]}, 'gossip': {'oneOf': [{'type': 'integer', 'minimum': 1, 'maximum': 65535}, {'type': 'string', 'pattern': '^[0-9.]+:[0-9]{1,5}$', 'description': 'The port of ip:port.'}]}, 'admin': {'oneOf': [{'type': 'integer', 'minimum': 1, 'maximum': 65535}, {'type': 'string', 'pattern': '^[0-9.]+:[0-9]{1,5}$', 'description': 'The port of ip:port.'}]}, 'metrics': {'oneOf': [{'type': 'integer', 'minimum': 1, 'maximum': 65535}, {'type': 'string', 'pattern': '^[0-9.]+:[0-9]{1,5}$', 'description': 'The port of ip:port.'}]}}}, 'platform': {'type': 'object', 'additionalProperties': False, 'required': ['url'], 'properties': {'url': {'type': 'string', 'pattern': '^http://[0-9a-fA-F.:\\[\\]]+$'}, 'readers_per_hall': {'type': 'integer', 'minimum': 1, 'maximum': 5, 'default': 2}, 'watch_s': {'type': 'number', 'minimum': 0.2, 'maximum': 60, 'default': 10}}}, 'store': {'type': 'object', 'description': "Read targets and configuration from the users' store instead of a manifest.", 'additionalProperties': False, 'required': ['address'], 'properties': {'address': {'type': 'string', 'pattern': '^[0-9.]+:[0-9]{1,5}$'}, 'floor_share': {'type': 'number', 'minimum': 0, 'maximum': 1, 'default': 0.7, 'description': "Share of a service's slots that stays in service whatever the evidence."}, 'retry_ratio': {'type': 'number', 'minimum': 0, 'maximum': 1, 'default': 0.1, 'description': 'Repeats a request that a service may get, over the whole fleet.'}, 'in_force_s': {'oneOf': [{'type': 'number', 'minimum': 0.5, 'maximum': 60}, {'type': 'string', 'pattern': '^[0-9]+([.][0-9]+)?(ms|s)$'}], 'default': 2, 'description': 'Time within which what the store took must be in force on every node: seconds, or text with a unit.'}, 'retry_slack': {'type': 'number', 'minimum': 0, 'default': 0, 'description': 'Repeats beyond that in each window, over the whole fleet.'}, 'retry_window_s': {'oneOf': [{'type': 'number', 'minimum': 1, 'maximum': 3600}, {'type': 'string', 'pattern': '^[0-9]+([.][0-9]+)?(ms|s)$'}], 'default': 10, 'description': 'Length of such a window: seconds, or text with a unit.'}, 'quota_window_s': {'oneOf': [{'type': 'number', 'minimum': 1, 'maximum': 3600}, {'type': 'string', 'pattern': '^[0-9]+([.][0-9]+)?(ms|s)$'}], 'default': 5, 'description': "Length of the windows in which customers' limits count: seconds, or text with a unit."}, 'quota_over': {'type': 'number', 'minimum': 0, 'maximum': 10, 'default': 0, 'description': "Share of a customer's limit that is borne beyond it in a window."}, 'quota_slack': {'type': 'number', 'minimum': 0, 'maximum': 1000000, 'default': 0, 'description': 'Requests in a window that are borne beyond that.'}, 'far_loss_per_kb': {'type': 'number', 'minimum': 0, 'maximum': 100, 'default': 0.1, 'description': 'What a kilobyte carried to another data hall costs, as a share of a lost request.'}, 'terms': {'type': 'array', 'maxItems': 64, 'items': {'type': 'string', 'maxLength': 64}, 'default': [], 'description': 'Terms of the deployment, as the users name them; unknown ones are ignored.'}, 'sharing': {'type': 'object', 'additionalProperties': False, 'description': 'Ways of sharing capacity under load that are on whatever the terms call for.', 'properties': {'room': {'type': 'boolean'}, 'queue': {'type': 'boolean'}, 'fair_shares': {'type': 'boolean'}, 'parents': {'type': 'boolean'}, 'fleet_repeats': {'type': 'boolean'}, 'streamed_bodies': {'type': 'boolean'}, 'vm_sizes': {'type': 'boolean'}, 'warm_up': {'type': 'boolean'}}}}}, 'memory_mb': {'type': 'number', 'minimum': 0, 'maximum': 1048576, 'default': 0, 'description': 'Memory that this process may use in megabytes, 0 if unknown.'}, 'cores': {'type': 'number', 'minimum': 0, 'maximum': 4096, 'default': 0, 'description': 'Processor cores of the VM; 0 if unknown.'}, 'cpu_share': {'type': 'number', 'exclusiveMinimum': 0, 'maximum': 1, 'default': 1, 'description': 'Share of these cores that this process may use.'}, 'origin_service': {'type': 'string', 'default': '', 'description': "Service of the target beside this node, at which its callers' requests begin."}, 'seeds': {'type': 'array', 'default': [], 'maxItems': 64, 'items': {'type': 'string', 'pattern': '^[0-9.]+:[0-9]{1,5}$'}, 'description': 'Gossip addresses of peers to ask first, for when the platform is down.'}, 'threads': {'type': 'integer', 'minimum': 4, 'maximum': 512, 'default': 48, 'description': 'Has no effect any more: the ingress has a thread for each connection.'}, 'stop_limit_s': {'oneOf': [{'type': 'number', 'minimum': 1, 'maximum': 600}, {'type': 'string', 'pattern': '^[0-9]+([.][0-9]+)?(ms|s)$'}], 'default': 30, 'description': 'Time from SIGTERM to the end: seconds, or text with a unit.'}, 'caller_header': {'type': 'string', 'default': 'Roadpass-Caller', 'description': 'Request header that names the caller.'}, 'keys': {'type': 'array', 'maxItems': 2, 'default': [], 'items': {'type': 'string', 'minLength': 16}, 'description': 'Keys for peer traffic: the first signs, both are accepted.'}, 'log': {'type': 'object', 'additionalProperties': False, 'properties': {'level': {'enum': ['debug', 'info', 'warning', 'error'], 'default': 'info'}, 'format': {'enum': ['text', 'json'], 'default': 'text'}}}}, 'definitions': {'port': {'oneOf': [{'type': 'integer', 'minimum': 1, 'maximum': 65535}, {'type': 'string', 'pattern': '^[0-9.]+:[0-9]{1,5}$', 'description': 'The port of ip:port.'}]}}}, rule='required')
        data_keys = set(data.keys())
        if "vm" in data_keys:
            data_keys.remove("vm")
            data__vm = data["vm"]
            if not isinstance(data__vm, (str)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".vm must be string", value=data__vm, name="" + (name_prefix or "data") + ".vm", definition={'type': 'string', 'minLength': 1, 'description': "Name of this VM, as in the platform's VM list."}, rule='type')
            if isinstance(data__vm, str):
                data__vm_len = len(data__vm)
                if data__vm_len < 1:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".vm must be longer than or equal to 1 characters", value=data__vm, name="" + (name_prefix or "data") + ".vm", definition={'type': 'string', 'minLength': 1, 'description': "Name of this VM, as in the platform's VM list."}, rule='minLength')
        if "hall" in data_keys:
            data_keys.remove("hall")
            data__hall = data["hall"]
            if not isinstance(data__hall, (str)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".hall must be string", value=data__hall, name="" + (name_prefix or "data") + ".hall", definition={'type': 'string', 'minLength': 1, 'description': 'Data hall of this VM.'}, rule='type')
            if isinstance(data__hall, str):
                data__hall_len = len(data__hall)
                if data__hall_len < 1:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".hall must be longer than or equal to 1 characters", value=data__hall, name="" + (name_prefix or "data") + ".hall", definition={'type': 'string', 'minLength': 1, 'description': 'Data hall of this VM.'}, rule='minLength')
        if "region" in data_keys:
            data_keys.remove("region")
            data__region = data["region"]
            if not isinstance(data__region, (str)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".region must be string", value=data__region, name="" + (name_prefix or "data") + ".region", definition={'type': 'string', 'minLength': 1}, rule='type')
            if isinstance(data__region, str):
                data__region_len = len(data__region)
                if data__region_len < 1:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".region must be longer than or equal to 1 characters", value=data__region, name="" + (name_prefix or "data") + ".region", definition={'type': 'string', 'minLength': 1}, rule='minLength')
        if "address" in data_keys:
            data_keys.remove("address")
            data__address = data["address"]
            if not isinstance(data__address, (str)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".address must be string", value=data__address, name="" + (name_prefix or "data") + ".address", definition={'type': 'string', 'pattern': '^[0-9a-fA-F.:]+$', 'description': 'IP number that peers and callers use.'}, rule='type')
            if isinstance(data__address, str):
                if not REGEX_PATTERNS['^[0-9a-fA-F.:]+$'].search(data__address):
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".address must match pattern ^[0-9a-fA-F.:]+$", value=data__address, name="" + (name_prefix or "data") + ".address", definition={'type': 'string', 'pattern': '^[0-9a-fA-F.:]+$', 'description': 'IP number that peers and callers use.'}, rule='pattern')
        if "advertise" in data_keys:
            data_keys.remove("advertise")
            data__advertise = data["advertise"]
            if not isinstance(data__advertise, (str)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".advertise must be string", value=data__advertise, name="" + (name_prefix or "data") + ".advertise", definition={'type': 'string', 'pattern': '^[0-9a-fA-F.:]+$', 'description': 'IP number that peers use instead, where it is mapped.'}, rule='type')
            if isinstance(data__advertise, str):
                if not REGEX_PATTERNS['^[0-9a-fA-F.:]+$'].search(data__advertise):
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".advertise must match pattern ^[0-9a-fA-F.:]+$", value=data__advertise, name="" + (name_prefix or "data") + ".advertise", definition={'type': 'string', 'pattern': '^[0-9a-fA-F.:]+$', 'description': 'IP number that peers use instead, where it is mapped.'}, rule='pattern')
        if "ports" in data_keys:
            data_keys.remove("ports")
            data__ports = data["ports"]
            if not isinstance(data__ports, (dict)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".ports must be object", value=data__ports, name="" + (name_prefix or "data") + ".ports", definition={'type': 'object', 'additionalProperties': False, 'required': ['callers', 'stream', 'gossip', 'admin'], 'properties': {'callers': {'oneOf': [{'type': 'integer', 'minimum': 1, 'maximum': 65535}, {'type': 'string', 'pattern': '^[0-9.]+:[0-9]{1,5}$', 'description': 'The port of ip:port.'}]}, 'stream': {'oneOf': [{'type': 'integer', 'minimum': 1, 'maximum': 65535}, {'type': 'string', 'pattern': '^[0-9.]+:[0-9]{1,5}$', 'description': 'The port of ip:port.'}]}, 'gossip': {'oneOf': [{'type': 'integer', 'minimum': 1, 'maximum': 65535}, {'type': 'string', 'pattern': '^[0-9.]+:[0-9]{1,5}$', 'description': 'The port of ip:port.'}]}, 'admin': {'oneOf': [{'type': 'integer', 'minimum': 1, 'maximum': 65535}, {'type': 'string', 'pattern': '^[0-9.]+:[0-9]{1,5}$', 'description': 'The port of ip:port.'}]}, 'metrics': {'oneOf': [{'type': 'integer', 'minimum': 1, 'maximum': 65535}, {'type': 'string', 'pattern': '^[0-9.]+:[0-9]{1,5}$', 'description': 'The port of ip:port.'}]}}}, rule='type')
            data__ports_is_dict = isinstance(data__ports, dict)
            if data__ports_is_dict:
                data__ports__missing_keys = set(['callers', 'stream', 'gossip', 'admin']) - data__ports.keys()
                if data__ports__missing_keys:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".ports must contain " + (str(sorted(data__ports__missing_keys)) + " properties"), value=data__ports, name="" + (name_prefix or "data") + ".ports", definition={'type': 'object', 'additionalProperties': False, 'required': ['callers', 'stream', 'gossip', 'admin'], 'properties': {'callers': {'oneOf': [{'type': 'integer', 'minimum': 1, 'maximum': 65535}, {'type': 'string', 'pattern': '^[0-9.]+:[0-9]{1,5}$', 'description': 'The port of ip:port.'}]}, 'stream': {'oneOf': [{'type': 'integer', 'minimum': 1, 'maximum': 65535}, {'type': 'string', 'pattern': '^[0-9.]+:[0-9]{1,5}$', 'description': 'The port of ip:port.'}]}, 'gossip': {'oneOf': [{'type': 'integer', 'minimum': 1, 'maximum': 65535}, {'type': 'string', 'pattern': '^[0-9.]+:[0-9]{1,5}$', 'description': 'The port of ip:port.'}]}, 'admin': {'oneOf': [{'type': 'integer', 'minimum': 1, 'maximum': 65535}, {'type': 'string', 'pattern': '^[0-9.]+:[0-9]{1,5}$', 'description': 'The port of ip:port.'}]}, 'metrics': {'oneOf': [{'type': 'integer', 'minimum': 1, 'maximum': 65535}, {'type': 'string', 'pattern': '^[0-9.]+:[0-9]{1,5}$', 'description': 'The port of ip:port.'}]}}}, rule='required')
                data__ports_keys = set(data__ports.keys())
                if "callers" in data__ports_keys:
                    data__ports_keys.remove("callers")
                    data__ports__callers = data__ports["callers"]
                    validate___definitions_port(data__ports__callers, custom_formats, (name_prefix or "data") + ".ports.callers")
                if "stream" in data__ports_keys:
                    data__ports_keys.remove("stream")
                    data__ports__stream = data__ports["stream"]
                    validate___definitions_port(data__ports__stream, custom_formats, (name_prefix or "data") + ".ports.stream")
                if "gossip" in data__ports_keys:
                    data__ports_keys.remove("gossip")
                    data__ports__gossip = data__ports["gossip"]
                    validate___definitions_port(data__ports__gossip, custom_formats, (name_prefix or "data") + ".ports.gossip")
                if "admin" in data__ports_keys:
                    data__ports_keys.remove("admin")
                    data__ports__admin = data__ports["admin"]
                    validate___definitions_port(data__ports__admin, custom_formats, (name_prefix or "data") + ".ports.admin")
                if "metrics" in data__ports_keys:
                    data__ports_keys.remove("metrics")
                    data__ports__metrics = data__ports["metrics"]
                    validate___definitions_port(data__ports__metrics, custom_formats, (name_prefix or "data") + ".ports.metrics")
                if data__ports_keys:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".ports must not contain "+str(data__ports_keys)+" properties", value=data__ports, name="" + (name_prefix or "data") + ".ports", definition={'type': 'object', 'additionalProperties': False, 'required': ['callers', 'stream', 'gossip', 'admin'], 'properties': {'callers': {'oneOf': [{'type': 'integer', 'minimum': 1, 'maximum': 65535}, {'type': 'string', 'pattern': '^[0-9.]+:[0-9]{1,5}$', 'description': 'The port of ip:port.'}]}, 'stream': {'oneOf': [{'type': 'integer', 'minimum': 1, 'maximum': 65535}, {'type': 'string', 'pattern': '^[0-9.]+:[0-9]{1,5}$', 'description': 'The port of ip:port.'}]}, 'gossip': {'oneOf': [{'type': 'integer', 'minimum': 1, 'maximum': 65535}, {'type': 'string', 'pattern': '^[0-9.]+:[0-9]{1,5}$', 'description': 'The port of ip:port.'}]}, 'admin': {'oneOf': [{'type': 'integer', 'minimum': 1, 'maximum': 65535}, {'type': 'string', 'pattern': '^[0-9.]+:[0-9]{1,5}$', 'description': 'The port of ip:port.'}]}, 'metrics': {'oneOf': [{'type': 'integer', 'minimum': 1, 'maximum': 65535}, {'type': 'string', 'pattern': '^[0-9.]+:[0-9]{1,5}$', 'description': 'The port of ip:port.'}]}}}, rule='additionalProperties')
        if "platform" in data_keys:
            data_keys.remove("platform")
            data__platform = data["platform"]
            if not isinstance(data__platform, (dict)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".platform must be object", value=data__platform, name="" + (name_prefix or "data") + ".platform", definition={'type': 'object', 'additionalProperties': False, 'required': ['url'], 'properties': {'url': {'type': 'string', 'pattern': '^http://[0-9a-fA-F.:\\[\\]]+$'}, 'readers_per_hall': {'type': 'integer', 'minimum': 1, 'maximum': 5, 'default': 2}, 'watch_s': {'type': 'number', 'minimum': 0.2, 'maximum': 60, 'default': 10}}}, rule='type')
            data__platform_is_dict = isinstance(data__platform, dict)
            if data__platform_is_dict:
                data__platform__missing_keys = set(['url']) - data__platform.keys()
                if data__platform__missing_keys:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".platform must contain " + (str(sorted(data__platform__missing_keys)) + " properties"), value=data__platform, name="" + (name_prefix or "data") + ".platform", definition={'type': 'object', 'additionalProperties': False, 'required': ['url'], 'properties': {'url': {'type': 'string', 'pattern': '^http://[0-9a-fA-F.:\\[\\]]+$'}, 'readers_per_hall': {'type': 'integer', 'minimum': 1, 'maximum': 5, 'default': 2}, 'watch_s': {'type': 'number', 'minimum': 0.2, 'maximum': 60, 'default': 10}}}, rule='required')
                data__platform_keys = set(data__platform.keys())
                if "url" in data__platform_keys:
                    data__platform_keys.remove("url")
                    data__platform__url = data__platform["url"]
                    if not isinstance(data__platform__url, (str)):
                        raise JsonSchemaValueException("" + (name_prefix or "data") + ".platform.url must be string", value=data__platform__url, name="" + (name_prefix or "data") + ".platform.url", definition={'type': 'string', 'pattern': '^http://[0-9a-fA-F.:\\[\\]]+$'}, rule='type')
                    if isinstance(data__platform__url, str):
                        if not REGEX_PATTERNS['^http://[0-9a-fA-F.:\\[\\]]+$'].search(data__platform__url):
                            raise JsonSchemaValueException("" + (name_prefix or "data") + ".platform.url must match pattern ^http://[0-9a-fA-F.:\\[\\]]+$", value=data__platform__url, name="" + (name_prefix or "data") + ".platform.url", definition={'type': 'string', 'pattern': '^http://[0-9a-fA-F.:\\[\\]]+$'}, rule='pattern')
                if "readers_per_hall" in data__platform_keys:
                    data__platform_keys.remove("readers_per_hall")
                    data__platform__readersperhall = data__platform["readers_per_hall"]
                    if not isinstance(data__platform__readersperhall, (int)) and not (isinstance(data__platform__readersperhall, float) and data__platform__readersperhall.is_integer()) or isinstance(data__platform__readersperhall, bool):
                        raise JsonSchemaValueException("" + (name_prefix or "data") + ".platform.readers_per_hall must be integer", value=data__platform__readersperhall, name="" + (name_prefix or "data") + ".platform.readers_per_hall", definition={'type': 'integer', 'minimum': 1, 'maximum': 5, 'default': 2}, rule='type')
                    if isinstance(data__platform__readersperhall, (int, float, Decimal)) and not isinstance(data__platform__readersperhall, bool):
                        if data__platform__readersperhall < 1:
                            raise JsonSchemaValueException("" + (name_prefix or "data") + ".platform.readers_per_hall must be bigger than or equal to 1", value=data__platform__readersperhall, name="" + (name_prefix or "data") + ".platform.readers_per_hall", definition={'type': 'integer', 'minimum': 1, 'maximum': 5, 'default': 2}, rule='minimum')
                        if data__platform__readersperhall > 5:
                            raise JsonSchemaValueException("" + (name_prefix or "data") + ".platform.readers_per_hall must be smaller than or equal to 5", value=data__platform__readersperhall, name="" + (name_prefix or "data") + ".platform.readers_per_hall", definition={'type': 'integer', 'minimum': 1, 'maximum': 5, 'default': 2}, rule='maximum')
                if "watch_s" in data__platform_keys:
                    data__platform_keys.remove("watch_s")
                    data__platform__watchs = data__platform["watch_s"]
                    if not isinstance(data__platform__watchs, (int, float, Decimal)) or isinstance(data__platform__watchs, bool):
                        raise JsonSchemaValueException("" + (name_prefix or "data") + ".platform.watch_s must be number", value=data__platform__watchs, name="" + (name_prefix or "data") + ".platform.watch_s", definition={'type': 'number', 'minimum': 0.2, 'maximum': 60, 'default': 10}, rule='type')
                    if isinstance(data__platform__watchs, (int, float, Decimal)) and not isinstance(data__platform__watchs, bool):
                        if data__platform__watchs < 0.2:
                            raise JsonSchemaValueException("" + (name_prefix or "data") + ".platform.watch_s must be bigger than or equal to 0.2", value=data__platform__watchs, name="" + (name_prefix or "data") + ".platform.watch_s", definition={'type': 'number', 'minimum': 0.2, 'maximum': 60, 'default': 10}, rule='minimum')
                        if data__platform__watchs > 60:
                            raise JsonSchemaValueException("" + (name_prefix or "data") + ".platform.watch_s must be smaller than or equal to 60", value=data__platform__watchs, name="" + (name_prefix or "data") + ".platform.watch_s", definition={'type': 'number', 'minimum': 0.2, 'maximum': 60, 'default': 10}, rule='maximum')
                if data__platform_keys:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".platform must not contain "+str(data__platform_keys)+" properties", value=data__platform, name="" + (name_prefix or "data") + ".platform", definition={'type': 'object', 'additionalProperties': False, 'required': ['url'], 'properties': {'url': {'type': 'string', 'pattern': '^http://[0-9a-fA-F.:\\[\\]]+$'}, 'readers_per_hall': {'type': 'integer', 'minimum': 1, 'maximum': 5, 'default': 2}, 'watch_s': {'type': 'number', 'minimum': 0.2, 'maximum': 60, 'default': 10}}}, rule='additionalProperties')
        if "store" in data_keys:
            data_keys.remove("store")
            data__store = data["store"]
            if not isinstance(data__store, (dict)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".store must be object", value=data__store, name="" + (name_prefix or "data") + ".store", definition={'type': 'object', 'description': "Read targets and configuration from the users' store instead of a manifest.", 'additionalProperties': False, 'required': ['address'], 'properties': {'address': {'type': 'string', 'pattern': '^[0-9.]+:[0-9]{1,5}$'}, 'floor_share': {'type': 'number', 'minimum': 0, 'maximum': 1, 'default': 0.7, 'description': "Share of a service's slots that stays in service whatever the evidence."}, 'retry_ratio': {'type': 'number', 'minimum': 0, 'maximum': 1, 'default': 0.1, 'description': 'Repeats a request that a service may get, over the whole fleet.'}, 'in_force_s': {'oneOf': [{'type': 'number', 'minimum': 0.5, 'maximum': 60}, {'type': 'string', 'pattern': '^[0-9]+([.][0-9]+)?(ms|s)$'}], 'default': 2, 'description': 'Time within which what the store took must be in force on every node: seconds, or text with a unit.'}, 'retry_slack': {'type': 'number', 'minimum': 0, 'default': 0, 'description': 'Repeats beyond that in each window, over the whole fleet.'}, 'retry_window_s': {'oneOf': [{'type': 'number', 'minimum': 1, 'maximum': 3600}, {'type': 'string', 'pattern': '^[0-9]+([.][0-9]+)?(ms|s)$'}], 'default': 10, 'description': 'Length of such a window: seconds, or text with a unit.'}, 'quota_window_s': {'oneOf': [{'type': 'number', 'minimum': 1, 'maximum': 3600}, {'type': 'string', 'pattern': '^[0-9]+([.][0-9]+)?(ms|s)$'}], 'default': 5, 'description': "Length of the windows in which customers' limits count: seconds, or text with a unit."}, 'quota_over': {'type': 'number', 'minimum': 0, 'maximum': 10, 'default': 0, 'description': "Share of a customer's limit that is borne beyond it in a window."}, 'quota_slack': {'type': 'number', 'minimum': 0, 'maximum': 1000000, 'default': 0, 'description': 'Requests in a window that are borne beyond that.'}, 'far_loss_per_kb': {'type': 'number', 'minimum': 0, 'maximum': 100, 'default': 0.1, 'description': 'What a kilobyte carried to another data hall costs, as a share of a lost request.'}, 'terms': {'type': 'array', 'maxItems': 64, 'items': {'type': 'string', 'maxLength': 64}, 'default': [], 'description': 'Terms of the deployment, as the users name them; unknown ones are ignored.'}, 'sharing': {'type': 'object', 'additionalProperties': False, 'description': 'Ways of sharing capacity under load that are on whatever the terms call for.', 'properties': {'room': {'type': 'boolean'}, 'queue': {'type': 'boolean'}, 'fair_shares': {'type': 'boolean'}, 'parents': {'type': 'boolean'}, 'fleet_repeats': {'type': 'boolean'}, 'streamed_bodies': {'type': 'boolean'}, 'vm_sizes': {'type': 'boolean'}, 'warm_up': {'type': 'boolean'}}}}}, rule='type')
            data__store_is_dict = isinstance(data__store, dict)
            if data__store_is_dict:
                data__store__missing_keys = set(['address']) - data__store.keys()
                if data__store__missing_keys:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".store must contain " + (str(sorted(data__store__missing_keys)) + " properties"), value=data__store, name="" + (name_prefix or "data") + ".store", definition={'type': 'object', 'description': "Read targets and configuration from the users' store instead of a manifest.", 'additionalProperties': False, 'required': ['address'], 'properties': {'address': {'type': 'string', 'pattern': '^[0-9.]+:[0-9]{1,5}$'}, 'floor_share': {'type': 'number', 'minimum': 0, 'maximum': 1, 'default': 0.7, 'description': "Share of a service's slots that stays in service whatever the evidence."}, 'retry_ratio': {'type': 'number', 'minimum': 0, 'maximum': 1, 'default': 0.1, 'description': 'Repeats a request that a service may get, over the whole fleet.'}, 'in_force_s': {'oneOf': [{'type': 'number', 'minimum': 0.5, 'maximum': 60}, {'type': 'string', 'pattern': '^[0-9]+([.][0-9]+)?(ms|s)$'}], 'default': 2, 'description': 'Time within which what the store took must be in force on every node: seconds, or text with a unit.'}, 'retry_slack': {'type': 'number', 'minimum': 0, 'default': 0, 'description': 'Repeats beyond that in each window, over the whole fleet.'}, 'retry_window_s': {'oneOf': [{'type': 'number', 'minimum': 1, 'maximum': 3600}, {'type': 'string', 'pattern': '^[0-9]+([.][0-9]+)?(ms|s)$'}], 'default': 10, 'description': 'Length of such a window: seconds, or text with a unit.'}, 'quota_window_s': {'oneOf': [{'type': 'number', 'minimum': 1, 'maximum': 3600}, {'type': 'string', 'pattern': '^[0-9]+([.][0-9]+)?(ms|s)$'}], 'default': 5, 'description': "Length of the windows in which customers' limits count: seconds, or text with a unit."}, 'quota_over': {'type': 'number', 'minimum': 0, 'maximum': 10, 'default': 0, 'description': "Share of a customer's limit that is borne beyond it in a window."}, 'quota_slack': {'type': 'number', 'minimum': 0, 'maximum': 1000000, 'default': 0, 'description': 'Requests in a window that are borne beyond that.'}, 'far_loss_per_kb': {'type': 'number', 'minimum': 0, 'maximum': 100, 'default': 0.1, 'description': 'What a kilobyte carried to another data hall costs, as a share of a lost request.'}, 'terms': {'type': 'array', 'maxItems': 64, 'items': {'type': 'string', 'maxLength': 64}, 'default': [], 'description': 'Terms of the deployment, as the users name them; unknown ones are ignored.'}, 'sharing': {'type': 'object', 'additionalProperties': False, 'description': 'Ways of sharing capacity under load that are on whatever the terms call for.', 'properties': {'room': {'type': 'boolean'}, 'queue': {'type': 'boolean'}, 'fair_shares': {'type': 'boolean'}, 'parents': {'type': 'boolean'}, 'fleet_repeats': {'type': 'boolean'}, 'streamed_bodies': {'type': 'boolean'}, 'vm_sizes': {'type': 'boolean'}, 'warm_up': {'type': 'boolean'}}}}}, rule='required')
                data__store_keys = set(data__store.keys())
                if "address" in data__store_keys:
                    data__store_keys.remove("address")
                    data__store__address = data__store["address"]
                    if not isinstance(data__store__address, (str)):
                        raise JsonSchemaValueException("" + (name_prefix or "data") + ".store.address must be string", value=data__store__address, name="" + (name_prefix or "data") + ".store.address", definition={'type': 'string', 'pattern': '^[0-9.]+:[0-9]{1,5}$'}, rule='type')
                    if isinstance(data__store__address, str):
                        if not REGEX_PATTERNS['^[0-9.]+:[0-9]{1,5}$'].search(data__store__address):
                            raise JsonSchemaValueException("" + (name_prefix or "data") + ".store.address must match pattern ^[0-9.]+:[0-9]{1,5}$", value=data__store__address, name="" + (name_prefix or "data") + ".store.address", definition={'type': 'string', 'pattern': '^[0-9.]+:[0-9]{1,5}$'}, rule='pattern')
                if "floor_share" in data__store_keys:
                    data__store_keys.remove("floor_share")
                    data__store__floorshare = data__store["floor_share"]
                    if not isinstance(data__store__floorshare, (int, float, Decimal)) or isinstance(data__store__floorshare, bool):
                        raise JsonSchemaValueException("" + (name_prefix or "data") + ".store.floor_share must be number", value=data__store__floorshare, name="" + (name_prefix or "data") + ".store.floor_share", definition={'type': 'number', 'minimum': 0, 'maximum': 1, 'default': 0.7, 'description': "Share of a service's slots that stays in service whatever the evidence."}, rule='type')
                    if isinstance(data__store__floorshare, (int, float, Decimal)) and not isinstance(data__store__floorshare, bool):
                        if data__store__floorshare < 0:
                            raise JsonSchemaValueException("" + (name_prefix or "data") + ".store.floor_share must be bigger than or equal to 0", value=data__store__floorshare, name="" + (name_prefix or "data") + ".store.floor_share", definition={'type': 'number', 'minimum': 0, 'maximum': 1, 'default': 0.7, 'description': "Share of a service's slots that stays in service whatever the evidence."}, rule='minimum')
                        if data__store__floorshare > 1:
                            raise JsonSchemaValueException("" + (name_prefix or "data") + ".store.floor_share must be smaller than or equal to 1", value=data__store__floorshare, name="" + (name_prefix or "data") + ".store.floor_share", definition={'type': 'number', 'minimum': 0, 'maximum': 1, 'default': 0.7, 'description': "Share of a service's slots that stays in service whatever the evidence."}, rule='maximum')
                if "retry_ratio" in data__store_keys:
                    data__store_keys.remove("retry_ratio")
                    data__store__retryratio = data__store["retry_ratio"]
                    if not isinstance(data__store__retryratio, (int, float, Decimal)) or isinstance(data__store__retryratio, bool):
                        raise JsonSchemaValueException("" + (name_prefix or "data") + ".store.retry_ratio must be number", value=data__store__retryratio, name="" + (name_prefix or "data") + ".store.retry_ratio", definition={'type': 'number', 'minimum': 0, 'maximum': 1, 'default': 0.1, 'description': 'Repeats a request that a service may get, over the whole fleet.'}, rule='type')
                    if isinstance(data__store__retryratio, (int, float, Decimal)) and not isinstance(data__store__retryratio, bool):
                        if data__store__retryratio < 0:
                            raise JsonSchemaValueException("" + (name_prefix or "data") + ".store.retry_ratio must be bigger than or equal to 0", value=data__store__retryratio, name="" + (name_prefix or "data") + ".store.retry_ratio", definition={'type': 'number', 'minimum': 0, 'maximum': 1, 'default': 0.1, 'description': 'Repeats a request that a service may get, over the whole fleet.'}, rule='minimum')
                        if data__store__retryratio > 1:
                            raise JsonSchemaValueException("" + (name_prefix or "data") + ".store.retry_ratio must be smaller than or equal to 1", value=data__store__retryratio, name="" + (name_prefix or "data") + ".store.retry_ratio", definition={'type': 'number', 'minimum': 0, 'maximum': 1, 'default': 0.1, 'description': 'Repeats a request that a service may get, over the whole fleet.'}, rule='maximum')
                if "in_force_s" in data__store_keys:
                    data__store_keys.remove("in_force_s")
                    data__store__inforces = data__store["in_force_s"]
                    data__store__inforces_one_of_count2 = 0
                    if data__store__inforces_one_of_count2 < 2:
                        try:
                            if not isinstance(data__store__inforces, (int, float, Decimal)) or isinstance(data__store__inforces, bool):
                                raise JsonSchemaValueException("" + (name_prefix or "data") + ".store.in_force_s must be number", value=data__store__inforces, name="" + (name_prefix or "data") + ".store.in_force_s", definition={'type': 'number', 'minimum': 0.5, 'maximum': 60}, rule='type')
                            if isinstance(data__store__inforces, (int, float, Decimal)) and not isinstance(data__store__inforces, bool):
                                if data__store__inforces < 0.5:
                                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".store.in_force_s must be bigger than or equal to 0.5", value=data__store__inforces, name="" + (name_prefix or "data") + ".store.in_force_s", definition={'type': 'number', 'minimum': 0.5, 'maximum': 60}, rule='minimum')
                                if data__store__inforces > 60:
                                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".store.in_force_s must be smaller than or equal to 60", value=data__store__inforces, name="" + (name_prefix or "data") + ".store.in_force_s", definition={'type': 'number', 'minimum': 0.5, 'maximum': 60}, rule='maximum')
                            data__store__inforces_one_of_count2 += 1
                        except (JsonSchemaValueException, JsonSchemaValuesException): pass
                    if data__store__inforces_one_of_count2 < 2:
                        try:
                            if not isinstance(data__store__inforces, (str)):
                                raise JsonSchemaValueException("" + (name_prefix or "data") + ".store.in_force_s must be string", value=data__store__inforces, name="" + (name_prefix or "data") + ".store.in_force_s", definition={'type': 'string', 'pattern': '^[0-9]+([.][0-9]+)?(ms|s)$'}, rule='type')
                            if isinstance(data__store__inforces, str):
                                if not REGEX_PATTERNS['^[0-9]+([.][0-9]+)?(ms|s)$'].search(data__store__inforces):
                                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".store.in_force_s must match pattern ^[0-9]+([.][0-9]+)?(ms|s)$", value=data__store__inforces, name="" + (name_prefix or "data") + ".store.in_force_s", definition={'type': 'string', 'pattern': '^[0-9]+([.][0-9]+)?(ms|s)$'}, rule='pattern')
                            data__store__inforces_one_of_count2 += 1
                        except (JsonSchemaValueException, JsonSchemaValuesException): pass
                    if data__store__inforces_one_of_count2 != 1:
                        raise JsonSchemaValueException("" + (name_prefix or "data") + ".store.in_force_s must be valid exactly by one definition" + (" (" + str(data__store__inforces_one_of_count2) + " matches found)"), value=data__store__inforces, name="" + (name_prefix or "data") + ".store.in_force_s", definition={'oneOf': [{'type': 'number', 'minimum': 0.5, 'maximum': 60}, {'type': 'string', 'pattern': '^[0-9]+([.][0-9]+)?(ms|s)$'}], 'default': 2, 'description': 'Time within which what the store took must be in force on every node: seconds, or text with a unit.'}, rule='oneOf')
                if "retry_slack" in data__store_keys:
                    data__store_keys.remove("retry_slack")
                    data__store__retryslack = data__store["retry_slack"]
                    if not isinstance(data__store__retryslack, (int, float, Decimal)) or isinstance(data__store__retryslack, bool):
                        raise JsonSchemaValueException("" + (name_prefix or "data") + ".store.retry_slack must be number", value=data__store__retryslack, name="" + (name_prefix or "data") + ".store.retry_slack", definition={'type': 'number', 'minimum': 0, 'default': 0, 'description': 'Repeats beyond that in each window, over the whole fleet.'}, rule='type')
                    if isinstance(data__store__retryslack, (int, float, Decimal)) and not isinstance(data__store__retryslack, bool):
                        if data__store__retryslack < 0:
                            raise JsonSchemaValueException("" + (name_prefix or "data") + ".store.retry_slack must be bigger than or equal to 0", value=data__store__retryslack, name="" + (name_prefix or "data") + ".store.retry_slack", definition={'type': 'number', 'minimum': 0, 'default': 0, 'description': 'Repeats beyond that in each window, over the whole fleet.'}, rule='minimum')
                if "retry_window_s" in data__store_keys:
                    data__store_keys.remove("retry_window_s")
                    data__store__retrywindows = data__store["retry_window_s"]
                    data__store__retrywindows_one_of_count3 = 0
                    if data__store__retrywindows_one_of_count3 < 2:
                        try:
                            if not isinstance(data__store__retrywindows, (int, float, Decimal)) or isinstance(data__store__retrywindows, bool):
                                raise JsonSchemaValueException("" + (name_prefix or "data") + ".store.retry_window_s must be number", value=data__store__retrywindows, name="" + (name_prefix or "data") + ".store.retry_window_s", definition={'type': 'number', 'minimum': 1, 'maximum': 3600}, rule='type')
                            if isinstance(data__store__retrywindows, (int, float, Decimal)) and not isinstance(data__store__retrywindows, bool):
                                if data__store__retrywindows < 1:
                                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".store.retry_window_s must be bigger than or equal to 1", value=data__store__retrywindows, name="" + (name_prefix or "data") + ".store.retry_window_s", definition={'type': 'number', 'minimum': 1, 'maximum': 3600}, rule='minimum')
                                if data__store__retrywindows > 3600:
                                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".store.retry_window_s must be smaller than or equal to 3600", value=data__store__retrywindows, name="" + (name_prefix or "data") + ".store.retry_window_s", definition={'type': 'number', 'minimum': 1, 'maximum': 3600}, rule='maximum')
                            data__store__retrywindows_one_of_count3 += 1
                        except (JsonSchemaValueException, JsonSchemaValuesException): pass
                    if data__store__retrywindows_one_of_count3 < 2:
                        try:
                            if not isinstance(data__store__retrywindows, (str)):
                                raise JsonSchemaValueException("" + (name_prefix or "data") + ".store.retry_window_s must be string", value=data__store__retrywindows, name="" + (name_prefix or "data") + ".store.retry_window_s", definition={'type': 'string', 'pattern': '^[0-9]+([.][0-9]+)?(ms|s)$'}, rule='type')
                            if isinstance(data__store__retrywindows, str):
                                if not REGEX_PATTERNS['^[0-9]+([.][0-9]+)?(ms|s)$'].search(data__store__retrywindows):
                                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".store.retry_window_s must match pattern ^[0-9]+([.][0-9]+)?(ms|s)$", value=data__store__retrywindows, name="" + (name_prefix or "data") + ".store.retry_window_s", definition={'type': 'string', 'pattern': '^[0-9]+([.][0-9]+)?(ms|s)$'}, rule='pattern')
                            data__store__retrywindows_one_of_count3 += 1
                        except (JsonSchemaValueException, JsonSchemaValuesException): pass
                    if data__store__retrywindows_one_of_count3 != 1:
                        raise JsonSchemaValueException("" + (name_prefix or "data") + ".store.retry_window_s must be valid exactly by one definition" + (" (" + str(data__store__retrywindows_one_of_count3) + " matches found)"), value=data__store__retrywindows, name="" + (name_prefix or "data") + ".store.retry_window_s", definition={'oneOf': [{'type': 'number', 'minimum': 1, 'maximum': 3600}, {'type': 'string', 'pattern': '^[0-9]+([.][0-9]+)?(ms|s)$'}], 'default': 10, 'description': 'Length of such a window: seconds, or text with a unit.'}, rule='oneOf')
                if "quota_window_s" in data__store_keys:
                    data__store_keys.remove("quota_window_s")
                    data__store__quotawindows = data__store["quota_window_s"]
                    data__store__quotawindows_one_of_count4 = 0
                    if data__store__quotawindows_one_of_count4 < 2:
                        try:
                            if not isinstance(data__store__quotawindows, (int, float, Decimal)) or isinstance(data__store__quotawindows, bool):
                                raise JsonSchemaValueException("" + (name_prefix or "data") + ".store.quota_window_s must be number", value=data__store__quotawindows, name="" + (name_prefix or "data") + ".store.quota_window_s", definition={'type': 'number', 'minimum': 1, 'maximum': 3600}, rule='type')
                            if isinstance(data__store__quotawindows, (int, float, Decimal)) and not isinstance(data__store__quotawindows, bool):
                                if data__store__quotawindows < 1:
                                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".store.quota_window_s must be bigger than or equal to 1", value=data__store__quotawindows, name="" + (name_prefix or "data") + ".store.quota_window_s", definition={'type': 'number', 'minimum': 1, 'maximum': 3600}, rule='minimum')
                                if data__store__quotawindows > 3600:
                                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".store.quota_window_s must be smaller than or equal to 3600", value=data__store__quotawindows, name="" + (name_prefix or "data") + ".store.quota_window_s", definition={'type': 'number', 'minimum': 1, 'maximum': 3600}, rule='maximum')
                            data__store__quotawindows_one_of_count4 += 1
                        except (JsonSchemaValueException, JsonSchemaValuesException): pass
                    if data__store__quotawindows_one_of_count4 < 2:
                        try:
                            if not isinstance(data__store__quotawindows, (str)):
                                raise JsonSchemaValueException("" + (name_prefix or "data") + ".store.quota_window_s must be string", value=data__store__quotawindows, name="" + (name_prefix or "data") + ".store.quota_window_s", definition={'type': 'string', 'pattern': '^[0-9]+([.][0-9]+)?(ms|s)$'}, rule='type')
                            if isinstance(data__store__quotawindows, str):
                                if not REGEX_PATTERNS['^[0-9]+([.][0-9]+)?(ms|s)$'].search(data__store__quotawindows):
                                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".store.quota_window_s must match pattern ^[0-9]+([.][0-9]+)?(ms|s)$", value=data__store__quotawindows, name="" + (name_prefix or "data") + ".store.quota_window_s", definition={'type': 'string', 'pattern': '^[0-9]+([.][0-9]+)?(ms|s)$'}, rule='pattern')
                            data__store__quotawindows_one_of_count4 += 1
                        except (JsonSchemaValueException, JsonSchemaValuesException): pass
                    if data__store__quotawindows_one_of_count4 != 1:
                        raise JsonSchemaValueException("" + (name_prefix or "data") + ".store.quota_window_s must be valid exactly by one definition" + (" (" + str(data__store__quotawindows_one_of_count4) + " matches found)"), value=data__store__quotawindows, name="" + (name_prefix or "data") + ".store.quota_window_s", definition={'oneOf': [{'type': 'number', 'minimum': 1, 'maximum': 3600}, {'type': 'string', 'pattern': '^[0-9]+([.][0-9]+)?(ms|s)$'}], 'default': 5, 'description': "Length of the windows in which customers' limits count: seconds, or text with a unit."}, rule='oneOf')
                if "quota_over" in data__store_keys:
                    data__store_keys.remove("quota_over")
                    data__store__quotaover = data__store["quota_over"]
                    if not isinstance(data__store__quotaover, (int, float, Decimal)) or isinstance(data__store__quotaover, bool):
                        raise JsonSchemaValueException("" + (name_prefix or "data") + ".store.quota_over must be number", value=data__store__quotaover, name="" + (name_prefix or "data") + ".store.quota_over", definition={'type': 'number', 'minimum': 0, 'maximum': 10, 'default': 0, 'description': "Share of a customer's limit that is borne beyond it in a window."}, rule='type')
                    if isinstance(data__store__quotaover, (int, float, Decimal)) and not isinstance(data__store__quotaover, bool):
                        if data__store__quotaover < 0:
                            raise JsonSchemaValueException("" + (name_prefix or "data") + ".store.quota_over must be bigger than or equal to 0", value=data__store__quotaover, name="" + (name_prefix or "data") + ".store.quota_over", definition={'type': 'number', 'minimum': 0, 'maximum': 10, 'default': 0, 'description': "Share of a customer's limit that is borne beyond it in a window."}, rule='minimum')
                        if data__store__quotaover > 10:
                            raise JsonSchemaValueException("" + (name_prefix or "data") + ".store.quota_over must be smaller than or equal to 10", value=data__store__quotaover, name="" + (name_prefix or "data") + ".store.quota_over", definition={'type': 'number', 'minimum': 0, 'maximum': 10, 'default': 0, 'description': "Share of a customer's limit that is borne beyond it in a window."}, rule='maximum')
                if "quota_slack" in data__store_keys:
                    data__store_keys.remove("quota_slack")
                    data__store__quotaslack = data__store["quota_slack"]
                    if not isinstance(data__store__quotaslack, (int, float, Decimal)) or isinstance(data__store__quotaslack, bool):
                        raise JsonSchemaValueException("" + (name_prefix or "data") + ".store.quota_slack must be number", value=data__store__quotaslack, name="" + (name_prefix or "data") + ".store.quota_slack", definition={'type': 'number', 'minimum': 0, 'maximum': 1000000, 'default': 0, 'description': 'Requests in a window that are borne beyond that.'}, rule='type')
                    if isinstance(data__store__quotaslack, (int, float, Decimal)) and not isinstance(data__store__quotaslack, bool):
                        if data__store__quotaslack < 0:
                            raise JsonSchemaValueException("" + (name_prefix or "data") + ".store.quota_slack must be bigger than or equal to 0", value=data__store__quotaslack, name="" + (name_prefix or "data") + ".store.quota_slack", definition={'type': 'number', 'minimum': 0, 'maximum': 1000000, 'default': 0, 'description': 'Requests in a window that are borne beyond that.'}, rule='minimum')
                        if data__store__quotaslack > 1000000:
                            raise JsonSchemaValueException("" + (name_prefix or "data") + ".store.quota_slack must be smaller than or equal to 1000000", value=data__store__quotaslack, name="" + (name_prefix or "data") + ".store.quota_slack", definition={'type': 'number', 'minimum': 0, 'maximum': 1000000, 'default': 0, 'description': 'Requests in a window that are borne beyond that.'}, rule='maximum')
                if "far_loss_per_kb" in data__store_keys:
                    data__store_keys.remove("far_loss_per_kb")
                    data__store__farlossperkb = data__store["far_loss_per_kb"]
                    if not isinstance(data__store__farlossperkb, (int, float, Decimal)) or isinstance(data__store__farlossperkb, bool):
                        raise JsonSchemaValueException("" + (name_prefix or "data") + ".store.far_loss_per_kb must be number", value=data__store__farlossperkb, name="" + (name_prefix or "data") + ".store.far_loss_per_kb", definition={'type': 'number', 'minimum': 0, 'maximum': 100, 'default': 0.1, 'description': 'What a kilobyte carried to another data hall costs, as a share of a lost request.'}, rule='type')
                    if isinstance(data__store__farlossperkb, (int, float, Decimal)) and not isinstance(data__store__farlossperkb, bool):
                        if data__store__farlossperkb < 0:
                            raise JsonSchemaValueException("" + (name_prefix or "data") + ".store.far_loss_per_kb must be bigger than or equal to 0", value=data__store__farlossperkb, name="" + (name_prefix or "data") + ".store.far_loss_per_kb", definition={'type': 'number', 'minimum': 0, 'maximum': 100, 'default': 0.1, 'description': 'What a kilobyte carried to another data hall costs, as a share of a lost request.'}, rule='minimum')
                        if data__store__farlossperkb > 100:
                            raise JsonSchemaValueException("" + (name_prefix or "data") + ".store.far_loss_per_kb must be smaller than or equal to 100", value=data__store__farlossperkb, name="" + (name_prefix or "data") + ".store.far_loss_per_kb", definition={'type': 'number', 'minimum': 0, 'maximum': 100, 'default': 0.1, 'description': 'What a kilobyte carried to another data hall costs, as a share of a lost request.'}, rule='maximum')
                if "terms" in data__store_keys:
                    data__store_keys.remove("terms")
                    data__store__terms = data__store["terms"]
                    if not isinstance(data__store__terms, (list, tuple)):
                        raise JsonSchemaValueException("" + (name_prefix or "data") + ".store.terms must be array", value=data__store__terms, name="" + (name_prefix or "data") + ".store.terms", definition={'type': 'array', 'maxItems': 64, 'items': {'type': 'string', 'maxLength': 64}, 'default': [], 'description': 'Terms of the deployment, as the users name them; unknown ones are ignored.'}, rule='type')
                    data__store__terms_is_list = isinstance(data__store__terms, (list, tuple))
                    if data__store__terms_is_list:
                        data__store__terms_len = len(data__store__terms)
                        if data__store__terms_len > 64:
                            raise JsonSchemaValueException("" + (name_prefix or "data") + ".store.terms must contain less than or equal to 64 items", value=data__store__terms, name="" + (name_prefix or "data") + ".store.terms", definition={'type': 'array', 'maxItems': 64, 'items': {'type': 'string', 'maxLength': 64}, 'default': [], 'description': 'Terms of the deployment, as the users name them; unknown ones are ignored.'}, rule='maxItems')
                        for data__store__terms_x, data__store__terms_item in enumerate(data__store__terms):
                            if not isinstance(data__store__terms_item, (str)):
                                raise JsonSchemaValueException("" + (name_prefix or "data") + ".store.terms[{data__store__terms_x}]".format(**locals()) + " must be string", value=data__store__terms_item, name="" + (name_prefix or "data") + ".store.terms[{data__store__terms_x}]".format(**locals()) + "", definition={'type': 'string', 'maxLength': 64}, rule='type')
                            if isinstance(data__store__terms_item, str):
                                data__store__terms_item_len = len(data__store__terms_item)
                                if data__store__terms_item_len > 64:
                                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".store.terms[{data__store__terms_x}]".format(**locals()) + " must be shorter than or equal to 64 characters", value=data__store__terms_item, name="" + (name_prefix or "data") + ".store.terms[{data__store__terms_x}]".format(**locals()) + "", definition={'type': 'string', 'maxLength': 64}, rule='maxLength')
                if "sharing" in data__store_keys:
                    data__store_keys.remove("sharing")
                    data__store__sharing = data__store["sharing"]
                    if not isinstance(data__store__sharing, (dict)):
                        raise JsonSchemaValueException("" + (name_prefix or "data") + ".store.sharing must be object", value=data__store__sharing, name="" + (name_prefix or "data") + ".store.sharing", definition={'type': 'object', 'additionalProperties': False, 'description': 'Ways of sharing capacity under load that are on whatever the terms call for.', 'properties': {'room': {'type': 'boolean'}, 'queue': {'type': 'boolean'}, 'fair_shares': {'type': 'boolean'}, 'parents': {'type': 'boolean'}, 'fleet_repeats': {'type': 'boolean'}, 'streamed_bodies': {'type': 'boolean'}, 'vm_sizes': {'type': 'boolean'}, 'warm_up': {'type': 'boolean'}}}, rule='type')
                    data__store__sharing_is_dict = isinstance(data__store__sharing, dict)
                    if data__store__sharing_is_dict:
                        data__store__sharing_keys = set(data__store__sharing.keys())
                        if "room" in data__store__sharing_keys:
                            data__store__sharing_keys.remove("room")
                            data__store__sharing__room = data__store__sharing["room"]
                            if not isinstance(data__store__sharing__room, (bool)):
                                raise JsonSchemaValueException("" + (name_prefix or "data") + ".store.sharing.room must be boolean", value=data__store__sharing__room, name="" + (name_prefix or "data") + ".store.sharing.room", definition={'type': 'boolean'}, rule='type')
                        if "queue" in data__store__sharing_keys:
                            data__store__sharing_keys.remove("queue")
                            data__store__sharing__queue = data__store__sharing["queue"]
                            if not isinstance(data__store__sharing__queue, (bool)):
                                raise JsonSchemaValueException("" + (name_prefix or "data") + ".store.sharing.queue must be boolean", value=data__store__sharing__queue, name="" + (name_prefix or "data") + ".store.sharing.queue", definition={'type': 'boolean'}, rule='type')
                        if "fair_shares" in data__store__sharing_keys:
                            data__store__sharing_keys.remove("fair_shares")
                            data__store__sharing__fairshares = data__store__sharing["fair_shares"]
                            if not isinstance(data__store__sharing__fairshares, (bool)):
                                raise JsonSchemaValueException("" + (name_prefix or "data") + ".store.sharing.fair_shares must be boolean", value=data__store__sharing__fairshares, name="" + (name_prefix or "data") + ".store.sharing.fair_shares", definition={'type': 'boolean'}, rule='type')
                        if "parents" in data__store__sharing_keys:
                            data__store__sharing_keys.remove("parents")
                            data__store__sharing__parents = data__store__sharing["parents"]
                            if not isinstance(data__store__sharing__parents, (bool)):
                                raise JsonSchemaValueException("" + (name_prefix or "data") + ".store.sharing.parents must be boolean", value=data__store__sharing__parents, name="" + (name_prefix or "data") + ".store.sharing.parents", definition={'type': 'boolean'}, rule='type')
                        if "fleet_repeats" in data__store__sharing_keys:
                            data__store__sharing_keys.remove("fleet_repeats")
                            data__store__sharing__fleetrepeats = data__store__sharing["fleet_repeats"]
                            if not isinstance(data__store__sharing__fleetrepeats, (bool)):
                                raise JsonSchemaValueException("" + (name_prefix or "data") + ".store.sharing.fleet_repeats must be boolean", value=data__store__sharing__fleetrepeats, name="" + (name_prefix or "data") + ".store.sharing.fleet_repeats", definition={'type': 'boolean'}, rule='type')
                        if "streamed_bodies" in data__store__sharing_keys:
                            data__store__sharing_keys.remove("streamed_bodies")
                            data__store__sharing__streamedbodies = data__store__sharing["streamed_bodies"]
                            if not isinstance(data__store__sharing__streamedbodies, (bool)):
                                raise JsonSchemaValueException("" + (name_prefix or "data") + ".store.sharing.streamed_bodies must be boolean", value=data__store__sharing__streamedbodies, name="" + (name_prefix or "data") + ".store.sharing.streamed_bodies", definition={'type': 'boolean'}, rule='type')
                        if "vm_sizes" in data__store__sharing_keys:
                            data__store__sharing_keys.remove("vm_sizes")
                            data__store__sharing__vmsizes = data__store__sharing["vm_sizes"]
                            if not isinstance(data__store__sharing__vmsizes, (bool)):
                                raise JsonSchemaValueException("" + (name_prefix or "data") + ".store.sharing.vm_sizes must be boolean", value=data__store__sharing__vmsizes, name="" + (name_prefix or "data") + ".store.sharing.vm_sizes", definition={'type': 'boolean'}, rule='type')
                        if "warm_up" in data__store__sharing_keys:
                            data__store__sharing_keys.remove("warm_up")
                            data__store__sharing__warmup = data__store__sharing["warm_up"]
                            if not isinstance(data__store__sharing__warmup, (bool)):
                                raise JsonSchemaValueException("" + (name_prefix or "data") + ".store.sharing.warm_up must be boolean", value=data__store__sharing__warmup, name="" + (name_prefix or "data") + ".store.sharing.warm_up", definition={'type': 'boolean'}, rule='type')
                        if data__store__sharing_keys:
                            raise JsonSchemaValueException("" + (name_prefix or "data") + ".store.sharing must not contain "+str(data__store__sharing_keys)+" properties", value=data__store__sharing, name="" + (name_prefix or "data") + ".store.sharing", definition={'type': 'object', 'additionalProperties': False, 'description': 'Ways of sharing capacity under load that are on whatever the terms call for.', 'properties': {'room': {'type': 'boolean'}, 'queue': {'type': 'boolean'}, 'fair_shares': {'type': 'boolean'}, 'parents': {'type': 'boolean'}, 'fleet_repeats': {'type': 'boolean'}, 'streamed_bodies': {'type': 'boolean'}, 'vm_sizes': {'type': 'boolean'}, 'warm_up': {'type': 'boolean'}}}, rule='additionalProperties')
                if data__store_keys:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".store must not contain "+str(data__store_keys)+" properties", value=data__store, name="" + (name_prefix or "data") + ".store", definition={'type': 'object', 'description': "Read targets and configuration from the users' store instead of a manifest.", 'additionalProperties': False, 'required': ['address'], 'properties': {'address': {'type': 'string', 'pattern': '^[0-9.]+:[0-9]{1,5}$'}, 'floor_share': {'type': 'number', 'minimum': 0, 'maximum': 1, 'default': 0.7, 'description': "Share of a service's slots that stays in service whatever the evidence."}, 'retry_ratio': {'type': 'number', 'minimum': 0, 'maximum': 1, 'default': 0.1, 'description': 'Repeats a request that a service may get, over the whole fleet.'}, 'in_force_s': {'oneOf': [{'type': 'number', 'minimum': 0.5, 'maximum': 60}, {'type': 'string', 'pattern': '^[0-9]+([.][0-9]+)?(ms|s)$'}], 'default': 2, 'description': 'Time within which what the store took must be in force on every node: seconds, or text with a unit.'}, 'retry_slack': {'type': 'number', 'minimum': 0, 'default': 0, 'description': 'Repeats beyond that in each window, over the whole fleet.'}, 'retry_window_s': {'oneOf': [{'type': 'number', 'minimum': 1, 'maximum': 3600}, {'type': 'string', 'pattern': '^[0-9]+([.][0-9]+)?(ms|s)$'}], 'default': 10, 'description': 'Length of such a window: seconds, or text with a unit.'}, 'quota_window_s': {'oneOf': [{'type': 'number', 'minimum': 1, 'maximum': 3600}, {'type': 'string', 'pattern': '^[0-9]+([.][0-9]+)?(ms|s)$'}], 'default': 5, 'description': "Length of the windows in which customers' limits count: seconds, or text with a unit."}, 'quota_over': {'type': 'number', 'minimum': 0, 'maximum': 10, 'default': 0, 'description': "Share of a customer's limit that is borne beyond it in a window."}, 'quota_slack': {'type': 'number', 'minimum': 0, 'maximum': 1000000, 'default': 0, 'description': 'Requests in a window that are borne beyond that.'}, 'far_loss_per_kb': {'type': 'number', 'minimum': 0, 'maximum': 100, 'default': 0.1, 'description': 'What a kilobyte carried to another data hall costs, as a share of a lost request.'}, 'terms': {'type': 'array', 'maxItems': 64, 'items': {'type': 'string', 'maxLength': 64}, 'default': [], 'description': 'Terms of the deployment, as the users name them; unknown ones are ignored.'}, 'sharing': {'type': 'object', 'additionalProperties': False, 'description': 'Ways of sharing capacity under load that are on whatever the terms call for.', 'properties': {'room': {'type': 'boolean'}, 'queue': {'type': 'boolean'}, 'fair_shares': {'type': 'boolean'}, 'parents': {'type': 'boolean'}, 'fleet_repeats': {'type': 'boolean'}, 'streamed_bodies': {'type': 'boolean'}, 'vm_sizes': {'type': 'boolean'}, 'warm_up': {'type': 'boolean'}}}}}, rule='additionalProperties')
        if "memory_mb" in data_keys:
            data_keys.remove("memory_mb")
            data__memorymb = data["memory_mb"]
            if not isinstance(data__memorymb, (int, float, Decimal)) or isinstance(data__memorymb, bool):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".memory_mb must be number", value=data__memorymb, name="" + (name_prefix or "data") + ".memory_mb", definition={'type': 'number', 'minimum': 0, 'maximum': 1048576, 'default': 0, 'description': 'Memory that this process may use in megabytes, 0 if unknown.'}, rule='type')
            if isinstance(data__memorymb, (int, float, Decimal)) and not isinstance(data__memorymb, bool):
                if data__memorymb < 0:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".memory_mb must be bigger than or equal to 0", value=data__memorymb, name="" + (name_prefix or "data") + ".memory_mb", definition={'type': 'number', 'minimum': 0, 'maximum': 1048576, 'default': 0, 'description': 'Memory that this process may use in megabytes, 0 if unknown.'}, rule='minimum')
                if data__memorymb > 1048576:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".memory_mb must be smaller than or equal to 1048576", value=data__memorymb, name="" + (name_prefix or "data") + ".memory_mb", definition={'type': 'number', 'minimum': 0, 'maximum': 1048576, 'default': 0, 'description': 'Memory that this process may use in megabytes, 0 if unknown.'}, rule='maximum')
        if "cores" in data_keys:
            data_keys.remove("cores")
            data__cores = data["cores"]
            if not isinstance(data__cores, (int, float, Decimal)) or isinstance(data__cores, bool):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".cores must be number", value=data__cores, name="" + (name_prefix or "data") + ".cores", definition={'type': 'number', 'minimum': 0, 'maximum': 4096, 'default': 0, 'description': 'Processor cores of the VM; 0 if unknown.'}, rule='type')
            if isinstance(data__cores, (int, float, Decimal)) and not isinstance(data__cores, bool):
                if data__cores < 0:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".cores must be bigger than or equal to 0", value=data__cores, name="" + (name_prefix or "data") + ".cores", definition={'type': 'number', 'minimum': 0, 'maximum': 4096, 'default': 0, 'description': 'Processor cores of the VM; 0 if unknown.'}, rule='minimum')
                if data__cores > 4096:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".cores must be smaller than or equal to 4096", value=data__cores, name="" + (name_prefix or "data") + ".cores", definition={'type': 'number', 'minimum': 0, 'maximum': 4096, 'default': 0, 'description': 'Processor cores of the VM; 0 if unknown.'}, rule='maximum')
        if "cpu_share" in data_keys:
            data_keys.remove("cpu_share")
            data__cpushare = data["cpu_share"]
            if not isinstance(data__cpushare, (int, float, Decimal)) or isinstance(data__cpushare, bool):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".cpu_share must be number", value=data__cpushare, name="" + (name_prefix or "data") + ".cpu_share", definition={'type': 'number', 'exclusiveMinimum': 0, 'maximum': 1, 'default': 1, 'description': 'Share of these cores that this process may use.'}, rule='type')
            if isinstance(data__cpushare, (int, float, Decimal)) and not isinstance(data__cpushare, bool):
                if data__cpushare > 1:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".cpu_share must be smaller than or equal to 1", value=data__cpushare, name="" + (name_prefix or "data") + ".cpu_share", definition={'type': 'number', 'exclusiveMinimum': 0, 'maximum': 1, 'default': 1, 'description': 'Share of these cores that this process may use.'}, rule='maximum')
                if data__cpushare <= 0:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".cpu_share must be bigger than 0", value=data__cpushare, name="" + (name_prefix or "data") + ".cpu_share", definition={'type': 'number', 'exclusiveMinimum': 0, 'maximum': 1, 'default': 1, 'description': 'Share of these cores that this process may use.'}, rule='exclusiveMinimum')
        if "origin_service" in data_keys:
            data_keys.remove("origin_service")
            data__originservice = data["origin_service"]
            if not isinstance(data__originservice, (str)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".origin_service must be string", value=data__originservice, name="" + (name_prefix or "data") + ".origin_service", definition={'type': 'string', 'default': '', 'description': "Service of the target beside this node, at which its callers' requests begin."}, rule='type')
        if "seeds" in data_keys:
            data_keys.remove("seeds")
            data__seeds = data["seeds"]
            if not isinstance(data__seeds, (list, tuple)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".seeds must be array", value=data__seeds, name="" + (name_prefix or "data") + ".seeds", definition={'type': 'array', 'default': [], 'maxItems': 64, 'items': {'type': 'string', 'pattern': '^[0-9.]+:[0-9]{1,5}$'}, 'description': 'Gossip addresses of peers to ask first, for when the platform is down.'}, rule='type')
            data__seeds_is_list = isinstance(data__seeds, (list, tuple))
            if data__seeds_is_list:
                data__seeds_len = len(data__seeds)
                if data__seeds_len > 64:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".seeds must contain less than or equal to 64 items", value=data__seeds, name="" + (name_prefix or "data") + ".seeds", definition={'type': 'array', 'default': [], 'maxItems': 64, 'items': {'type': 'string', 'pattern': '^[0-9.]+:[0-9]{1,5}$'}, 'description': 'Gossip addresses of peers to ask first, for when the platform is down.'}, rule='maxItems')
                for data__seeds_x, data__seeds_item in enumerate(data__seeds):
                    if not isinstance(data__seeds_item, (str)):
                        raise JsonSchemaValueException("" + (name_prefix or "data") + ".seeds[{data__seeds_x}]".format(**locals()) + " must be string", value=data__seeds_item, name="" + (name_prefix or "data") + ".seeds[{data__seeds_x}]".format(**locals()) + "", definition={'type': 'string', 'pattern': '^[0-9.]+:[0-9]{1,5}$'}, rule='type')
                    if isinstance(data__seeds_item, str):
                        if not REGEX_PATTERNS['^[0-9.]+:[0-9]{1,5}$'].search(data__seeds_item):
                            raise JsonSchemaValueException("" + (name_prefix or "data") + ".seeds[{data__seeds_x}]".format(**locals()) + " must match pattern ^[0-9.]+:[0-9]{1,5}$", value=data__seeds_item, name="" + (name_prefix or "data") + ".seeds[{data__seeds_x}]".format(**locals()) + "", definition={'type': 'string', 'pattern': '^[0-9.]+:[0-9]{1,5}$'}, rule='pattern')
        if "threads" in data_keys:
            data_keys.remove("threads")
            data__threads = data["threads"]
            if not isinstance(data__threads, (int)) and not (isinstance(data__threads, float) and data__threads.is_integer()) or isinstance(data__threads, bool):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".threads must be integer", value=data__threads, name="" + (name_prefix or "data") + ".threads", definition={'type': 'integer', 'minimum': 4, 'maximum': 512, 'default': 48, 'description': 'Has no effect any more: the ingress has a thread for each connection.'}, rule='type')
            if isinstance(data__threads, (int, float, Decimal)) and not isinstance(data__threads, bool):
                if data__threads < 4:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".threads must be bigger than or equal to 4", value=data__threads, name="" + (name_prefix or "data") + ".threads", definition={'type': 'integer', 'minimum': 4, 'maximum': 512, 'default': 48, 'description': 'Has no effect any more: the ingress has a thread for each connection.'}, rule='minimum')
                if data__threads > 512:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".threads must be smaller than or equal to 512", value=data__threads, name="" + (name_prefix or "data") + ".threads", definition={'type': 'integer', 'minimum': 4, 'maximum': 512, 'default': 48, 'description': 'Has no effect any more: the ingress has a thread for each connection.'}, rule='maximum')
        if "stop_limit_s" in data_keys:
            data_keys.remove("stop_limit_s")
            data__stoplimits = data["stop_limit_s"]
            data__stoplimits_one_of_count5 = 0
            if data__stoplimits_one_of_count5 < 2:
                try:
                    if not isinstance(data__stoplimits, (int, float, Decimal)) or isinstance(data__stoplimits, bool):
                        raise JsonSchemaValueException("" + (name_prefix or "data") + ".stop_limit_s must be number", value=data__stoplimits, name="" + (name_prefix or "data") + ".stop_limit_s", definition={'type': 'number', 'minimum': 1, 'maximum': 600}, rule='type')
                    if isinstance(data__stoplimits, (int, float, Decimal)) and not isinstance(data__stoplimits, bool):
                        if data__stoplimits < 1:
                            raise JsonSchemaValueException("" + (name_prefix or "data") + ".stop_limit_s must be bigger than or equal to 1", value=data__stoplimits, name="" + (name_prefix or "data") + ".stop_limit_s", definition={'type': 'number', 'minimum': 1, 'maximum': 600}, rule='minimum')
                        if data__stoplimits > 600:
                            raise JsonSchemaValueException("" + (name_prefix or "data") + ".stop_limit_s must be smaller than or equal to 600", value=data__stoplimits, name="" + (name_prefix or "data") + ".stop_limit_s", definition={'type': 'number', 'minimum': 1, 'maximum': 600}, rule='maximum')
                    data__stoplimits_one_of_count5 += 1
                except (JsonSchemaValueException, JsonSchemaValuesException): pass
            if data__stoplimits_one_of_count5 < 2:
                try:
                    if not isinstance(data__stoplimits, (str)):
                        raise JsonSchemaValueException("" + (name_prefix or "data") + ".stop_limit_s must be string", value=data__stoplimits, name="" + (name_prefix or "data") + ".stop_limit_s", definition={'type': 'string', 'pattern': '^[0-9]+([.][0-9]+)?(ms|s)$'}, rule='type')
                    if isinstance(data__stoplimits, str):
                        if not REGEX_PATTERNS['^[0-9]+([.][0-9]+)?(ms|s)$'].search(data__stoplimits):
                            raise JsonSchemaValueException("" + (name_prefix or "data") + ".stop_limit_s must match pattern ^[0-9]+([.][0-9]+)?(ms|s)$", value=data__stoplimits, name="" + (name_prefix or "data") + ".stop_limit_s", definition={'type': 'string', 'pattern': '^[0-9]+([.][0-9]+)?(ms|s)$'}, rule='pattern')
                    data__stoplimits_one_of_count5 += 1
                except (JsonSchemaValueException, JsonSchemaValuesException): pass
            if data__stoplimits_one_of_count5 != 1:
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".stop_limit_s must be valid exactly by one definition" + (" (" + str(data__stoplimits_one_of_count5) + " matches found)"), value=data__stoplimits, name="" + (name_prefix or "data") + ".stop_limit_s", definition={'oneOf': [{'type': 'number', 'minimum': 1, 'maximum': 600}, {'type': 'string', 'pattern': '^[0-9]+([.][0-9]+)?(ms|s)$'}], 'default': 30, 'description': 'Time from SIGTERM to the end: seconds, or text with a unit.'}, rule='oneOf')
        if "caller_header" in data_keys:
            data_keys.remove("caller_header")
            data__callerheader = data["caller_header"]
            if not isinstance(data__callerheader, (str)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".caller_header must be string", value=data__callerheader, name="" + (name_prefix or "data") + ".caller_header", definition={'type': 'string', 'default': 'Roadpass-Caller', 'description': 'Request header that names the caller.'}, rule='type')
        if "keys" in data_keys:
            data_keys.remove("keys")
            data__keys = data["keys"]
            if not isinstance(data__keys, (list, tuple)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".keys must be array", value=data__keys, name="" + (name_prefix or "data") + ".keys", definition={'type': 'array', 'maxItems': 2, 'default': [], 'items': {'type': 'string', 'minLength': 16}, 'description': 'Keys for peer traffic: the first signs, both are accepted.'}, rule='type')
            data__keys_is_list = isinstance(data__keys, (list, tuple))
            if data__keys_is_list:
                data__keys_len = len(data__keys)
                if data__keys_len > 2:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".keys must contain less than or equal to 2 items", value=data__keys, name="" + (name_prefix or "data") + ".keys", definition={'type': 'array', 'maxItems': 2, 'default': [], 'items': {'type': 'string', 'minLength': 16}, 'description': 'Keys for peer traffic: the first signs, both are accepted.'}, rule='maxItems')
                for data__keys_x, data__keys_item in enumerate(data__keys):
                    if not isinstance(data__keys_item, (str)):
                        raise JsonSchemaValueException("" + (name_prefix or "data") + ".keys[{data__keys_x}]".format(**locals()) + " must be string", value=data__keys_item, name="" + (name_prefix or "data") + ".keys[{data__keys_x}]".format(**locals()) + "", definition={'type': 'string', 'minLength': 16}, rule='type')
                    if isinstance(data__keys_item, str):
                        data__keys_item_len = len(data__keys_item)
                        if data__keys_item_len < 16:
                            raise JsonSchemaValueException("" + (name_prefix or "data") + ".keys[{data__keys_x}]".format(**locals()) + " must be longer than or equal to 16 characters", value=data__keys_item, name="" + (name_prefix or "data") + ".keys[{data__keys_x}]".format(**locals()) + "", definition={'type': 'string', 'minLength': 16}, rule='minLength')
        if "log" in data_keys:
            data_keys.remove("log")
            data__log = data["log"]
            if not isinstance(data__log, (dict)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".log must be object", value=data__log, name="" + (name_prefix or "data") + ".log", definition={'type': 'object', 'additionalProperties': False, 'properties': {'level': {'enum': ['debug', 'info', 'warning', 'error'], 'default': 'info'}, 'format': {'enum': ['text', 'json'], 'default': 'text'}}}, rule='type')
            data__log_is_dict = isinstance(data__log, dict)
            if data__log_is_dict:
                data__log_keys = set(data__log.keys())
                if "level" in data__log_keys:
                    data__log_keys.remove("level")
                    data__log__level = data__log["level"]
                    if not (isinstance(data__log__level, str) and data__log__level == 'debug' or isinstance(data__log__level, str) and data__log__level == 'info' or isinstance(data__log__level, str) and data__log__level == 'warning' or isinstance(data__log__level, str) and data__log__level == 'error'):
                        raise JsonSchemaValueException("" + (name_prefix or "data") + ".log.level must be one of ['debug', 'info', 'warning', 'error']", value=data__log__level, name="" + (name_prefix or "data") + ".log.level", definition={'enum': ['debug', 'info', 'warning', 'error'], 'default': 'info'}, rule='enum')
                if "format" in data__log_keys:
                    data__log_keys.remove("format")
                    data__log__format = data__log["format"]
                    if not (isinstance(data__log__format, str) and data__log__format == 'text' or isinstance(data__log__format, str) and data__log__format == 'json'):
                        raise JsonSchemaValueException("" + (name_prefix or "data") + ".log.format must be one of ['text', 'json']", value=data__log__format, name="" + (name_prefix or "data") + ".log.format", definition={'enum': ['text', 'json'], 'default': 'text'}, rule='enum')
                if data__log_keys:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".log must not contain "+str(data__log_keys)+" properties", value=data__log, name="" + (name_prefix or "data") + ".log", definition={'type': 'object', 'additionalProperties': False, 'properties': {'level': {'enum': ['debug', 'info', 'warning', 'error'], 'default': 'info'}, 'format': {'enum': ['text', 'json'], 'default': 'text'}}}, rule='additionalProperties')
        if data_keys:
            raise JsonSchemaValueException("" + (name_prefix or "data") + " must not contain "+str(data_keys)+" properties", value=data, name="" + (name_prefix or "data") + "", definition={'$schema': 'http://json-schema.org/draft-07/schema#', 'title': 'settings', 'description': 'Settings of one roadpassd process.', 'type': 'object', 'additionalProperties': False, 'required': ['vm', 'hall', 'region', 'address', 'ports'], 'oneOf': [{'required': ['platform']}, {'required': ['store']}], 'properties': {'vm': {'type': 'string', 'minLength': 1, 'description': "Name of this VM, as in the platform's VM list."}, 'hall': {'type': 'string', 'minLength': 1, 'description': 'Data hall of this VM.'}, 'region': {'type': 'string', 'minLength': 1}, 'address': {'type': 'string', 'pattern': '^[0-9a-fA-F.:]+$', 'description': 'IP number that peers and callers use.'}, 'advertise': {'type': 'string', 'pattern': '^[0-9a-fA-F.:]+$', 'description': 'IP number that peers use instead, where it is mapped.'}, 'ports': {'type': 'object', 'additionalProperties': False, 'required': ['callers', 'stream', 'gossip', 'admin'], 'properties': {'callers': {'oneOf': [{'type': 'integer', 'minimum': 1, 'maximum': 65535}, {'type': 'string', 'pattern': '^[0-9.]+:[0-9]{1,5}$', 'description': 'The port of ip:port.'}]}, 'stream': {'oneOf': [{'type': 'integer', 'minimum': 1, 'maximum': 65535}, {'type': 'string', 'pattern': '^[0-9.]+:[0-9]{1,5}$', 'description': 'The port of ip:port.'}]}, 'gossip': {'oneOf': [{'type': 'integer', 'minimum': 1, 'maximum': 65535}, {'type': 'string', 'pattern': '^[0-9.]+:[0-9]{1,5}$', 'description': 'The port of ip:port.'}]}, 'admin': {'oneOf': [{'type': 'integer', 'minimum': 1, 'maximum': 65535}, {'type': 'string', 'pattern': '^[0-9.]+:[0-9]{1,5}$', 'description': 'The port of ip:port.'}]}, 'metrics': {'oneOf': [{'type': 'integer', 'minimum': 1, 'maximum': 65535}, {'type': 'string', 'pattern': '^[0-9.]+:[0-9]{1,5}$', 'description': 'The port of ip:port.'}]}}}, 'platform': {'type': 'object', 'additionalProperties': False, 'required': ['url'], 'properties': {'url': {'type': 'string', 'pattern': '^http://[0-9a-fA-F.:\\[\\]]+$'}, 'readers_per_hall': {'type': 'integer', 'minimum': 1, 'maximum': 5, 'default': 2}, 'watch_s': {'type': 'number', 'minimum': 0.2, 'maximum': 60, 'default': 10}}}, 'store': {'type': 'object', 'description': "Read targets and configuration from the users' store instead of a manifest.", 'additionalProperties': False, 'required': ['address'], 'properties': {'address': {'type': 'string', 'pattern': '^[0-9.]+:[0-9]{1,5}$'}, 'floor_share': {'type': 'number', 'minimum': 0, 'maximum': 1, 'default': 0.7, 'description': "Share of a service's slots that stays in service whatever the evidence."}, 'retry_ratio': {'type': 'number', 'minimum': 0, 'maximum': 1, 'default': 0.1, 'description': 'Repeats a request that a service may get, over the whole fleet.'}, 'in_force_s': {'oneOf': [{'type': 'number', 'minimum': 0.5, 'maximum': 60}, {'type': 'string', 'pattern': '^[0-9]+([.][0-9]+)?(ms|s)$'}], 'default': 2, 'description': 'Time within which what the store took must be in force on every node: seconds, or text with a unit.'}, 'retry_slack': {'type': 'number', 'minimum': 0, 'default': 0, 'description': 'Repeats beyond that in each window, over the whole fleet.'}, 'retry_window_s': {'oneOf': [{'type': 'number', 'minimum': 1, 'maximum': 3600}, {'type': 'string', 'pattern': '^[0-9]+([.][0-9]+)?(ms|s)$'}], 'default': 10, 'description': 'Length of such a window: seconds, or text with a unit.'}, 'quota_window_s': {'oneOf': [{'type': 'number', 'minimum': 1, 'maximum': 3600}, {'type': 'string', 'pattern': '^[0-9]+([.][0-9]+)?(ms|s)$'}], 'default': 5, 'description': "Length of the windows in which customers' limits count: seconds, or text with a unit."}, 'quota_over': {'type': 'number', 'minimum': 0, 'maximum': 10, 'default': 0, 'description': "Share of a customer's limit that is borne beyond it in a window."}, 'quota_slack': {'type': 'number', 'minimum': 0, 'maximum': 1000000, 'default': 0, 'description': 'Requests in a window that are borne beyond that.'}, 'far_loss_per_kb': {'type': 'number', 'minimum': 0, 'maximum': 100, 'default': 0.1, 'description': 'What a kilobyte carried to another data hall costs, as a share of a lost request.'}, 'terms': {'type': 'array', 'maxItems': 64, 'items': {'type': 'string', 'maxLength': 64}, 'default': [], 'description': 'Terms of the deployment, as the users name them; unknown ones are ignored.'}, 'sharing': {'type': 'object', 'additionalProperties': False, 'description': 'Ways of sharing capacity under load that are on whatever the terms call for.', 'properties': {'room': {'type': 'boolean'}, 'queue': {'type': 'boolean'}, 'fair_shares': {'type': 'boolean'}, 'parents': {'type': 'boolean'}, 'fleet_repeats': {'type': 'boolean'}, 'streamed_bodies': {'type': 'boolean'}, 'vm_sizes': {'type': 'boolean'}, 'warm_up': {'type': 'boolean'}}}}}, 'memory_mb': {'type': 'number', 'minimum': 0, 'maximum': 1048576, 'default': 0, 'description': 'Memory that this process may use in megabytes, 0 if unknown.'}, 'cores': {'type': 'number', 'minimum': 0, 'maximum': 4096, 'default': 0, 'description': 'Processor cores of the VM; 0 if unknown.'}, 'cpu_share': {'type': 'number', 'exclusiveMinimum': 0, 'maximum': 1, 'default': 1, 'description': 'Share of these cores that this process may use.'}, 'origin_service': {'type': 'string', 'default': '', 'description': "Service of the target beside this node, at which its callers' requests begin."}, 'seeds': {'type': 'array', 'default': [], 'maxItems': 64, 'items': {'type': 'string', 'pattern': '^[0-9.]+:[0-9]{1,5}$'}, 'description': 'Gossip addresses of peers to ask first, for when the platform is down.'}, 'threads': {'type': 'integer', 'minimum': 4, 'maximum': 512, 'default': 48, 'description': 'Has no effect any more: the ingress has a thread for each connection.'}, 'stop_limit_s': {'oneOf': [{'type': 'number', 'minimum': 1, 'maximum': 600}, {'type': 'string', 'pattern': '^[0-9]+([.][0-9]+)?(ms|s)$'}], 'default': 30, 'description': 'Time from SIGTERM to the end: seconds, or text with a unit.'}, 'caller_header': {'type': 'string', 'default': 'Roadpass-Caller', 'description': 'Request header that names the caller.'}, 'keys': {'type': 'array', 'maxItems': 2, 'default': [], 'items': {'type': 'string', 'minLength': 16}, 'description': 'Keys for peer traffic: the first signs, both are accepted.'}, 'log': {'type': 'object', 'additionalProperties': False, 'properties': {'level': {'enum': ['debug', 'info', 'warning', 'error'], 'default': 'info'}, 'format': {'enum': ['text', 'json'], 'default': 'text'}}}}, 'definitions': {'port': {'oneOf': [{'type': 'integer', 'minimum': 1, 'maximum': 65535}, {'type': 'string', 'pattern': '^[0-9.]+:[0-9]{1,5}$', 'description': 'The port of ip:port.'}]}}}, rule='additionalProperties')
    return data

def validate___definitions_port(data, custom_formats={}, name_prefix=None):
    data_one_of_count6 = 0
    if data_one_of_count6 < 2:
        try:
            if not isinstance(data, (int)) and not (isinstance(data, float) and data.is_integer()) or isinstance(data, bool):
                raise JsonSchemaValueException("" + (name_prefix or "data") + " must be integer", value=data, name="" + (name_prefix or "data") + "", definition={'type': 'integer', 'minimum': 1, 'maximum': 65535}, rule='type')
            if isinstance(data, (int, float, Decimal)) and not isinstance(data, bool):
                if data < 1:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + " must be bigger than or equal to 1", value=data, name="" + (name_prefix or "data") + "", definition={'type': 'integer', 'minimum': 1, 'maximum': 65535}, rule='minimum')
                if data > 65535:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + " must be smaller than or equal to 65535", value=data, name="" + (name_prefix or "data") + "", definition={'type': 'integer', 'minimum': 1, 'maximum': 65535}, rule='maximum')
            data_one_of_count6 += 1
        except (JsonSchemaValueException, JsonSchemaValuesException): pass
    if data_one_of_count6 < 2:
        try:
            if not isinstance(data, (str)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + " must be string", value=data, name="" + (name_prefix or "data") + "", definition={'type': 'string', 'pattern': '^[0-9.]+:[0-9]{1,5}$', 'description': 'The port of ip:port.'}, rule='type')
            if isinstance(data, str):
                if not REGEX_PATTERNS['^[0-9.]+:[0-9]{1,5}$'].search(data):
                    raise JsonSchemaValueException("" + (name_prefix or "data") + " must match pattern ^[0-9.]+:[0-9]{1,5}$", value=data, name="" + (name_prefix or "data") + "", definition={'type': 'string', 'pattern': '^[0-9.]+:[0-9]{1,5}$', 'description': 'The port of ip:port.'}, rule='pattern')
            data_one_of_count6 += 1
        except (JsonSchemaValueException, JsonSchemaValuesException): pass
    if data_one_of_count6 != 1:
        raise JsonSchemaValueException("" + (name_prefix or "data") + " must be valid exactly by one definition" + (" (" + str(data_one_of_count6) + " matches found)"), value=data, name="" + (name_prefix or "data") + "", definition={'oneOf': [{'type': 'integer', 'minimum': 1, 'maximum': 65535}, {'type': 'string', 'pattern': '^[0-9.]+:[0-9]{1,5}$', 'description': 'The port of ip:port.'}]}, rule='oneOf')
    return data