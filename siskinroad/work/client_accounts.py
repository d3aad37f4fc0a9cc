"""Client accounts of a configuration: whose keys callers present, and what they share.

A lookup by key takes the same time however many accounts and keys there are. A key is
never logged; `digest_key` returns what log lines name in its place.
"""

from __future__ import annotations

import hashlib
import logging
from collections.abc import Iterable
from dataclasses import dataclass, field

from siskinroad.cell import Owner

__all__ = ["AccountDirectory", "ClientAccount", "digest_key", "make_directory"]

# Hexadecimal digits of a key's digest: few enough for a log line, and enough to tell
# 10,000 keys apart.
DIGEST_DIGITS = 12

log = logging.getLogger("siskinroad.client_accounts")


@dataclass(slots=True, frozen=True)
class ClientAccount:
    """Client account of one version of the configuration.

    Attributes
    ----------
    owner : Owner
        Name, weight and limit of the account. A limit of 0 in one dimension means that
        there is none; the limit covers what runs in all pools together.
    keys : tuple of str
        Keys with which callers act for the account.
    """

    owner: Owner
    keys: tuple[str, ...]

    @property
    def name(self) -> str:
        """Name of the account."""
        return self.owner.name


@dataclass(slots=True, frozen=True)
class AccountDirectory:
    """Client accounts of one version of the configuration, by name and by key."""

    by_name: dict[str, ClientAccount] = field(default_factory=dict)
    _by_key: dict[str, ClientAccount] = field(default_factory=dict, repr=False)

    def find_by_key(self, key: str) -> ClientAccount | None:
        """Return the account that has a key, None if none has."""
        return self._by_key.get(key)

    def find(self, name: str) -> ClientAccount | None:
        """Return the account of a name, None if there is none."""
        return self.by_name.get(name)

    def owners(self) -> dict[str, Owner]:
        """Return name, weight and limit of each account, by name."""
        return {name: account.owner for name, account in self.by_name.items()}


def make_directory(accounts: Iterable[ClientAccount]) -> AccountDirectory:
    """Return a directory; of two accounts with one name or key the first one has it."""
    directory = AccountDirectory()
    for account in accounts:
        if directory.by_name.setdefault(account.name, account) is not account:
            log.warning(
                "client_accounts: two accounts have one name; using the first",
                extra={"account": account.name},
            )
            continue
        for key in account.keys:
            holder = directory._by_key.setdefault(key, account)
            if holder is not account:
                log.warning(
                    "client_accounts: two accounts have one key; it is the first's",
                    extra={
                        "key_digest": digest_key(key),
                        "account": holder.name,
                        "other": account.name,
                    },
                )
    return directory


def digest_key(key: str) -> str:
    """Return the first hexadecimal digits of the SHA-256 hash of a key, for logs."""
    return hashlib.sha256(key.encode(errors="replace")).hexdigest()[:DIGEST_DIGITS]
