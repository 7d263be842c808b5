"""Which failure domains a route may use, and which entries its callers should use.

Answers the load pattern of callers in several regions whose requests must stay in some
of them, also while servers or entries of their own region are lost.
"""

__all__ = [
    "allowed_domains",
    "choose_entries",
    "common_regions",
    "share_domains",
    "union_domains",
]


def allowed_domains(allowed_regions, region_of_domain):
    """Return the set of failure domains that a route may use, or None for all.

    A domain without a known region is in none of them.

    >>> regions = {"suva": "fiji", "apia": "samoa"}
    >>> allowed_domains((), regions) is None
    True
    >>> sorted(allowed_domains(("fiji", "tonga"), regions))
    ['suva']
    """
    if not allowed_regions:
        return None
    return frozenset(
        domain
        for domain, region in region_of_domain.items()
        if region in allowed_regions
    )


def share_domains(first, second):
    """Return whether two sets of failure domains, None for all, have one in common.

    >>> share_domains(None, frozenset({"suva"})), share_domains({"suva"}, {"apia"})
    (True, False)
    """
    return first is None or second is None or not first.isdisjoint(second)


def union_domains(first, second):
    """Return the union of two sets of failure domains, None for all.

    >>> sorted(union_domains({"suva"}, {"apia"})), union_domains(None, {"suva"})
    (['apia', 'suva'], None)
    """
    return None if first is None or second is None else first | second


def common_regions(routes):
    """Return the regions that all routes with regions allow; None without such a route.

    >>> class Route:
    ...     def __init__(self, *regions):
    ...         self.allowed_regions = regions
    >>> common_regions([Route()]) is None
    True
    >>> common_regions([Route("fiji", "samoa"), Route(), Route("fiji")])
    frozenset({'fiji'})
    """
    sets = [frozenset(route.allowed_regions) for route in routes]
    sets = [regions for regions in sets if regions]
    return frozenset.intersection(*sets) if sets else None


def choose_entries(members_by_domain, domain, region, regions, region_of_domain):
    """Return the members to name to a caller.

    ``members_by_domain`` maps failure domains to the members that can be named, and
    ``domain`` and ``region`` are those of the caller. ``regions`` are those that all
    restricted routes of the host allow, or None if it has no restricted route. The
    members of the caller's domain come first. Without any, and with ``regions``, it is
    those of the caller's region, else those of ``regions``, else all.
    """
    chosen = members_by_domain.get(domain)
    if chosen:
        return chosen
    if regions is not None:
        for preferred in ({region}, regions):
            chosen = _members_in(members_by_domain, preferred, region_of_domain)
            if chosen:
                return chosen
    return [member for members in members_by_domain.values() for member in members]


def _members_in(members_by_domain, regions, region_of_domain):
    return [
        member
        for domain, members in members_by_domain.items()
        if region_of_domain.get(domain) in regions
        for member in members
    ]
