"""Errors of SFTP commands."""

from __future__ import annotations

from storage_gateway.errors import GatewayError
from storage_gateway.sftp.fields import StatusCode


class CommandError(GatewayError):
    """Raised if the gateway itself responds to a command with a status, instead of a node.

    Attributes:
        status_code: the code of the status that the client receives.
        message: the text of that status.
    """

    def __init__(self, status_code: StatusCode, message: str) -> None:
        super().__init__(message)
        self.status_code = status_code
        self.message = message
