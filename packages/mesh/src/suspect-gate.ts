import type { CrashSuspects } from './crash-suspects';
import type { CallRefusalReasonName } from './forwarded-call';
import { CallRefusalReason } from './forwarded-call';

export interface SuspectGateParts {
  readonly suspects: CrashSuspects;
  /** Id of the home at which a request that was blocked is tried again. */
  readonly trialHomeOf: (service: string, fingerprint: string) => string | undefined;
  readonly ownDaemonId: string;
}

export interface GateQuery {
  readonly service: string;
  readonly fingerprint: string;
  /** Whether a request runs here that was admitted apart from other suspects. */
  readonly isApartRunning: () => boolean;
}

export type GateDecision =
  | { readonly kind: 'admitted'; readonly isApart: boolean }
  | {
      readonly kind: 'refused';
      readonly reason: CallRefusalReasonName;
      readonly roomInMs: number;
    };

/** Retry-after of a suspect while another one runs: about the time of one request. */
const APART_RETRY_AFTER_MS = 50;

/** The last decision of a home before a request that may crash its target begins to run. */
export class SuspectGate {
  constructor(private readonly parts: SuspectGateParts) {}

  admit({ service, fingerprint, isApartRunning }: GateQuery, nowMs: number): GateDecision {
    const { suspects, trialHomeOf, ownDaemonId } = this.parts;
    const { suspectRunning, crashesTargets } = CallRefusalReason;
    const decision = suspects.decide(fingerprint, nowMs);
    switch (decision.kind) {
      case 'free':
        return { kind: 'admitted', isApart: false };
      case 'apart':
        return isApartRunning()
          ? { kind: 'refused', reason: suspectRunning, roomInMs: APART_RETRY_AFTER_MS }
          : { kind: 'admitted', isApart: true };
      case 'blocked':
        return { kind: 'refused', reason: crashesTargets, roomInMs: decision.blockedForMs };
      case 'trial':
        if (isApartRunning() || trialHomeOf(service, fingerprint) !== ownDaemonId) {
          return { kind: 'refused', reason: crashesTargets, roomInMs: APART_RETRY_AFTER_MS };
        }
        suspects.beginTrial(fingerprint, nowMs);
        return { kind: 'admitted', isApart: true };
      default:
        return decision satisfies never;
    }
  }
}
