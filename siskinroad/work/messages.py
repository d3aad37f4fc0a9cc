"""Messages between daemons, and their codec."""

from __future__ import annotations

from enum import StrEnum

import msgspec

from siskinroad.codec import msgpack_codec

__all__ = [
    "CODEC",
    "MAX_STORE_AGE",
    "AdviceReply",
    "AdviceRequest",
    "ClaimAnswer",
    "ClaimNoted",
    "ClaimNotice",
    "ClaimQuery",
    "ConfigurationReply",
    "ConfigurationRequest",
    "DataCentreNews",
    "Digest",
    "Heartbeat",
    "Hello",
    "JobReply",
    "JobRequest",
    "LoanAnswer",
    "LoanAsk",
    "LoanReply",
    "LoanRequest",
    "MemberNews",
    "Message",
    "OwnerAnswer",
    "OwnerQuery",
    "RelayReply",
    "RelayRequest",
    "SubmitOutcome",
    "SubmitReply",
    "SubmitRequest",
    "decode",
    "encode",
]

# Seconds without a reply from the store after which a daemon claims no pool and writes
# no jobs of unowned pools, so that daemons which reach the store do.
MAX_STORE_AGE = 2.5


class Heartbeat(msgspec.Struct, tag="beat", frozen=True, array_like=True):
    """Heartbeat of a daemon, for the recipients that `heartbeat_routes` chooses.

    Attributes
    ----------
    owned : tuple of tuple
        Name and term of each pool that the sender owns.
    store_age : float
        Seconds since the store last replied to the sender.
    is_leaving : bool
        Whether the sender is about to stop.
    can_claim : bool
        Whether the sender has been up for long enough to claim a pool.
    backlog : float
        Backlog in seconds of the sender's channel to the advisor.
    claiming : tuple of str
        Names of the pools that the sender is claiming.
    processor : float
        Speed of the sender's processor, in whole cores of the usual speed; 0 if it is
        unknown, as for a sender of an earlier version.
    aggregators : tuple of str or None
        Daemons from which the sender expects digests. None if it expects a heartbeat
        from every daemon, as in a small cell and in an earlier version.
    configuration_version : int
        Version of the configuration that the sender has in force; 0 if it has none, and
        for a sender of an earlier version.
    lapsed : tuple of str
        Names of the pools in ``owned`` for which the sender no longer acts, as it could
        not confirm its claim for too long.
    answers_owner_queries : bool
        Whether the sender answers an ``OwnerQuery``; one of an earlier version does
        not.
    """

    node: str
    incarnation: int
    owned: tuple[tuple[str, int], ...]
    store_age: float
    is_leaving: bool
    can_claim: bool
    backlog: float = 0.0
    claiming: tuple[str, ...] = ()
    processor: float = 0.0
    aggregators: tuple[str, ...] | None = None
    configuration_version: int = 0
    lapsed: tuple[str, ...] = ()
    answers_owner_queries: bool = False

    @property
    def reaches_store(self) -> bool:
        """Whether the store has replied to the sender recently."""
        return self.store_age <= MAX_STORE_AGE


class MemberNews(msgspec.Struct, frozen=True, array_like=True):
    """A heartbeat in a digest, and the seconds since its aggregator received it."""

    age: float
    heartbeat: Heartbeat


class DataCentreNews(msgspec.Struct, frozen=True, array_like=True):
    """What an aggregator knows of the daemons of one data centre.

    Attributes
    ----------
    silent_after : float
        The aggregator has heard from every daemon of the data centre within this many
        seconds, but for those in ``silent``.
    silent : dict of str to float
        Seconds since the aggregator heard from each of these.
    news : tuple of MemberNews
        Heartbeats that have changed, and a few others.
    """

    data_centre: str
    silent_after: float
    silent: dict[str, float]
    news: tuple[MemberNews, ...]


class Digest(msgspec.Struct, tag="digest", frozen=True, array_like=True):
    """Digest of heartbeats that an aggregator sends instead of passing each one on.

    ``configuration_version`` is that of the aggregator itself, as in its heartbeat.
    """

    node: str
    data_centres: tuple[DataCentreNews, ...]
    configuration_version: int = 0


