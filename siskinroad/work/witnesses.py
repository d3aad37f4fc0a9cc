"""The members whose statements an owner needs to extend leases without the store.

A successor does not know whether the former owner has stopped, or acts without the
store and still renews the leases of hosts that the successor does not reach. So leases
end soon after the newest time at which their owner was certain of one of these:

- No other daemon had claimed the pool: by a read of the claims, or by the statements of
  all other members (`claim_statements`).
- No successor counted on the end of the leases, as each of its witnesses has stated
  that it has neither owned nor been claiming the pool, nor acknowledged a later claim,
  since the newest time of the first kind.
- The same, as all but a third of its witnesses have stated this, and all but a quarter
  of its hosts have answered under its token.

The witnesses and hosts are stored before the owner relies on them. The store rejects
that record once a successor has raised the epoch of the progress topic, so that the
successor reads the last ones on which the former owner can have relied. Those of its
witnesses refuse their statements that are the successor or have acknowledged its claim
(`claim_notices`). The successor counts on the end of the leases once one witness does,
and more than a quarter of the hosts have answered it, which then reject the former
owner's token; or once more than a third of the witnesses do. So one member that lives
is enough, where a part of the hosts does.

A witness that has restarted forgets what it has acknowledged, but its statement reaches
back to its registration at most, which came after the claim. A host that has restarted
forgets the token, and does not count for the former owner any more.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable, Collection, Iterable, Mapping

from siskinroad.work.members import Members
from siskinroad.work.records import FormerOwner
from siskinroad.work.witness_counts import count_tolerated, count_tolerated_hosts

__all__ = [
    "MAX_WITNESSES",
    "WitnessChooser",
    "choose_witnesses",
    "find_bound_at",
]

# Largest number of witnesses. Each costs a message a second in an outage of the store;
# with fewer, they are sooner lost together, so that a successor reaches none.
MAX_WITNESSES = 16
# Seconds for which a witness is kept after it was last alive. Members that restart
# together stay witnesses, so that each of them can take over at once.
KEEP_S = 1.0


def find_bound_at(
    former: FormerOwner,
    refused_at: Mapping[str, float],
    fenced: frozenset[str],
    now: float,
) -> float | None:
    """Return the loop time by which a former owner extends leases no more, or None.

    Parameters
    ----------
    refused_at : Mapping of str to float
        Loop time by which members refused their statements to it, by name.
    fenced : frozenset of str
        Names of the hosts that reject its tokens by now.
    """
    if former.witnesses is None:
        return -math.inf
    times = sorted(refused_at[n] for n in former.witnesses if n in refused_at)
    tolerated = count_tolerated(len(former.witnesses))
    if len(times) > tolerated:
        return times[tolerated]
    return now if times and _is_fenced(former.hosts or (), fenced) else None


def _is_fenced(hosts: Collection[str], fenced: frozenset[str]) -> bool:
    """Return whether so many of an owner's hosts reject its tokens that it stops."""
    if not hosts:
        return True
    return len(fenced.intersection(hosts)) > count_tolerated_hosts(len(hosts))


def choose_witnesses(
    present: Iterable[str], live: Iterable[str], data_centres: Mapping[str, str]
) -> tuple[str, ...]:
    """Return the names of the witnesses: those that stay, and live members.

    Members of the data centres that have the fewest witnesses come first: the others
    may be cut off from those of one data centre.

    Parameters
    ----------
    present : iterable of str
        Witnesses that stay.
    live : iterable of str
        Members that may be added.
    data_centres : Mapping of str to str
        Data centre of each member.
    """
    chosen = sorted(present)[:MAX_WITNESSES]
    counts = Counter(data_centres.get(node, "") for node in chosen)
    waiting = sorted(set(live).difference(chosen))
    while waiting and len(chosen) < MAX_WITNESSES:
        node = min(waiting, key=lambda each: counts[data_centres.get(each, "")])
        waiting.remove(node)
        chosen.append(node)
        counts[data_centres.get(node, "")] += 1
    return tuple(sorted(chosen))


class WitnessChooser:
    """Chooser of one owner's witnesses, from the members that it hears.

    Parameters
    ----------
    may_change : callable
        Returns whether the claims were read recently. While they were not, a change
        could not be stored, and members that it adds could only be missing.
    """

    def __init__(self, members: Members, may_change: Callable[[], bool]) -> None:
        self._members = members
        self._may_change = may_change
        self._alive_at: dict[str, float] = {}
        self._chosen: tuple[str, ...] = ()

    def choose(self, now: float) -> tuple[str, ...]:
        """Return the witnesses that are to be stored now."""
        others = self._members.other_members()
        live = [node for node in others if self._members.is_alive(node, now)]
        self._alive_at.update(dict.fromkeys(live, now))
        if self._chosen and not self._may_change():
            return self._chosen
        data_centres = {
            node: member.data_centre for node, member in self._members.known.items()
        }
        kept = [node for node in self._chosen if self._is_kept(node, now)]
        chosen = choose_witnesses(kept, live, data_centres)
        if not chosen:
            # Alone, the owner would extend its leases without any statement, and those
            # that come back could not take over.
            chosen = choose_witnesses(self._chosen, others, data_centres)
        self._chosen = chosen
        return self._chosen

    def _is_kept(self, node: str, now: float) -> bool:
        is_listed = node in self._members.known
        return is_listed and now - self._alive_at.get(node, -1e9) <= KEEP_S
