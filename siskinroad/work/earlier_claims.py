"""The claims that a claim of a pool follows, as far as its claimant knew them.

The store keeps only the newest claim of a pool for good. So each claim names those
before it, and where others may be that its claimant had not read: between the end of
its first read and its own offset, and in such ranges of the claims that it names. Every
claim from the oldest one named on is named, or lies in one of these ranges.
"""

from __future__ import annotations

from collections.abc import Sequence

from siskinroad.work.records import EarlierClaims, FormerOwner

__all__ = ["OffsetRange", "find_valid", "list_unread", "name_claims"]

# Largest number of claims that a claim names. The oldest ones are left out.
MAX_NAMED_CLAIMS = 16

# First offset of a range of records, and the offset after its last one.
OffsetRange = tuple[int, int]


def name_claims(
    claims: Sequence[FormerOwner], unread: Sequence[OffsetRange], read_to: int
) -> EarlierClaims:
    """Return what a new claim says of those that it follows.

    Parameters
    ----------
    claims : sequence of FormerOwner
        The claims that the claimant knows, the oldest first.
    unread : sequence of OffsetRange
        Ranges in which further claims may be.
    read_to : int
        Offset up to which the claimant has read the claims.
    """
    named = tuple(claims[-MAX_NAMED_CLAIMS:])
    since = named[0].term if named else read_to
    return EarlierClaims(named, list_unread(unread, since), read_to)


def find_valid(earlier: EarlierClaims | None, term: int) -> EarlierClaims | None:
    """Return what the claim of a term names, or None if that cannot be.

    A claim of an earlier version names none.
    """
    if earlier is None or not 0 <= earlier.read_to < term:
        return None
    terms = [*(claim.term for claim in earlier.claims), term]
    return earlier if terms == sorted(set(terms)) else None


def list_unread(ranges: Sequence[OffsetRange], term: int) -> tuple[OffsetRange, ...]:
    """Return the parts of ranges in which claims after that of a term may be."""
    later = ((max(first, term), end) for first, end in ranges)
    return tuple((first, end) for first, end in later if first < end)
