"""From a caller's request to a call: its route, whose it is, and whether it gets any attempt."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, TypeAlias

from foldhoist.customers.directory import Directory, Identified
from foldhoist.delivery import rules
from foldhoist.delivery.call import Call
from foldhoist.delivery.verdict import NotRun
from foldhoist.quarantine.table import HELD
from foldhoist.routing.routes import NO_RANK, RouteMatch, RouteTable

if TYPE_CHECKING:
    from foldhoist.customers.directory import Customer
    from foldhoist.delivery.admission_checks import AdmissionChecks
    from foldhoist.delivery.call import CallerRequest
    from foldhoist.delivery.services import Services
    from foldhoist.schema.fleet import Fleet

UNAUTHORIZED = 401
"""Status of a request whose customer is not known."""
ROUTE_RANKS = 4
"""Ranks of routes that are told apart within one rank of customers."""


class AcceptedRequest(NamedTuple):
    """A call that may be attempted."""

    call: Call


class RejectedRequest(NamedTuple):
    """A call that gets no attempt, and why."""

    call: Call
    verdict: NotRun


IntakeResult: TypeAlias = AcceptedRequest | RejectedRequest


class RequestIntake:
    """Makes calls of requests by the configuration in force; times are monotonic seconds."""

    def __init__(self, admission: AdmissionChecks, services: Services) -> None:
        self.customers = Directory()
        self._admission = admission
        self._services = services
        self._routes: RouteTable | None = None

    def adopt(self, fleet: Fleet) -> None:
        """Take over a configuration."""
        self._admission.max_hops = fleet["fleet"]["hops"]
        self._routes = RouteTable(fleet)
        self.customers = Directory(fleet)

    def process(self, now: float, call_id: int, req: CallerRequest, calls: int) -> IntakeResult:
        """Return the call of a request; `calls` have no final answer yet."""
        routed = self._route(req)
        refused = self._admission.refusal(req, self._routes, routed, calls)
        if refused is not None or routed is None:
            verdict = refused or NotRun("no-configuration", 1.0)
            return _rejected(now, call_id, req, routed, verdict)
        who = self.customers.identify(req.api_key, is_open=routed.open)
        if not isinstance(who, Identified):
            verdict = NotRun(who.reason, 0.0, status=UNAUTHORIZED)
            return _rejected(now, call_id, req, routed, verdict)
        return self._accept(
            now, call_id, self._visible_request(req), _with_customer_rank(routed, who.customer), who
        )

    # Steps

    def _accept(
        self, now: float, call_id: int, req: CallerRequest, routed: RouteMatch, who: Identified
    ) -> IntakeResult:
        state = self._services.get(routed.service)
        if state is None:
            verdict = NotRun("service-removed", 1.0)
            return _rejected(now, call_id, req, routed, verdict)
        budget = rules.budget_s(req, routed, state)
        if self._admission.may_outlast_process(now, state.picker.times.mean(routed.route), budget):
            verdict = NotRun("daemon-leaving", 0.0)
            return _rejected(now, call_id, req, routed, verdict)
        call = Call(call_id, req, routed, now, now + budget, who.customer)
        if quarantined_s := self._admission.quarantined_s(now, call):
            return _rejected(now, call_id, req, routed, NotRun(HELD, quarantined_s))
        return AcceptedRequest(call)

    def _route(self, req: CallerRequest) -> RouteMatch | None:
        """Return the call's route with the service drawn for it, or None if there is none."""
        if self._routes is None:
            return None
        routed = self._routes.find(req.method, req.path, req.host)
        if routed is None or not routed.parts:
            return routed
        return routed._replace(service=self._services.draw(routed))

    def _visible_request(self, req: CallerRequest) -> CallerRequest:
        """Return the request as upstreams may see it.

        What tells whose call it is stays here where there are customers, and travels with the
        request where there are none.
        """
        if self.customers.has_customers or not req.withheld:
            return req._replace(withheld=())
        return req._replace(headers=[*req.headers, *req.withheld], withheld=())


def _with_customer_rank(routed: RouteMatch, customer: Customer | None) -> RouteMatch:
    """Return the route with the customer's rank, which goes first; the route's decides within."""
    if customer is None or customer.rank == NO_RANK:
        return routed
    within = min(max(0, routed.rank), ROUTE_RANKS - 1)
    return routed._replace(rank=customer.rank * ROUTE_RANKS + within)


def _rejected(
    now: float, call_id: int, req: CallerRequest, routed: RouteMatch | None, verdict: NotRun
) -> RejectedRequest:
    routed = routed or RouteMatch("", repeatable=False, urgent=False)
    return RejectedRequest(Call(call_id, req._replace(withheld=()), routed, now, now), verdict)