class Hello(msgspec.Struct, tag="hello", frozen=True, array_like=True):
    """Introduction sent to a daemon whenever a connection to it is established.

    It lets a daemon that has just started and cannot reach the store learn of its
    peers.
    """

    node: str
    incarnation: int
    address: str
    data_centre: str
    region: str


# Verb of a request to a former owner, and the state in its reply.
HAS_STOPPED = "has_stopped"
STOPPED = "stopped"


class JobRequest(msgspec.Struct, tag="job?", frozen=True, array_like=True):
    """Request to a pool's owner about a job or a queue.

    ``verb`` is ``show`` for a job's state, ``recall`` for whether a job was accepted
    as far as the owner knows, ``cancel`` to cancel a job, or ``pending`` for the number
    of a queue's accepted jobs that have not started. ``close`` is for whether a job was
    accepted before ``queues`` were closed in the pool, for jobs of older assignments
    than that of ``version``. ``subject`` names the job or queue. ``account`` is the
    client account for which the caller acts, empty if it acts for none.

    With ``HAS_STOPPED``, a new owner asks whether the recipient has stopped acting
    under its claim of the term in ``subject``; the reply's state is ``STOPPED`` then.
    """

    id: int
    pool: str
    verb: str
    subject: str
    account: str = ""
    queues: tuple[str, ...] = ()
    version: int = 0


class JobReply(msgspec.Struct, tag="job!", frozen=True, array_like=True):
    """Reply to a ``JobRequest``.

    ``state`` is empty if there is no such job. ``unknown_reason`` is the reason why the
    sender cannot tell; it is empty if it can. ``is_other_account`` tells that the job
    belongs to another client account than the caller's, so that nothing was done.
    """

    id: int
    unknown_reason: str
    state: str
    pending: int
    is_other_account: bool = False


class SubmitOutcome(StrEnum):
    """Outcome of a request to store a record."""

    STORED = "stored"
    NOT_DONE = "not done"
    UNKNOWN = "unknown"


class SubmitRequest(msgspec.Struct, tag="submit?", frozen=True, array_like=True):
    """Request to the pool's job writer to store a record.

    ``remaining_s`` is the time in seconds for which the caller still waits.
    """

    id: int
    pool: str
    key: str
    value: bytes
    remaining_s: float


class SubmitReply(msgspec.Struct, tag="submit!", frozen=True, array_like=True):
    """Reply to a ``SubmitRequest``.

    Attributes
    ----------
    refusal : str
        Why the pool's owner has turned the job away for load, and so not stored it;
        empty if it has not.
    retry_after_s : float
        Seconds after which the caller of a job that was turned away should return.
    is_checked : bool
        Whether a stored job has not come behind a closing of its queue. Senders of
        earlier versions do not check it.
    closed_by : int
        Version that closed the job's queue, maybe before the job was stored; 0 if none
        did. The outcome is unknown then.
    """

    id: int
    outcome: SubmitOutcome
    refusal: str = ""
    retry_after_s: float = 0.0
    is_checked: bool = False
    closed_by: int = 0


class AdviceRequest(msgspec.Struct, tag="advice?", frozen=True, array_like=True):
    """Request to call the advisor on the receiver's own channel.

    ``duration`` is the expected time of the call in seconds, ``timeout`` the longest.
    """

    id: int
    job: str
    occurrence: int
    step: int
    hosts: tuple[str, ...]
    duration: float
    timeout: float


class AdviceReply(msgspec.Struct, tag="advice!", frozen=True, array_like=True):
    """Reply to an ``AdviceRequest``.

    ``valid`` is in seconds, and 0 if the call failed.
    """

    id: int
    tickets: dict[str, str]
    valid: float


class RelayRequest(msgspec.Struct, tag="relay?", frozen=True, array_like=True):
    """Request to make a store call for a sender that cannot reach the store.

    ``call`` is the call in the encoding of ``relay_codec``, ``timeout`` in seconds.
    """

    id: int
    call: bytes
    timeout: float


