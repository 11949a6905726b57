"""The errors of the gateway: one small tree under ``GatewayError``, each with typed fields.

An error says what went wrong, and where there is one, with which key, field or peer. Errors of the standard
library are raised from, never hidden.
"""

from __future__ import annotations


class GatewayError(Exception):
    """Base of every error that this package raises on purpose."""


class ConfigurationError(GatewayError, ValueError):
    """A configuration value that cannot be used.

    Attributes:
        key: the full path of the faulty key, such as ``settings.Lanes[0].AimS``.
        reason: what is wrong with it, in plain words.
    """

    def __init__(self, key: str, reason: str) -> None:
        """Keep the key and the reason; the text is both, the key first."""
        super().__init__(f"{key}: {reason}")
        self.key = key
        self.reason = reason


class ProtocolError(GatewayError, ValueError):
    """A message of a peer that cannot be accepted.

    Attributes:
        field: the faulty header, field or part of the message.
        reason: what is wrong with it, in plain words.
    """

    def __init__(self, field: str, reason: str) -> None:
        """Keep the field and the reason; the text is both, the field first."""
        super().__init__(f"{field}: {reason}")
        self.field = field
        self.reason = reason


class InvalidResponseError(GatewayError):
    """What came from a node is no response, or not the whole of one; its request may have been executed."""


class NotExecutedError(GatewayError):
    """Raised by a handler that is certain to have had no effect, such as one whose node rejected it."""


class NotSentError(GatewayError):
    """The connection failed before any byte of the request was written."""


class EndpointNotServingError(GatewayError):
    """The endpoint began to drain, or was removed, before the request was written."""


class WireFormatError(GatewayError):
    """A line of the simulator's wire that is not a batch of events."""


class PacketError(GatewayError, ValueError):
    """Bytes that are no SFTP packet, or not the expected one.

    Attributes:
        request_id: the id of the packet's request, None where it could not be read.
    """

    def __init__(self, reason: str, request_id: int | None = None) -> None:
        """Keep the id, so that the session can answer with it."""
        super().__init__(reason)
        self.request_id = request_id


class AdvertisementError(GatewayError, ValueError):
    """A datagram that is no VRRP advertisement for this virtual router."""
