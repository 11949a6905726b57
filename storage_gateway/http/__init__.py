"""The HTTP server for clients and the HTTP client for storage nodes."""

from storage_gateway.http.bounded_request_handler import LINGER_S
from storage_gateway.http.node_client import NodeClient
from storage_gateway.http.server import HttpServer

__all__ = ["LINGER_S", "HttpServer", "NodeClient"]