class RelayReply(msgspec.Struct, tag="relay!", frozen=True, array_like=True):
    """Reply to a ``RelayRequest``.

    ``outcome`` is ``answered``, ``not done`` if the call failed without effect, or
    ``unknown``. ``result`` is the encoded result, empty unless answered.
    """

    id: int
    outcome: str
    result: bytes


class ConfigurationRequest(msgspec.Struct, tag="config?", frozen=True, array_like=True):
    """Request for the configuration that the receiver has in force, or a part of it.

    Attributes
    ----------
    version : int
        Version of which a part is wanted.
    start, length : int
        The wanted bytes of the record. With a ``length`` of 0, as from a sender of an
        earlier version, the whole record in force is wanted.
    """

    id: int
    version: int = 0
    start: int = 0
    length: int = 0


class ConfigurationReply(msgspec.Struct, tag="config!", frozen=True, array_like=True):
    """Reply to a ``ConfigurationRequest``: the record as it stands in the store.

    Attributes
    ----------
    value : bytes
        The whole record, or a part of it if ``size`` is not 0. Empty if the sender has
        no configuration, or no longer has the version that was asked for.
    version : int
        Version of which this is a part, or which the sender has in force instead; 0 in
        a reply with the whole record, and from a sender of an earlier version.
    size, start : int
        Bytes of the whole record, and the first one of this part.
    is_compressed : bool
        Whether ``value`` is compressed, in the zlib format.
    next_offset : int
        No record of the topic before this offset holds a version later than this one;
        negative if the sender cannot tell.
    """

    id: int
    key: str
    value: bytes
    version: int = 0
    size: int = 0
    start: int = 0
    is_compressed: bool = False
    next_offset: int = -1


class LoanAsk(msgspec.Struct, frozen=True, array_like=True):
    """What the owner of one pool says and asks about one client account.

    All amounts are thousandths of the account's limit, of processors, of memory and of
    accelerators.

    Attributes
    ----------
    keeps : tuple of int
        What the sender still counts on, or has in use, of what the receiver lent.
    wants : tuple of int
        What the sender would use besides, if the receiver can do without it.
    is_first : bool
        Whether the sender's pool has nothing running of the account, or it is the turn
        of a large step there.
    accepted_at : float
        Time at which that step's job was accepted; 0 if it is no step's turn, and
        negative for a sender of an earlier version, which does not know ``beyond``.
    leaves : tuple of int
        What the sender leaves to the receiver's runs of its own part, for what they
        hold beyond theirs: thousandths of processors, MiB and accelerators.
    """

    account: str
    keeps: tuple[int, int, int]
    wants: tuple[int, int, int]
    is_first: bool = False
    accepted_at: float = -1.0
    leaves: tuple[int, int, int] = (0, 0, 0)


class LoanRequest(msgspec.Struct, tag="loan?", frozen=True, array_like=True):
    """Request of the owner of one pool to that of another for parts of limits.

    Attributes
    ----------
    pool, term : str, int
        The sender's pool and term.
    lender, lender_term : str, int
        The receiver's pool and term; an owner of another term does not answer.
    number : int
        Number of the sender's newest reply to the receiver's pool.
    """

    id: int
    pool: str
    term: int
    lender: str
    lender_term: int
    number: int
    asks: tuple[LoanAsk, ...]


class LoanAnswer(msgspec.Struct, frozen=True, array_like=True):
    """What a lender answers about one client account.

    Attributes
    ----------
    lent : tuple of int
        All that the lender has lent the asking pool; stored before it is sent.
    keeps : tuple of int
        What the lender still counts on, or has in use, of what the asking pool lent.
    is_within : bool
        Whether the runs in the lender's pool are within its part.
    useless : tuple of int
        1 for each kind of resource of which the lender's pool has none.
    uses, beyond : tuple of int or None
        What the runs in the lender's pool hold, and what of it is beyond the part that
        is left there: thousandths of processors, MiB and accelerators. None for a
        sender of an earlier version.
    """

    account: str
    lent: tuple[int, int, int]
    keeps: tuple[int, int, int]
    is_within: bool
    useless: tuple[int, int, int] = (0, 0, 0)
    uses: tuple[int, int, int] | None = None
    beyond: tuple[int, int, int] | None = None


