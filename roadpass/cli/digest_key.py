"""`roadpass digest-key`: prints the digest by which documents refer to a customer's key."""

import secrets
from typing import ClassVar

from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from roadpass.cli._command import EXIT_HELP, EXIT_OK, JSON_OPTION, BaseCommand, read_key
from roadpass.cli._output import as_json
from roadpass.customer import SALT_BYTES, key_digest


class DigestKeyCommand(BaseCommand):
    """Prints the digest of a key, so that documents need not contain the key itself."""

    name = "digest-key"
    description = "The digest by which documents refer to a customer's key."
    arguments: ClassVar[list[Argument]] = [argument("file", "File that contains only the key.")]
    options: ClassVar[list[Option]] = [
        JSON_OPTION,
        option("salt", None, "The documents' customer_salt; by default a new one.", flag=False),
    ]
    help = "The key is read from a file, because other users can see command lines." + EXIT_HELP

    def run_command(self) -> int:
        """Print the salt and the digest of the key."""
        salt = self.option("salt") or secrets.token_hex(SALT_BYTES)
        digest = key_digest(read_key(self.argument("file")), bytes.fromhex(salt)).hex()
        if self.wants_json:
            self.line(as_json({"customer_salt": salt, "key_digest": digest}))
        else:
            self.line(f'"customer_salt": "{salt}"')
            self.line(f'"key_digests": ["{digest}"]')
        return EXIT_OK
