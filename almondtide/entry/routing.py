"""Choice of the route of a request, and of its service by weights."""

__all__ = ["RouteTable"]


class RouteTable:
    """Routes of one configuration by host and longest path prefix.

    A route with several services distributes its requests by smooth weighted round
    robin: the service that is furthest behind its share is next. So the shares hold
    over any few requests and not only on average.
    """

    __slots__ = ("_credits", "_hosts", "configuration")

    def __init__(self, configuration, previous=None):
        self.configuration = configuration
        self._hosts = {}
        for route in configuration.routes:
            self._hosts.setdefault(route.host.lower(), []).append(route)
        for routes in self._hosts.values():
            routes.sort(key=lambda route: -len(route.prefix))
        # Credits are kept when a new version leaves the weights of a route unchanged.
        old_credits = previous._credits if previous is not None else {}
        self._credits = {
            (route.name, route.weighted_services): old_credits.get(
                (route.name, route.weighted_services),
                [0.0] * len(route.weighted_services),
            )
            for route in configuration.routes
            if len(route.weighted_services) > 1
        }

    def find_route(self, host, path):
        """Return the route of a request, or None."""
        for route in self._hosts.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def routes_of_host(self, host):
        """Return the routes of a host."""
        return self._hosts.get(host, ())

    def pick_service(self, route):
        """Return the service for the next request of a route without shards."""
        weighted_services = route.weighted_services
        if len(weighted_services) == 1:
            return weighted_services[0][0]
        route_credits = self._credits[route.name, weighted_services]
        total = sum(weight for _, weight in weighted_services)
        if total <= 0:
            return weighted_services[0][0]
        best = 0
        for index, (_, weight) in enumerate(weighted_services):
            route_credits[index] += weight / total
            if route_credits[index] > route_credits[best]:
                best = index
        route_credits[best] -= 1.0
        return weighted_services[best][0]
