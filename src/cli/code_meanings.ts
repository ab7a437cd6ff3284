/**
 * What each refusal code means, and what to do.
 * @module
 */

/** Sentences for operators, by code. */
export const CODE_MEANINGS: Readonly<Record<string, string>> = {
  LAGOON_ACCESS_NO_KEY:
    "Without a shared key the ports bind to loopback alone. Give --key.",
  LAGOON_ADMIN_KEY:
    "The shared key is wrong. Give --key or LAGOON_KEY as the nodes have it.",
  LAGOON_ADMIN_PATH:
    "The node has no such path. Use lagoonctl of the node's version.",
  LAGOON_ANNOUNCEMENT_MALFORMED:
    "An upstream announced nonsense. Mend the field that is named.",
  LAGOON_ANNOUNCEMENT_UNLISTED:
    "No list names the upstream's service. Add a use entry for it.",
  LAGOON_APPEND_CLOSED:
    "The node stopped before the verdict. Ask another node and apply again.",
  LAGOON_APPEND_OVERFLOW:
    "Too many records wait for the log. Nothing was sent; apply again later.",
  LAGOON_APPEND_SKIPPED:
    "The edit is in the log, but a snapshot hid its verdict. See 'audit'.",
  LAGOON_APPEND_TIMEOUT:
    "No verdict came in time; the log may be out. See 'audit', apply again.",
  LAGOON_BODY_MALFORMED:
    "The request is not a JSON object in UTF-8. Use lagoonctl.",
  LAGOON_BODY_TOO_LARGE:
    "The edit is too large. Apply fewer changes at a time.",
  LAGOON_CALL_BODY_GONE:
    "The body had begun to flow and can't be sent again. It did not run.",
  LAGOON_CALL_BODY_LATE:
    "The caller's body did not come in time. The call did not run.",
  LAGOON_CALL_DEADLINE:
    "The call's time ran out while it waited. It did not run.",
  LAGOON_CALL_DEADLINE_MALFORMED:
    "The header lagoon-deadline-ms is no number of milliseconds. Mend it.",
  LAGOON_CALL_DRAINING:
    "The upstream leaves. The call did not run and may be repeated.",
  LAGOON_CALL_KEY_TOO_LONG:
    "A customer or idempotency key has over 256 characters. Shorten it.",
  LAGOON_CALL_LATE: "The call's time ran out after dispatch. It may have run.",
  LAGOON_CALL_MEMORY:
    "The node holds too many bodies. The call did not run; try again.",
  LAGOON_CALL_METHOD:
    "The route does not allow this method. Add it to the use entry.",
  LAGOON_CALL_NO_CONFIG:
    "The node has no configuration yet. Check that it reaches its seeds.",
  LAGOON_CALL_NO_CUSTOMER:
    "The call names no customer. Callers send the header lagoon-customer.",
  LAGOON_CALL_NO_ENDPOINT:
    "The home lost its upstream. The call did not run and may be repeated.",
  LAGOON_CALL_NO_HOME:
    "No home took the call. It did not run; check the upstreams' health.",
  LAGOON_CALL_NO_PLAN:
    "The customer holds no plan. Add it to the list of customers.",
  LAGOON_CALL_NO_ROUTE:
    "The plan has no such route. Add it to the use entry if it should.",
  LAGOON_CALL_NO_SERVICE:
    "The plan may not use this service. Add a use entry if it should.",
  LAGOON_CALL_OVERLOADED:
    "The upstreams are full. The call did not run; add upstreams.",
  LAGOON_CALL_QUARANTINED:
    "The request crashed upstreams. Mend it; it is let through again later.",
  LAGOON_CALL_SERVICE_ABSENT:
    "No upstream of the service is up. Its routes return when one is.",
  LAGOON_CALL_STOPPING:
    "The node stops. The call did not run; use another node.",
  LAGOON_CALL_TOO_LARGE: "The call's body is too large. It did not run.",
  LAGOON_CALL_UNKNOWN:
    "The answer was lost after dispatch. The call may have run.",
  LAGOON_CALL_UNREACHABLE:
    "No connection to the home or upstream. The call did not run.",
  LAGOON_CALL_URL: "The URL names no service, or is malformed. Mend the call.",
  LAGOON_CLAIM_MALFORMED:
    "A claim in the log is not of this version. It changed nothing.",
  LAGOON_EDIT_CONFLICT:
    "Someone changed the entry first. Look at 'show' and apply again.",
  LAGOON_EDIT_PLAN_IN_USE:
    "Customers hold the plan. Move them in the same edit.",
  LAGOON_EDIT_UNKNOWN_PLAN:
    "No use entry names the plan. Add one in the same edit.",
  LAGOON_EDIT_VERSION_WITHDRAWN:
    "The version was taken back. Fix it, or 'reinstate' it first.",
  LAGOON_LEASE_STALE_TERM:
    "Another node leads the rollout by now. Nothing to do.",
  LAGOON_LIST_INVALID:
    "A list file is wrong at the line told. Nothing was sent.",
  LAGOON_LOG_OFFSET_GONE:
    "The log dropped the records. The node starts from a snapshot.",
  LAGOON_LOG_REFUSED:
    "The platform's log refused. Calls go on; edits wait for its return.",
  LAGOON_LOG_REPLY_MALFORMED:
    "The platform's log answered nonsense. Check --log-url.",
  LAGOON_LOG_UNREACHABLE:
    "The platform's log is out of reach. Calls go on; edits have to wait.",
  LAGOON_NODE_ANSWER:
    "The answer is not a node's. Check that --node is an operators' port.",
  LAGOON_NODE_SILENT:
    "The node's answer never came. See 'audit' at another node, apply again.",
  LAGOON_NODE_UNREACHABLE: "The node does not answer. Ask another one.",
  LAGOON_ONCE_AWAY:
    "The log or its readers are away. The call did not run; try again.",
  LAGOON_ONCE_IN_PROGRESS:
    "The first call with this key still runs. Send it again later.",
  LAGOON_ONCE_MISMATCH: "The key belongs to another request. Take a new key.",
  LAGOON_ONCE_UNKNOWN:
    "Whether the first call ran is unknown. Check before taking a new key.",
  LAGOON_PEER_KEY:
    "A node has another shared key. Give all nodes the old and the new one.",
  LAGOON_PEER_MESSAGE_MALFORMED:
    "A peer sent nonsense or is of another version. Upgrade all nodes.",
  LAGOON_RECORD_MALFORMED:
    "A record in the log is not of this version. It changed nothing.",
  LAGOON_REINSTATE_NOT_WITHDRAWN:
    "The version was not taken back. Nothing to do.",
  LAGOON_ROLLOUT_ENDED: "The rollout had ended already. Nothing to do.",
  LAGOON_ROLLOUT_STEP_ORDER:
    "A step came before the one it needs. The leader goes on by itself.",
  LAGOON_ROLLOUT_UNKNOWN:
    "No such rollout is on record. Run 'rollouts' for those there are.",
  LAGOON_SETTINGS_INVALID: "A flag or variable is wrong. Run with --help.",
  LAGOON_SNAPSHOT_CORRUPT:
    "A snapshot was damaged. An older one or another node is used instead.",
  LAGOON_SNAPSHOT_NONE:
    "The log has no whole snapshot. Keep a node running that has the state.",
  LAGOON_TRACE_DIVERGED:
    "A replay decided otherwise than the trace. Record it again if meant.",
  LAGOON_TRACE_OUTCOME:
    "A recorded trace breaks an outcome that is stated for it.",
};
