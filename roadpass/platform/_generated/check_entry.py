VERSION = "2.22.3"
from decimal import Decimal
import re
from fastjsonschema import JsonSchemaValueException, JsonSchemaValuesException


REGEX_PATTERNS = {
    '^(?:(?:25[0-5]|2[0-4][0-9]|1[0-9][0-9]|[1-9]?[0-9])\\.){3}(?:25[0-5]|2[0-4][0-9]|1[0-9][0-9]|[1-9]?[0-9]):(?:[1-9][0-9]{0,3}|[1-5][0-9]{4}|6[0-4][0-9]{3}|65[0-4][0-9]{2}|655[0-2][0-9]|6553[0-5])\\Z': re.compile('^(?:(?:25[0-5]|2[0-4][0-9]|1[0-9][0-9]|[1-9]?[0-9])\\.){3}(?:25[0-5]|2[0-4][0-9]|1[0-9][0-9]|[1-9]?[0-9]):(?:[1-9][0-9]{0,3}|[1-5][0-9]{4}|6[0-4][0-9]{3}|65[0-4][0-9]{2}|655[0-2][0-9]|6553[0-5])\\Z'),
    '^[^\\u0000-\\u001f\\u007f]+\\Z': re.compile('^[^\\u0000-\\u001f\\u007f]+\\Z')
}

NoneType = type(None)

