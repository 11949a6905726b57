"""The exceptions of the gateway, all derived from ``GatewayError``.

An error message says what went wrong and, where it applies, with which key, field or peer. An exception of
the standard library that is translated into one of these is kept as its cause.
"""

from __future__ import annotations


class GatewayError(Exception):
    """Base class of the exceptions that this package defines."""


class ConfigurationError(GatewayError, ValueError):
    """A missing or invalid value in the configuration.

    Attributes:
        key: full path of the faulty key, such as ``settings.Lanes[0].AimS``.
        reason: what is wrong with its value, and what was expected.
    """

    def __init__(self, key: str, reason: str) -> None:
        """Store the key and the reason; the message is ``KEY: REASON``."""
        super().__init__(f"{key}: {reason}")
        self.key = key
        self.reason = reason


class ProtocolError(GatewayError, ValueError):
    """An invalid message from a client or from the discovery service.

    Attributes:
        field: name of the faulty header, field or part of the message.
        reason: what is wrong with it, and what was expected.
    """

    def __init__(self, field: str, reason: str) -> None:
        """Store the field and the reason; the message is ``FIELD: REASON``."""
        super().__init__(f"{field}: {reason}")
        self.field = field
        self.reason = reason


class InvalidResponseError(GatewayError):
    """A node sent an invalid or incomplete response; its request may have been executed."""


class NotExecutedError(GatewayError):
    """Raised by a handler that certainly had no effect, for example because its node rejected the request."""


class NotSentError(GatewayError):
    """The connection failed before any byte of the request was written."""


class EndpointNotServingError(GatewayError):
    """The endpoint started to drain, or was removed, before the request was written."""


class WireFormatError(GatewayError):
    """A line from the simulator that is not a valid batch of events."""


class PacketError(GatewayError, ValueError):
    """An invalid or unexpected SFTP packet.

    Attributes:
        request_id: the request id in the packet; None if it could not be read.
    """

    def __init__(self, reason: str, request_id: int | None = None) -> None:
        """Store the request id, which the session's reply has to carry."""
        super().__init__(reason)
        self.request_id = request_id


class AdvertisementError(GatewayError, ValueError):
    """A datagram that is not a valid VRRP advertisement for this virtual router."""
