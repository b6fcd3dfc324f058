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

/** Components that route the calls arriving at this daemon to a home daemon. */
export interface EntryParts {
  readonly entry: EntryPoint;
  readonly issuer: TicketIssuer;
  readonly roots: RootRequestRegistry;
  readonly thresholds: ThresholdTracker;
  readonly picker: TargetPicker;
}

/** Targets used of each service in each group of distance. */
const SUBSET_SIZE = 12;
/** Maximum number of idempotent root requests whose retry tokens are kept. */
const MAX_TRACKED_ROOTS = 20_000;

function createRetryLimiters(): (service: string) => RetryRatioLimiter {
  const limiters = new Map<string, RetryRatioLimiter>();
  return (service) => {
    const existing = limiters.get(service);
    if (existing !== undefined) return existing;
    const limiter = new RetryRatioLimiter();
    limiters.set(service, limiter);
    return limiter;
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
  const countCallers = (): number => Math.max(1, directory.membersOf(settings.service).length);
  return new HomeHttpClient(home, peerPools, codec, {
    selfName: self.name,
    maxBufferedBytes: settings.limits.maxHeldBodyBytes,
    connectionsTo: (member: Member) => picker.connectionsAllowed(member, countCallers()),
  });
}

/** Records the threshold of a nested call for the method of its parent call. */
function createNestedThresholdObserver(
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

/** Creates the entry of a daemon; in pass-through mode, one without overload control. */
export function buildEntry(context: CallPathContext, home: HomeParts): EntryParts {
  const { settings, scheduler, newId } = context;
  const picker = createPicker(context);
  const thresholds = new ThresholdTracker();
  const roots = new RootRequestRegistry(new RetryTokenTable(), MAX_TRACKED_ROOTS);
  const issuer = new TicketIssuer({ ...context, picker });
  const homeClient = createHomeClient(context, home, picker);
  const parts = { picker, thresholds, roots, issuer };
  if (settings.mode === 'passThrough') {
    return { ...parts, entry: new PassThroughEntry({ ...context, homeClient }) };
  }
  const mint = (member: Member, { policy }: EntryCall): Ticket =>
    mintTicket(member.id, policy.tickets.lifetimeMs, newId(), scheduler.nowMs());
  const entry = new EntryCallHandler({
    ...context,
    ...parts,
    homeClient,
    forwarder: new HttpRootForwarder(context.peerPools, settings.limits.maxHeldBodyBytes),
    retryLimiterOf: createRetryLimiters(),
    mint,
    onNestedThreshold: createNestedThresholdObserver(context, home, thresholds),
  });
  return { ...parts, entry };
}
