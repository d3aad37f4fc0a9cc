"""Hosts that some daemons cannot reach, and a watch for tasks that run twice."""

import asyncio

from siskinroad.errors import OutcomeUnknownError
from siskinroad.work.hosts import EndKind, HostClient, Rejection
from siskinroad.work.hosts_memory import MemoryHost
from tests.work.cell import entry
from tests.work.test_deposed_owner import NAMES, cut_off

# Seconds after which a call over a cut fails.
CUT_CALL_S = 0.5


class WatchedHost(MemoryHost):
    """A host that remembers when each run began and ended, and which ends were lost."""

    def __init__(self, listed):
        super().__init__(listed)
        # Tuples (task, run, began at, ended at, RunEnd) of the runs that have ended.
        self.past = []
        # Ends that nobody can take note of: the host has crashed or its lease lapsed.
        self.void = set()

    def _end_run(self, run, end_kind):
        now = asyncio.get_running_loop().time()
        super()._end_run(run, end_kind)
        ended_at = now
        if end_kind is EndKind.LEASE_EXPIRED:
            ended_at = self.lease_until / 1000
        elif end_kind is not EndKind.STOPPED:
            ended_at = run.ends_at
        end = (self.incarnation_ms, self.ends[-1])
        self.past.append((run.task, run.run, run.began_at, ended_at, end))

    def advance(self):
        is_expired = bool(self.lease_until) and self.clock() >= self.lease_until
        super().advance()
        if is_expired:
            self._void_ends()

    def _void_ends(self):
        self.void |= {(self.incarnation_ms, end) for end in self.ends}

    def crash(self):
        now = asyncio.get_running_loop().time()
        if now < self.down_until:
            return
        self.advance()
        self._void_ends()
        self.past += [
            (r.task, r.run, r.began_at, now, None) for r in self.runs.values()
        ]
        super().crash()

    def is_taken_note_of(self, end):
        """Return whether an end has been acknowledged."""
        is_listed = end[0] == self.incarnation_ms and end[1] in self.ends
        return end not in self.void and not is_listed


class CutHosts(HostClient):
    """One daemon's client of the hosts.

    Attributes
    ----------
    cut : set of str
        Hosts that the daemon does not reach; a reply under way is lost too.
    replaced : set of str
        Hosts at whose former address this daemon reaches another one.
    called_at : float
        Loop time of the latest call that reached a host.
    """

    def __init__(self, hosts):
        self.hosts = hosts
        self.cut = set()
        self.replaced = set()
        self.called_at = -1e9

    async def _call(self, name, call, *args):
        await self._check(name)
        if name in self.replaced:
            return Rejection.OTHER_INCARNATION
        self.called_at = asyncio.get_running_loop().time()
        reply = await call(*args)
        await self._check(name)
        return reply

    async def _check(self, name):
        if name in self.cut:
            await asyncio.sleep(CUT_CALL_S)
            raise OutcomeUnknownError("cut", step="hosts", peer=name)

    async def start(self, command):
        return await self._call(command.host, self.hosts.start, command)

    async def stop(self, command):
        return await self._call(command.host, self.hosts.stop, command)

    async def throttle(self, command, percent):
        return await self._call(command.host, self.hosts.throttle, command, percent)

    async def renew_lease(self, host, *args):
        return await self._call(host, self.hosts.renew_lease, host, *args)


def start_view(cell, name):
    """Start a daemon with its own way to the hosts; return that."""
    hosts = cell.hosts
    cell.hosts = view = CutHosts(hosts)
    cell.start(name)
    cell.hosts = hosts
    return view


def watch_host(cell, name, task_duration_s):
    """Replace a host, which nobody has called yet, by a watched one."""
    host = WatchedHost(entry(name))
    host.task_duration_s = task_duration_s
    cell.hosts.add(host)


async def start_views(cell, task_duration_s):
    """Watch the hosts and start the daemons; return each one's way to the hosts."""
    for name in list(cell.hosts.hosts):
        watch_host(cell, name, task_duration_s)
    views = {name: start_view(cell, name) for name in NAMES}
    await asyncio.sleep(3.0)
    return views


def cut_daemon(cell, views, name, cut, others_cut=()):
    """Cut a daemon off from the store, all others and some hosts.

    The other daemons are cut off from the hosts ``others_cut``.
    """
    cut_off(cell, name, True)
    for other, view in views.items():
        if other == name:
            view.cut = set(cut)
        else:
            view.cut |= set(others_cut)


def find_twice(cell):
    """Return each start of a task that runs, or has ended ``done`` with a note of it.

    Returns
    -------
    list of tuple
        What happened, the time of the start, its task, run and host, and the run and
        host before it.
    """
    runs = []
    for name, host in cell.hosts.hosts.items():
        host.advance()
        runs += [(*each, name) for each in host.past]
        runs += [
            (r.task, r.run, r.began_at, float("inf"), None, name)
            for r in host.runs.values()
        ]
    found = []
    for task, run, began_at, _, _, name in runs:
        for other, other_run, other_began_at, ended_at, end, other_name in runs:
            if other != task or (other_run, other_name) == (run, name):
                continue
            where = (began_at, task, run, name, other_run, other_name)
            if other_began_at <= began_at < ended_at:
                found.append(("at once", *where))
            elif began_at >= ended_at and end is not None:
                is_done = end[1].end_kind is EndKind.DONE
                if is_done and cell.hosts.hosts[other_name].is_taken_note_of(end):
                    found.append(("after its end", *where))
    return sorted(found, key=lambda each: each[1])


def check_never_twice(cell, cut_at):
    """Check that no task ran twice at once or again after an end that was noted."""
    found = [
        f"{what} {at - cut_at:.2f} s after the cut: {task.index} run {run} on {name}, "
        f"run {other_run} on {other_name}"
        for what, at, task, run, name, other_run, other_name in find_twice(cell)
    ]
    assert not found, found
