"""`foldhoist key`: generates an API key for a customer."""

from __future__ import annotations

import secrets

from foldhoist.commands.output import EXIT_OK, print_json
from foldhoist.customers.keys import digest_of

KEY_BYTES = 24
"""Random bytes of a key; 192 bits cannot be guessed."""


def key(*, json: bool = False) -> int:
    """Make an API key, and print it and its digest; the key is not stored.

    The digest goes into the option `keys` of a [customer NAME] section, the key to the customer.

    :param json: Print JSON.
    """
    secret = secrets.token_urlsafe(KEY_BYTES)
    if json:
        print_json({"key": secret, "digest": digest_of(secret)})
        return EXIT_OK
    print(f"key {secret}")
    print(f"digest {digest_of(secret)}")
    print("the key is shown only once: give it to the customer, and the digest to `keys = ...`")
    return EXIT_OK
