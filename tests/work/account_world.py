"""Model of two pools whose owners exchange parts of limits while anything fails.

Messages are lost, repeated and late; owners die, are replaced by others while they run
on, and apply configurations at different times. No network, store or clock is used.
"""

import itertools

from siskinroad.cell import Owner
from siskinroad.resources import NOTHING, Resources
from siskinroad.work.account_limits import AccountLimits
from siskinroad.work.account_parts import AccountNeeds, AccountParts
from siskinroad.work.account_use import AccountUse
from siskinroad.work.client_accounts import ClientAccount, make_directory
from siskinroad.work.model import Configuration

ACCOUNT = "a"
POOLS = ("p", "q")
CAPACITY = Resources(100_000, 100_000, 100, 0)


def configuration(version, limit, pools=POOLS):
    """Return a configuration with one account of a limit."""
    account = ClientAccount(Owner(ACCOUNT, 1.0, 1.0, limit), ("key",))
    return Configuration(version, (), pools, 1 << 18, make_directory([account]))


class ModelOwner:
    """Owner of one pool in the model: what it knows, and its part of the limit."""

    def __init__(self, world, pool, term, daemon, former):
        self.world, self.pool, self.term, self.daemon = world, pool, term, daemon
        self.limits = world.daemons[daemon]
        self.use = AccountUse()
        self.use.set_total(CAPACITY, 0.0)
        self.is_settled = former is None
        self.is_fenced = False
        self.former = former
        self.unsettled = {}
        self.waiting = [] if former is None else former.waiting
        if former is not None:
            self.unsettled = {ACCOUNT: former.find_most()}
        loans = dict(world.stored[pool])
        self.parts = AccountParts(pool, term, self.limits, loans, self.find_needs)
        self.use.find_unsettled = lambda: self.unsettled
        self.use.find_part = self.parts.part
        self.use.find_limit = self.limits.by_name.get
        self.use.is_blocked = self.parts.is_blocked
        self.request = None

    def find_most(self):
        """Return the most that runs of this owner, or of those before it, can hold."""
        return sum(self.waiting, start=self.use.occupied(ACCOUNT))

    def find_needs(self, account):
        occupied = self.use.occupied(account)
        is_first = occupied == NOTHING and self.waiting
        self.use.demand = {account: sum(self.waiting, start=NOTHING)}
        return AccountNeeds(
            occupied,
            self.use.wanted(account),
            CAPACITY,
            self.waiting[0] if is_first else None,
        )

    def settle(self):
        """Fence all earlier owners, and learn of everything that runs."""
        former = self.former
        while former is not None:
            former.is_fenced = True
            former = former.former
        self.unsettled = {}
        held = self.use.held(ACCOUNT)
        for need in self.world.running[self.pool]:
            self.use.add(ACCOUNT, need)
        if held != NOTHING:
            self.use.remove(ACCOUNT, held)
        self.is_settled = True

    def start(self, now):
        """Start the first waiting task if the limit allows it; return its need."""
        if self.is_fenced or not self.waiting:
            return None
        need = self.waiting[0]
        self.use.advance(now)
        if not self.use.count_startable(ACCOUNT, need, 1):
            return None
        self.waiting.pop(0)
        self.use.add(ACCOUNT, need)
        return need


