"""Turns a caller's request into a call: finds its route and customer, and checks its admission."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, TypeAlias

from foldhoist.customers.directory import Directory, Identified
from foldhoist.delivery import rules
from foldhoist.delivery.admission_checks import DAEMON_LEAVING
from foldhoist.delivery.call import Call
from foldhoist.delivery.verdict import NotRun
from foldhoist.quarantine.table import QUARANTINED
from foldhoist.routing.routes import NO_RANK, RouteMatch, RouteTable

if TYPE_CHECKING:
    from foldhoist.customers.directory import Customer
    from foldhoist.delivery.admission_checks import AdmissionChecks
    from foldhoist.delivery.call import CallerRequest
    from foldhoist.delivery.services import Services
    from foldhoist.schema.fleet import Fleet

UNAUTHORIZED = 401
"""Status of a request without a known customer."""
ROUTE_RANKS = 4
"""Number of route ranks within one customer rank."""


class AcceptedRequest(NamedTuple):
    """A request that became a call."""

    call: Call


class RejectedRequest(NamedTuple):
    """A request that gets no attempt, with its final answer."""

    call: Call
    verdict: NotRun


IntakeResult: TypeAlias = AcceptedRequest | RejectedRequest


class RequestIntake:
    """Accepts or rejects requests by the configuration in force; times are monotonic seconds."""

    def __init__(self, admission: AdmissionChecks, services: Services) -> None:
        self.customers = Directory()
        self._admission = admission
        self._services = services
        self._routes: RouteTable | None = None

    def adopt(self, fleet: Fleet) -> None:
        """Apply a configuration."""
        self._admission.max_hops = fleet["fleet"]["hops"]
        self._routes = RouteTable(fleet)
        self.customers = Directory(fleet)

    def process(self, now: float, call_id: int, req: CallerRequest, calls: int) -> IntakeResult:
        """Accept or reject a request; `calls` is the number of calls without a final answer."""
        routed = self._route(req)
        refused = self._admission.refusal(req, self._routes, routed, calls)
        if refused is not None or routed is None:
            verdict = refused or NotRun("no-configuration", 1.0)
            return _rejected(now, call_id, req, routed, verdict)
        identified = self.customers.identify(req.api_key, is_open=routed.open)
        if not isinstance(identified, Identified):
            verdict = NotRun(identified.reason, 0.0, status=UNAUTHORIZED)
            return _rejected(now, call_id, req, routed, verdict)
        return self._accept(
            now,
            call_id,
            self._visible_request(req),
            _with_customer_rank(routed, identified.customer),
            identified,
        )

    def _accept(
        self,
        now: float,
        call_id: int,
        req: CallerRequest,
        routed: RouteMatch,
        identified: Identified,
    ) -> IntakeResult:
        state = self._services.get(routed.service)
        if state is None:
            verdict = NotRun("service-removed", 1.0)
            return _rejected(now, call_id, req, routed, verdict)
        budget = rules.budget_s(req, routed, state)
        usual_s = state.picker.times.mean(routed.route)
        if now > self._admission.last_start(usual_s, now + budget):
            verdict = NotRun(DAEMON_LEAVING, 0.0)
            return _rejected(now, call_id, req, routed, verdict)
        call = Call(call_id, req, routed, now, now + budget, identified.customer)
        if quarantined_s := self._admission.quarantined_s(now, call):
            return _rejected(now, call_id, req, routed, NotRun(QUARANTINED, quarantined_s))
        return AcceptedRequest(call)

    def _route(self, req: CallerRequest) -> RouteMatch | None:
        """Return the request's route, or None; draws the service if the route is split."""
        if self._routes is None:
            return None
        routed = self._routes.find(req.method, req.path, req.host)
        if routed is None or not routed.parts:
            return routed
        return routed._replace(service=self._services.draw(routed))

    def _visible_request(self, req: CallerRequest) -> CallerRequest:
        """Return the request as upstreams may see it.

        The headers that identify a customer are dropped if the configuration has customers, and
        passed on if it has none.
        """
        if self.customers.has_customers or not req.withheld:
            return req._replace(withheld=())
        return req._replace(headers=[*req.headers, *req.withheld], withheld=())


def _with_customer_rank(routed: RouteMatch, customer: Customer | None) -> RouteMatch:
    """Return the route with a rank that orders by the customer's rank, then by the route's."""
    if customer is None or customer.rank == NO_RANK:
        return routed
    within = min(max(0, routed.rank), ROUTE_RANKS - 1)
    return routed._replace(rank=customer.rank * ROUTE_RANKS + within)


def _rejected(
    now: float, call_id: int, req: CallerRequest, routed: RouteMatch | None, verdict: NotRun
) -> RejectedRequest:
    routed = routed or RouteMatch("", repeatable=False, urgent=False)
    return RejectedRequest(Call(call_id, req._replace(withheld=()), routed, now, now), verdict)
