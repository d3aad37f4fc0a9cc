"""Crashes of hosts under one task, and what follows for its next start.

A crash takes all runs of a host with it, so it does not tell which of them was the
cause. A task that crashes its hosts mostly does so soon after its start, so that the
youngest runs are under suspicion. Their tasks start again on trial: on a host where no
other run has begun recently, and where none is started for a while. If that host
crashes too, the trial has shown the cause; a task that survives it is no longer under
suspicion.

A start that was not answered may never have begun: its host may have been gone before.
Such a crash counts only for the number after which a task is given up in any case.
"""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from siskinroad.work.host import Host

__all__ = [
    "TRIAL_S",
    "CrashNote",
    "CrashRecord",
    "is_quiet",
]

# Seconds from the start of a run in which the crash of its host puts it under
# suspicion, and for which a trial keeps other starts off its host. It covers the time
# that an owner takes to notice a crash.
TRIAL_S = 0.4
# Seconds after which a run that goes on clears its task of all earlier crashes.
SURVIVAL_S = 10.0
# Seconds for which a task waits whose run on trial was lost with a silent host. Most
# hosts that have crashed are back by then, and show that they have.
HOLD_S = 2.0
# Crashed hosts, by different names, from which a task may be given up. The platform
# allows that after two crashes under runs that have begun.
MIN_HOSTS = 2
# The same if the hosts have one name, as where the task may run on that host only.
MIN_CRASHES_OF_ONE_HOST = 3
# Crashes after which a task is given up whatever the age of its runs. The platform
# allows two starts after the third crash, and one may have been missed.
MAX_CRASHES = 4


class CrashNote(msgspec.Struct, frozen=True, array_like=True):
    """Crash of a host under a run of a task.

    ``is_young`` if the run had just begun; ``has_begun`` if the host had said that it
    has. Notes of earlier versions do not tell, and count as if it had.
    """

    host: str
    is_young: bool
    has_begun: bool = True


@dataclass(slots=True, eq=False)
class CrashRecord:
    """Crashes of hosts under one task.

    Attributes
    ----------
    notes : tuple of CrashNote
        The crashes, in the order in which they became known.
    is_suspected : bool
        Whether a host that does not reply may have crashed under the task.
    held_until : float
        Loop time until which the task waits to be cleared or given up.
    """

    notes: tuple[CrashNote, ...] = ()
    is_suspected: bool = False
    held_until: float = -1e9

    @property
    def needs_trial(self) -> bool:
        """Whether the next start of the task is on trial."""
        return self.is_suspected or self.young_count > 0

    @property
    def young_count(self) -> int:
        """Number of the crashes soon after a start."""
        return sum(1 for note in self.notes if note.is_young)

    @property
    def hosts(self) -> set[str]:
        """Names of the hosts that crashed."""
        return {note.host for note in self.notes}

    @property
    def certain_hosts(self) -> list[str]:
        """Names of the hosts that crashed under runs that had begun for certain."""
        return [note.host for note in self.notes if note.has_begun]

    def add(self, host: str, *, is_young: bool, has_begun: bool) -> None:
        """Add a crash."""
        self.notes = (*self.notes, CrashNote(host, is_young, has_begun))
        self.is_suspected = False
        self.held_until = -1e9

    def suspect(self, now: float, *, is_on_trial: bool) -> None:
        """Note a run that was lost soon after its start with a host that is silent."""
        self.is_suspected = True
        if is_on_trial:
            self.held_until = now + HOLD_S

    def note_survival(self, age_s: float) -> bool:
        """Note the age of a run that goes on; return whether the record has changed."""
        former = self.notes
        if age_s >= TRIAL_S:
            self.is_suspected = False
        if age_s >= SURVIVAL_S:
            self.notes = ()
        elif age_s >= TRIAL_S:
            self.notes = tuple(
                CrashNote(note.host, False, note.has_begun) for note in former
            )
        return self.notes != former

    def is_cause(self, *, is_shown: bool) -> bool:
        """Return whether the task is given up as the cause of the crashes.

        Parameters
        ----------
        is_shown : bool
            Whether the last crash has shown the cause, with no other one in sight.
        """
        if len(self.notes) >= MAX_CRASHES:
            return True
        if not is_shown:
            return False
        hosts = self.certain_hosts
        return len(set(hosts)) >= MIN_HOSTS or len(hosts) >= MIN_CRASHES_OF_ONE_HOST


def is_quiet(host: Host, now: float) -> bool:
    """Return whether no run has begun on a host for the length of a trial."""
    return all(
        now - (run.begun_at or run.commanded_at) >= TRIAL_S
        for run in host.runs.values()
    )
