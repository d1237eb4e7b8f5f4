"""Traffic class of a request, which for the call of a running request is that of its parent."""

from roadpass.fleet import Service, joined_class
from roadpass.request import Request
from roadpass.route import Route

CLASS_SEPARATOR = joined_class("", "")
"""Stands between the customer's and the route's class in the name of a combined class."""


def class_of_request(service: Service, route: Route, request: Request) -> str:
    """Return the traffic class under which a service orders a request.

    Args:
        service: Service that the request goes to.
        route: Route of the request.
        request: The request, with its parent if it is a call.
    """
    own = service.class_of(route, request.customer)
    if request.parent is None:
        return own
    return class_of_call(service, request.parent.traffic_class) or own


def class_of_call(service: Service, parent_class: str) -> str:
    """Return the class of a service that corresponds to a parent's class, empty if none does.

    Services may have combined classes or plain ones. A combined class that the called service does
    not know becomes its customer part, or else its route part; a plain one becomes the most urgent
    combined class with it.

    Args:
        service: Service that is called.
        parent_class: Class of the parent at its own service.
    """
    known = [entry.name for entry in service.classes]
    if parent_class in known:
        return parent_class
    if not parent_class:
        return ""
    for part in parent_class.split(CLASS_SEPARATOR):
        if part in known:
            return part
        combined = [name for name in known if part in name.split(CLASS_SEPARATOR)]
        if combined:
            return combined[0]
    return ""
