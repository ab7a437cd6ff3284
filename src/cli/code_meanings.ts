/**
 * What each refusal code means, and what to do.
 * @module
 */

/** Sentences for operators, by code. */
export const CODE_MEANINGS: Readonly<Record<string, string>> = {
  LAGOON_ACCESS_NO_KEY:
    "Without a shared key, ports can bind to loopback only. Give --key.",
  LAGOON_ADMIN_KEY:
    "The shared key is wrong. Give the nodes' key by --key or LAGOON_KEY.",
  LAGOON_ADMIN_PATH:
    "The node has no such path. Use the lagoonctl of the node's version.",
  LAGOON_ANNOUNCEMENT_MALFORMED:
    "An upstream's announcement is malformed. Correct the field named.",
  LAGOON_ANNOUNCEMENT_UNLISTED:
    "No list names the upstream's service. Add a use entry for it.",
  LAGOON_APPEND_CLOSED:
    "The node stopped before the verdict. Apply again at another node.",
  LAGOON_APPEND_OVERFLOW:
    "Too many records wait for the log. Nothing was sent; apply again later.",
  LAGOON_APPEND_SKIPPED:
    "The edit is in the log; a snapshot skipped its verdict. See 'audit'.",
  LAGOON_APPEND_TIMEOUT:
    "No verdict came in time; the log may be down. See 'audit', apply again.",
  LAGOON_BODY_MALFORMED:
    "The request is not a JSON object in UTF-8. Use lagoonctl.",
  LAGOON_BODY_TOO_LARGE:
    "The edit is too large. Apply fewer changes at a time.",
  LAGOON_CALL_BODY_GONE:
    "The body was partly sent and can't be sent again. The call did not run.",
  LAGOON_CALL_BODY_LATE:
    "The caller's body did not come in time. The call did not run.",
  LAGOON_CALL_DEADLINE:
    "The call's deadline passed while it waited. It did not run.",
  LAGOON_CALL_DEADLINE_MALFORMED:
    "The header lagoon-deadline-ms is no number of milliseconds. Correct it.",
  LAGOON_CALL_DRAINING:
    "The upstream is draining. The call did not run and may be retried.",
  LAGOON_CALL_KEY_TOO_LONG:
    "A customer or idempotency key has over 256 characters. Shorten it.",
  LAGOON_CALL_LATE:
    "The call's deadline passed after dispatch. It may have run.",
  LAGOON_CALL_MEMORY:
    "The node buffers too many bodies. The call did not run; try again.",
  LAGOON_CALL_METHOD:
    "The route does not allow this method. Add it to the use entry.",
  LAGOON_CALL_NO_CONFIG:
    "The node has no configuration yet. Check that it reaches its seeds.",
  LAGOON_CALL_NO_CUSTOMER:
    "The call names no customer. Callers send the header lagoon-customer.",
  LAGOON_CALL_NO_ENDPOINT:
    "The home node lost its upstream. The call did not run; retry it.",
  LAGOON_CALL_NO_HOME:
    "No home node took the call. It did not run; check upstream health.",
  LAGOON_CALL_NO_PLAN:
    "The customer holds no plan. Add it to the list of customers.",
  LAGOON_CALL_NO_ROUTE:
    "The plan has no such route. Add it to the use entry if it should.",
  LAGOON_CALL_NO_SERVICE:
    "The plan may not use this service. Add a use entry if it should.",
  LAGOON_CALL_OVERLOADED:
    "The upstreams are at capacity. The call did not run; add upstreams.",
  LAGOON_CALL_QUARANTINED:
    "The request crashed upstreams and is blocked for a time. Correct it.",
  LAGOON_CALL_SERVICE_ABSENT:
    "No upstream of the service is ready. Its routes return when one is.",
  LAGOON_CALL_STOPPING:
    "The node is stopping. The call did not run; use another node.",
  LAGOON_CALL_TOO_LARGE: "The call's body is too large. It did not run.",
  LAGOON_CALL_UNKNOWN:
    "The answer was lost after dispatch. The call may have run.",
  LAGOON_CALL_UNREACHABLE:
    "No connection to the home node or upstream. The call did not run.",
  LAGOON_CALL_URL:
    "The URL names no service or is malformed. Correct the call.",
  LAGOON_CLAIM_MALFORMED:
    "A claim in the log is malformed or of another version; it is ignored.",
  LAGOON_EDIT_CONFLICT:
    "Someone changed the entry first. Look at 'show' and apply again.",
  LAGOON_EDIT_PLAN_IN_USE:
    "Customers hold the plan. Give them another plan in the same edit.",
  LAGOON_EDIT_UNKNOWN_PLAN:
    "No use entry names the plan. Add one in the same edit.",
  LAGOON_EDIT_VERSION_WITHDRAWN:
    "The version was rolled back. Use a fixed one, or 'reinstate' it first.",
  LAGOON_HEALTH_REQUEST_FAILED:
    "The endpoint's health answer is missing or useless. Look at its own logs.",
  LAGOON_LEASE_STALE_TERM: "Another node leads the rollout now. Nothing to do.",
  LAGOON_LIST_INVALID:
    "A list file is wrong at the line given. Nothing was sent.",
  LAGOON_LOG_OFFSET_GONE:
    "The log dropped the records. The node starts from a snapshot.",
  LAGOON_LOG_REFUSED:
    "The platform's log refused a request. Calls go on; edits must wait.",
  LAGOON_LOG_REPLY_MALFORMED:
    "The platform's log sent a malformed reply. Check --log-url.",
  LAGOON_LOG_UNREACHABLE:
    "The platform's log can't be reached. Calls go on; edits must wait.",
  LAGOON_NODE_ANSWER:
    "The reply is not a node's. Check that --node is an operators' port.",
  LAGOON_NODE_SILENT:
    "The node did not answer. See 'audit' at another node, apply again.",
  LAGOON_NODE_UNREACHABLE: "The node can't be reached. Use another one.",
  LAGOON_ONCE_AWAY:
    "The log or its claim readers can't be reached. It did not run; retry.",
  LAGOON_ONCE_IN_PROGRESS:
    "The first call with this key still runs. Send the call again later.",
  LAGOON_ONCE_MISMATCH: "The key belongs to another request. Use a new key.",
  LAGOON_ONCE_UNKNOWN:
    "Whether the first call ran is unknown. Check before using a new key.",
  LAGOON_PEER_KEY:
    "A node has another shared key. Give all nodes the old and the new one.",
  LAGOON_PEER_MESSAGE_MALFORMED:
    "A peer's message is malformed or of another version. Upgrade all nodes.",
  LAGOON_RECORD_MALFORMED:
    "A record in the log is malformed or of another version; it is ignored.",
  LAGOON_REINSTATE_NOT_WITHDRAWN:
    "The version was not rolled back. Nothing to do.",
  LAGOON_ROLLOUT_ENDED: "The rollout had ended already. Nothing to do.",
  LAGOON_ROLLOUT_STEP_ORDER:
    "A step was written out of order. The leader continues by itself.",
  LAGOON_ROLLOUT_UNKNOWN:
    "No such rollout is on record. Run 'rollouts' for those there are.",
  LAGOON_SETTINGS_INVALID: "A flag or variable is wrong. Run with --help.",
  LAGOON_SNAPSHOT_CORRUPT:
    "A snapshot is damaged. An older one or another node's state is used.",
  LAGOON_SNAPSHOT_NONE:
    "The log has no complete snapshot. Keep a node with the state running.",
  LAGOON_STORE_RESTORED:
    "The store came back from an older copy. What nodes know is written again.",
  LAGOON_TRACE_DIVERGED:
    "A replayed decision differs from the trace. If intended, record again.",
  LAGOON_TRACE_OUTCOME:
    "A recorded trace violates an outcome that must hold for it.",
};