def validate(data, custom_formats={}, name_prefix=None):
    if not isinstance(data, (dict)):
        raise JsonSchemaValueException("" + (name_prefix or "data") + " must be object", value=data, name="" + (name_prefix or "data") + "", definition={'$schema': 'http://json-schema.org/draft-07/schema#', 'title': 'target entry', 'description': 'What a target records of itself in the store, as far as it is read. Others may write there too.', 'type': 'object', 'required': ['Address', 'Info', 'Status'], 'properties': {'Address': {'type': 'string', 'description': 'IPv4 number and port; an address that no target can have is refused here, not at the first connection.', 'pattern': '^(?:(?:25[0-5]|2[0-4][0-9]|1[0-9][0-9]|[1-9]?[0-9])\\.){3}(?:25[0-5]|2[0-4][0-9]|1[0-9][0-9]|[1-9]?[0-9]):(?:[1-9][0-9]{0,3}|[1-5][0-9]{4}|6[0-4][0-9]{3}|65[0-4][0-9]{2}|655[0-2][0-9]|6553[0-5])\\Z'}, 'Info': {'type': 'object', 'required': ['Service', 'Zone', 'Capacity'], 'properties': {'Service': {'type': 'string', 'minLength': 1, 'maxLength': 200, 'pattern': '^[^\\u0000-\\u001f\\u007f]+\\Z'}, 'Version': {'type': 'string', 'description': 'Of its software; decides nothing.'}, 'Zone': {'type': 'string', 'minLength': 1, 'maxLength': 200, 'pattern': '^[^\\u0000-\\u001f\\u007f]+\\Z'}, 'Capacity': {'type': 'integer', 'minimum': 1, 'maximum': 10000, 'description': "Requests at a time. A target takes some thousand connections; a greater number would lift its service's floor beyond reach."}}}, 'born': {'type': 'integer', 'minimum': 0, 'maximum': 9223372036854775807, 'description': "Unix millisecond of the target's start, which tells apart the starts under one id."}, 'Status': {'type': 'object', 'required': ['State'], 'properties': {'State': {'enum': ['ready', 'draining']}, 'Sequence': {'type': 'integer', 'minimum': 0, 'description': 'Decides nothing.'}, 'WarmupLeft': {'description': 'Time for which the target is still cold, such as 1500ms. One that cannot be is ignored, with a log line.'}}}}, 'definitions': {'name': {'type': 'string', 'minLength': 1, 'maxLength': 200, 'pattern': '^[^\\u0000-\\u001f\\u007f]+\\Z'}}}, rule='type')
    data_is_dict = isinstance(data, dict)
    if data_is_dict:
        data__missing_keys = set(['Address', 'Info', 'Status']) - data.keys()
        if data__missing_keys:
            raise JsonSchemaValueException("" + (name_prefix or "data") + " must contain " + (str(sorted(data__missing_keys)) + " properties"), value=data, name="" + (name_prefix or "data") + "", definition={'$schema': 'http://json-schema.org/draft-07/schema#', 'title': 'target entry', 'description': 'What a target records of itself in the store, as far as it is read. Others may write there too.', 'type': 'object', 'required': ['Address', 'Info', 'Status'], 'properties': {'Address': {'type': 'string', 'description': 'IPv4 number and port; an address that no target can have is refused here, not at the first connection.', 'pattern': '^(?:(?:25[0-5]|2[0-4][0-9]|1[0-9][0-9]|[1-9]?[0-9])\\.){3}(?:25[0-5]|2[0-4][0-9]|1[0-9][0-9]|[1-9]?[0-9]):(?:[1-9][0-9]{0,3}|[1-5][0-9]{4}|6[0-4][0-9]{3}|65[0-4][0-9]{2}|655[0-2][0-9]|6553[0-5])\\Z'}, 'Info': {'type': 'object', 'required': ['Service', 'Zone', 'Capacity'], 'properties': {'Service': {'type': 'string', 'minLength': 1, 'maxLength': 200, 'pattern': '^[^\\u0000-\\u001f\\u007f]+\\Z'}, 'Version': {'type': 'string', 'description': 'Of its software; decides nothing.'}, 'Zone': {'type': 'string', 'minLength': 1, 'maxLength': 200, 'pattern': '^[^\\u0000-\\u001f\\u007f]+\\Z'}, 'Capacity': {'type': 'integer', 'minimum': 1, 'maximum': 10000, 'description': "Requests at a time. A target takes some thousand connections; a greater number would lift its service's floor beyond reach."}}}, 'born': {'type': 'integer', 'minimum': 0, 'maximum': 9223372036854775807, 'description': "Unix millisecond of the target's start, which tells apart the starts under one id."}, 'Status': {'type': 'object', 'required': ['State'], 'properties': {'State': {'enum': ['ready', 'draining']}, 'Sequence': {'type': 'integer', 'minimum': 0, 'description': 'Decides nothing.'}, 'WarmupLeft': {'description': 'Time for which the target is still cold, such as 1500ms. One that cannot be is ignored, with a log line.'}}}}, 'definitions': {'name': {'type': 'string', 'minLength': 1, 'maxLength': 200, 'pattern': '^[^\\u0000-\\u001f\\u007f]+\\Z'}}}, rule='required')
        data_keys = set(data.keys())
        if "Address" in data_keys:
            data_keys.remove("Address")
            data__Address = data["Address"]
            if not isinstance(data__Address, (str)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".Address must be string", value=data__Address, name="" + (name_prefix or "data") + ".Address", definition={'type': 'string', 'description': 'IPv4 number and port; an address that no target can have is refused here, not at the first connection.', 'pattern': '^(?:(?:25[0-5]|2[0-4][0-9]|1[0-9][0-9]|[1-9]?[0-9])\\.){3}(?:25[0-5]|2[0-4][0-9]|1[0-9][0-9]|[1-9]?[0-9]):(?:[1-9][0-9]{0,3}|[1-5][0-9]{4}|6[0-4][0-9]{3}|65[0-4][0-9]{2}|655[0-2][0-9]|6553[0-5])\\Z'}, rule='type')
            if isinstance(data__Address, str):
                if not REGEX_PATTERNS['^(?:(?:25[0-5]|2[0-4][0-9]|1[0-9][0-9]|[1-9]?[0-9])\\.){3}(?:25[0-5]|2[0-4][0-9]|1[0-9][0-9]|[1-9]?[0-9]):(?:[1-9][0-9]{0,3}|[1-5][0-9]{4}|6[0-4][0-9]{3}|65[0-4][0-9]{2}|655[0-2][0-9]|6553[0-5])\\Z'].search(data__Address):
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".Address must match pattern ^(?:(?:25[0-5]|2[0-4][0-9]|1[0-9][0-9]|[1-9]?[0-9])\\.){3}(?:25[0-5]|2[0-4][0-9]|1[0-9][0-9]|[1-9]?[0-9]):(?:[1-9][0-9]{0,3}|[1-5][0-9]{4}|6[0-4][0-9]{3}|65[0-4][0-9]{2}|655[0-2][0-9]|6553[0-5])\\Z", value=data__Address, name="" + (name_prefix or "data") + ".Address", definition={'type': 'string', 'description': 'IPv4 number and port; an address that no target can have is refused here, not at the first connection.', 'pattern': '^(?:(?:25[0-5]|2[0-4][0-9]|1[0-9][0-9]|[1-9]?[0-9])\\.){3}(?:25[0-5]|2[0-4][0-9]|1[0-9][0-9]|[1-9]?[0-9]):(?:[1-9][0-9]{0,3}|[1-5][0-9]{4}|6[0-4][0-9]{3}|65[0-4][0-9]{2}|655[0-2][0-9]|6553[0-5])\\Z'}, rule='pattern')
        if "Info" in data_keys:
            data_keys.remove("Info")
            data__Info = data["Info"]
            if not isinstance(data__Info, (dict)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".Info must be object", value=data__Info, name="" + (name_prefix or "data") + ".Info", definition={'type': 'object', 'required': ['Service', 'Zone', 'Capacity'], 'properties': {'Service': {'type': 'string', 'minLength': 1, 'maxLength': 200, 'pattern': '^[^\\u0000-\\u001f\\u007f]+\\Z'}, 'Version': {'type': 'string', 'description': 'Of its software; decides nothing.'}, 'Zone': {'type': 'string', 'minLength': 1, 'maxLength': 200, 'pattern': '^[^\\u0000-\\u001f\\u007f]+\\Z'}, 'Capacity': {'type': 'integer', 'minimum': 1, 'maximum': 10000, 'description': "Requests at a time. A target takes some thousand connections; a greater number would lift its service's floor beyond reach."}}}, rule='type')
            data__Info_is_dict = isinstance(data__Info, dict)
            if data__Info_is_dict:
                data__Info__missing_keys = set(['Service', 'Zone', 'Capacity']) - data__Info.keys()
                if data__Info__missing_keys:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".Info must contain " + (str(sorted(data__Info__missing_keys)) + " properties"), value=data__Info, name="" + (name_prefix or "data") + ".Info", definition={'type': 'object', 'required': ['Service', 'Zone', 'Capacity'], 'properties': {'Service': {'type': 'string', 'minLength': 1, 'maxLength': 200, 'pattern': '^[^\\u0000-\\u001f\\u007f]+\\Z'}, 'Version': {'type': 'string', 'description': 'Of its software; decides nothing.'}, 'Zone': {'type': 'string', 'minLength': 1, 'maxLength': 200, 'pattern': '^[^\\u0000-\\u001f\\u007f]+\\Z'}, 'Capacity': {'type': 'integer', 'minimum': 1, 'maximum': 10000, 'description': "Requests at a time. A target takes some thousand connections; a greater number would lift its service's floor beyond reach."}}}, rule='required')
                data__Info_keys = set(data__Info.keys())
                if "Service" in data__Info_keys:
                    data__Info_keys.remove("Service")
                    data__Info__Service = data__Info["Service"]
                    validate___definitions_name(data__Info__Service, custom_formats, (name_prefix or "data") + ".Info.Service")
                if "Version" in data__Info_keys:
                    data__Info_keys.remove("Version")
                    data__Info__Version = data__Info["Version"]
                    if not isinstance(data__Info__Version, (str)):
                        raise JsonSchemaValueException("" + (name_prefix or "data") + ".Info.Version must be string", value=data__Info__Version, name="" + (name_prefix or "data") + ".Info.Version", definition={'type': 'string', 'description': 'Of its software; decides nothing.'}, rule='type')
                if "Zone" in data__Info_keys:
                    data__Info_keys.remove("Zone")
                    data__Info__Zone = data__Info["Zone"]
                    validate___definitions_name(data__Info__Zone, custom_formats, (name_prefix or "data") + ".Info.Zone")
                if "Capacity" in data__Info_keys:
                    data__Info_keys.remove("Capacity")
                    data__Info__Capacity = data__Info["Capacity"]
                    if not isinstance(data__Info__Capacity, (int)) and not (isinstance(data__Info__Capacity, float) and data__Info__Capacity.is_integer()) or isinstance(data__Info__Capacity, bool):
                        raise JsonSchemaValueException("" + (name_prefix or "data") + ".Info.Capacity must be integer", value=data__Info__Capacity, name="" + (name_prefix or "data") + ".Info.Capacity", definition={'type': 'integer', 'minimum': 1, 'maximum': 10000, 'description': "Requests at a time. A target takes some thousand connections; a greater number would lift its service's floor beyond reach."}, rule='type')
                    if isinstance(data__Info__Capacity, (int, float, Decimal)) and not isinstance(data__Info__Capacity, bool):
                        if data__Info__Capacity < 1:
                            raise JsonSchemaValueException("" + (name_prefix or "data") + ".Info.Capacity must be bigger than or equal to 1", value=data__Info__Capacity, name="" + (name_prefix or "data") + ".Info.Capacity", definition={'type': 'integer', 'minimum': 1, 'maximum': 10000, 'description': "Requests at a time. A target takes some thousand connections; a greater number would lift its service's floor beyond reach."}, rule='minimum')
                        if data__Info__Capacity > 10000:
                            raise JsonSchemaValueException("" + (name_prefix or "data") + ".Info.Capacity must be smaller than or equal to 10000", value=data__Info__Capacity, name="" + (name_prefix or "data") + ".Info.Capacity", definition={'type': 'integer', 'minimum': 1, 'maximum': 10000, 'description': "Requests at a time. A target takes some thousand connections; a greater number would lift its service's floor beyond reach."}, rule='maximum')
        if "born" in data_keys:
            data_keys.remove("born")
            data__born = data["born"]
            if not isinstance(data__born, (int)) and not (isinstance(data__born, float) and data__born.is_integer()) or isinstance(data__born, bool):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".born must be integer", value=data__born, name="" + (name_prefix or "data") + ".born", definition={'type': 'integer', 'minimum': 0, 'maximum': 9223372036854775807, 'description': "Unix millisecond of the target's start, which tells apart the starts under one id."}, rule='type')
            if isinstance(data__born, (int, float, Decimal)) and not isinstance(data__born, bool):
                if data__born < 0:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".born must be bigger than or equal to 0", value=data__born, name="" + (name_prefix or "data") + ".born", definition={'type': 'integer', 'minimum': 0, 'maximum': 9223372036854775807, 'description': "Unix millisecond of the target's start, which tells apart the starts under one id."}, rule='minimum')
                if data__born > 9223372036854775807:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".born must be smaller than or equal to 9223372036854775807", value=data__born, name="" + (name_prefix or "data") + ".born", definition={'type': 'integer', 'minimum': 0, 'maximum': 9223372036854775807, 'description': "Unix millisecond of the target's start, which tells apart the starts under one id."}, rule='maximum')
        if "Status" in data_keys:
            data_keys.remove("Status")
            data__Status = data["Status"]
            if not isinstance(data__Status, (dict)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".Status must be object", value=data__Status, name="" + (name_prefix or "data") + ".Status", definition={'type': 'object', 'required': ['State'], 'properties': {'State': {'enum': ['ready', 'draining']}, 'Sequence': {'type': 'integer', 'minimum': 0, 'description': 'Decides nothing.'}, 'WarmupLeft': {'description': 'Time for which the target is still cold, such as 1500ms. One that cannot be is ignored, with a log line.'}}}, rule='type')
            data__Status_is_dict = isinstance(data__Status, dict)
            if data__Status_is_dict:
                data__Status__missing_keys = set(['State']) - data__Status.keys()
                if data__Status__missing_keys:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".Status must contain " + (str(sorted(data__Status__missing_keys)) + " properties"), value=data__Status, name="" + (name_prefix or "data") + ".Status", definition={'type': 'object', 'required': ['State'], 'properties': {'State': {'enum': ['ready', 'draining']}, 'Sequence': {'type': 'integer', 'minimum': 0, 'description': 'Decides nothing.'}, 'WarmupLeft': {'description': 'Time for which the target is still cold, such as 1500ms. One that cannot be is ignored, with a log line.'}}}, rule='required')
                data__Status_keys = set(data__Status.keys())
                if "State" in data__Status_keys:
                    data__Status_keys.remove("State")
                    data__Status__State = data__Status["State"]
                    if not (isinstance(data__Status__State, str) and data__Status__State == 'ready' or isinstance(data__Status__State, str) and data__Status__State == 'draining'):
                        raise JsonSchemaValueException("" + (name_prefix or "data") + ".Status.State must be one of ['ready', 'draining']", value=data__Status__State, name="" + (name_prefix or "data") + ".Status.State", definition={'enum': ['ready', 'draining']}, rule='enum')
                if "Sequence" in data__Status_keys:
                    data__Status_keys.remove("Sequence")
                    data__Status__Sequence = data__Status["Sequence"]
                    if not isinstance(data__Status__Sequence, (int)) and not (isinstance(data__Status__Sequence, float) and data__Status__Sequence.is_integer()) or isinstance(data__Status__Sequence, bool):
                        raise JsonSchemaValueException("" + (name_prefix or "data") + ".Status.Sequence must be integer", value=data__Status__Sequence, name="" + (name_prefix or "data") + ".Status.Sequence", definition={'type': 'integer', 'minimum': 0, 'description': 'Decides nothing.'}, rule='type')
                    if isinstance(data__Status__Sequence, (int, float, Decimal)) and not isinstance(data__Status__Sequence, bool):
                        if data__Status__Sequence < 0:
                            raise JsonSchemaValueException("" + (name_prefix or "data") + ".Status.Sequence must be bigger than or equal to 0", value=data__Status__Sequence, name="" + (name_prefix or "data") + ".Status.Sequence", definition={'type': 'integer', 'minimum': 0, 'description': 'Decides nothing.'}, rule='minimum')
                if "WarmupLeft" in data__Status_keys:
                    data__Status_keys.remove("WarmupLeft")
                    data__Status__WarmupLeft = data__Status["WarmupLeft"]
    return data

