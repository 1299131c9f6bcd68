"""Stable names of event records."""

from enum import StrEnum, unique


@unique
class EventName(StrEnum):
    """All events that routers record; names and fields are stable.

    Each entry ends with the subject that `explain` finds it by and, after a
    colon, its fields.

    Attributes:
        REFUSAL: A call got no complete response of a backend server. Subject
            request: service, kind, run, detail.
        RETRY: A request is sent again from its start. Subject request:
            service, account, attempt, events, run, detail.
        RESUME: A stream continues on another backend server. Subject
            request: service, account, attempt, events, run, detail.
        RETRY_DENIED: A request could be sent again, but the retry budget is
            exhausted. Subject request: service, account, attempt, events, run,
            detail.
        ORDER_CLAIMED: The log decided on the claim of an order. Subject
            request: verdict, key.
        ORDER_CONCLUSION_LOST: The outcome of an order could not be written
            to the log; repeated calls are answered with "unknown". Subject
            idempotency key: reason.
        CONFIGURATION_IN_FORCE: This router uses a new configuration. Subject
            publish: revision, publisher.
        PUBLISH_ACCEPTED: The log accepted a publish. Subject publish:
            publisher, revision, winner, problems.
        PUBLISH_LOST: Another publish came first. Subject publish: publisher,
            revision, winner, problems.
        PUBLISH_INVALID: A publish was rejected because its files are not
            valid. Subject publish: publisher, revision, winner, problems.
        STATE_APPENDED: A log reader wrote a state to the log again before
            its retention time ends. Subject state: detail.
        STATE_APPEND_FAILED: Writing a state to the log again failed; it is
            retried. Subject state: detail.
        DATA_CENTRE_CHANGE_REQUESTED: An operator asked to take a data centre
            out or bring it back. Subject data centre: state, reason.
        DATA_CENTRE_STATE_CHANGED: This router has the new state in force.
            Subject data centre: state, counter, origin.
        MOVE_RUNNING: A version move started or reached a further stage.
            Subject move: service, stage, reason, evidence.
        MOVE_DONE: A version move is complete. Subject move: service, stage,
            reason, evidence.
        MOVE_TAKEN_BACK: A version move was reverted. Subject move: service,
            stage, reason, evidence.
        VERSION_STOPPED: This router sends nothing more to a new version, since
            the responses of the fleet show that it is bad. Subject move:
            service, evidence.
        POOL_TAKEN_OVER: This router allocates for a pool from now on. Subject
            pool: epoch, reason.
        POOL_LEFT: This router no longer allocates for a pool. Subject pool:
            owner, reason.
        SERVER_COLD: The limit of a backend server fell, or its pool has a new
            owner that has not seen it warm. Subject server: pool, limit,
            before, slots.
        SERVER_RAMPING: The limit of a backend server rises. Subject server:
            pool, limit, before, slots.
        SERVER_WARM: A backend server has all its slots. Subject server: pool,
            limit, before, slots.
        MEMBER_STATE: This router sees another router in a new state. Subject
            router: state, incarnation.
        PEER_REJECTED: A connection was closed because of an invalid frame or
            fleet key. Subject router or address: reason.
        PLATFORM_UNREACHABLE: A log reader cannot reach the platform. Subject
            router: reason.
        PLATFORM_REACHABLE: A log reader can reach the platform again. Subject
            router: reason.
        SERVER_STATE: This router uses a new entry of a backend server, removed
            it, read in a response that the server leaves, or found an outdated
            entry in a store that has come back from an older copy. Subject
            server: state, offset.
        SERVERS_ORDERED: The platform accepted an order of this router, which
            holds the duty of scaling. `wanted` are the servers in all data
            centres for the demand; `cause` is `shortage`, `idle_room`,
            `even_parts` or `holder_changed`. Subject service: data_centre,
            desired, before, wanted, cause, number.
        FLEET_SIZE: The number of routers that this router sees has changed.
            Subject router: routers, is_whole.
        REQUEST_ENDED: A request of a caller ended. Subject request: route,
            service, account, server, outcome, status, attempts, reason,
            revision, waited_ms, first_byte_ms, total_ms; with a response of a
            server also framing, kept_connection, body_bytes; with one that
            ended with its connection also end, new_connection,
            earlier_connections, is_leaving, has_paused.
        WORK_PLACED: Requests were placed by learned speeds or by data centre
            within the last second. Subject service: sent, preferred,
            elsewhere, elsewhere_preferred, slow_servers, slow.
        CAPACITY_SHORT: Requests for a service waited or were refused within
            the last second; levels are decayed costs over the fleet. Subject
            service: sent, refused, timed_out, beyond_share, held_back,
            without_room, waiting_accounts, fair_level, begun, taken_room,
            mean_window, sum_age_ms, sum_routers.
        REQUESTS_TURNED_AWAY: Requests for a service waited past their
            objective, were told when to return, or returned, within the last
            second. `returned_early` came back before the least time that any
            refusal states. Subject service: waited_late, sent_late, returned,
            returned_early, told_to_return, mean_return_ms, longest_return_ms.
        ACCOUNT_SHARES: What client accounts asked and got of a service within
            a second, at this router: lists of the same length, costs as
            callers expect them, and the number of refused and late requests. A
            request that is asked again after a refusal counts again. `beyond`
            and `no_room` were refused, `not_begun` was sent in vain; `begun`
            contains `repeated` and `surplus`.
            Subject service: second, accounts, asked, sent, begun, refused,
            late, largest, beyond, no_room, not_begun, repeated, surplus,
            left_out.
        ATTEMPT_FAILED: An attempt at a request on a backend server failed.
            Subject request: server, reason, run, entry_version, entry_age_ms,
            answered_ms, parts; with the head of a response also framing,
            kept_connection, body_bytes; with one that ended with its connection
            also end, new_connection, earlier_connections, is_leaving,
            has_paused.
        SERVER_LIMITED: A backend server named a new limit on the requests that
            it takes from the fleet in a second, or no longer names one.
            Subject server: rate, before.
        SERVER_CHECKED: A backend server closed connections before it had
            answered. It has crashed if it refuses new ones, had not said that
            it leaves, and routers near it are heard of. Subject server:
            is_crashed, unanswered, verdict.
        BYTES_UNREQUESTED: A backend server sent bytes that answer no request
            in progress on their connection, such as a response for the second
            time. Subject server: where, request.
        PROMPT_BLOCKED: Prompts with these parts are refused from now on,
            since servers crashed under them; without accounts, those of all.
            Subject prompt parts: service, accounts, crashes, origin.
        PROMPT_TRIED: One request with blocked parts is sent, to find out if the
            block is wrong. Subject prompt parts: service, accounts, crashes,
            origin.
        PROMPT_RELEASED: Prompts with these parts are no longer refused, since
            one of each part was answered. Subject prompt parts: service,
            accounts, crashes, origin.
        CALLERS_REFUSED: Callers were refused within the last second for what
            they sent, or closed for the number of connections. Subject cause:
            refused, held_bytes, begun_bytes, connections.
        LINES_DROPPED: Lines of requests that were rejected for load were not
            written, to bound the log. Subject error kind: lines.
        PROCESS_STATE: The process starts, is ready, reads its settings again
            or stops. Subject router: state, detail.
        LOOP_DELAYED: The event loop was late within the last second, at most by
            `largest_ms`; `average_ms` decides on overload. `largest_batch` is
            the most connections that waited at once. Subject router:
            largest_ms, average_ms, accepted, largest_batch, running.
        LOG_RECORDS_MISSED: The log dropped records before they were read.
            Subject router: earliest.
        STORE_RESTORED: The platform's store has come back from an older copy;
            the newest record of each key was read again. Subject topic: era,
            before, position, position_before.
        RECORD_HELD: An older copy of the platform's store lacks a record of
            the operators, or has one from before it; what was in force holds
            for some seconds, unless the key is written again. Subject key:
            offset, is_lost, seconds.
        DUTY_CLAIMED: This router holds a duty. Subject duty: number, origin of
            the notes on what earlier holders did.
        DUTY_ENDED: This router does not hold a duty any more, since it could
            not renew its lease, another router has claimed it, or an operator
            or a planned stop ended it. Subject duty: number, is_given_up.
        USAGE_REPORTED: The platform took the report of a window. Subject
            window: requests, accounts, routers, is_complete (all known routers
            had sent their counts), seconds after the window's end, is_late.
        USAGE_LEFT_OUT: A window is not reported. Subject window: reason.
        RECORD_HOLD_ENDED: Nobody has written such a key again; what the store
            has is in force. Subject key: offset.
    """

    REFUSAL = 'refusal'
    RETRY = 'retry'
    RESUME = 'resume'
    RETRY_DENIED = 'retry_denied'
    ORDER_CLAIMED = 'order_claimed'
    ORDER_CONCLUSION_LOST = 'order_conclusion_lost'
    CONFIGURATION_IN_FORCE = 'configuration_in_force'
    PUBLISH_ACCEPTED = 'publish_accepted'
    PUBLISH_LOST = 'publish_lost'
    PUBLISH_INVALID = 'publish_invalid'
    STATE_APPENDED = 'state_appended'
    STATE_APPEND_FAILED = 'state_append_failed'
    DATA_CENTRE_CHANGE_REQUESTED = 'data_centre_change_requested'
    DATA_CENTRE_STATE_CHANGED = 'data_centre_state_changed'
    MOVE_RUNNING = 'move_running'
    MOVE_DONE = 'move_done'
    MOVE_TAKEN_BACK = 'move_taken_back'
    VERSION_STOPPED = 'version_stopped'
    POOL_TAKEN_OVER = 'pool_taken_over'
    POOL_LEFT = 'pool_left'
    SERVER_COLD = 'server_cold'
    SERVER_RAMPING = 'server_ramping'
    SERVER_WARM = 'server_warm'
    MEMBER_STATE = 'member_state'
    PEER_REJECTED = 'peer_rejected'
    PLATFORM_UNREACHABLE = 'platform_unreachable'
    PLATFORM_REACHABLE = 'platform_reachable'
    SERVER_STATE = 'server_state'
    SERVERS_ORDERED = 'servers_ordered'
    FLEET_SIZE = 'fleet_size'
    REQUEST_ENDED = 'request_ended'
    WORK_PLACED = 'work_placed'
    CAPACITY_SHORT = 'capacity_short'
    REQUESTS_TURNED_AWAY = 'requests_turned_away'
    ACCOUNT_SHARES = 'account_shares'
    ATTEMPT_FAILED = 'attempt_failed'
    SERVER_LIMITED = 'server_limited'
    SERVER_CHECKED = 'server_checked'
    BYTES_UNREQUESTED = 'bytes_unrequested'
    PROMPT_BLOCKED = 'prompt_blocked'
    PROMPT_TRIED = 'prompt_tried'
    PROMPT_RELEASED = 'prompt_released'
    CALLERS_REFUSED = 'callers_refused'
    LINES_DROPPED = 'lines_left_out'
    PROCESS_STATE = 'process_state'
    LOOP_DELAYED = 'loop_delayed'
    LOG_RECORDS_MISSED = 'log_records_missed'
    STORE_RESTORED = 'store_restored'
    RECORD_HELD = 'record_held'
    RECORD_HOLD_ENDED = 'record_hold_ended'
    DUTY_CLAIMED = 'duty_claimed'
    DUTY_ENDED = 'duty_ended'
    USAGE_REPORTED = 'usage_reported'
    USAGE_LEFT_OUT = 'usage_left_out'