class World:
    """Pools, daemons, a store and a network that does what ``rng`` says."""

    def __init__(self, rng, limit):
        self.rng = rng
        self.now = 0.0
        self.ids = itertools.count(1)
        self.terms = itertools.count(1)
        self.versions = [configuration(1, limit)]
        self.daemons = [AccountLimits() for _ in range(4)]
        for limits in self.daemons:
            limits.apply(self.versions[0])
        self.stored = {pool: {} for pool in POOLS}
        self.fence = dict.fromkeys(POOLS, 0)
        self.running = {pool: [] for pool in POOLS}
        self.owners = {}
        self.live = []
        self.messages = []
        self.starts = 0
        for daemon, pool in enumerate(POOLS):
            self.take_over(pool, daemon)

    def take_over(self, pool, daemon):
        """Let a daemon own a pool; its former owner may run on for a while."""
        term = next(self.terms)
        self.fence[pool] = term
        former = self.owners.get(pool)
        owner = ModelOwner(self, pool, term, daemon, former)
        self.owners[pool] = owner
        self.live.append(owner)
        for each in self.live:
            if each.pool != pool:
                each.parts.note_term(pool, term)

    def run(self, steps):
        """Take random steps; after each start, check the account's limit."""
        actions = {
            self.submit: 20,
            self.start: 40,
            self.end: 20,
            self.ask: 25,
            self.deliver: 60,
            self.time_out: 6,
            self.repeat: 4,
            self.fail: 2,
            self.settle: 8,
            self.change_limit: 1,
            self.apply_version: 6,
        }
        names, weights = list(actions), list(actions.values())
        for _ in range(steps):
            self.now += self.rng.random() * 0.2
            self.rng.choices(names, weights)[0]()

    def submit(self):
        owner = self.rng.choice(list(self.owners.values()))
        if len(owner.waiting) < 12 and owner.is_settled:
            need = Resources(self.rng.choice([1, 2, 5]), 1, self.rng.choice([0, 1]))
            owner.waiting.append(need)

    def start(self):
        owner = self.rng.choice(self.live)
        need = owner.start(self.now)
        if need is None:
            return
        self.running[owner.pool].append(need)
        self.starts += 1
        self.check(need)

    def check(self, need):
        """Check that a start keeps to the highest limit that may be in force.

        That is any from the oldest that some daemon still has to the newest.
        """
        total = sum((r for runs in self.running.values() for r in runs), start=NOTHING)
        versions = [limits.version for limits in self.daemons]
        limits = [
            version.accounts.by_name[ACCOUNT].owner.quota
            for version in self.versions[min(versions) - 1 : max(versions)]
        ]
        for name in ("cpu_milli", "memory_mib", "accelerators"):
            amounts = [getattr(limit, name) for limit in limits]
            if getattr(need, name) and all(amounts):
                highest = max(amounts)
                assert getattr(total, name) <= highest, (name, total, limits)

    def end(self):
        pool = self.rng.choice(POOLS)
        owner = self.owners[pool]
        if self.running[pool] and owner.is_settled:
            need = self.running[pool].pop(self.rng.randrange(len(self.running[pool])))
            owner.use.remove(ACCOUNT, need)

    def ask(self):
        owner = self.rng.choice(self.live)
        lender = next(pool for pool in POOLS if pool != owner.pool)
        if not owner.is_settled or owner.is_fenced or owner.request is not None:
            return
        asks = owner.parts.make_asks(lender, [ACCOUNT], self.now)
        if not asks:
            asks = owner.parts.give_back(lender, [ACCOUNT], self.now)
        if not asks:
            return
        # The owner that is asked may be one that was replaced without knowing it.
        known = [other for other in self.live if other.pool == lender]
        asked = self.rng.choice([known[-1], *known])
        request_id = next(self.ids)
        msg = owner.parts.begin_request(request_id, lender, asked.term, asks)
        owner.request = (request_id, lender, asked.term)
        self.messages.append((asked, owner, msg))

    def deliver(self):
        if not self.messages:
            return
        receiver, sender, msg = self.messages.pop(
            self.rng.randrange(len(self.messages))
        )
        if receiver not in self.live or self.rng.random() < 0.1:
            return
        if hasattr(msg, "asks"):
            # The message may reach a later owner of the pool than it was meant for.
            owners = [each for each in self.live if each.pool == msg.lender]
            self.serve(self.rng.choice([receiver, *owners]), sender, msg)
        elif receiver.request is not None and receiver.request[0] == msg.id:
            _, lender, lender_term = receiver.request
            for account in receiver.parts.apply_reply(lender, lender_term, msg):
                self.store(receiver, account)
            receiver.parts.end_request(lender)
            receiver.request = None

    def serve(self, lender, borrower, msg):
        if not lender.is_settled or lender.is_fenced:
            return
        may_lend = self.rng.random() < 0.9
        reply = lender.parts.serve(msg, self.now, may_lend=may_lend)
        if reply is None:
            return
        needs_storing = lender.parts.needs_storing(msg.pool, [ACCOUNT])
        is_silent = self.rng.random() < 0.1
        if needs_storing and (is_silent or not self.store(lender, ACCOUNT)):
            return
        self.messages.append((borrower, lender, reply))

    def store(self, owner, account):
        """Store an owner's loans, unless a later owner has fenced it."""
        record = owner.parts.make_record(account)
        if owner.term < self.fence[owner.pool]:
            return False
        self.stored[owner.pool][account] = record
        owner.parts.note_stored(record)
        return True

    def time_out(self):
        owner = self.rng.choice(self.live)
        if owner.request is not None:
            owner.parts.end_request(owner.request[1])
            owner.request = None

    def repeat(self):
        if self.messages:
            self.messages.append(self.rng.choice(self.messages))

    def fail(self):
        """Replace the owner of one pool, or of both at once."""
        pools = POOLS if self.rng.random() < 0.3 else [self.rng.choice(POOLS)]
        for pool in pools:
            former = self.owners[pool]
            if self.rng.random() < 0.5:
                self.live.remove(former)
            self.take_over(pool, self.rng.randrange(len(self.daemons)))

    def settle(self):
        for owner in self.owners.values():
            if not owner.is_settled:
                owner.settle()
                self.live = [each for each in self.live if not each.is_fenced]

    def change_limit(self):
        limit = Resources(
            self.rng.choice([0, 6, 20, 60]), 0, self.rng.choice([0, 2, 8, 20])
        )
        if limit.cpu_milli and limit.accelerators:
            self.versions.append(configuration(len(self.versions) + 1, limit))

    def apply_version(self):
        limits = self.rng.choice(self.daemons)
        if limits.version < len(self.versions):
            limits.apply(self.versions[limits.version], self.now)
