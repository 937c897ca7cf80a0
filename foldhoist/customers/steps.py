"""What the ingress's side of quotas decides: grant a call, deny it, or ask for credit."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, TypeAlias

if TYPE_CHECKING:
    from foldhoist.schema.messages import CreditAsk


class Granted(NamedTuple):
    """A call that may run; `over_burst` if the customer has used more than half of its burst.

    If the call does not run, another one may use its credit until `until`, monotonic seconds.
    """

    call_id: int
    over_burst: bool
    until: float


class Denied(NamedTuple):
    """A call that may not run; credit may be available after `retry_after_s` seconds."""

    call_id: int
    reason: str
    retry_after_s: float


class Ask(NamedTuple):
    """A request for credit to send to a quota server."""

    server: str
    message: CreditAsk


Step: TypeAlias = Granted | Denied | Ask
