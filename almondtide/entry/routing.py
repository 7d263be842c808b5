"""Which route a request takes, and which service of a weighted choice."""

__all__ = ["RouteTable"]


class RouteTable:
    """Routes of one configuration by host and longest path prefix.

    A weighted choice takes the service that is furthest behind its share, so that
    the shares hold over any short span and not only on average.
    """

    __slots__ = ("_hosts", "_shares", "configuration")

    def __init__(self, configuration, previous=None):
        self.configuration = configuration
        self._hosts = {}
        for route in configuration.routes:
            self._hosts.setdefault(route.host.lower(), []).append(route)
        for routes in self._hosts.values():
            routes.sort(key=lambda route: -len(route.prefix))
        # Shares go on over versions that leave a route's weights as they are.
        old = previous._shares if previous is not None else {}
        self._shares = {
            (route.name, route.traffic_split): old.get(
                (route.name, route.traffic_split), [0.0] * len(route.traffic_split)
            )
            for route in configuration.routes
            if len(route.traffic_split) > 1
        }

    def find(self, host, path):
        """Return the route of a request, or None."""
        for route in self._hosts.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def pick_service(self, route):
        """Return the service of a route that names one or a weighted choice."""
        traffic_split = route.traffic_split
        if len(traffic_split) == 1:
            return traffic_split[0][0]
        credit = self._shares[route.name, traffic_split]
        total = sum(weight for _, weight in traffic_split)
        if total <= 0:
            return traffic_split[0][0]
        best = 0
        for index, (_, weight) in enumerate(traffic_split):
            credit[index] += weight / total
            if credit[index] > credit[best]:
                best = index
        credit[best] -= 1.0
        return traffic_split[best][0]
