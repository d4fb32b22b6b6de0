"""Encoding and decoding of MessagePack bodies, and checks common to all messages."""

from __future__ import annotations

import math
from typing import Annotated, Any, TypeVar

import msgspec
from msgspec import Meta

MAX_BODY_BYTES = 64 * 1024
MAX_TEXT_LENGTH = 200  # characters
MAX_AMOUNT = 1e9  # of CPUs, GB, seconds or a price in a message
CONTENT_TYPE = "application/msgpack"


class Malformed(Exception):
    """Raised for a body that violates the protocol."""


Text = Annotated[str, Meta(min_length=1, max_length=MAX_TEXT_LENGTH)]
Amount = Annotated[float, Meta(ge=0, le=MAX_AMOUNT)]
Natural = Annotated[int, Meta(ge=0)]

_decoder = msgspec.msgpack.Decoder()
_encoder = msgspec.msgpack.Encoder()
T = TypeVar("T")


def encode(body: Any) -> bytes:
    """Returns the body as MessagePack."""
    return _encoder.encode(body)


def decode_map(body: bytes) -> dict[str, Any]:
    """Returns the map in a body without its null fields; raises `Malformed`."""
    try:
        value = _decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise Malformed(f"not MessagePack: {error}") from error
    if not isinstance(value, dict):
        raise Malformed("not a map")
    # A null field equals an omitted one; dropped here, so that no struct has to allow null.
    return {name: v for name, v in value.items() if v is not None and isinstance(name, str)}


def convert(value: Any, kind: type[T]) -> T:
    """Returns the decoded value as a struct; raises `Malformed`."""
    try:
        return msgspec.convert(value, kind)
    except msgspec.ValidationError as error:
        raise Malformed(str(error)) from error


def check_finite(*amounts: float) -> None:
    """Raises `Malformed` if an amount is infinite or NaN."""
    if not all(math.isfinite(amount) for amount in amounts):
        raise Malformed("an amount is not finite")
