import { ThresholdTracker } from '@daisyferry/admission/threshold-tracker';
import { EntryCallHandler } from '@daisyferry/callpath/entry-call-handler';
import type { EntryCall, EntryPoint } from '@daisyferry/callpath/entry-call';
import { PassThroughEntry } from '@daisyferry/callpath/pass-through-entry';
import { RootRequestRegistry } from '@daisyferry/callpath/root-request-registry';
import { TicketIssuer } from '@daisyferry/callpath/ticket-issuer';
import type { Ticket } from '@daisyferry/execution/ticket';
import { mintTicket } from '@daisyferry/execution/ticket';
import type { Member } from '@daisyferry/model/member';
import { RetryTokenTable } from '@daisyferry/retries/retry-token-table';
import { RetryRatioLimiter } from '@daisyferry/retries/retry-ratio-limiter';
import { TargetPicker } from '@daisyferry/routing/target-picker';
import type { CallPathContext } from './call-path-context';
import { HomeHttpClient } from './home-http-client';
import type { HomeParts } from './home-parts';
import { HttpRootForwarder } from './http-root-forwarder';

/** What finds a home for the calls that reach this daemon. */
export interface EntryParts {
  readonly entry: EntryPoint;
  readonly issuer: TicketIssuer;
  readonly roots: RootRequestRegistry;
  readonly thresholds: ThresholdTracker;
  readonly picker: TargetPicker;
}

const SUBSET_SIZE = 12;
/** Idempotent root requests whose retry tokens are kept. */
const MAX_KEPT_ROOTS = 20_000;

function createShares(): (service: string) => RetryRatioLimiter {
  const shares = new Map<string, RetryRatioLimiter>();
  return (service) => {
    const present = shares.get(service);
    if (present !== undefined) return present;
    const share = new RetryRatioLimiter();
    shares.set(service, share);
    return share;
  };
}

function createPicker(context: CallPathContext): TargetPicker {
  const { settings } = context;
  return new TargetPicker({
    ...context,
    dataCentre: settings.dataCentre,
    region: settings.region,
    subsetSize: SUBSET_SIZE,
    disabled: new Set(settings.disabledMechanisms),
  });
}

function createHomeClient(
  { settings, self, directory, peerPools, codec }: CallPathContext,
  { home }: HomeParts,
  picker: TargetPicker,
): HomeHttpClient {
  const callers = (): number => Math.max(1, directory.membersOf(settings.service).length);
  return new HomeHttpClient(home, peerPools, codec, {
    selfName: self.name,
    maxHeldBytes: settings.limits.maxHeldBodyBytes,
    connectionsTo: (member: Member) => picker.connectionsAllowed(member, callers()),
  });
}

/** Lets the threshold of a nested call count for the method of its parent. */
function nestedThresholds(
  { scheduler }: CallPathContext,
  { downstream }: HomeParts,
  thresholds: ThresholdTracker,
): (entry: EntryCall) => void {
  return ({ request, thresholdKey }) => {
    if (request.origin.kind !== 'nested') return;
    const nowMs = scheduler.nowMs();
    const threshold = thresholds.threshold(thresholdKey, nowMs);
    downstream.observeNested(request.origin.parent.method, threshold, nowMs, thresholdKey);
  };
}

/** Builds the entry of a daemon, or the one that passes everything through. */
export function buildEntry(context: CallPathContext, home: HomeParts): EntryParts {
  const { settings, scheduler, newId } = context;
  const picker = createPicker(context);
  const thresholds = new ThresholdTracker();
  const roots = new RootRequestRegistry(new RetryTokenTable(), MAX_KEPT_ROOTS);
  const issuer = new TicketIssuer({ ...context, picker });
  const homes = createHomeClient(context, home, picker);
  const parts = { picker, thresholds, roots, issuer };
  if (settings.mode === 'passThrough') {
    return { ...parts, entry: new PassThroughEntry({ ...context, homeClient: homes }) };
  }
  const mint = (member: Member, { policy }: EntryCall): Ticket =>
    mintTicket(member.id, policy.tickets.lifetimeMs, newId(), scheduler.nowMs());
  const entry = new EntryCallHandler({
    ...context,
    ...parts,
    homeClient: homes,
    forwarder: new HttpRootForwarder(context.peerPools, settings.limits.maxHeldBodyBytes),
    retryLimiterOf: createShares(),
    mint,
    onNestedThreshold: nestedThresholds(context, home, thresholds),
  });
  return { ...parts, entry };
}
