"""URLs and tokens of the platform and the balancers' API, from options or the environment."""

from __future__ import annotations

import os
from collections.abc import Sequence

import httpx
import msgspec

from sloepond.cli.exit_codes import BAD_INPUT
from sloepond.cli.failures import CommandFailure

PLATFORM_VARIABLE = "SLOEPOND_PLATFORM"
PLATFORM_TOKEN_VARIABLE = "SLOEPOND_PLATFORM_TOKEN"
API_VARIABLE = "SLOEPOND_API"
TOKEN_VARIABLE = "SLOEPOND_TOKEN"

CA_FILE_VARIABLE = "SLOEPOND_CA_FILE"

ENVIRONMENT_HELP = f"""environment:
  {PLATFORM_VARIABLE}        URL of the platform
  {PLATFORM_TOKEN_VARIABLE}  bearer token of the platform
  {API_VARIABLE}             URLs of balancers' API, separated by commas
  {TOKEN_VARIABLE}           bearer token of the balancers' API
  {CA_FILE_VARIABLE}         file of certificates trusted besides the system's
"""
"""The part of `--help` that documents the environment."""

API_OPTION = "--api"
END_OF_OPTIONS = "--"
URL_SEPARATOR = ","
_URL_SCHEMES = ("http", "https")


class ApiUrls(msgspec.Struct, frozen=True):
    """URLs of the API of one or more balancers."""

    urls: tuple[str, ...] = ()


def parse_api_urls(text: str) -> ApiUrls:
    """Parse the value of `--api`: URLs separated by commas."""
    parts = (part.strip() for part in text.split(URL_SEPARATOR))
    return ApiUrls(tuple(part for part in parts if part))


def merge_api_options(arguments: Sequence[str]) -> list[str]:
    """Join repeated `--api URL` options into one, because the parser accepts only one.

    Arguments after `--` and an option without its URL are left unchanged.
    """
    merged: list[str] = []
    urls: list[str] = []
    index = 0
    while index < len(arguments):
        argument = arguments[index]
        option, separator, value = argument.partition("=")
        if argument == END_OF_OPTIONS:
            break
        if option == API_OPTION and separator:
            urls.append(value)
        elif option == API_OPTION and index + 1 < len(arguments):
            index += 1
            urls.append(arguments[index])
        else:
            merged.append(argument)
        index += 1
    if urls:
        merged.append(f"{API_OPTION}={URL_SEPARATOR.join(urls)}")
    return merged + list(arguments[index:])


def resolve_platform(option: str | None) -> str | CommandFailure:
    """Return the platform's URL, from the option or else the environment."""
    url = option or os.environ.get(PLATFORM_VARIABLE, "")
    if not url:
        return CommandFailure(BAD_INPUT, f"no platform: give --platform URL or set {PLATFORM_VARIABLE}")
    return _checked_url(url)


def resolve_api(option: ApiUrls | None) -> tuple[str, ...] | CommandFailure:
    """Return the URLs of the balancers' API, from the option or else the environment."""
    given = option or parse_api_urls(os.environ.get(API_VARIABLE, ""))
    urls = given.urls
    if not urls:
        return CommandFailure(BAD_INPUT, f"no balancer: give --api URL or set {API_VARIABLE}")
    checked = [_checked_url(url) for url in urls]
    for result in checked:
        if isinstance(result, CommandFailure):
            return result
    return tuple(url for url in checked if isinstance(url, str))


def resolve_token(option: str | None) -> str:
    """Return the bearer token for the balancers' API; empty for none."""
    return option or os.environ.get(TOKEN_VARIABLE, "")


def resolve_platform_token() -> str:
    """Return the bearer token for the platform; empty for none."""
    return os.environ.get(PLATFORM_TOKEN_VARIABLE, "")


def resolve_ca_file() -> str:
    """Return the file of certificates to trust in addition to the system's; empty for none."""
    return os.environ.get(CA_FILE_VARIABLE, "")


def _checked_url(text: str) -> str | CommandFailure:
    try:
        url = httpx.URL(text)
    except httpx.InvalidURL as error:
        return CommandFailure(BAD_INPUT, f"invalid URL {text!r}: {error}")
    if url.scheme not in _URL_SCHEMES or not url.host:
        return CommandFailure(BAD_INPUT, f"invalid URL {text!r}: write http://ip:port")
    return text.rstrip("/")
