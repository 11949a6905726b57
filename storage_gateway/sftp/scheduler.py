"""Submission of each command for a storage node to the policy, as one request."""

from __future__ import annotations

import hashlib

from storage_gateway import policy_api as api
from storage_gateway.config import SftpConfig
from storage_gateway.lifecycle import Rejected, RequestExecutor, Served
from storage_gateway.sftp.commands import Command
from storage_gateway.sftp.errors import CommandError
from storage_gateway.sftp.fields import StatusCode
from storage_gateway.sftp.node_client import SftpNodeClient
from storage_gateway.sftp.packets import Packet
from storage_gateway.sftp.volumes import VolumeTree

_OBJECT_KEY_BYTES = 6


class CommandScheduler:
    """Submits commands to the request executor as reads and writes of their volumes."""

    def __init__(
        self,
        config: SftpConfig,
        volumes: VolumeTree,
        executor: RequestExecutor,
        node_client: SftpNodeClient,
    ) -> None:
        self._config = config
        self._volumes = volumes
        self._executor = executor
        self._node_client = node_client

    async def execute(self, command: Command, path: str, item: str, size_bytes: int) -> Packet:
        """Execute a command and return the node's response.

        Args:
            command: the command to execute.
            path: absolute path that determines the volume.
            item: identifies the data read or written; hashed into the object key.
            size_bytes: bytes to transfer as far as known; 0 if none or unknown.

        Raises:
            CommandError: the path is not within any volume, or the command was rejected or failed.
        """
        arrival = self._make_arrival(command, path, item, size_bytes)
        result = await self._executor.execute(
            arrival, lambda node_id: self._node_client.attempt(node_id, command)
        )
        match result:
            case Served(value=response) if response is not None:
                return response
            case Rejected(retry_after_s=retry_after_s):
                retry_hint = f"retry after {max(0.0, retry_after_s):.3f} s"
                raise CommandError(StatusCode.FAILURE, f"rejected, nothing was done: {retry_hint}")
            case _:
                outcome = (
                    "the change may have been made" if command.is_write else "no node completed the read"
                )
                raise CommandError(StatusCode.FAILURE, f"failed: {outcome}")

    def _make_arrival(self, command: Command, path: str, item: str, size_bytes: int) -> api.RequestArrived:
        config = self._config
        volume = self._volumes.find(path)
        units = float(max(1, -(-size_bytes // config.unit_bytes)))  # rounded up
        max_units = self._executor.policy.settings.max_request_units
        deadline = self._executor.now() + config.command_timeout_s
        return api.RequestArrived(
            request_id=self._executor.new_request_id(),
            class_index=config.write_class if command.is_write else config.read_class,
            plan_index=volume.plan_index,
            volume_id=volume.volume_id,
            object_key=object_key(item),
            shard=volume.shard,
            units=min(units, max_units or units),
            deadline=deadline,
            gateway_count=volume.gateway_count,
        )


def object_key(item: str) -> int:
    """Return the key that identifies a piece of data to the policy.

    It is the same for a client's retry, also after a restart of the gateway.
    """
    digest = hashlib.blake2b(item.encode("utf-8", "surrogateescape"), digest_size=_OBJECT_KEY_BYTES)
    return int.from_bytes(digest.digest(), "big")
