import { AdmissionController } from '@daisyferry/admission/admission-controller';
import { DownstreamThresholds } from '@daisyferry/admission/downstream-thresholds';
import { ThresholdBook } from '@daisyferry/admission/threshold-book';
import { ActiveCalls } from '@daisyferry/callpath/active-calls';
import { AdmissionGate } from '@daisyferry/callpath/admission-gate';
import { CallEntry } from '@daisyferry/callpath/call-entry';
import { CallHome } from '@daisyferry/callpath/call-home';
import type { EntryCall, EntryPoint } from '@daisyferry/callpath/entry-call';
import type { LocalTarget } from '@daisyferry/callpath/local-target';
import { PassThroughEntry } from '@daisyferry/callpath/pass-through-entry';
import { PassThroughHome } from '@daisyferry/callpath/pass-through-home';
import { RootBook } from '@daisyferry/callpath/root-book';
import { TicketIssuer } from '@daisyferry/callpath/ticket-issuer';
import { ExecutionRecords } from '@daisyferry/execution/execution-records';
import { mintTicket } from '@daisyferry/execution/ticket';
import type { Member, MemberDirectory } from '@daisyferry/model/member';
import type { LimitRule } from '@daisyferry/model/policy';
import type { PolicyTable } from '@daisyferry/model/policy-table';
import { PurseBook } from '@daisyferry/retries/purse-book';
import { RetryShare } from '@daisyferry/retries/retry-share';
import { TargetPicker } from '@daisyferry/routing/target-picker';
import type { DaemonBase } from './daemon-base';
import type { OwnHome } from './home-http-client';
import { HomeHttpClient } from './home-http-client';
import { HttpRootForwarder } from './http-root-forwarder';
import { TargetHttpClient } from './target-http-client';

export interface CallPathContext extends Pick<
  DaemonBase,
  'settings' | 'self' | 'codec' | 'targetPools' | 'peerPools' | 'scheduler' | 'random' | 'timeline'
> {
  readonly directory: MemberDirectory;
  readonly policies: PolicyTable;
  readonly target: LocalTarget;
  readonly newId: () => string;
}

export interface CallPathParts {
  readonly entry: EntryPoint;
  readonly home: OwnHome;
  readonly issuer: TicketIssuer;
  readonly admission: AdmissionController;
  readonly gate: AdmissionGate;
  readonly activeCalls: ActiveCalls;
  readonly records: ExecutionRecords;
  readonly roots: RootBook;
  readonly thresholds: ThresholdBook;
  readonly picker: TargetPicker;
}

/** Limits in force until the first policy arrives. */
export const LIMITS_BEFORE_POLICY: LimitRule = {
  queueDelayTargetMs: 20,
  maxQueueMs: 300,
  warmUpMs: 3_000,
};

const SUBSET_SIZE = 12;
/** Idempotent root requests whose retry tokens are kept. */
const MAX_KEPT_ROOTS = 20_000;
const MAX_TICKET_LIFETIME_MS = 600_000;
const MAX_CLOCK_SKEW_MS = 60_000;

function createShares(): (service: string) => RetryShare {
  const shares = new Map<string, RetryShare>();
  return (service) => {
    const present = shares.get(service);
    if (present !== undefined) return present;
    const share = new RetryShare();
    shares.set(service, share);
    return share;
  };
}

/** Builds the parts that serve calls. */
export function buildCallPath(context: CallPathContext): CallPathParts {
  const { settings, self, directory, policies, codec, scheduler, random, timeline } = context;
  const disabled = new Set(settings.disabledMechanisms);
  const nowMs = scheduler.nowMs();
  const admission = new AdmissionController(
    { slots: settings.slots, limits: LIMITS_BEFORE_POLICY, disabled, random },
    nowMs,
  );
  const gate = new AdmissionGate(admission, scheduler);
  const downstream = new DownstreamThresholds();
  const thresholds = new ThresholdBook();
  const activeCalls = new ActiveCalls();
  const records = new ExecutionRecords({
    self,
    byteBudget: settings.limits.recordBytes,
    maxLifetimeMs: MAX_TICKET_LIFETIME_MS,
    maxClockSkewMs: MAX_CLOCK_SKEW_MS,
  });
  const picker = new TargetPicker({
    self,
    dataCentre: settings.dataCentre,
    region: settings.region,
    directory,
    random,
    subsetSize: SUBSET_SIZE,
    disabled,
  });
  const targetClient = new TargetHttpClient(context.target, context.targetPools, {
    connections: settings.connections,
    maxHeldBytes: settings.limits.maxHeldBodyBytes,
  });
  const home: OwnHome =
    settings.mode === 'passThrough'
      ? new PassThroughHome(targetClient)
      : new CallHome({
          service: settings.service,
          policies,
          records,
          admission,
          gate,
          downstream,
          activeCalls,
          target: context.target,
          targetClient,
          scheduler,
          timeline,
        });
  const homes = new HomeHttpClient(home, context.peerPools, codec, {
    selfName: self.name,
    maxHeldBytes: settings.limits.maxHeldBodyBytes,
    connectionsTo: (member: Member) =>
      picker.connectionsAllowed(member, Math.max(1, directory.membersOf(settings.service).length)),
  });
  const roots = new RootBook(new PurseBook(), MAX_KEPT_ROOTS);
  const issuer = new TicketIssuer({
    self,
    policies,
    picker,
    codec,
    scheduler,
    newId: context.newId,
  });
  const onNestedThreshold = (entry: EntryCall): void => {
    const { origin } = entry.request;
    if (origin.kind !== 'nested') return;
    const at = scheduler.nowMs();
    downstream.observeNested(
      origin.parent.method,
      thresholds.threshold(entry.thresholdKey, at),
      at,
      entry.thresholdKey,
    );
  };
  const entry: EntryPoint =
    settings.mode === 'passThrough'
      ? new PassThroughEntry({
          policies,
          directory,
          homes,
          scheduler,
          random,
          newId: context.newId,
        })
      : new CallEntry({
          policies,
          directory,
          codec,
          issuer,
          picker,
          homes,
          thresholds,
          self,
          roots,
          forwarder: new HttpRootForwarder(context.peerPools, settings.limits.maxHeldBodyBytes),
          shareOf: createShares(),
          scheduler,
          timeline,
          newId: context.newId,
          mint: (member, call) =>
            mintTicket(
              member.id,
              call.policy.tickets.lifetimeMs,
              context.newId(),
              scheduler.nowMs(),
            ),
          onNestedThreshold,
        });
  return { entry, home, issuer, admission, gate, activeCalls, records, roots, thresholds, picker };
}