def validate___definitions_name(data, custom_formats={}, name_prefix=None):
    if not isinstance(data, (str)):
        raise JsonSchemaValueException("" + (name_prefix or "data") + " must be string", value=data, name="" + (name_prefix or "data") + "", definition={'type': 'string', 'minLength': 1, 'maxLength': 200, 'pattern': '^[^\\u0000-\\u001f\\u007f]+\\Z'}, rule='type')
    if isinstance(data, str):
        data_len = len(data)
        if data_len < 1:
            raise JsonSchemaValueException("" + (name_prefix or "data") + " must be longer than or equal to 1 characters", value=data, name="" + (name_prefix or "data") + "", definition={'type': 'string', 'minLength': 1, 'maxLength': 200, 'pattern': '^[^\\u0000-\\u001f\\u007f]+\\Z'}, rule='minLength')
        if data_len > 200:
            raise JsonSchemaValueException("" + (name_prefix or "data") + " must be shorter than or equal to 200 characters", value=data, name="" + (name_prefix or "data") + "", definition={'type': 'string', 'minLength': 1, 'maxLength': 200, 'pattern': '^[^\\u0000-\\u001f\\u007f]+\\Z'}, rule='maxLength')
        if not REGEX_PATTERNS['^[^\\u0000-\\u001f\\u007f]+\\Z'].search(data):
            raise JsonSchemaValueException("" + (name_prefix or "data") + " must match pattern ^[^\\u0000-\\u001f\\u007f]+\\Z", value=data, name="" + (name_prefix or "data") + "", definition={'type': 'string', 'minLength': 1, 'maxLength': 200, 'pattern': '^[^\\u0000-\\u001f\\u007f]+\\Z'}, rule='pattern')
    return data