class LoanReply(msgspec.Struct, tag="loan!", frozen=True, array_like=True):
    """Reply to a ``LoanRequest``.

    Attributes
    ----------
    term : int
        The lender's term; 0 if it cannot answer now.
    seen : int
        Number in the request if the lender will use no reply up to it any more that it
        has not used yet; negative if it may.
    version : int
        Version of the configuration that the lender has in force.
    """

    id: int
    term: int
    seen: int
    version: int
    answers: tuple[LoanAnswer, ...]


class ClaimQuery(msgspec.Struct, tag="claim?", frozen=True, array_like=True):
    """Question for how long the receiver has neither owned nor claimed a pool.

    Attributes
    ----------
    pool : str
        Empty if only the members that the receiver knows are of interest.
    term : int
        Term under which the sender owns the pool; 0 if it does not, and for a sender
        of an earlier version.
    members_digest : bytes
        Digest of the members that the sender knows, itself included; empty if it wants
        their names in any case.
    wants_members : bool
        Whether the names of the members are of interest.
    """

    id: int
    pool: str
    term: int = 0
    members_digest: bytes = b""
    wants_members: bool = True


class ClaimAnswer(msgspec.Struct, tag="claim!", frozen=True, array_like=True):
    """Answer to a ``ClaimQuery``.

    Attributes
    ----------
    unclaimed_s : float
        Seconds by the sender's clock for which it has certainly neither owned the pool
        nor been claiming it; 0 while it does, and never more than its uptime. 0 too if
        it has acknowledged a claim of a later term than the query's.
    members : tuple of str
        Names of the daemons that the sender knows; none if they are not wanted, or if
        their digest, with the sender itself, is that of the query.
    """

    id: int
    unclaimed_s: float
    members: tuple[str, ...]


class ClaimNotice(msgspec.Struct, tag="claimed", frozen=True, array_like=True):
    """Notice of a claim to a witness, to be acknowledged (`claim_notices`).

    Attributes
    ----------
    former : tuple of tuple
        Names and incarnations of the former owners, for receivers of an earlier
        version; none.
    """

    id: int
    pool: str
    term: int
    former: tuple[tuple[str, int], ...] = ()


class ClaimNoted(msgspec.Struct, tag="noted", frozen=True, array_like=True):
    """Acknowledgement of a ``ClaimNotice``.

    Attributes
    ----------
    is_asked : bool
        Whether a receiver of an earlier version may count this; never.
    """

    id: int
    is_asked: bool = False


class OwnerQuery(msgspec.Struct, tag="owner?", frozen=True, array_like=True):
    """Question whether the receiver hears the owner of a pool (`owner_check`)."""

    id: int
    pool: str


class OwnerAnswer(msgspec.Struct, tag="owner!", frozen=True, array_like=True):
    """Answer to an ``OwnerQuery``.

    Attributes
    ----------
    owner : str
        Name of the daemon that acts for the pool or is claiming it, by its own
        heartbeats; the sender itself, if it does. Empty if there is none.
    term : int
        Term of the owner; 0 if it is only claiming the pool.
    heard_s : float
        Seconds since the sender received that daemon's newest own heartbeat.
    """

    id: int
    owner: str
    term: int
    heard_s: float


Message = (
    Heartbeat
    | Digest
    | Hello
    | JobRequest
    | JobReply
    | AdviceRequest
    | AdviceReply
    | RelayRequest
    | RelayReply
    | SubmitRequest
    | SubmitReply
    | ConfigurationRequest
    | ConfigurationReply
    | LoanRequest
    | LoanReply
    | ClaimQuery
    | ClaimAnswer
    | ClaimNotice
    | ClaimNoted
    | OwnerQuery
    | OwnerAnswer
)

CODEC = msgpack_codec(Message)
encode = CODEC.encode
decode = CODEC.decode
