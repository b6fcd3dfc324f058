import { AdmissionController } from '@daisyferry/admission/admission-controller';
import { DownstreamThresholds } from '@daisyferry/admission/downstream-thresholds';
import { ActiveCalls } from '@daisyferry/callpath/active-calls';
import { AdmissionGate } from '@daisyferry/callpath/admission-gate';
import { HomeCallHandler } from '@daisyferry/callpath/home-call-handler';
import { PassThroughHome } from '@daisyferry/callpath/pass-through-home';
import { ExecutionRecords } from '@daisyferry/execution/execution-records';
import type { LimitRule } from '@daisyferry/model/policy';
import type { CallPathContext } from './call-path-context';
import type { OwnHome } from './home-http-client';
import { TargetHttpClient } from './target-http-client';

/** Components that run calls on the target beside the daemon. */
export interface HomeParts {
  readonly home: OwnHome;
  readonly admission: AdmissionController;
  readonly gate: AdmissionGate;
  readonly activeCalls: ActiveCalls;
  readonly records: ExecutionRecords;
  readonly downstream: DownstreamThresholds;
}

/** Limits that apply until the first policy arrives. */
export const LIMITS_BEFORE_POLICY: LimitRule = {
  queueDelayTargetMs: 20,
  maxQueueMs: 300,
  warmUpMs: 3_000,
};

const MAX_TICKET_LIFETIME_MS = 600_000;
const MAX_CLOCK_SKEW_MS = 60_000;

function createAdmission({ settings, scheduler, random }: CallPathContext): AdmissionController {
  const disabled = new Set(settings.disabledMechanisms);
  return new AdmissionController(
    { slots: settings.slots, limits: LIMITS_BEFORE_POLICY, disabled, random },
    scheduler.nowMs(),
  );
}

/** Creates the home of a daemon; in pass-through mode, one without overload control. */
export function buildHome(context: CallPathContext): HomeParts {
  const { settings, self, scheduler, target } = context;
  const admission = createAdmission(context);
  const gate = new AdmissionGate(admission, scheduler);
  const downstream = new DownstreamThresholds();
  const activeCalls = new ActiveCalls();
  const records = new ExecutionRecords({
    self,
    byteBudget: settings.limits.recordBytes,
    maxLifetimeMs: MAX_TICKET_LIFETIME_MS,
    maxClockSkewMs: MAX_CLOCK_SKEW_MS,
  });
  const targetClient = new TargetHttpClient(target, context.targetPools, {
    connections: settings.connections,
    maxBufferedBytes: settings.limits.maxHeldBodyBytes,
  });
  const parts = { admission, gate, downstream, activeCalls, records };
  const home =
    settings.mode === 'passThrough'
      ? new PassThroughHome(targetClient)
      : new HomeCallHandler({ ...context, ...parts, service: settings.service, targetClient });
  return { ...parts, home };
}
