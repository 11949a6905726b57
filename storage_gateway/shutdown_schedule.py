"""When the steps of a graceful shutdown begin, so that all of them fit into the termination grace period."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Self

from storage_gateway.http.bounded_request_handler import LINGER_S

EXIT_TIME_S = 0.15  # reserved for the exit of the process
NEW_CONNECTIONS_TIME_S = 0.45  # clients open connections for up to 0.4 s after SIGTERM
MIN_ACCEPT_TIME_S = 0.75  # requests are accepted for at least this long, if the grace period has room for it
RESERVED_LATENCY_OBJECTIVES = 2.0  # for the last requests accepted, in multiples of the shortest objective
LAST_RESPONSE_TIME_S = 0.1  # for the last requests accepted, however short the objective is


@dataclass(slots=True, frozen=True)
class ShutdownSchedule:
    """The times at which the steps of a shutdown end, in seconds after its begin.

    They are in this order, and the last one leaves ``EXIT_TIME_S`` of the grace period.

    Attributes:
        accept_time_s: until then, requests are accepted; then the listener and the idle connections close.
        response_time_s: by then, each request has its response, and an incomplete one is rejected.
        close_time_s: by then, all connections are closed. In between, clients read the last responses.
    """

    accept_time_s: float
    response_time_s: float
    close_time_s: float

    @classmethod
    def fit(cls, grace_period_s: float, latency_objectives_s: list[float]) -> Self:
        """Fit the steps into a termination grace period.

        No other instance serves the clients of this one until it is back, so it accepts requests for as long
        as the class with the shortest latency objective can be served. A grace period that is too short for
        all steps shortens the acceptance first, down to the time in which clients still open connections, and
        then the time for the last responses and for reading them.

        Args:
            grace_period_s: seconds until the process is killed, at least 0.7.
            latency_objectives_s: the latency objective of each request class.
        """
        close_time_s = grace_period_s - EXIT_TIME_S
        latest_s = max(NEW_CONNECTIONS_TIME_S, close_time_s - LINGER_S - LAST_RESPONSE_TIME_S)
        wanted_s = close_time_s - RESERVED_LATENCY_OBJECTIVES * min(latency_objectives_s)
        accept_time_s = min(latest_s, max(MIN_ACCEPT_TIME_S, wanted_s))
        remaining_s = close_time_s - accept_time_s
        linger_s = min(LINGER_S, remaining_s - min(LAST_RESPONSE_TIME_S, remaining_s / 2))
        return cls(accept_time_s, close_time_s - linger_s, close_time_s)

    @property
    def linger_s(self) -> float:
        """Seconds that clients have to read the last response and close."""
        return self.close_time_s - self.response_time_s
