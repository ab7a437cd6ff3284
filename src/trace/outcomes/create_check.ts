/**
 * Creates the check of an outcome by its name.
 * @module
 */
import { RolloutPhase } from "../../config_log/state.ts";
import { exhausted } from "../../core/exhausted.ts";
import { checkAppends } from "./check_appends.ts";
import { checkCallsEnd } from "./check_calls_end.ts";
import { checkCrashes } from "./check_crashes.ts";
import { checkDigests } from "./check_digests.ts";
import { checkDraining } from "./check_draining.ts";
import { checkEditsInForce } from "./check_edits_in_force.ts";
import { checkFirstShare } from "./check_first_share.ts";
import { checkFoldUnchanged } from "./check_fold_unchanged.ts";
import { checkLeaseTerms } from "./check_lease_terms.ts";
import { checkLogFailures } from "./check_log_failures.ts";
import { checkMembers } from "./check_members.ts";
import { checkNotRun } from "./check_not_run.ts";
import { checkPresence } from "./check_presence.ts";
import { checkRolloutEnd } from "./check_rollout_end.ts";
import { checkRunsPerKey } from "./check_runs_per_key.ts";
import { checkVersions } from "./check_versions.ts";
import { checkWithdrawn } from "./check_withdrawn.ts";
import { type OutcomeCheck, OutcomeName } from "./outcome.ts";

/** Creates the check. Each replay needs a new check, as checks keep state. */
export function createCheck(name: OutcomeName): OutcomeCheck {
  switch (name) {
    case OutcomeName.VersionNeverFalls:
      return checkVersions();
    case OutcomeName.AcceptedEditInForce:
      return checkEditsInForce();
    case OutcomeName.RefusedEditChangesNothing:
      return checkFoldUnchanged("refused");
    case OutcomeName.RepeatChangesNothing:
      return checkFoldUnchanged("repeated");
    case OutcomeName.DigestAgrees:
      return checkDigests();
    case OutcomeName.WithdrawnStaysBack:
      return checkWithdrawn();
    case OutcomeName.NoRouteToAbsentService:
      return checkPresence();
    case OutcomeName.FirstShareSmall:
      return checkFirstShare();
    case OutcomeName.NoStepAfterLostLease:
      return checkLeaseTerms();
    case OutcomeName.RolloutDone:
      return checkRolloutEnd(RolloutPhase.Done);
    case OutcomeName.RolloutTakenBack:
      return checkRolloutEnd(RolloutPhase.RolledBack);
    case OutcomeName.AppendSettledOnce:
      return checkAppends();
    case OutcomeName.LogFailureSeen:
      return checkLogFailures();
    case OutcomeName.AtMostOneRunPerKey:
      return checkRunsPerKey();
    case OutcomeName.NotRunNeverRuns:
      return checkNotRun();
    case OutcomeName.CrashesAtMostTwo:
      return checkCrashes();
    case OutcomeName.DrainingGetsNoNewWork:
      return checkDraining();
    case OutcomeName.StartedCallsEnd:
      return checkCallsEnd();
    case OutcomeName.MembersKnownAgain:
      return checkMembers();
    default:
      return exhausted(name);
  }
}
