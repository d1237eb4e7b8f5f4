VERSION = "2.22.3"
from decimal import Decimal
import re
from fastjsonschema import JsonSchemaValueException, JsonSchemaValuesException


REGEX_PATTERNS = {
    '^[A-Za-z0-9._-]+$': re.compile('^[A-Za-z0-9._-]+\\Z'),
    '^[0-9a-f]{64}$': re.compile('^[0-9a-f]{64}\\Z')
}

NoneType = type(None)

def validate(data, custom_formats={}, name_prefix=None):
    if not isinstance(data, (dict)):
        raise JsonSchemaValueException("" + (name_prefix or "data") + " must be object", value=data, name="" + (name_prefix or "data") + "", definition={'$schema': 'http://json-schema.org/draft-07/schema#', 'title': 'manifest', 'description': 'What the platform publishes for one revision.', 'type': 'object', 'additionalProperties': False, 'required': ['revision', 'documents'], 'properties': {'revision': {'type': 'integer', 'minimum': 1}, 'documents': {'type': 'array', 'minItems': 1, 'items': {'type': 'object', 'additionalProperties': False, 'required': ['name', 'hash', 'size'], 'properties': {'name': {'type': 'string', 'pattern': '^[A-Za-z0-9._-]+$'}, 'hash': {'type': 'string', 'pattern': '^[0-9a-f]{64}$'}, 'size': {'type': 'integer', 'minimum': 0, 'maximum': 1048576}}}}}}, rule='type')
    data_is_dict = isinstance(data, dict)
    if data_is_dict:
        data__missing_keys = set(['revision', 'documents']) - data.keys()
        if data__missing_keys:
            raise JsonSchemaValueException("" + (name_prefix or "data") + " must contain " + (str(sorted(data__missing_keys)) + " properties"), value=data, name="" + (name_prefix or "data") + "", definition={'$schema': 'http://json-schema.org/draft-07/schema#', 'title': 'manifest', 'description': 'What the platform publishes for one revision.', 'type': 'object', 'additionalProperties': False, 'required': ['revision', 'documents'], 'properties': {'revision': {'type': 'integer', 'minimum': 1}, 'documents': {'type': 'array', 'minItems': 1, 'items': {'type': 'object', 'additionalProperties': False, 'required': ['name', 'hash', 'size'], 'properties': {'name': {'type': 'string', 'pattern': '^[A-Za-z0-9._-]+$'}, 'hash': {'type': 'string', 'pattern': '^[0-9a-f]{64}$'}, 'size': {'type': 'integer', 'minimum': 0, 'maximum': 1048576}}}}}}, rule='required')
        data_keys = set(data.keys())
        if "revision" in data_keys:
            data_keys.remove("revision")
            data__revision = data["revision"]
            if not isinstance(data__revision, (int)) and not (isinstance(data__revision, float) and data__revision.is_integer()) or isinstance(data__revision, bool):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".revision must be integer", value=data__revision, name="" + (name_prefix or "data") + ".revision", definition={'type': 'integer', 'minimum': 1}, rule='type')
            if isinstance(data__revision, (int, float, Decimal)) and not isinstance(data__revision, bool):
                if data__revision < 1:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".revision must be bigger than or equal to 1", value=data__revision, name="" + (name_prefix or "data") + ".revision", definition={'type': 'integer', 'minimum': 1}, rule='minimum')
        if "documents" in data_keys:
            data_keys.remove("documents")
            data__documents = data["documents"]
            if not isinstance(data__documents, (list, tuple)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".documents must be array", value=data__documents, name="" + (name_prefix or "data") + ".documents", definition={'type': 'array', 'minItems': 1, 'items': {'type': 'object', 'additionalProperties': False, 'required': ['name', 'hash', 'size'], 'properties': {'name': {'type': 'string', 'pattern': '^[A-Za-z0-9._-]+$'}, 'hash': {'type': 'string', 'pattern': '^[0-9a-f]{64}$'}, 'size': {'type': 'integer', 'minimum': 0, 'maximum': 1048576}}}}, rule='type')
            data__documents_is_list = isinstance(data__documents, (list, tuple))
            if data__documents_is_list:
                data__documents_len = len(data__documents)
                if data__documents_len < 1:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".documents must contain at least 1 items", value=data__documents, name="" + (name_prefix or "data") + ".documents", definition={'type': 'array', 'minItems': 1, 'items': {'type': 'object', 'additionalProperties': False, 'required': ['name', 'hash', 'size'], 'properties': {'name': {'type': 'string', 'pattern': '^[A-Za-z0-9._-]+$'}, 'hash': {'type': 'string', 'pattern': '^[0-9a-f]{64}$'}, 'size': {'type': 'integer', 'minimum': 0, 'maximum': 1048576}}}}, rule='minItems')
                for data__documents_x, data__documents_item in enumerate(data__documents):
                    if not isinstance(data__documents_item, (dict)):
                        raise JsonSchemaValueException("" + (name_prefix or "data") + ".documents[{data__documents_x}]".format(**locals()) + " must be object", value=data__documents_item, name="" + (name_prefix or "data") + ".documents[{data__documents_x}]".format(**locals()) + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['name', 'hash', 'size'], 'properties': {'name': {'type': 'string', 'pattern': '^[A-Za-z0-9._-]+$'}, 'hash': {'type': 'string', 'pattern': '^[0-9a-f]{64}$'}, 'size': {'type': 'integer', 'minimum': 0, 'maximum': 1048576}}}, rule='type')
                    data__documents_item_is_dict = isinstance(data__documents_item, dict)
                    if data__documents_item_is_dict:
                        data__documents_item__missing_keys = set(['name', 'hash', 'size']) - data__documents_item.keys()
                        if data__documents_item__missing_keys:
                            raise JsonSchemaValueException("" + (name_prefix or "data") + ".documents[{data__documents_x}]".format(**locals()) + " must contain " + (str(sorted(data__documents_item__missing_keys)) + " properties"), value=data__documents_item, name="" + (name_prefix or "data") + ".documents[{data__documents_x}]".format(**locals()) + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['name', 'hash', 'size'], 'properties': {'name': {'type': 'string', 'pattern': '^[A-Za-z0-9._-]+$'}, 'hash': {'type': 'string', 'pattern': '^[0-9a-f]{64}$'}, 'size': {'type': 'integer', 'minimum': 0, 'maximum': 1048576}}}, rule='required')
                        data__documents_item_keys = set(data__documents_item.keys())
                        if "name" in data__documents_item_keys:
                            data__documents_item_keys.remove("name")
                            data__documents_item__name = data__documents_item["name"]
                            if not isinstance(data__documents_item__name, (str)):
                                raise JsonSchemaValueException("" + (name_prefix or "data") + ".documents[{data__documents_x}].name".format(**locals()) + " must be string", value=data__documents_item__name, name="" + (name_prefix or "data") + ".documents[{data__documents_x}].name".format(**locals()) + "", definition={'type': 'string', 'pattern': '^[A-Za-z0-9._-]+$'}, rule='type')
                            if isinstance(data__documents_item__name, str):
                                if not REGEX_PATTERNS['^[A-Za-z0-9._-]+$'].search(data__documents_item__name):
                                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".documents[{data__documents_x}].name".format(**locals()) + " must match pattern ^[A-Za-z0-9._-]+$", value=data__documents_item__name, name="" + (name_prefix or "data") + ".documents[{data__documents_x}].name".format(**locals()) + "", definition={'type': 'string', 'pattern': '^[A-Za-z0-9._-]+$'}, rule='pattern')
                        if "hash" in data__documents_item_keys:
                            data__documents_item_keys.remove("hash")
                            data__documents_item__hash = data__documents_item["hash"]
                            if not isinstance(data__documents_item__hash, (str)):
                                raise JsonSchemaValueException("" + (name_prefix or "data") + ".documents[{data__documents_x}].hash".format(**locals()) + " must be string", value=data__documents_item__hash, name="" + (name_prefix or "data") + ".documents[{data__documents_x}].hash".format(**locals()) + "", definition={'type': 'string', 'pattern': '^[0-9a-f]{64}$'}, rule='type')
                            if isinstance(data__documents_item__hash, str):
                                if not REGEX_PATTERNS['^[0-9a-f]{64}$'].search(data__documents_item__hash):
                                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".documents[{data__documents_x}].hash".format(**locals()) + " must match pattern ^[0-9a-f]{64}$", value=data__documents_item__hash, name="" + (name_prefix or "data") + ".documents[{data__documents_x}].hash".format(**locals()) + "", definition={'type': 'string', 'pattern': '^[0-9a-f]{64}$'}, rule='pattern')
                        if "size" in data__documents_item_keys:
                            data__documents_item_keys.remove("size")
                            data__documents_item__size = data__documents_item["size"]
                            if not isinstance(data__documents_item__size, (int)) and not (isinstance(data__documents_item__size, float) and data__documents_item__size.is_integer()) or isinstance(data__documents_item__size, bool):
                                raise JsonSchemaValueException("" + (name_prefix or "data") + ".documents[{data__documents_x}].size".format(**locals()) + " must be integer", value=data__documents_item__size, name="" + (name_prefix or "data") + ".documents[{data__documents_x}].size".format(**locals()) + "", definition={'type': 'integer', 'minimum': 0, 'maximum': 1048576}, rule='type')
                            if isinstance(data__documents_item__size, (int, float, Decimal)) and not isinstance(data__documents_item__size, bool):
                                if data__documents_item__size < 0:
                                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".documents[{data__documents_x}].size".format(**locals()) + " must be bigger than or equal to 0", value=data__documents_item__size, name="" + (name_prefix or "data") + ".documents[{data__documents_x}].size".format(**locals()) + "", definition={'type': 'integer', 'minimum': 0, 'maximum': 1048576}, rule='minimum')
                                if data__documents_item__size > 1048576:
                                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".documents[{data__documents_x}].size".format(**locals()) + " must be smaller than or equal to 1048576", value=data__documents_item__size, name="" + (name_prefix or "data") + ".documents[{data__documents_x}].size".format(**locals()) + "", definition={'type': 'integer', 'minimum': 0, 'maximum': 1048576}, rule='maximum')
                        if data__documents_item_keys:
                            raise JsonSchemaValueException("" + (name_prefix or "data") + ".documents[{data__documents_x}]".format(**locals()) + " must not contain "+str(data__documents_item_keys)+" properties", value=data__documents_item, name="" + (name_prefix or "data") + ".documents[{data__documents_x}]".format(**locals()) + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['name', 'hash', 'size'], 'properties': {'name': {'type': 'string', 'pattern': '^[A-Za-z0-9._-]+$'}, 'hash': {'type': 'string', 'pattern': '^[0-9a-f]{64}$'}, 'size': {'type': 'integer', 'minimum': 0, 'maximum': 1048576}}}, rule='additionalProperties')
        if data_keys:
            raise JsonSchemaValueException("" + (name_prefix or "data") + " must not contain "+str(data_keys)+" properties", value=data, name="" + (name_prefix or "data") + "", definition={'$schema': 'http://json-schema.org/draft-07/schema#', 'title': 'manifest', 'description': 'What the platform publishes for one revision.', 'type': 'object', 'additionalProperties': False, 'required': ['revision', 'documents'], 'properties': {'revision': {'type': 'integer', 'minimum': 1}, 'documents': {'type': 'array', 'minItems': 1, 'items': {'type': 'object', 'additionalProperties': False, 'required': ['name', 'hash', 'size'], 'properties': {'name': {'type': 'string', 'pattern': '^[A-Za-z0-9._-]+$'}, 'hash': {'type': 'string', 'pattern': '^[0-9a-f]{64}$'}, 'size': {'type': 'integer', 'minimum': 0, 'maximum': 1048576}}}}}}, rule='additionalProperties')
    return data