"""JSON answers, paged lists, and the parsing of query parameters."""

import base64
from collections.abc import Callable, Iterable, Mapping
from typing import Any

import msgspec
from starlette.responses import Response

from damaskdeck.protocol.resources import Resource
from damaskdeck.transport.api.polls import Selector
from damaskdeck.transport.api.problems import ProblemError
from damaskdeck.transport.api.routes import Call

MAX_PAGE_LENGTH = 500


def render_json(
    document: Any, status: int = 200, headers: Mapping[str, str] | None = None
) -> Response:
    """Return an answer with a JSON document."""
    content = msgspec.json.encode(document)
    return Response(content, status, headers, "application/json")


def render_resource(resource: Resource, status: int = 200) -> Response:
    """Return an answer with a resource and its revision as entity tag."""
    revision = resource["metadata"].get("revision", 0)
    return render_json(resource, status, {"ETag": f'"{revision}"'})


def render_list(items: Iterable[Any], revision: int, after: str) -> Response:
    """Return an answer with one page of a list.

    :param after: name after which the next page starts; empty on the last page.
    """
    metadata: dict[str, Any] = {"revision": revision}
    if after:
        metadata["continue"] = base64.urlsafe_b64encode(after.encode()).decode()
    return render_json({"kind": "list", "metadata": metadata, "items": list(items)})


def read_page(call: Call) -> tuple[int, str]:
    """Return the length of the page and the name after which it starts.

    :raises ProblemError: ``bad_parameter``.
    """
    limit = read_number(call, "limit", MAX_PAGE_LENGTH)
    token = call.query("continue")
    if not 1 <= limit <= MAX_PAGE_LENGTH:
        raise ProblemError("bad_parameter", f"limit: 1 to {MAX_PAGE_LENGTH}")
    try:
        return limit, base64.urlsafe_b64decode(token).decode()
    except ValueError as error:
        raise ProblemError(
            "bad_parameter", "continue: not from an earlier page"
        ) from error


def read_number(call: Call, name: str, default: int) -> int:
    """Return a query parameter that is a whole number.

    :raises ProblemError: ``bad_parameter`` when it isn't one.
    """
    text = call.query(name)
    if not text:
        return default
    number = parse_number(text)
    if number is None:
        raise ProblemError("bad_parameter", f"{name}: must be a whole number")
    return number


def parse_number(text: str) -> int | None:
    """Return a whole number, or ``None`` for any other text.

    Numbers of 19 digits and more are refused, because the store gives no such revision.
    """
    is_number = text.isascii() and text.isdigit() and len(text) < 19
    return int(text) if is_number else None


def read_flag(call: Call, name: str) -> bool:
    """Return a query parameter that is ``true`` or ``false``; the default is false.

    :raises ProblemError: ``bad_parameter`` for any other value.
    """
    text = call.query(name, "false")
    if text not in ("true", "false"):
        raise ProblemError("bad_parameter", f"{name}: must be true or false")
    return text == "true"


def read_selector(call: Call) -> Selector:
    """Return the predicate of a label selector like ``app=maps,tier!=test,owner,!old``.

    A resource is selected if all terms hold; ``owner`` holds if the label exists and
    ``!old`` if it doesn't.
    """
    terms = [term.strip() for term in call.query("selector").split(",")]
    predicates = [_parse_term(term) for term in terms if term]

    def select(resource: Resource) -> bool:
        labels = resource["metadata"].get("labels", {})
        return all(matches(labels) for matches in predicates)

    return select


def render_page(call: Call, resources: Iterable[Resource], revision: int) -> Response:
    """Return an answer with the requested page of resources.

    :param resources: all resources, sorted by name.
    """
    limit, after = read_page(call)
    select = read_selector(call)
    remaining = [r for r in resources if r["metadata"]["name"] > after and select(r)]
    page = remaining[:limit]
    last = page[-1]["metadata"]["name"] if len(remaining) > limit else ""
    return render_list(page, revision, last)


def _parse_term(term: str) -> Callable[[Mapping[str, str]], bool]:
    if "!=" in term:
        name, _, value = (part.strip() for part in term.partition("!="))
        return lambda labels: labels.get(name) != value
    if "=" in term:
        name, _, value = (
            part.strip() for part in term.replace("==", "=").partition("=")
        )
        return lambda labels: labels.get(name) == value
    if term.startswith("!"):
        return lambda labels: term[1:].strip() not in labels
    return lambda labels: term in labels
