VERSION = "2.22.3"
from decimal import Decimal
import re
from fastjsonschema import JsonSchemaValueException, JsonSchemaValuesException


REGEX_PATTERNS = {
    '^[0-9a-fA-F.:]+$': re.compile('^[0-9a-fA-F.:]+\\Z'),
    '^http://[0-9a-fA-F.:\\[\\]]+$': re.compile('^http://[0-9a-fA-F.:\\[\\]]+\\Z'),
    '^[0-9.]+:[0-9]{1,5}$': re.compile('^[0-9.]+:[0-9]{1,5}\\Z')
}

NoneType = type(None)

def validate(data, custom_formats={}, name_prefix=None):
    if not isinstance(data, (dict)):
        raise JsonSchemaValueException("" + (name_prefix or "data") + " must be object", value=data, name="" + (name_prefix or "data") + "", definition={'$schema': 'http://json-schema.org/draft-07/schema#', 'title': 'settings', 'description': 'Settings of one roadpassd process.', 'type': 'object', 'additionalProperties': False, 'required': ['vm', 'hall', 'region', 'address', 'ports', 'platform'], 'properties': {'vm': {'type': 'string', 'minLength': 1, 'description': "Name of this VM, as in the platform's VM list."}, 'hall': {'type': 'string', 'minLength': 1, 'description': 'Data hall of this VM.'}, 'region': {'type': 'string', 'minLength': 1}, 'address': {'type': 'string', 'pattern': '^[0-9a-fA-F.:]+$', 'description': 'IP number that peers and callers use.'}, 'advertise': {'type': 'string', 'pattern': '^[0-9a-fA-F.:]+$', 'description': 'IP number that peers use instead, where it is mapped.'}, 'ports': {'type': 'object', 'additionalProperties': False, 'required': ['callers', 'stream', 'gossip', 'admin'], 'properties': {'callers': {'type': 'integer', 'minimum': 1, 'maximum': 65535}, 'stream': {'type': 'integer', 'minimum': 1, 'maximum': 65535}, 'gossip': {'type': 'integer', 'minimum': 1, 'maximum': 65535}, 'admin': {'type': 'integer', 'minimum': 1, 'maximum': 65535}}}, 'platform': {'type': 'object', 'additionalProperties': False, 'required': ['url'], 'properties': {'url': {'type': 'string', 'pattern': '^http://[0-9a-fA-F.:\\[\\]]+$'}, 'readers_per_hall': {'type': 'integer', 'minimum': 1, 'maximum': 5, 'default': 2}, 'watch_s': {'type': 'number', 'minimum': 0.2, 'maximum': 60, 'default': 10}}}, 'seeds': {'type': 'array', 'default': [], 'maxItems': 64, 'items': {'type': 'string', 'pattern': '^[0-9.]+:[0-9]{1,5}$'}, 'description': 'Gossip addresses of peers to ask first, for when the platform is down.'}, 'threads': {'type': 'integer', 'minimum': 4, 'maximum': 512, 'default': 48, 'description': 'Worker threads of the ingress.'}, 'stop_limit_s': {'type': 'number', 'minimum': 1, 'maximum': 600, 'default': 30}, 'caller_header': {'type': 'string', 'default': 'Roadpass-Caller', 'description': 'Request header that names the caller.'}, 'keys': {'type': 'array', 'maxItems': 2, 'default': [], 'items': {'type': 'string', 'minLength': 16}, 'description': 'Keys for peer traffic: the first signs, both are accepted.'}, 'log': {'type': 'object', 'additionalProperties': False, 'properties': {'level': {'enum': ['debug', 'info', 'warning', 'error'], 'default': 'info'}, 'format': {'enum': ['text', 'json'], 'default': 'text'}}}}}, rule='type')
    data_is_dict = isinstance(data, dict)
    if data_is_dict:
        data__missing_keys = set(['vm', 'hall', 'region', 'address', 'ports', 'platform']) - data.keys()
        if data__missing_keys:
            raise JsonSchemaValueException("" + (name_prefix or "data") + " must contain " + (str(sorted(data__missing_keys)) + " properties"), value=data, name="" + (name_prefix or "data") + "", definition={'$schema': 'http://json-schema.org/draft-07/schema#', 'title': 'settings', 'description': 'Settings of one roadpassd process.', 'type': 'object', 'additionalProperties': False, 'required': ['vm', 'hall', 'region', 'address', 'ports', 'platform'], 'properties': {'vm': {'type': 'string', 'minLength': 1, 'description': "Name of this VM, as in the platform's VM list."}, 'hall': {'type': 'string', 'minLength': 1, 'description': 'Data hall of this VM.'}, 'region': {'type': 'string', 'minLength': 1}, 'address': {'type': 'string', 'pattern': '^[0-9a-fA-F.:]+$', 'description': 'IP number that peers and callers use.'}, 'advertise': {'type': 'string', 'pattern': '^[0-9a-fA-F.:]+$', 'description': 'IP number that peers use instead, where it is mapped.'}, 'ports': {'type': 'object', 'additionalProperties': False, 'required': ['callers', 'stream', 'gossip', 'admin'], 'properties': {'callers': {'type': 'integer', 'minimum': 1, 'maximum': 65535}, 'stream': {'type': 'integer', 'minimum': 1, 'maximum': 65535}, 'gossip': {'type': 'integer', 'minimum': 1, 'maximum': 65535}, 'admin': {'type': 'integer', 'minimum': 1, 'maximum': 65535}}}, 'platform': {'type': 'object', 'additionalProperties': False, 'required': ['url'], 'properties': {'url': {'type': 'string', 'pattern': '^http://[0-9a-fA-F.:\\[\\]]+$'}, 'readers_per_hall': {'type': 'integer', 'minimum': 1, 'maximum': 5, 'default': 2}, 'watch_s': {'type': 'number', 'minimum': 0.2, 'maximum': 60, 'default': 10}}}, 'seeds': {'type': 'array', 'default': [], 'maxItems': 64, 'items': {'type': 'string', 'pattern': '^[0-9.]+:[0-9]{1,5}$'}, 'description': 'Gossip addresses of peers to ask first, for when the platform is down.'}, 'threads': {'type': 'integer', 'minimum': 4, 'maximum': 512, 'default': 48, 'description': 'Worker threads of the ingress.'}, 'stop_limit_s': {'type': 'number', 'minimum': 1, 'maximum': 600, 'default': 30}, 'caller_header': {'type': 'string', 'default': 'Roadpass-Caller', 'description': 'Request header that names the caller.'}, 'keys': {'type': 'array', 'maxItems': 2, 'default': [], 'items': {'type': 'string', 'minLength': 16}, 'description': 'Keys for peer traffic: the first signs, both are accepted.'}, 'log': {'type': 'object', 'additionalProperties': False, 'properties': {'level': {'enum': ['debug', 'info', 'warning', 'error'], 'default': 'info'}, 'format': {'enum': ['text', 'json'], 'default': 'text'}}}}}, rule='required')
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
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".ports must be object", value=data__ports, name="" + (name_prefix or "data") + ".ports", definition={'type': 'object', 'additionalProperties': False, 'required': ['callers', 'stream', 'gossip', 'admin'], 'properties': {'callers': {'type': 'integer', 'minimum': 1, 'maximum': 65535}, 'stream': {'type': 'integer', 'minimum': 1, 'maximum': 65535}, 'gossip': {'type': 'integer', 'minimum': 1, 'maximum': 65535}, 'admin': {'type': 'integer', 'minimum': 1, 'maximum': 65535}}}, rule='type')
            data__ports_is_dict = isinstance(data__ports, dict)
            if data__ports_is_dict:
                data__ports__missing_keys = set(['callers', 'stream', 'gossip', 'admin']) - data__ports.keys()
                if data__ports__missing_keys:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".ports must contain " + (str(sorted(data__ports__missing_keys)) + " properties"), value=data__ports, name="" + (name_prefix or "data") + ".ports", definition={'type': 'object', 'additionalProperties': False, 'required': ['callers', 'stream', 'gossip', 'admin'], 'properties': {'callers': {'type': 'integer', 'minimum': 1, 'maximum': 65535}, 'stream': {'type': 'integer', 'minimum': 1, 'maximum': 65535}, 'gossip': {'type': 'integer', 'minimum': 1, 'maximum': 65535}, 'admin': {'type': 'integer', 'minimum': 1, 'maximum': 65535}}}, rule='required')
                data__ports_keys = set(data__ports.keys())
                if "callers" in data__ports_keys:
                    data__ports_keys.remove("callers")
                    data__ports__callers = data__ports["callers"]
                    if not isinstance(data__ports__callers, (int)) and not (isinstance(data__ports__callers, float) and data__ports__callers.is_integer()) or isinstance(data__ports__callers, bool):
                        raise JsonSchemaValueException("" + (name_prefix or "data") + ".ports.callers must be integer", value=data__ports__callers, name="" + (name_prefix or "data") + ".ports.callers", definition={'type': 'integer', 'minimum': 1, 'maximum': 65535}, rule='type')
                    if isinstance(data__ports__callers, (int, float, Decimal)) and not isinstance(data__ports__callers, bool):
                        if data__ports__callers < 1:
                            raise JsonSchemaValueException("" + (name_prefix or "data") + ".ports.callers must be bigger than or equal to 1", value=data__ports__callers, name="" + (name_prefix or "data") + ".ports.callers", definition={'type': 'integer', 'minimum': 1, 'maximum': 65535}, rule='minimum')
                        if data__ports__callers > 65535:
                            raise JsonSchemaValueException("" + (name_prefix or "data") + ".ports.callers must be smaller than or equal to 65535", value=data__ports__callers, name="" + (name_prefix or "data") + ".ports.callers", definition={'type': 'integer', 'minimum': 1, 'maximum': 65535}, rule='maximum')
                if "stream" in data__ports_keys:
                    data__ports_keys.remove("stream")
                    data__ports__stream = data__ports["stream"]
                    if not isinstance(data__ports__stream, (int)) and not (isinstance(data__ports__stream, float) and data__ports__stream.is_integer()) or isinstance(data__ports__stream, bool):
                        raise JsonSchemaValueException("" + (name_prefix or "data") + ".ports.stream must be integer", value=data__ports__stream, name="" + (name_prefix or "data") + ".ports.stream", definition={'type': 'integer', 'minimum': 1, 'maximum': 65535}, rule='type')
                    if isinstance(data__ports__stream, (int, float, Decimal)) and not isinstance(data__ports__stream, bool):
                        if data__ports__stream < 1:
                            raise JsonSchemaValueException("" + (name_prefix or "data") + ".ports.stream must be bigger than or equal to 1", value=data__ports__stream, name="" + (name_prefix or "data") + ".ports.stream", definition={'type': 'integer', 'minimum': 1, 'maximum': 65535}, rule='minimum')
                        if data__ports__stream > 65535:
                            raise JsonSchemaValueException("" + (name_prefix or "data") + ".ports.stream must be smaller than or equal to 65535", value=data__ports__stream, name="" + (name_prefix or "data") + ".ports.stream", definition={'type': 'integer', 'minimum': 1, 'maximum': 65535}, rule='maximum')
                if "gossip" in data__ports_keys:
                    data__ports_keys.remove("gossip")
                    data__ports__gossip = data__ports["gossip"]
                    if not isinstance(data__ports__gossip, (int)) and not (isinstance(data__ports__gossip, float) and data__ports__gossip.is_integer()) or isinstance(data__ports__gossip, bool):
                        raise JsonSchemaValueException("" + (name_prefix or "data") + ".ports.gossip must be integer", value=data__ports__gossip, name="" + (name_prefix or "data") + ".ports.gossip", definition={'type': 'integer', 'minimum': 1, 'maximum': 65535}, rule='type')
                    if isinstance(data__ports__gossip, (int, float, Decimal)) and not isinstance(data__ports__gossip, bool):
                        if data__ports__gossip < 1:
                            raise JsonSchemaValueException("" + (name_prefix or "data") + ".ports.gossip must be bigger than or equal to 1", value=data__ports__gossip, name="" + (name_prefix or "data") + ".ports.gossip", definition={'type': 'integer', 'minimum': 1, 'maximum': 65535}, rule='minimum')
                        if data__ports__gossip > 65535:
                            raise JsonSchemaValueException("" + (name_prefix or "data") + ".ports.gossip must be smaller than or equal to 65535", value=data__ports__gossip, name="" + (name_prefix or "data") + ".ports.gossip", definition={'type': 'integer', 'minimum': 1, 'maximum': 65535}, rule='maximum')
                if "admin" in data__ports_keys:
                    data__ports_keys.remove("admin")
                    data__ports__admin = data__ports["admin"]
                    if not isinstance(data__ports__admin, (int)) and not (isinstance(data__ports__admin, float) and data__ports__admin.is_integer()) or isinstance(data__ports__admin, bool):
                        raise JsonSchemaValueException("" + (name_prefix or "data") + ".ports.admin must be integer", value=data__ports__admin, name="" + (name_prefix or "data") + ".ports.admin", definition={'type': 'integer', 'minimum': 1, 'maximum': 65535}, rule='type')
                    if isinstance(data__ports__admin, (int, float, Decimal)) and not isinstance(data__ports__admin, bool):
                        if data__ports__admin < 1:
                            raise JsonSchemaValueException("" + (name_prefix or "data") + ".ports.admin must be bigger than or equal to 1", value=data__ports__admin, name="" + (name_prefix or "data") + ".ports.admin", definition={'type': 'integer', 'minimum': 1, 'maximum': 65535}, rule='minimum')
                        if data__ports__admin > 65535:
                            raise JsonSchemaValueException("" + (name_prefix or "data") + ".ports.admin must be smaller than or equal to 65535", value=data__ports__admin, name="" + (name_prefix or "data") + ".ports.admin", definition={'type': 'integer', 'minimum': 1, 'maximum': 65535}, rule='maximum')
                if data__ports_keys:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".ports must not contain "+str(data__ports_keys)+" properties", value=data__ports, name="" + (name_prefix or "data") + ".ports", definition={'type': 'object', 'additionalProperties': False, 'required': ['callers', 'stream', 'gossip', 'admin'], 'properties': {'callers': {'type': 'integer', 'minimum': 1, 'maximum': 65535}, 'stream': {'type': 'integer', 'minimum': 1, 'maximum': 65535}, 'gossip': {'type': 'integer', 'minimum': 1, 'maximum': 65535}, 'admin': {'type': 'integer', 'minimum': 1, 'maximum': 65535}}}, rule='additionalProperties')
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
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".threads must be integer", value=data__threads, name="" + (name_prefix or "data") + ".threads", definition={'type': 'integer', 'minimum': 4, 'maximum': 512, 'default': 48, 'description': 'Worker threads of the ingress.'}, rule='type')
            if isinstance(data__threads, (int, float, Decimal)) and not isinstance(data__threads, bool):
                if data__threads < 4:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".threads must be bigger than or equal to 4", value=data__threads, name="" + (name_prefix or "data") + ".threads", definition={'type': 'integer', 'minimum': 4, 'maximum': 512, 'default': 48, 'description': 'Worker threads of the ingress.'}, rule='minimum')
                if data__threads > 512:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".threads must be smaller than or equal to 512", value=data__threads, name="" + (name_prefix or "data") + ".threads", definition={'type': 'integer', 'minimum': 4, 'maximum': 512, 'default': 48, 'description': 'Worker threads of the ingress.'}, rule='maximum')
        if "stop_limit_s" in data_keys:
            data_keys.remove("stop_limit_s")
            data__stoplimits = data["stop_limit_s"]
            if not isinstance(data__stoplimits, (int, float, Decimal)) or isinstance(data__stoplimits, bool):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".stop_limit_s must be number", value=data__stoplimits, name="" + (name_prefix or "data") + ".stop_limit_s", definition={'type': 'number', 'minimum': 1, 'maximum': 600, 'default': 30}, rule='type')
            if isinstance(data__stoplimits, (int, float, Decimal)) and not isinstance(data__stoplimits, bool):
                if data__stoplimits < 1:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".stop_limit_s must be bigger than or equal to 1", value=data__stoplimits, name="" + (name_prefix or "data") + ".stop_limit_s", definition={'type': 'number', 'minimum': 1, 'maximum': 600, 'default': 30}, rule='minimum')
                if data__stoplimits > 600:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".stop_limit_s must be smaller than or equal to 600", value=data__stoplimits, name="" + (name_prefix or "data") + ".stop_limit_s", definition={'type': 'number', 'minimum': 1, 'maximum': 600, 'default': 30}, rule='maximum')
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
            raise JsonSchemaValueException("" + (name_prefix or "data") + " must not contain "+str(data_keys)+" properties", value=data, name="" + (name_prefix or "data") + "", definition={'$schema': 'http://json-schema.org/draft-07/schema#', 'title': 'settings', 'description': 'Settings of one roadpassd process.', 'type': 'object', 'additionalProperties': False, 'required': ['vm', 'hall', 'region', 'address', 'ports', 'platform'], 'properties': {'vm': {'type': 'string', 'minLength': 1, 'description': "Name of this VM, as in the platform's VM list."}, 'hall': {'type': 'string', 'minLength': 1, 'description': 'Data hall of this VM.'}, 'region': {'type': 'string', 'minLength': 1}, 'address': {'type': 'string', 'pattern': '^[0-9a-fA-F.:]+$', 'description': 'IP number that peers and callers use.'}, 'advertise': {'type': 'string', 'pattern': '^[0-9a-fA-F.:]+$', 'description': 'IP number that peers use instead, where it is mapped.'}, 'ports': {'type': 'object', 'additionalProperties': False, 'required': ['callers', 'stream', 'gossip', 'admin'], 'properties': {'callers': {'type': 'integer', 'minimum': 1, 'maximum': 65535}, 'stream': {'type': 'integer', 'minimum': 1, 'maximum': 65535}, 'gossip': {'type': 'integer', 'minimum': 1, 'maximum': 65535}, 'admin': {'type': 'integer', 'minimum': 1, 'maximum': 65535}}}, 'platform': {'type': 'object', 'additionalProperties': False, 'required': ['url'], 'properties': {'url': {'type': 'string', 'pattern': '^http://[0-9a-fA-F.:\\[\\]]+$'}, 'readers_per_hall': {'type': 'integer', 'minimum': 1, 'maximum': 5, 'default': 2}, 'watch_s': {'type': 'number', 'minimum': 0.2, 'maximum': 60, 'default': 10}}}, 'seeds': {'type': 'array', 'default': [], 'maxItems': 64, 'items': {'type': 'string', 'pattern': '^[0-9.]+:[0-9]{1,5}$'}, 'description': 'Gossip addresses of peers to ask first, for when the platform is down.'}, 'threads': {'type': 'integer', 'minimum': 4, 'maximum': 512, 'default': 48, 'description': 'Worker threads of the ingress.'}, 'stop_limit_s': {'type': 'number', 'minimum': 1, 'maximum': 600, 'default': 30}, 'caller_header': {'type': 'string', 'default': 'Roadpass-Caller', 'description': 'Request header that names the caller.'}, 'keys': {'type': 'array', 'maxItems': 2, 'default': [], 'items': {'type': 'string', 'minLength': 16}, 'description': 'Keys for peer traffic: the first signs, both are accepted.'}, 'log': {'type': 'object', 'additionalProperties': False, 'properties': {'level': {'enum': ['debug', 'info', 'warning', 'error'], 'default': 'info'}, 'format': {'enum': ['text', 'json'], 'default': 'text'}}}}}, rule='additionalProperties')
    return data