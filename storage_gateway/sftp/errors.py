"""Errors of SFTP commands."""

from __future__ import annotations

from storage_gateway.errors import GatewayError
from storage_gateway.sftp.fields import StatusCode


class CommandError(GatewayError):
    """A command that the gateway itself answers with a status, and not with a node's reply.

    Attributes:
        status_code: the code of the reply.
        message: the text of the reply.
    """

    def __init__(self, status_code: StatusCode, message: str) -> None:
        super().__init__(message)
        self.status_code = status_code
        self.message = message
