"""Tests of client requests against a fake node that counts executions of each write."""

from __future__ import annotations

from storage_gateway.sftp import packets
from storage_gateway.sftp.fields import OpenFlags, StatusCode
from tests.support.sftp import NO_ATTRIBUTES, FakeSftpNode, SftpServerCase, assert_status


class RequestHandlerTest(SftpServerCase):
    """Uploads, reads, listings, and requests that need no node."""

    async def test_upload_is_stored_once_and_read_and_listed_and_renamed(self) -> None:
        node = FakeSftpNode()
        client = await self.start(node)
        scan = bytes(range(256)) * 200
        assert (await client.upload("/plats/t1", scan)).code == StatusCode.OK
        assert (node.files["/plats/t1"], node.store_counts["/plats/t1"]) == (scan, 1)
        assert node.requests == ["Open", "Write", "Write", "Close"]
        opened = await client.request(packets.Open(0, "/plats/../plats/t1", OpenFlags.READ, NO_ATTRIBUTES))
        assert (await client.request(packets.Read(0, opened.handle, 250, 10))).data == scan[250:260]
        assert (await client.request(packets.Fstat(0, opened.handle))).attributes.size == len(scan)
        assert await client.list_directory("/plats") == ["/plats/t1"]
        renamed = await client.request(packets.Rename(0, "/plats/t1", "/plats/t2"))
        assert renamed.code == StatusCode.OK
        assert await client.list_directory("/") == ["plats"]
        assert (await client.request(packets.Stat(0, "/"))).attributes.permissions == 16877
        outside = await client.request(packets.Rename(0, "/plats/t1", "/else"))
        assert_status(outside, StatusCode.NO_SUCH_FILE, "volume")
        missing = await client.request(packets.Open(0, "/plats/none", OpenFlags.READ, NO_ATTRIBUTES))
        assert_status(missing, StatusCode.NO_SUCH_FILE, "no such file")

    async def test_upload_beyond_the_size_limit_is_not_stored_in_part(self) -> None:
        node = FakeSftpNode()
        client = await self.start(node)
        status = await client.upload("/plats/t1", bytes(65537))
        assert_status(status, StatusCode.FAILURE, "not stored")
        assert node.accepted_connections == 0

    async def test_realpath_and_changes_of_a_path_get_responses(self) -> None:
        node = FakeSftpNode()
        client = await self.start(node)
        response = await client.request(packets.Realpath(0, "plats/./a/.."))
        assert [entry.filename for entry in response.entries] == ["/plats"]
        for request in (
            packets.Remove(0, "/plats/t1"),
            packets.Rmdir(0, "/plats/d"),
            packets.Mkdir(0, "/plats/d", NO_ATTRIBUTES),
            packets.Setstat(0, "/plats/t1", NO_ATTRIBUTES),
        ):
            assert (await client.request(request)).code == StatusCode.OK
        assert node.requests == ["Remove", "Rmdir", "Mkdir", "Setstat"]

    async def test_size_of_an_unfinished_upload_needs_no_node(self) -> None:
        node = FakeSftpNode()
        client = await self.start(node)
        opened = await client.request(packets.Open(0, "/plats/t1", OpenFlags.WRITE, NO_ATTRIBUTES))
        await client.request(packets.Write(0, opened.handle, 0, b"scan"))
        assert (await client.request(packets.Fstat(0, opened.handle))).attributes.size == 4
        assert node.accepted_connections == 0

    async def test_listing_is_split_into_responses_of_at_most_64_entries(self) -> None:
        node = FakeSftpNode()
        node.files = {f"/plats/{number}": b"" for number in range(100)}
        client = await self.start(node)
        opened = await client.request(packets.Opendir(0, "/plats"))
        sizes = [len((await client.request(packets.Readdir(0, opened.handle))).entries) for _ in range(2)]
        assert sizes == [64, 36]
        end = await client.request(packets.Readdir(0, opened.handle))
        assert_status(end, StatusCode.EOF, "end of listing")
